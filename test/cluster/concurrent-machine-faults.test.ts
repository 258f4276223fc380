/**
 * Two troubles at once, at machines: held and lost commands, machines that hang, are deaf or mute, zones cut off, with
 * and without a change of owner. Each is brought about by an event and judged by the rules, in several phases.
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

/** Steps until something holds; how long that took, in milliseconds. */
async function until(
  cluster: SimulatedCluster,
  what: string,
  condition: () => boolean,
  withinMs = 60_000,
): Promise<number> {
  const from = cluster.clock.now();
  while (!condition()) {
    assert.ok(
      cluster.clock.now() - from < withinMs,
      `${what}: not within ${withinMs} ms\n${cluster.traceLines.join('\n')}`,
    );
    await cluster.step(50);
  }
  return cluster.clock.now() - from;
}

/** The owner of a part as the state service says, by its number; null: nobody. */
function leaderOf(cluster: SimulatedCluster, shard: number): number | null {
  const row = cluster.store.entries.get(`c/parts/${shard}`)?.data as { owner: string | null } | undefined;
  return row?.owner ? Number(row.owner.slice(1)) : null;
}

/** Asks all nodes about a job; done is only said when every task has ended well. */
async function poll(cluster: SimulatedCluster, id: string): Promise<string[]> {
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

/** Tasks that started, or are on a machine, after their job's user was told that it is cancelled. */
const countStartsAfter = (cluster: SimulatedCluster, id: string, from: number): number =>
  cluster.traceLines.slice(from).filter((l) => l.includes(` runs ${id}/`)).length;

/** Runs `act` once, when the first order that fits has been executed. */
function onFirstExecution(
  cluster: SimulatedCluster,
  fits: (command: WorkerCommand, worker: FakeWorker) => boolean,
  act: (worker: FakeWorker) => void,
): void {
  let acted = false;
  cluster.onCommandExecuted = (worker, command) => {
    if (acted || !fits(command, worker)) return;
    acted = true;
    act(worker);
  };
}

const containsCommand = (call: { body?: unknown }, kind: WorkerCommand['order']): boolean =>
  JSON.stringify(call.body ?? {}).includes(`"order":"${kind}"`);

const ARRAY: JobOptions = { tasks: 6, runMs: 12_000, zone: 'east' };

test('jobs bound to one zone, arrays too, lose machines one after the other: nothing runs elsewhere, all ends', async () => {
  for (const lost of [1, 2, 3]) {
    const cluster = await startCluster('east', 'east', 'east', 'west', 'west');
    cluster.cloudCapacity = 3;
    let events = 0;
    cluster.onCommandExecuted = (worker, command) => {
      if (command.order !== 'launch' || worker.zone !== 'east' || events >= lost) return;
      events += 1;
      // While the task fetches its image, or just after it began.
      cluster.clock.after(events % 2 === 0 ? 50 : 400, () => cluster.removeWorker(worker.id, 'lost'));
    };
    await cluster.submit(1, 'req-1', ARRAY);
    await cluster.submit(0, 'req-2', { service: true, tasks: 2, zone: 'east' });
    await cluster.submit(2, 'req-3', { tasks: 2, runMs: 8000, zone: 'east', team: 'blue' });
    await cluster.step(90_000);
    assertNoViolations(cluster, lost);
    for (const worker of machines(cluster, 'west')) assert.equal(worker.tasks.size, 0);
    assert.deepEqual(await poll(cluster, 'req-1'), ['done', 'done', 'done']);
    assert.deepEqual(await poll(cluster, 'req-3'), ['done', 'done', 'done']);
    assert.ok((await poll(cluster, 'req-2')).includes('running'));
    for (let i = 0; i < 6; i += 1) assert.equal(countCompletions(cluster, `req-1/${i}`), 1);
    assertNoViolations(cluster, lost);
  }
});

/** The zone west with its controller and machines loses all else, but keeps working inside. */
function cutWest(cluster: SimulatedCluster): void {
  const inside = ['n1', ...machines(cluster, 'west').map((worker) => worker.id)];
  const outside = ['n0', 'n2', ...machines(cluster, 'east').map((worker) => worker.id)];
  for (const insideEnd of inside)
    for (const outsideEnd of outside) cluster.networkCuts.add(`${insideEnd}|${outsideEnd}`);
  cluster.store.disconnectedNodes.add('n1');
}

function restoreWest(cluster: SimulatedCluster): void {
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
}

test('a job whose tasks must be together loses machines, then its zone: its tasks are never in two zones', async () => {
  for (const ended of [0, 1, 2]) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    const zones = new Set<string>();
    for (let i = 0; i < 3; i += 1) cluster.taskRunMs.set(`req-1/${i}`, 4000 + 4000 * i);
    const body = { ...cluster.submissionBody('req-1', { tasks: 3, cpus: 4 }), samePlace: true };
    await cluster.sendUserRequest(0, 'POST', '/v2/runs', body);
    await until(cluster, 'all run', () => [0, 1, 2].every((i) => countStarts(cluster, `req-1/${i}`) > 0));
    await until(
      cluster,
      'an end',
      () => [0, 1, 2].filter((i) => countCompletions(cluster, `req-1/${i}`) > 0).length >= ended,
    );
    // Until the end is in the job's record.
    await cluster.step(ended > 0 ? 2500 : 50);
    const zone = machines(cluster).find((worker) => worker.runningTasks().length > 0)?.zone ?? '';
    const busy = machines(cluster, zone).filter((worker) => worker.runningTasks().length > 0);
    // One that holds a task, then the others of the zone; a new one comes much later.
    for (const worker of [...busy, ...machines(cluster, zone)]) {
      cluster.removeWorker(worker.id, 'lost');
      await cluster.step(1500);
    }
    for (let s = 0; s < 60; s += 1) {
      await cluster.step(1000);
      const now = new Set(
        machines(cluster)
          .filter((worker) => worker.runningTasks().length > 0)
          .map((worker) => worker.zone),
      );
      for (const zoneInUse of now) zones.add(zoneInUse);
      assert.ok(now.size <= 1, `in two zones at once\n${cluster.traceLines.join('\n')}`);
    }
    assertNoViolations(cluster, ended);
    // The strictest reading: once a task of the job has ended in a zone, the others belong there too.
    if (ended > 0) assert.ok(!zones.has(zone === 'east' ? 'west' : 'east'), cluster.traceLines.join('\n'));
    else
      assert.equal(
        countCompletions(cluster, 'req-1/2'),
        1,
        cluster.traceLines.join('\n') + 'none had ended: all of it moved to the other zone',
      );
    cluster.addWorker('large', zone);
    cluster.addWorker('large', zone);
    await cluster.step(30_000);
    assert.deepEqual(await poll(cluster, 'req-1'), ['done', 'done', 'done']);
    assertNoViolations(cluster, ended);
  }
});

