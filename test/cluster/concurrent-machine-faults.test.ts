/**
 * Two faults at once at machines: delayed or lost commands, machines that hang, cannot be reached or cannot report, and
 * partitioned zones, each with and without a change of shard leader. Each test triggers its faults by an event, with
 * several timings, and the invariants are checked throughout.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerCommand, FakeWorker } from '../support/fake-worker.js';
import { SimulatedCluster, type JobOptions } from '../support/simulated-cluster.js';

const NODES = [0, 1, 2];

async function startCluster(...zones: string[]): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return cluster;
}

const machines = (cluster: SimulatedCluster, zone?: string): FakeWorker[] =>
  [...cluster.workers.values()].filter((worker) => zone === undefined || worker.zone === zone);

const countMatchingLines = (cluster: SimulatedCluster, pattern: RegExp): number =>
  cluster.traceLines.filter((l) => pattern.test(l)).length;
const countStarts = (cluster: SimulatedCluster, taskId: string): number =>
  countMatchingLines(cluster, new RegExp(` runs ${taskId}$`));
const countCompletions = (cluster: SimulatedCluster, taskId: string): number =>
  countMatchingLines(cluster, new RegExp(` ends ${taskId}: done$`));

/** Steps the cluster until the condition holds. Returns the elapsed milliseconds. */
async function stepUntil(
  cluster: SimulatedCluster,
  description: string,
  condition: () => boolean,
  withinMs = 60_000,
): Promise<number> {
  const startedAt = cluster.clock.now();
  while (!condition()) {
    assert.ok(
      cluster.clock.now() - startedAt < withinMs,
      `${description}: not within ${withinMs} ms\n${cluster.traceLines.join('\n')}`,
    );
    await cluster.step(50);
  }
  return cluster.clock.now() - startedAt;
}

/** Returns the number of the controller that leads a shard according to the state service, or null if none does. */
function leaderOf(cluster: SimulatedCluster, shard: number): number | null {
  const record = cluster.store.entries.get(`c/parts/${shard}`)?.data as { owner: string | null } | undefined;
  return record?.owner ? Number(record.owner.slice(1)) : null;
}

/** Polls a job at all nodes. Fails if a node reports `done` before every task has completed. */
async function pollAllNodes(cluster: SimulatedCluster, id: string): Promise<string[]> {
  const states: string[] = [];
  for (const node of NODES) {
    const answer = await cluster.sendUserRequest(node, 'GET', `/v2/runs/${id}`);
    states.push(answer.status === 200 ? (answer.body['status'] as string) : String(answer.status));
    if (answer.status !== 200 || answer.body['status'] !== 'done') continue;
    const tasks = cluster.invariantChecker.descriptionOf(id)?.tasks ?? 0;
    for (let i = 0; i < tasks; i += 1)
      assert.ok(countCompletions(cluster, `${id}/${i}`) > 0, `not_done ${id}/${i}`);
  }
  return states;
}

const assertNoViolations = (cluster: SimulatedCluster, phase: unknown): void =>
  assert.equal(
    cluster.violations.join('; '),
    '',
    `${cluster.violations.join('; ')} in phase ${JSON.stringify(phase)}\n${cluster.traceLines.join('\n')}`,
  );

/** Counts starts of the job's tasks after a line of the trace, such as the one that confirms its cancellation. */
const countStartsAfter = (cluster: SimulatedCluster, id: string, line: number): number =>
  cluster.traceLines.slice(line).filter((l) => l.includes(` runs ${id}/`)).length;

/** Runs `action` once, when a worker has executed the first command that matches. */
function onFirstExecution(
  cluster: SimulatedCluster,
  matches: (command: WorkerCommand, worker: FakeWorker) => boolean,
  action: (worker: FakeWorker) => void,
): void {
  let triggered = false;
  cluster.onCommandExecuted = (worker, command) => {
    if (triggered || !matches(command, worker)) return;
    triggered = true;
    action(worker);
  };
}

