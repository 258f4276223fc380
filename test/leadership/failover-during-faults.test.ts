/**
 * Leaders change during other faults: slow writes, outages, repeated failures, partitions.
 * Each case is triggered by events (a commit, a start, a command in transit), runs through several phases, and is
 * checked against the rules of the protocol.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  NODES,
  failoverIn,
  type FaultInjectionCluster,
  startCluster,
  shardOfMachine,
  machinesOfShard,
} from '../support/fault-injection-cluster.js';
import type { JobOptions } from '../support/simulated-cluster.js';

test('a new machine gets work at once while writes are slow, and its leader stops', async () => {
  const fates = ['normal', 'lose-answer', { holdMs: 700 }] as const;
  for (const fate of fates) {
    for (const stopDelayMs of [0, 300]) {
      for (const silentMs of [0, 7000]) await addMachineThenStopLeader(fate, stopDelayMs, silentMs);
    }
  }
});

async function addMachineThenStopLeader(
  fate: 'normal' | 'lose-answer' | { holdMs: number },
  stopDelayMs: number,
  silentMs: number,
): Promise<void> {
  const cluster = await startCluster(2, 2);
  await cluster.submit(0, 'req-full', { tasks: 8, zone: 'east', runMs: 600_000 });
  await cluster.until('the east zone is full', () => cluster.countRunningTasks('req-full') === 8);
  await cluster.submit(0, 'req-new', { team: 'blue', tasks: 8, zone: 'east', runMs: 40_000 });
  cluster.store.transactionFate = (_, body) =>
    (body.apply ?? []).some((change) => change.put?.startsWith('c/machines/')) ? fate : 'normal';
  cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : 400);
  let firstMachine = '';
  cluster.onStart = (machine, task) => {
    if (firstMachine !== '' || !task.startsWith('req-new/')) return;
    firstMachine = machine;
    cluster.clock.after(stopDelayMs, () => {
      cluster.trace(`the leader of ${machine} ends`);
      cluster.killNode(shardOfMachine(cluster, machine));
      if (silentMs > 0) cluster.cutOff([machine]);
      // Capacity for a second start of all tasks.
      for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
      cluster.clock.after(silentMs, () => cluster.heal([machine]));
    });
  };
  const addedMachine = cluster.addWorker('large', 'east');
  await cluster.until('the new machine has work', () => firstMachine !== '');
  assert.equal(firstMachine, addedMachine);
  await cluster.step(90_000);
  cluster.assertNoViolations(
    `registration ${JSON.stringify(fate)}, leader stopped after ${stopDelayMs} ms, silent for ${silentMs} ms`,
  );
  const done = cluster.traceLines.filter((l) => /ends req-new\/\d: done/.test(l)).length;
  assert.equal(done, 8, `every task is done once:\n${cluster.traceLines.join('\n')}`);
}

test('leaders change ten times in two minutes, also during an outage', async () => {
  for (const seed of [1, 2, 3]) {
    const cluster = await startCluster(6, 3);
    const failovers = new Set<string>();
    cluster.onCommit = (body) => {
      const failover = failoverIn(body);
      if (failover?.shard === '0') failovers.add(JSON.stringify(body.apply));
    };
    await cluster.submit(0, 'req-service', { service: true, tasks: 6 });
    await cluster.submit(1, 'req-array', { tasks: 12, cpus: 1, runMs: 20_000, team: 'blue' });
    await cluster.submit(2, 'req-over', { tasks: 6, cpus: 1, runMs: 600_000, team: 'blue' });
    await cluster.step(1000);
    for (let change = 0; change < 12; change += 1) {
      const leader = cluster.leaderOf(0);
      cluster.killNode(leader);
      const downMs = 200 + ((seed * 1700 + change * 900) % 4000);
      cluster.clock.after(downMs, () => void cluster.startNode(leader));
      if (change === 2 || change === 6) cluster.clock.after(400 * seed, () => (cluster.store.outage = true));
      if (change === 3 || change === 7) cluster.clock.after(400 * seed, () => cluster.store.endOutage());
      if (change === 5) cluster.cancel('req-over', seed % 3);
      await cluster.step(10_000 - ((seed * 700 + change * 300) % 1500));
    }
    assert.ok(failovers.size >= 10, `failovers of shard 0: ${failovers.size}`);
    await cluster.step(40_000);
    for (const job of ['req-service', 'req-array', 'req-over'])
      for (const node of NODES) await cluster.sendUserRequest(node, 'GET', `/v2/runs/${job}`);
    cluster.assertNoViolations(`seed ${seed}`);
    assert.equal(cluster.invariantChecker.finalState('req-array'), 'done', cluster.traceLines.join('\n'));
    assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
    assert.equal(cluster.countRunningTasks('req-service'), 6);
  }
});

test('all controllers stop right after a failover, and only the successor returns, within a second', async () => {
  for (const [stopDelayMs, restartDelayMs] of [
    [0, 30],
    [4, 300],
    [20, 950],
    [700, 100],
  ] as const) {
    const cluster = await startCluster(6, 3);
    await cluster.submit(0, 'req-service', { service: true, tasks: 4, zone: 'east' });
    await cluster.submit(0, 'req-array', { tasks: 8, cpus: 1, zone: 'east', runMs: 60_000, team: 'blue' });
    await cluster.until(
      'all tasks run',
      () => cluster.countRunningTasks('req-service') + cluster.countRunningTasks('req-array') === 12,
    );
    let successor = -1;
    cluster.onFailover(0, (node) => {
      successor = node;
      cluster.clock.after(stopDelayMs, () => {
        for (const node of NODES) cluster.killNode(node);
        cluster.clock.after(restartDelayMs, () => void cluster.startNode(node));
      });
    });
    cluster.killNode(0);
    await cluster.until(
      'the successor is back',
      () => cluster.traceLines.filter((l) => l.includes(`n${successor} starts`)).length === 2,
    );
    await submitUntilAccepted(cluster, successor, 'req-late', { tasks: 4, zone: 'east', runMs: 1000 });
    await cluster.step(45_000);
    await cluster.sendUserRequest(successor, 'GET', '/v2/runs/req-late');
    assert.equal(
      cluster.invariantChecker.finalState('req-late'),
      'done',
      `one controller is enough:\n${cluster.traceLines.join('\n')}`,
    );
    for (const node of NODES) if (node !== successor) await cluster.startNode(node);
    // The home controller leads its shard again, and stops at once.
    await cluster.until('the home controller leads the shard', () => cluster.leaderOf(0) === 0);
    cluster.killNode(0);
    cluster.clock.after(restartDelayMs, () => void cluster.startNode(0));
    await cluster.step(45_000);
    await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-array');
    cluster.assertNoViolations(
      `all stop ${stopDelayMs} ms after the failover, the successor returns after ${restartDelayMs} ms`,
    );
    assert.equal(cluster.invariantChecker.finalState('req-array'), 'done', cluster.traceLines.join('\n'));
    assert.equal(cluster.countRunningTasks('req-service'), 4);
  }
});

/** Submits a job as users do: repeats the request every second until the job is accepted. */
async function submitUntilAccepted(
  cluster: FaultInjectionCluster,
  node: number,
  job: string,
  options: JobOptions,
): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    const { status } = await cluster.submit(node, job, options);
    if (status === 200 || status === 201) return;
    await cluster.step(1000);
  }
  assert.fail(`${job} was never accepted:\n${cluster.traceLines.join('\n')}`);
}