test('a zone with workers and a controller is partitioned for longer than the lease, and recovers: jobs cancelled meanwhile end', async () => {
  // When the cut begins after the launch was executed, how long it lasts, and when the user cancels.
  for (const [after, lasts, cancel] of [
    [0, 14_000, 500],
    [300, 20_000, 3000],
    [1200, 34_000, 9000],
    [700, 50_000, 100],
  ] as const) {
    const cluster = await startCluster('east', 'west', 'east', 'west');
    let cutAt = 0;
    onFirstExecution(
      cluster,
      (command, worker) => command.order === 'launch' && worker.zone === 'west',
      () =>
        cluster.clock.after(after, () => {
          cutWest(cluster);
          cutAt = cluster.clock.now();
        }),
    );
    await cluster.submit(1, 'req-1', { tasks: 3, runMs: 200_000, zone: 'west' });
    await cluster.submit(1, 'req-2', { tasks: 2, runMs: 30_000, zone: 'west' });
    await cluster.submit(0, 'req-3', { tasks: 4, runMs: 30_000, team: 'blue' });
    await until(cluster, 'the cut', () => cutAt > 0);
    await cluster.step(cancel);
    await cluster.sendUserRequest(0, 'POST', '/v2/runs/req-1/abort');
    const cancelledAtLine = cluster.traceLines.length;
    await cluster.step(Math.max(50, lasts - (cluster.clock.now() - cutAt)));
    restoreWest(cluster);
    await cluster.step(80_000);
    assertNoViolations(cluster, [after, lasts, cancel]);
    assert.equal(countStartsAfter(cluster, 'req-1', cancelledAtLine), 0, 'no start after the user was told');
    assert.deepEqual(await poll(cluster, 'req-1'), ['cancelled', 'cancelled', 'cancelled']);
    for (const id of ['req-2', 'req-3']) assert.deepEqual(await poll(cluster, id), ['done', 'done', 'done']);
    assertNoViolations(cluster, [after, lasts, cancel]);
  }
});