const containsCommand = (call: { body?: unknown }, kind: WorkerCommand['order']): boolean =>
  JSON.stringify(call.body ?? {}).includes(`"order":"${kind}"`);

const ARRAY: JobOptions = { tasks: 6, runMs: 12_000, zone: 'east' };

test('jobs bound to one zone lose machines one after the other: no task runs in another zone, every job ends', async () => {
  for (const lossCount of [1, 2, 3]) {
    const cluster = await startCluster('east', 'east', 'east', 'west', 'west');
    cluster.cloudCapacity = 3;
    let losses = 0;
    cluster.onCommandExecuted = (worker, command) => {
      if (command.order !== 'launch' || worker.zone !== 'east' || losses >= lossCount) return;
      losses += 1;
      // In turn just after the task has started (400 ms) and while it fetches its image (50 ms).
      cluster.clock.after(losses % 2 === 0 ? 50 : 400, () => cluster.removeWorker(worker.id, 'lost'));
    };
    await cluster.submit(1, 'req-1', ARRAY);
    await cluster.submit(0, 'req-2', { service: true, tasks: 2, zone: 'east' });
    await cluster.submit(2, 'req-3', { tasks: 2, runMs: 8000, zone: 'east', team: 'blue' });
    await cluster.step(90_000);
    assertNoViolations(cluster, lossCount);
    for (const worker of machines(cluster, 'west')) assert.equal(worker.tasks.size, 0);
    assert.deepEqual(await pollAllNodes(cluster, 'req-1'), ['done', 'done', 'done']);
    assert.deepEqual(await pollAllNodes(cluster, 'req-3'), ['done', 'done', 'done']);
    assert.ok((await pollAllNodes(cluster, 'req-2')).includes('running'));
    for (let i = 0; i < 6; i += 1) assert.equal(countCompletions(cluster, `req-1/${i}`), 1);
    assertNoViolations(cluster, lossCount);
  }
});

/** Partitions the zone west: its controller and its machines reach each other and nothing else. */
function partitionWest(cluster: SimulatedCluster): void {
  const inside = ['n1', ...machines(cluster, 'west').map((worker) => worker.id)];
  const outside = ['n0', 'n2', ...machines(cluster, 'east').map((worker) => worker.id)];
  for (const insideEnd of inside)
    for (const outsideEnd of outside) cluster.networkCuts.add(`${insideEnd}|${outsideEnd}`);
  cluster.store.disconnectedNodes.add('n1');
}

function healWest(cluster: SimulatedCluster): void {
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
}

