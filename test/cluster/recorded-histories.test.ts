/** Recorded traces of whole controllers that run against fake workers, store and cloud on a simulated clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertTraceMatches } from '../support/recorded-trace.js';
import { SimulatedCluster } from '../support/simulated-cluster.js';

async function startClusterWithThreeMachines(): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('large', zone);
  await cluster.start();
  return cluster;
}

const countLines = (cluster: SimulatedCluster, text: string): number =>
  cluster.traceLines.filter((l) => l.includes(text)).length;

test('a job is submitted, runs and is done; a repeated submission is idempotent; unknown ids get 404', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 3, runMs: 4000 });
  await cluster.sendUserRequest(
    1,
    'POST',
    '/v2/runs',
    cluster.submissionBody('req-1', { tasks: 3, runMs: 4000 }),
  );
  await cluster.step(8000);
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'ordinary-job');
});

test('a repeated submission of an existing job is never refused, whatever its content; an invalid new job is refused', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { runMs: 60000 });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', { uid: 'req-1', legs: 'many' });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', {
    ...cluster.submissionBody('req-1', { runMs: 60000 }),
    crew: 'nobody',
  });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', { uid: 'req-2', legs: 'many' });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', {
    ...cluster.submissionBody('req-2'),
    crew: 'nobody',
  });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', { ...cluster.submissionBody('req-2'), vcpus: 99 });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', {
    ...cluster.submissionBody('req-2', { service: true, tasks: 20 }),
  });
  assertTraceMatches(cluster, 'known-job-never-refused');
});

test('a controller dies: a peer becomes leader of its shard, tasks continue, and the shard returns to its home controller', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 15000 });
  await cluster.step(1000);
  cluster.killNode(0);
  await cluster.step(8000);
  await cluster.submit(1, 'req-2', { tasks: 2, runMs: 2000 });
  await cluster.startNode(0);
  await cluster.step(14000);
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'takeover-and-return');
});

test('all controllers die at once: no accepted job is forgotten, no task runs twice', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 5, runMs: 9000 });
  await cluster.submit(1, 'req-2', { service: true, tasks: 2 });
  await cluster.step(500);
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.step(4000);
  await cluster.start();
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-2');
  await cluster.step(12000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'all-die');
});

test('a worker is partitioned: its tasks start again only after its lease has certainly expired', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 2, runMs: 40000 });
  await cluster.step(500);
  for (const node of [0, 1, 2])
    for (const machine of ['m-0', 'm-2'])
      if (hasRunningTasks(cluster, machine)) cluster.networkCuts.add(`n${node}|${machine}`);
  await cluster.step(20000);
  assertTraceMatches(cluster, 'lease-over');
});

function hasRunningTasks(cluster: SimulatedCluster, machine: string): boolean {
  return (cluster.workers.get(machine)?.runningTasks().length ?? 0) > 0;
}

test('a direct launch gets no answer and arrives late: a higher fencing token invalidates it', async () => {
  const cluster = await startClusterWithThreeMachines();
  cluster.commandDelayMs = (_, worker) => (worker === 'm-0' || worker === 'm-2' ? 25000 : null);
  await cluster.submit(0, 'req-1', { tasks: 1, runMs: 60000, zone: 'east' });
  await cluster.step(1500);
  await cluster.sendUserRequest(0, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(1000);
  cluster.commandDelayMs = () => null;
  await cluster.step(40000);
  assertTraceMatches(cluster, 'late-direct-order');
});

test('a cancelled job ends, also when the cancellation is sent during an outage of the state service', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { service: true, tasks: 2 });
  await cluster.step(1000);
  cluster.store.outage = true;
  await cluster.step(2000);
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', cluster.submissionBody('req-9'));
  await cluster.step(3000);
  cluster.store.endOutage();
  await cluster.step(3000);
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(2000);
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(
    0,
    'POST',
    '/v2/runs',
    cluster.submissionBody('req-1', { service: true, tasks: 2 }),
  );
  assertTraceMatches(cluster, 'cancel-in-outage');
});

test('a leader that is the only node refused by the store stops commanding before a cancellation is overdue', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { service: true, tasks: 1, zone: 'east' });
  await cluster.step(1000);
  const [leader, machine] = hasRunningTasks(cluster, 'm-0') ? ['n0', 'm-0'] : ['n2', 'm-2'];
  cluster.store.refusedNodes.add(leader);
  // Only the refused leader reaches the machine: no other controller can stop its task.
  for (const node of ['n0', 'n1', 'n2']) if (node !== leader) cluster.networkCuts.add(`${node}|${machine}`);
  for (const node of ['n0', 'n1', 'n2']) if (node !== leader) cluster.networkCuts.add(`${node}|${leader}`);
  // The machine cannot be deleted either: only the leader's own time limit lets its lease expire in time.
  cluster.cloudOutage = true;
  await cluster.step(2000);
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(40000);
  assertTraceMatches(cluster, 'refused-owner');
});

test('a node refused by the store returns no stale state', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { service: true });
  await cluster.step(500);
  cluster.store.refusedNodes.add('n0');
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(0, 'POST', '/v2/runs', cluster.submissionBody('req-1', { service: true }));
  cluster.store.refusedNodes.clear();
  await cluster.step(4000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'stale-node');
});

test('a submission whose answer is lost, or that is applied late, is accepted once', async () => {
  const cluster = await startClusterWithThreeMachines();
  let answersToLose = 1;
  cluster.store.transactionFate = (_, body) =>
    body.apply?.[0]?.put === 'c/live/req-1' && answersToLose-- > 0 ? 'lose-answer' : 'normal';
  await cluster.submit(0, 'req-1', { runMs: 2000 });
  let dropsLeft = 2;
  cluster.store.transactionFate = (_, body) =>
    body.apply?.[0]?.put === 'c/live/req-2' && dropsLeft-- > 0 ? { holdMs: 6000 } : 'normal';
  await cluster.submit(0, 'req-2', { runMs: 2000 });
  await cluster.sendUserRequest(1, 'POST', '/v2/runs', cluster.submissionBody('req-2', { runMs: 2000 }));
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-2/abort');
  await cluster.step(9000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-2');
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'doubtful-transactions');
});

test('shard quotas move to the shard where the team waits, and the team quota holds', async () => {
  const cluster = new SimulatedCluster();
  for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
  for (let i = 0; i < 2; i += 1) cluster.addWorker('large', 'west');
  await cluster.start();
  await cluster.submit(1, 'req-1', { tasks: 16, runMs: 6000 });
  await cluster.step(4000);
  assert.equal([...cluster.workers.values()].flatMap((machine) => machine.runningTasks()).length, 12);
  await cluster.step(12000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'shares-move');
});

test('replicas that must be spread are pinned to zones; a zone alone runs only its half', async () => {
  const cluster = new SimulatedCluster();
  for (let i = 0; i < 3; i += 1) cluster.addWorker('small', 'east');
  cluster.addWorker('small', 'west');
  await cluster.start();
  await cluster.submit(0, 'req-1', { service: true, tasks: 3, spread: true, team: 'blue' });
  await cluster.submit(1, 'req-2', { service: true, tasks: 3, spread: true, team: 'red' });
  await cluster.step(3000);
  assertTraceMatches(cluster, 'zone-pins');
});

test('tasks without capacity are transferred to a peer that announced free capacity, in one write', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('small', 'east');
  cluster.addWorker('small', 'east');
  for (let i = 0; i < 3; i += 1) cluster.addWorker('large', 'west');
  await cluster.start();
  await cluster.submit(0, 'req-1', { tasks: 10, runMs: 5000 });
  await cluster.submit(2, 'req-2', { tasks: 4, runMs: 5000, team: 'blue' });
  await cluster.step(16000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'overflow');
});

test('a critical task preempts lower-priority work at once', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('small', 'east');
  cluster.addWorker('small', 'west');
  cluster.addWorker('small', 'east');
  await cluster.start();
  await cluster.submit(0, 'req-1', {
    tasks: 8,
    runMs: 30000,
    priority: 'best_effort',
    checkpointDurationS: 1,
  });
  await cluster.step(2000);
  await cluster.submit(0, 'req-2', { service: true, tasks: 1, team: 'blue' });
  await cluster.step(4000);
  assertTraceMatches(cluster, 'preemption');
});

test('spot machines, types and zones: a task starts only where its job allows', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east', true);
  cluster.addWorker('large', 'west', true);
  cluster.addWorker('small', 'west');
  await cluster.start();
  await cluster.submit(0, 'req-1', { tasks: 3, spot: false, runMs: 3000 });
  await cluster.submit(0, 'req-2', { tasks: 2, spot: true, zone: 'east', runMs: 3000 });
  await cluster.submit(0, 'req-3', { tasks: 1, types: ['large'], zone: 'west', runMs: 3000 });
  cluster.cloudCapacity = 1;
  await cluster.step(15000);
  assertTraceMatches(cluster, 'allowed-places');
});

test('an interruption notice moves tasks with checkpoints at once; an interrupted machine is returned without waiting for it', async () => {
  const cluster = new SimulatedCluster();
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('large', zone);
  const spot = cluster.addWorker('large', 'east', true);
  await cluster.start();
  await cluster.submit(0, 'req-1', { tasks: 12, spot: true, checkpointDurationS: 1, runMs: 20000 });
  await cluster.step(2000);
  const worker = cluster.workers.get(spot);
  assert.ok(worker);
  worker.interruptionAt = cluster.clock.now() + 6000;
  await cluster.step(6000);
  worker.hanging = true;
  await cluster.step(14000);
  assertTraceMatches(cluster, 'spot-notice');
});

test('a machine on which every task fails is avoided; a job that fails everywhere restarts with backoff', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 1, fails: true });
  await cluster.step(12000);
  await cluster.submit(1, 'req-2', { tasks: 2, runMs: 2000 });
  await cluster.step(5000);
  assert.ok(countLines(cluster, 'ends req-1/0: error') <= 6, 'a failing job restarts with backoff');
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'bad-job');
});

test('a worker keeps a result until the job record has it, even when the leader dies in between', async () => {
  const cluster = await startClusterWithThreeMachines();
  cluster.store.transactionFate = (_, body) =>
    body.apply?.some((a) => a.put === 'over/req-1') ? { holdMs: 60000 } : 'normal';
  await cluster.submit(0, 'req-1', { tasks: 2, runMs: 2000 });
  await cluster.step(4000);
  for (const node of [0, 1, 2]) cluster.killNode(node);
  cluster.store.transactionFate = () => 'normal';
  await cluster.step(2000);
  await cluster.start();
  await cluster.step(4000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assert.equal(countLines(cluster, 'runs req-1/0'), 1);
  assertTraceMatches(cluster, 'result-kept');
});

test('a leader that its workers cannot reach hands its shard over to a peer that they can reach', async () => {
  const cluster = await startClusterWithThreeMachines();
  cluster.addWorker('large', 'east');
  cluster.addWorker('large', 'east');
  await cluster.step(2000);
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 25000 });
  await cluster.step(1000);
  for (const machine of cluster.workers.keys()) cluster.networkCuts.add(`n0|${machine}`);
  await cluster.step(12000);
  cluster.networkCuts.clear();
  await cluster.step(20000);
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'workers-side-cut');
});

test('a zone that is silent as a whole is treated as partitioned, not as interrupted; a returned machine is not registered again', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east');
  cluster.addWorker('large', 'west');
  cluster.addWorker('large', 'east');
  const spot = [cluster.addWorker('large', 'west', true), cluster.addWorker('large', 'west', true)];
  await cluster.start();
  await cluster.submit(1, 'req-1', { tasks: 8, spot: true, runMs: 30000 });
  await cluster.step(1000);
  for (const node of [0, 1, 2])
    for (const machine of ['m-1', ...spot]) cluster.networkCuts.add(`n${node}|${machine}`);
  await cluster.step(8000);
  cluster.networkCuts.clear();
  await cluster.step(4000);
  assert.equal(countLines(cluster, 'is returned'), 0);
  const heartbeat = { ...(await cluster.currentHeartbeat(spot[0] as string)) };
  cluster.workers.get(spot[0] as string)?.destroy();
  await cluster.step(12000);
  assert.equal(countLines(cluster, `${spot[0]} is returned`), 1);
  await cluster.request(1, 'POST', '/agent/beat', heartbeat);
  await cluster.step(1000);
  assert.equal(cluster.store.entries.has(`c/machines/${spot[0]}`), false);
  assertTraceMatches(cluster, 'silent-zone');
});

test('a gang starts all its tasks with one attempt, or waits', async () => {
  const cluster = await startClusterWithThreeMachines();
  await cluster.submit(0, 'req-1', { tasks: 8, cpus: 2, runMs: 6000, team: 'blue' });
  await cluster.submit(0, 'req-2', { tasks: 3, cpus: 2, runMs: 3000, gang: true });
  await cluster.step(2000);
  const gangAttempts = (): string[] =>
    [...cluster.workers.values()].flatMap((machine) =>
      [...machine.tasks.values()].filter((t) => t.taskId.startsWith('req-2/')).map((t) => String(t.attempt)),
    );
  assert.ok(gangAttempts().length === 0 || gangAttempts().length === 3);
  await cluster.step(7000);
  assert.equal(new Set(gangAttempts()).size <= 1, true, 'its tasks share an attempt');
  await cluster.step(6000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'gang');
});