test('jobs of two or three tasks end far apart across a change of leader: no end is lost, repeated or foretold', async () => {
  for (const [tasks, delay, stateAway] of [
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
    // Progress is held back, so that the end of the first task is known to its machine and owner alone.
    if (stateAway)
      cluster.store.transactionDelayMs = (body) => (JSON.stringify(body).includes('c/live/req-1') ? 4000 : 0);
    await until(cluster, 'the first end', () => countCompletions(cluster, 'req-1/0') > 0);
    await cluster.step(Math.max(50, delay));
    for (let shard = 0; shard < 3 && leader === null; shard += 1) {
      const record = cluster.store.entries.get('c/live/req-1')?.data as { parts: number[][] } | undefined;
      if (record?.parts.some((insideEnd) => (insideEnd[0] as number) <= 0 && insideEnd[2] === shard))
        leader = leaderOf(cluster, shard);
    }
    cluster.killNode(leader ?? 0);
    const died = cluster.clock.now();
    while (cluster.clock.now() - died < 30_000 + 9000 * tasks) {
      await poll(cluster, 'req-1');
      await cluster.step(400);
    }
    cluster.store.transactionDelayMs = () => 0;
    assertNoViolations(cluster, [tasks, delay]);
    for (let i = 0; i < tasks; i += 1) {
      assert.equal(
        countCompletions(cluster, `req-1/${i}`),
        1,
        `task ${i} ends once\n${cluster.traceLines.join('\n')}`,
      );
      assert.equal(
        countStarts(cluster, `req-1/${i}`),
        1,
        `task ${i} starts once\n${cluster.traceLines.join('\n')}`,
      );
    }
    const states = await poll(cluster, 'req-1');
    assert.equal(states.filter((s) => s === 'done').length, 2, states.join());
  }
});

test('a command or its answer is held up, and the machine goes on: nothing twice, nothing after a cancellation', async () => {
  for (const kind of ['launch', 'kill', 'clear'] as const)
    for (const how of ['held', 'answer lost', 'hanging'] as const)
      for (const phase of [2200, 2800, 6000, 11_000]) {
        const cluster = await startCluster('east', 'east', 'west', 'east');
        cluster.hangingQueuesCommands = true;
        let faultCount = 0;
        const fault = (call: { body?: unknown }): boolean => {
          if (!containsCommand(call, kind) || faultCount >= 3) return false;
          faultCount += 1;
          return true;
        };
        if (how === 'held') cluster.commandDelayMs = (_node, _worker, call) => (fault(call) ? phase : null);
        if (how === 'answer lost') cluster.losesCommandAnswer = (_node, _worker, call) => fault(call);
        if (how === 'hanging')
          onFirstExecution(
            cluster,
            (command) => command.order === kind,
            (worker) => {
              worker.hanging = true;
              cluster.clock.after(phase, () => cluster.resume(worker.id));
            },
          );
        await cluster.submit(0, 'req-1', { tasks: 6, runMs: 2500 });
        await cluster.submit(1, 'req-2', { tasks: 3, runMs: 200_000, team: 'blue' });
        // So short that it has ended, by the launch in a report's answer, before a direct launch arrives late.
        await cluster.submit(2, 'req-4', { tasks: 2, runMs: 150 });
        await cluster.submit(2, 'req-3', { service: true, tasks: 2, priority: 'critical', team: 'blue' });
        await cluster.step(1500);
        await cluster.sendUserRequest(0, 'POST', '/v2/runs/req-2/abort');
        const cancelledAtLine = cluster.traceLines.length;
        await cluster.step(45_000);
        assertNoViolations(cluster, [kind, how, phase]);
        assert.equal(
          countStartsAfter(cluster, 'req-2', cancelledAtLine),
          0,
          `starts after the cancellation\n${cluster.traceLines.join('\n')}`,
        );
        assert.deepEqual(await poll(cluster, 'req-1'), ['done', 'done', 'done'], `${kind} ${how} ${phase}`);
        for (const taskId of ['1/0', '1/1', '1/2', '1/3', '1/4', '1/5', '4/0', '4/1'])
          assert.equal(
            countStarts(cluster, `req-${taskId}`),
            1,
            `${kind} ${how} ${phase} ${taskId}\n${cluster.traceLines.join('\n')}`,
          );
        assert.ok((await poll(cluster, 'req-3')).includes('running'));
        assertNoViolations(cluster, [kind, how, phase]);
      }
});

test('machines reach no controller while commands reach them: their tasks end by lease expiry, also after a change of leader', async () => {
  for (const [killLeader, lasts] of [
    [false, 20_000],
    [false, 50_000],
    [true, 20_000],
    [true, 70_000],
  ] as const) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    let muted: string | null = null;
    onFirstExecution(
      cluster,
      (command, worker) => command.order === 'launch' && worker.zone === 'west',
      (worker) => {
        muted = worker.id;
        for (const worker of machines(cluster, 'west')) cluster.machinesWithLostHeartbeats.add(worker.id);
        if (killLeader) cluster.clock.after(700, () => cluster.killNode(1));
      },
    );
    await cluster.submit(1, 'req-1', { tasks: 6, runMs: 14_000 });
    await cluster.submit(0, 'req-2', { tasks: 2, runMs: 200_000, zone: 'west', team: 'blue' });
    await until(cluster, 'mute', () => muted !== null);
    await cluster.step(4000);
    await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-2/abort');
    const cancelledAtLine = cluster.traceLines.length;
    await cluster.step(lasts - 4000);
    // Orders do not renew a lease: what ran there at first is gone, and its tasks run elsewhere by now.
    assertNoViolations(cluster, [killLeader, lasts]);
    assert.ok(countMatchingLines(cluster, /lease over, forgets/) > 0);
    assert.equal(countStartsAfter(cluster, 'req-2', cancelledAtLine), 0);
    if (lasts >= 50_000)
      for (let i = 0; i < 6; i += 1)
        assert.equal(
          countCompletions(cluster, `req-1/${i}`),
          1,
          `mute ${lasts}\n${cluster.traceLines.join('\n')}`,
        );
    cluster.machinesWithLostHeartbeats.clear();
    await cluster.step(60_000);
    assertNoViolations(cluster, [killLeader, lasts]);
    for (const node of killLeader ? [0, 2] : NODES)
      assert.equal((await cluster.sendUserRequest(node, 'GET', '/v2/runs/req-1')).body['status'], 'done');
    for (let i = 0; i < 6; i += 1) assert.ok(countCompletions(cluster, `req-1/${i}`) === 1);
  }
});