test('a job bound to a single zone loses machines one by one, then the whole zone: its tasks never run in two zones', async () => {
  for (const completedTasks of [0, 1, 2]) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    const zonesAfterLoss = new Set<string>();
    for (let i = 0; i < 3; i += 1) cluster.taskRunMs.set(`req-1/${i}`, 4000 + 4000 * i);
    const body = { ...cluster.submissionBody('req-1', { tasks: 3, cpus: 4 }), samePlace: true };
    await cluster.sendUserRequest(0, 'POST', '/v2/runs', body);
    await stepUntil(cluster, 'all tasks run', () =>
      [0, 1, 2].every((i) => countStarts(cluster, `req-1/${i}`) > 0),
    );
    await stepUntil(
      cluster,
      'the completions',
      () => [0, 1, 2].filter((i) => countCompletions(cluster, `req-1/${i}`) > 0).length >= completedTasks,
    );
    // Until the completions are in the job's record.
    await cluster.step(completedTasks > 0 ? 2500 : 50);
    const zone = machines(cluster).find((worker) => worker.runningTasks().length > 0)?.zone ?? '';
    const busy = machines(cluster, zone).filter((worker) => worker.runningTasks().length > 0);
    // First the machines that hold tasks, then the others of the zone; replacements come much later.
    for (const worker of [...busy, ...machines(cluster, zone)]) {
      cluster.removeWorker(worker.id, 'lost');
      await cluster.step(1500);
    }
    for (let s = 0; s < 60; s += 1) {
      await cluster.step(1000);
      const zonesInUse = new Set(
        machines(cluster)
          .filter((worker) => worker.runningTasks().length > 0)
          .map((worker) => worker.zone),
      );
      for (const zoneInUse of zonesInUse) zonesAfterLoss.add(zoneInUse);
      assert.ok(zonesInUse.size <= 1, `in two zones at once\n${cluster.traceLines.join('\n')}`);
    }
    assertNoViolations(cluster, completedTasks);
    // The constraint holds for the tasks that are on machines at a moment: those that are left move together, whether
    // others have completed in the lost zone or not.
    assert.deepEqual([...zonesAfterLoss], [zone === 'east' ? 'west' : 'east'], cluster.traceLines.join('\n'));
    for (const index of [0, 1, 2])
      assert.equal(countCompletions(cluster, `req-1/${index}`), 1, cluster.traceLines.join('\n'));
    cluster.addWorker('large', zone);
    cluster.addWorker('large', zone);
    await cluster.step(30_000);
    assert.deepEqual(await pollAllNodes(cluster, 'req-1'), ['done', 'done', 'done']);
    assertNoViolations(cluster, completedTasks);
  }
});

test('a zone with workers and a controller is partitioned for longer than the lease and recovers: jobs cancelled meanwhile end', async () => {
  // In milliseconds: from the launch to the partition, its length, and from its beginning to the cancellation.
  for (const [partitionDelayMs, partitionMs, cancelDelayMs] of [
    [0, 14_000, 500],
    [300, 20_000, 3000],
    [1200, 34_000, 9000],
    [700, 50_000, 100],
  ] as const) {
    const cluster = await startCluster('east', 'west', 'east', 'west');
    let partitionedAt = 0;
    onFirstExecution(
      cluster,
      (command, worker) => command.order === 'launch' && worker.zone === 'west',
      () =>
        cluster.clock.after(partitionDelayMs, () => {
          partitionWest(cluster);
          partitionedAt = cluster.clock.now();
        }),
    );
    await cluster.submit(1, 'req-1', { tasks: 3, runMs: 200_000, zone: 'west' });
    await cluster.submit(1, 'req-2', { tasks: 2, runMs: 30_000, zone: 'west' });
    await cluster.submit(0, 'req-3', { tasks: 4, runMs: 30_000, team: 'blue' });
    await stepUntil(cluster, 'the partition', () => partitionedAt > 0);
    await cluster.step(cancelDelayMs);
    await cluster.sendUserRequest(0, 'POST', '/v2/runs/req-1/abort');
    const cancelledAtLine = cluster.traceLines.length;
    await cluster.step(Math.max(50, partitionMs - (cluster.clock.now() - partitionedAt)));
    healWest(cluster);
    await cluster.step(80_000);
    assertNoViolations(cluster, [partitionDelayMs, partitionMs, cancelDelayMs]);
    assert.equal(
      countStartsAfter(cluster, 'req-1', cancelledAtLine),
      0,
      'no start after the user was told of the cancellation',
    );
    assert.deepEqual(await pollAllNodes(cluster, 'req-1'), ['cancelled', 'cancelled', 'cancelled']);
    for (const id of ['req-2', 'req-3'])
      assert.deepEqual(await pollAllNodes(cluster, id), ['done', 'done', 'done']);
    assertNoViolations(cluster, [partitionDelayMs, partitionMs, cancelDelayMs]);
  }
});