test('the leader stops while machines with long tasks are partitioned, or cannot be reached by its successor', async () => {
  for (const fault of ['cut', 'unreachable'] as const) {
    for (const durationMs of [3000, 11_000, 20_000, 45_000, 150_000])
      await failOverWithUnreachableMachines(fault, durationMs);
  }
});

async function failOverWithUnreachableMachines(
  fault: 'cut' | 'unreachable',
  durationMs: number,
): Promise<void> {
  const cluster = await startCluster(6, 2);
  await cluster.submit(0, 'req-long', { tasks: 6, zone: 'east', runMs: 600_000 });
  await cluster.until('the tasks run', () => cluster.countRunningTasks('req-long') === 6);
  const affectedMachines = machinesOfShard(cluster, 0, 'req-long');
  assert.ok(affectedMachines.length > 0);
  // The machines cannot be deleted either: a deletion would end their tasks.
  cluster.cloudOutage = true;
  cluster.killNode(0);
  if (fault === 'cut') cluster.cutOff(affectedMachines);
  else for (const machine of affectedMachines) cluster.unreachableMachines.add(machine);
  cluster.clock.after(durationMs, () => {
    cluster.heal(affectedMachines);
    for (const machine of affectedMachines) cluster.unreachableMachines.delete(machine);
  });
  await cluster.step(75_000);
  cluster.assertNoViolations(`${fault} for ${durationMs} ms`);
  assert.equal(
    cluster.countRunningTasks('req-long'),
    6,
    `${fault} for ${durationMs} ms, all run again:\n${cluster.traceLines.join('\n')}`,
  );
  await cluster.step(90_000);
  cluster.assertNoViolations(`${fault} for ${durationMs} ms`);
  assert.equal(cluster.countRunningTasks('req-long'), 6);
}