test('all controllers are away, for less and for more than the lease: nothing twice, done stays done, all ends', async () => {
  for (const away of [400, 5000, 11_500, 12_500, 30_000]) {
    const cluster = await startCluster('east', 'east', 'east', 'east', 'west', 'west');
    await cluster.submit(0, 'req-0', { tasks: 1, runMs: 500 });
    await cluster.step(3000);
    await poll(cluster, 'req-0');
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
    await until(cluster, 'all are killed', () => killed);
    // One that holds tasks is reached a while after the others.
    const slow = machines(cluster).find((worker) => worker.runningTasks().length > 0);
    if (slow) for (const node of NODES) cluster.networkCuts.add(`n${node}|${slow.id}`);
    await cluster.step(away);
    await cluster.startNode(2);
    await cluster.step(900);
    await cluster.startNode(0);
    await cluster.step(4000);
    cluster.networkCuts.clear();
    await cluster.startNode(1);
    await cluster.step(75_000);
    assertNoViolations(cluster, away);
    for (const id of ['req-0', 'req-1', 'req-3'])
      assert.deepEqual(await poll(cluster, id), ['done', 'done', 'done'], `${away} ${id}`);
    assert.equal(machines(cluster).flatMap((worker) => worker.runningTasks()).length, 2, 'the replicas run');
    assertNoViolations(cluster, away);
  }
});