test('the tasks of a job complete 9 s apart across a change of leader: no completion is lost, repeated or reported early', async () => {
  for (const [tasks, killDelayMs, progressDelayed] of [
    [2, 0, false],
    [2, 60, false],
    [3, 300, false],
    [3, 900, true],
    [2, 1600, true],
    [3, 2600, false],
  ] as const) {
    const cluster = await startCluster('east', 'west', 'east');
    for (let i = 0; i < tasks; i += 1) cluster.taskRunMs.set(`req-1/${i}`, 3000 + 9000 * i);
    let leader: number | null = null;
    await cluster.submit(0, 'req-1', { tasks, cpus: 4, runMs: 3000 });
    // Progress writes take 4 s, so that only the machine and the shard leader know of the first completion.
    if (progressDelayed)
      cluster.store.transactionDelayMs = (body) => (JSON.stringify(body).includes('c/live/req-1') ? 4000 : 0);
    await stepUntil(cluster, 'the first completion', () => countCompletions(cluster, 'req-1/0') > 0);
    await cluster.step(Math.max(50, killDelayMs));
    for (let shard = 0; shard < 3 && leader === null; shard += 1) {
      const record = cluster.store.entries.get('c/live/req-1')?.data as { parts: number[][] } | undefined;
      if (record?.parts.some((range) => (range[0] as number) <= 0 && range[2] === shard))
        leader = leaderOf(cluster, shard);
    }
    cluster.killNode(leader ?? 0);
    const killedAt = cluster.clock.now();
    while (cluster.clock.now() - killedAt < 30_000 + 9000 * tasks) {
      await pollAllNodes(cluster, 'req-1');
      await cluster.step(400);
    }
    cluster.store.transactionDelayMs = () => 0;
    assertNoViolations(cluster, [tasks, killDelayMs]);
    for (let i = 0; i < tasks; i += 1) {
      assert.equal(
        countCompletions(cluster, `req-1/${i}`),
        1,
        `task ${i} completes once\n${cluster.traceLines.join('\n')}`,
      );
      assert.equal(
        countStarts(cluster, `req-1/${i}`),
        1,
        `task ${i} starts once\n${cluster.traceLines.join('\n')}`,
      );
    }
    const states = await pollAllNodes(cluster, 'req-1');
    assert.equal(states.filter((s) => s === 'done').length, 2, states.join());
  }
});

test('a command is delayed, its answer is lost, or its machine hangs: no task starts twice, and none after its cancellation', async () => {
  for (const commandKind of ['launch', 'kill', 'clear'] as const)
    for (const faultKind of ['delayed', 'answer lost', 'hanging'] as const)
      for (const delayMs of [2200, 2800, 6000, 11_000]) {
        const cluster = await startCluster('east', 'east', 'west', 'east');
        cluster.hangingQueuesCommands = true;
        let faultCount = 0;
        const injectFault = (call: { body?: unknown }): boolean => {
          if (!containsCommand(call, commandKind) || faultCount >= 3) return false;
          faultCount += 1;
          return true;
        };
        if (faultKind === 'delayed')
          cluster.commandDelayMs = (_node, _worker, call) => (injectFault(call) ? delayMs : null);
        if (faultKind === 'answer lost')
          cluster.losesCommandAnswer = (_node, _worker, call) => injectFault(call);
        if (faultKind === 'hanging')
          onFirstExecution(
            cluster,
            (command) => command.order === commandKind,
            (worker) => {
              worker.hanging = true;
              cluster.clock.after(delayMs, () => cluster.resume(worker.id));
            },
          );
        await cluster.submit(0, 'req-1', { tasks: 6, runMs: 2500 });
        await cluster.submit(1, 'req-2', { tasks: 3, runMs: 200_000, team: 'blue' });
        // Its tasks are so short that they start by a heartbeat answer and complete before the delayed direct launch
        // arrives.
        await cluster.submit(2, 'req-4', { tasks: 2, runMs: 150 });
        await cluster.submit(2, 'req-3', { service: true, tasks: 2, priority: 'critical', team: 'blue' });
        await cluster.step(1500);
        await cluster.sendUserRequest(0, 'POST', '/v2/runs/req-2/abort');
        const cancelledAtLine = cluster.traceLines.length;
        await cluster.step(45_000);
        assertNoViolations(cluster, [commandKind, faultKind, delayMs]);
        assert.equal(
          countStartsAfter(cluster, 'req-2', cancelledAtLine),
          0,
          `no start after the cancellation\n${cluster.traceLines.join('\n')}`,
        );
        assert.deepEqual(
          await pollAllNodes(cluster, 'req-1'),
          ['done', 'done', 'done'],
          `${commandKind} ${faultKind} ${delayMs}`,
        );
        for (const taskId of ['1/0', '1/1', '1/2', '1/3', '1/4', '1/5', '4/0', '4/1'])
          assert.equal(
            countStarts(cluster, `req-${taskId}`),
            1,
            `${commandKind} ${faultKind} ${delayMs} ${taskId}\n${cluster.traceLines.join('\n')}`,
          );
        assert.ok((await pollAllNodes(cluster, 'req-3')).includes('running'));
        assertNoViolations(cluster, [commandKind, faultKind, delayMs]);
      }
});