const wideTasks = { tasks: 2, cpus: 4, image: 'another' };

test('a leader loses the store and its peers, but not its workers and users; jobs are cancelled through the new leader', async () => {
  for (const cancelDelayMs of [0, 1500, 4000, 7000, 12_000]) {
    for (const phaseMs of [0, 500, 1000]) await isolateLeader(cancelDelayMs, phaseMs);
  }
});

async function isolateLeader(cancelDelayMs: number, phaseMs: number): Promise<void> {
  const cluster = await startCluster(6, 2);
  await cluster.submit(0, 'req-over', { tasks: 1, zone: 'east', runMs: 600_000 });
  await cluster.submit(0, 'req-long', { ...wideTasks, zone: 'east', runMs: 600_000, team: 'blue' });
  await cluster.until(
    'all tasks run',
    () => cluster.countRunningTasks('req-over') + cluster.countRunningTasks('req-long') === 3,
  );
  await cluster.step(phaseMs);
  const machinesOfOldLeader = machinesOfShard(cluster, 0, 'req-over');
  const machinesOfNewLeader = machinesOfShard(cluster, 0, 'req-long');
  assert.ok(
    machinesOfOldLeader.length > 0 &&
      machinesOfNewLeader.length > 0 &&
      !machinesOfNewLeader.some((machine) => machinesOfOldLeader.includes(machine)),
  );
  // From now on some machines of the shard reach only the old leader, some only the new leader, and one reaches both.
  cluster.cutOff(machinesOfOldLeader, [1, 2]);
  cluster.cutOff(machinesOfNewLeader, [0]);
  cluster.store.disconnectedNodes.add('n0');
  for (const node of [1, 2]) cluster.networkCuts.add(`n0|n${node}`);
  // The new leader cannot have the machines deleted either.
  cluster.cloudOutage = true;
  cluster.trace('n0 is cut from the store and its peers');
  cluster.clock.after(cancelDelayMs, () => cluster.cancel('req-over', 1));
  for (let i = 0; i < 80; i += 1) {
    if (i % 4 === 0) void cluster.request(0, 'POST', '/v2/runs/req-over/abort');
    if (i % 8 === 0)
      void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody(`req-alone-${i}`, { tasks: 1 }));
    await cluster.step(500);
  }
  assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
  assert.notEqual(cluster.leaderOf(0), 0);
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
  cluster.cloudOutage = false;
  await cluster.step(40_000);
  cluster.assertNoViolations(`cancelled ${cancelDelayMs} ms after the cut, heartbeat phase ${phaseMs} ms`);
  assert.equal(cluster.countRunningTasks('req-over'), 0);
  assert.equal(cluster.countRunningTasks('req-long'), 2, cluster.traceLines.join('\n'));
}