test('old heartbeats arrive after newer ones, from an earlier agent epoch, attempt or leader: they free and start nothing', async () => {
  for (const phase of [0, 1, 2, 3]) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 9000, checkpointDurationS: 1 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, spread: true, team: 'blue' });
    await cluster.step(2500);
    const busy = machines(cluster).filter((worker) => worker.runningTasks().length > 0);
    // Phases: the same session; a new session; a new owner; a new owner that has just begun.
    const first = busy[0] as FakeWorker;
    if (phase === 1) first.restart();
    if (phase === 2) cluster.killNode(0);
    await cluster.step(phase === 2 ? 2500 : 700);
    for (let again = 0; again < 3; again += 1) {
      if (phase === 3 && again === 1) {
        for (const node of NODES) cluster.killNode(node);
        for (const node of NODES) await cluster.startNode(node);
      }
      for (const worker of busy)
        for (const back of [1, 2, 4])
          for (const node of NODES) {
            const body = (cluster.sentHeartbeats.get(worker.id) ?? []).at(-1 - back);
            if (body) void cluster.request(node, 'POST', '/agent/beat', body);
            await cluster.step(phase === 3 ? 50 : 150);
          }
      await cluster.step(1900);
    }
    await cluster.step(60_000);
    assertNoViolations(cluster, phase);
    const states = await poll(cluster, 'req-1');
    assert.ok(states.filter((s) => s === 'done').length >= 2, `phase ${phase}: ${states.join()}`);
    assert.equal(machines(cluster).flatMap((worker) => worker.runningTasks()).length, 2, 'the replicas run');
    if (phase === 0) for (let i = 0; i < 4; i += 1) assert.equal(countStarts(cluster, `req-1/${i}`), 1);
    assertNoViolations(cluster, phase);
  }
});

test('a cancelled task goes on after its machine hung, the kill lost, with and without a change of leader', async () => {
  for (const [hangs, killLeader, orders] of [
    [3000, false, 'lost'],
    [9000, false, 'kept'],
    [11_500, false, 'lost'],
    [9000, true, 'lost'],
    [11_500, true, 'kept'],
    [5000, true, 'lost'],
  ] as const) {
    const cluster = await startCluster('east', 'east', 'west');
    cluster.hangingQueuesCommands = orders === 'kept';
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 300_000 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await until(cluster, 'it runs', () => [0, 1, 2, 3].every((i) => countStarts(cluster, `req-1/${i}`) > 0));
    await cluster.step(1200);
    const hung = machines(cluster).filter((worker) =>
      worker.runningTasks().some((t) => t.taskId.startsWith('req-1/')),
    );
    for (const worker of hung) worker.hanging = true;
    cluster.trace(`${hung.map((worker) => worker.id).join(' ')} hang`);
    const hungAt = cluster.clock.now();
    await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-1/abort');
    const cancelledAtLine = cluster.traceLines.length;
    // Kills that reach a machine just as it goes on are lost as well: only its reports tell that the tasks live.
    cluster.commandDelayMs = (_node, _worker, call) => (containsCommand(call, 'kill') ? 1e9 : null);
    if (killLeader) {
      await cluster.step(600);
      cluster.killNode(0);
    }
    await cluster.step(Math.max(50, hangs - (cluster.clock.now() - hungAt)));
    for (const worker of hung) cluster.resume(worker.id);
    cluster.trace('they go on');
    await cluster.step(45_000);
    assertNoViolations(cluster, [hangs, killLeader, orders]);
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
        // It cannot be deleted either, which would settle everything that it may hold.
        cluster.cloudOutage = fault !== 'sick';
        if (fault === 'sick') worker.faulty = true;
        if (fault === 'leader at once') cluster.killNode(0);
      },
    );
    await cluster.submit(0, 'req-1', { tasks: 4, runMs: 20_000 });
    await cluster.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await cluster.submit(1, 'req-3', { tasks: 3, runMs: 100_000, team: 'blue' });
    await until(cluster, 'deaf', () => unreachable !== null);
    const worker = unreachable as unknown as FakeWorker;
    await cluster.step(2500);
    let launches = 0;
    cluster.commandDelayMs = (_, id, call) => {
      if (id === worker.id && containsCommand(call, 'launch')) launches += 1;
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
    assert.equal(launches, 0, `${fault}: nothing new is sent to a machine that is not reached`);
    for (let i = 0; i < 4; i += 1)
      assert.ok(
        countCompletions(cluster, `req-1/${i}`) > 0,
        `${fault}: what it held runs elsewhere\n${cluster.traceLines.join('\n')}`,
      );
    cluster.unreachableMachines.clear();
    cluster.cloudOutage = false;
    worker.faulty = false;
    await cluster.step(30_000);
    assertNoViolations(cluster, fault);
    assert.equal(countStartsAfter(cluster, 'req-3', cancelledAtLine), 0);
    const states = await poll(cluster, 'req-1');
    assert.ok(states.filter((s) => s === 'done').length >= 2, `${fault}: ${states.join()}`);
    assert.equal(
      machines(cluster).flatMap((worker) => worker.runningTasks()).length,
      2,
      `${fault}: the replicas run`,
    );
    assertNoViolations(cluster, fault);
  }
});