test('heartbeats of machines are lost while commands reach them: their tasks end by lease expiry, also after a change of leader', async () => {
  for (const [killLeader, lossMs] of [
    [false, 20_000],
    [false, 50_000],
    [true, 20_000],
    [true, 70_000],
  ] as const) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    let machineWithLostHeartbeats: string | null = null;
    onFirstExecution(
      cluster,
      (command, worker) => command.order === 'launch' && worker.zone === 'west',
      (worker) => {
        machineWithLostHeartbeats = worker.id;
        for (const worker of machines(cluster, 'west')) cluster.machinesWithLostHeartbeats.add(worker.id);
        if (killLeader) cluster.clock.after(700, () => cluster.killNode(1));
      },
    );
    await cluster.submit(1, 'req-1', { tasks: 6, runMs: 14_000 });
    await cluster.submit(0, 'req-2', { tasks: 2, runMs: 200_000, zone: 'west', team: 'blue' });
    await stepUntil(cluster, 'the first launch in the west', () => machineWithLostHeartbeats !== null);
    await cluster.step(4000);
    await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-2/abort');
    const cancelledAtLine = cluster.traceLines.length;
    await cluster.step(lossMs - 4000);
    // Commands do not renew a lease: the tasks there have ended, and run on other machines by now.
    assertNoViolations(cluster, [killLeader, lossMs]);
    assert.ok(countMatchingLines(cluster, /lease over, forgets/) > 0);
    assert.equal(countStartsAfter(cluster, 'req-2', cancelledAtLine), 0);
    if (lossMs >= 50_000)
      for (let i = 0; i < 6; i += 1)
        assert.equal(
          countCompletions(cluster, `req-1/${i}`),
          1,
          `heartbeats lost for ${lossMs} ms\n${cluster.traceLines.join('\n')}`,
        );
    cluster.machinesWithLostHeartbeats.clear();
    await cluster.step(60_000);
    assertNoViolations(cluster, [killLeader, lossMs]);
    for (const node of killLeader ? [0, 2] : NODES)
      assert.equal((await cluster.sendUserRequest(node, 'GET', '/v2/runs/req-1')).body['status'], 'done');
    for (let i = 0; i < 6; i += 1) assert.ok(countCompletions(cluster, `req-1/${i}`) === 1);
  }
});

test('all controllers are down, for less and for more than the lease: no task runs twice, done stays done, every job ends', async () => {
  for (const downMs of [400, 5000, 11_500, 12_500, 30_000]) {
    const cluster = await startCluster('east', 'east', 'east', 'east', 'west', 'west');
    await cluster.submit(0, 'req-0', { tasks: 1, runMs: 500 });
    await cluster.step(3000);
    await pollAllNodes(cluster, 'req-0');
    await cluster.submit(0, 'req-1', { tasks: 8, runMs: 15_000 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, spread: true, team: 'blue' });
    let killed = false;
    onFirstExecution(
      cluster,
      (command) => command.order === 'launch',
      () => {
        killed = true;
        for (const node of NODES) cluster.killNode(node);
      },
    );
    await cluster.submit(2, 'req-3', { tasks: 3, runMs: 9000, team: 'blue' });
    await stepUntil(cluster, 'all controllers are killed', () => killed);
    // A machine that holds tasks can be reached only some seconds after the others.
    const lateMachine = machines(cluster).find((worker) => worker.runningTasks().length > 0);
    if (lateMachine) for (const node of NODES) cluster.networkCuts.add(`n${node}|${lateMachine.id}`);
    await cluster.step(downMs);
    await cluster.startNode(2);
    await cluster.step(900);
    await cluster.startNode(0);
    await cluster.step(4000);
    cluster.networkCuts.clear();
    await cluster.startNode(1);
    await cluster.step(75_000);
    assertNoViolations(cluster, downMs);
    for (const id of ['req-0', 'req-1', 'req-3'])
      assert.deepEqual(await pollAllNodes(cluster, id), ['done', 'done', 'done'], `${downMs} ${id}`);
    assert.equal(machines(cluster).flatMap((worker) => worker.runningTasks()).length, 2, 'the replicas run');
    assertNoViolations(cluster, downMs);
  }
});

test('late copies of heartbeats, also from an earlier agent epoch or leader, free no allocation and start no task', async () => {
  for (const phase of [0, 1, 2, 3]) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 9000, checkpointDurationS: 1 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, spread: true, team: 'blue' });
    await cluster.step(2500);
    const busy = machines(cluster).filter((worker) => worker.runningTasks().length > 0);
    // Phase 0: the same agent epoch; 1: a new agent epoch; 2: a new leader; 3: new leaders that have just started.
    const firstBusy = busy[0] as FakeWorker;
    if (phase === 1) firstBusy.restart();
    if (phase === 2) cluster.killNode(0);
    await cluster.step(phase === 2 ? 2500 : 700);
    for (let round = 0; round < 3; round += 1) {
      if (phase === 3 && round === 1) {
        for (const node of NODES) cluster.killNode(node);
        for (const node of NODES) await cluster.startNode(node);
      }
      for (const worker of busy)
        for (const heartbeatsBack of [1, 2, 4])
          for (const node of NODES) {
            const body = (cluster.sentHeartbeats.get(worker.id) ?? []).at(-1 - heartbeatsBack);
            if (body) void cluster.request(node, 'POST', '/agent/beat', body);
            await cluster.step(phase === 3 ? 50 : 150);
          }
      await cluster.step(1900);
    }
    await cluster.step(60_000);
    assertNoViolations(cluster, phase);
    const states = await pollAllNodes(cluster, 'req-1');
    assert.ok(states.filter((s) => s === 'done').length >= 2, `phase ${phase}: ${states.join()}`);
    assert.equal(machines(cluster).flatMap((worker) => worker.runningTasks()).length, 2, 'the replicas run');
    if (phase === 0) for (let i = 0; i < 4; i += 1) assert.equal(countStarts(cluster, `req-1/${i}`), 1);
    assertNoViolations(cluster, phase);
  }
});

test('a machine hangs while its job is cancelled and the kill is lost: the task is stopped, with and without a change of leader', async () => {
  for (const [hangMs, killLeader, commands] of [
    [3000, false, 'lost'],
    [9000, false, 'kept'],
    [11_500, false, 'lost'],
    [9000, true, 'lost'],
    [11_500, true, 'kept'],
    [5000, true, 'lost'],
  ] as const) {
    const cluster = await startCluster('east', 'east', 'west');
    cluster.hangingQueuesCommands = commands === 'kept';
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 300_000 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await stepUntil(cluster, 'all tasks run', () =>
      [0, 1, 2, 3].every((i) => countStarts(cluster, `req-1/${i}`) > 0),
    );
    await cluster.step(1200);
    const hung = machines(cluster).filter((worker) =>
      worker.runningTasks().some((t) => t.taskId.startsWith('req-1/')),
    );
    for (const worker of hung) worker.hanging = true;
    cluster.trace(`${hung.map((worker) => worker.id).join(' ')} hang`);
    const hungAt = cluster.clock.now();
    await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-1/abort');
    const cancelledAtLine = cluster.traceLines.length;
    // Kills that arrive just after the machines resume are lost too: only heartbeats show that the tasks still run.
    cluster.commandDelayMs = (_node, _worker, call) => (containsCommand(call, 'kill') ? 1e9 : null);
    if (killLeader) {
      await cluster.step(600);
      cluster.killNode(0);
    }
    await cluster.step(Math.max(50, hangMs - (cluster.clock.now() - hungAt)));
    for (const worker of hung) cluster.resume(worker.id);
    cluster.trace('they resume');
    await cluster.step(45_000);
    assertNoViolations(cluster, [hangMs, killLeader, commands]);
    assert.equal(countStartsAfter(cluster, 'req-1', cancelledAtLine), 0);
    for (const worker of machines(cluster))
      assert.ok(!worker.runningTasks().some((t) => t.taskId.startsWith('req-1/')));
  }
});

test('two faults at one machine: unreachable and a new leader, unreachable and then hanging, faulty and unreachable', async () => {
  for (const fault of ['leader', 'leader at once', 'hanging', 'sick'] as const) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    let unreachable: FakeWorker | null = null;
    onFirstExecution(
      cluster,
      (command) => command.order === 'launch',
      (worker) => {
        unreachable = worker;
        cluster.unreachableMachines.add(worker.id);
        // Deleting the machine would prove that it runs nothing; a cloud outage prevents this, unless the machine is
        // faulty.
        cluster.cloudOutage = fault !== 'sick';
        if (fault === 'sick') worker.faulty = true;
        if (fault === 'leader at once') cluster.killNode(0);
      },
    );
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 20_000 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await cluster.submit(1, 'req-3', { tasks: 3, runMs: 100_000, team: 'blue' });
    await stepUntil(cluster, 'an unreachable machine', () => unreachable !== null);
    const worker = unreachable as unknown as FakeWorker;
    await cluster.step(2500);
    let launchesSent = 0;
    cluster.commandDelayMs = (_, id, call) => {
      if (id === worker.id && containsCommand(call, 'launch')) launchesSent += 1;
      return null;
    };
    if (fault === 'leader') cluster.killNode(0);
    if (fault === 'hanging') {
      worker.hanging = true;
      cluster.clock.after(7000, () => cluster.resume(worker.id));
    }
    await cluster.step(500);
    await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-3/abort');
    const cancelledAtLine = cluster.traceLines.length;
    await cluster.step(75_000);
    assert.equal(launchesSent, 0, `${fault}: no launch is sent to an unreachable machine`);
    for (let i = 0; i < 4; i += 1)
      assert.ok(
        countCompletions(cluster, `req-1/${i}`) > 0,
        `${fault}: the tasks complete on other machines\n${cluster.traceLines.join('\n')}`,
      );
    cluster.unreachableMachines.clear();
    cluster.cloudOutage = false;
    worker.faulty = false;
    await cluster.step(30_000);
    assertNoViolations(cluster, fault);
    assert.equal(countStartsAfter(cluster, 'req-3', cancelledAtLine), 0);
    const states = await pollAllNodes(cluster, 'req-1');
    assert.ok(states.filter((s) => s === 'done').length >= 2, `${fault}: ${states.join()}`);
    assert.equal(
      machines(cluster).flatMap((worker) => worker.runningTasks()).length,
      2,
      `${fault}: the replicas run`,
    );
    assertNoViolations(cluster, fault);
  }
});
