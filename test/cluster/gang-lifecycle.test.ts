/** Gangs in a whole cluster: start, task loss, interruption notice, cancellation, failover and preemption. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SMALL_CLUSTER, SimulatedCluster, type JobOptions } from '../support/simulated-cluster.js';

const MACHINES = 6;

async function startCluster(): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (let i = 0; i < MACHINES; i += 1) cluster.addWorker('small', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  return cluster;
}

const GANG: JobOptions = { gang: true, tasks: 3, cpus: 2, runMs: 20_000, checkpointDurationS: 2 };

/** Returns machine, status and attempt of each task of the job that has not exited. */
function placements(
  cluster: SimulatedCluster,
  job: string,
): { machine: string; status: string; attempt: number }[] {
  return [...cluster.workers.values()].flatMap((machine) =>
    [...machine.tasks.values()]
      .filter((t) => t.taskId.startsWith(`${job}/`) && t.status !== 'exited')
      .map((t) => ({ machine: machine.id, status: t.status, attempt: t.attempt })),
  );
}

const isRunning = (cluster: SimulatedCluster, job: string, tasks = 3): boolean => {
  const placed = placements(cluster, job);
  return placed.length === tasks && placed.every((p) => p.status === 'running');
};

async function stepUntil(
  cluster: SimulatedCluster,
  description: string,
  condition: () => boolean,
  timeoutS = 60,
): Promise<void> {
  for (let ms = 0; ms < timeoutS * 1000; ms += 50) {
    if (condition()) return;
    await cluster.step(50);
  }
  assert.fail(`${description}: ${JSON.stringify(cluster.traceLines.slice(-12), null, 1)}`);
}

async function stepUntilDone(cluster: SimulatedCluster, job: string, node = 0): Promise<void> {
  for (let s = 0; s < 90; s += 2) {
    await cluster.step(2000);
    const answer = await cluster.sendUserRequest(node, 'GET', `/v2/runs/${job}`);
    if (answer.body['status'] === 'done') {
      assert.deepEqual(cluster.violations, []);
      return;
    }
  }
  assert.fail(`${job} is not done: ${JSON.stringify(cluster.traceLines.slice(-20), null, 1)}`);
}

const attempts = (cluster: SimulatedCluster, job: string): number[] =>
  cluster.gangCoordinator.startedAttempts.get(job) ?? [];

test('a gang starts with one attempt for all its tasks and completes', async () => {
  const cluster = await startCluster();
  assert.equal((await cluster.submit(0, 'req-g', GANG)).status, 201);
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-g'));
  assert.equal(new Set(placements(cluster, 'req-g').map((p) => p.attempt)).size, 1);
  await stepUntilDone(cluster, 'req-g');
  assert.equal(attempts(cluster, 'req-g').length, 1);
});

test('a gang whose tasks together exceed the limit of its team is refused', async () => {
  const cluster = await startCluster();
  assert.equal((await cluster.submit(0, 'req-large', { ...GANG, tasks: 13 })).status, 422);
  assert.equal((await cluster.submit(1, 'req-fits', { ...GANG, tasks: 12 })).status, 201);
});

test('a task that is lost before the gang starts is replaced under the same attempt', async () => {
  const cluster = await startCluster();
  let lostMachine: string | null = null;
  cluster.onCommandExecuted = (worker, command) => {
    // The machine of the last task restarts as soon as it has received the launch.
    if (command.order === 'launch' && command.leg === 'req-g/2' && lostMachine === null)
      lostMachine = worker.id;
  };
  await cluster.submit(0, 'req-g', GANG);
  await stepUntil(cluster, 'the launch of the last task', () => lostMachine !== null);
  cluster.workers.get(lostMachine ?? '')?.restart();
  await stepUntilDone(cluster, 'req-g');
  assert.equal(attempts(cluster, 'req-g').length, 1, 'the other tasks have not restarted');
});

test('a running gang that loses a task restarts from its last checkpoint once all its tasks have ended', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-g', GANG);
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-g'));
  const [first] = attempts(cluster, 'req-g');
  await cluster.step(7000);
  const lostMachine = placements(cluster, 'req-g')[0]?.machine ?? '';
  cluster.removeWorker(lostMachine, 'dead');
  await stepUntil(cluster, 'the gang runs again', () => attempts(cluster, 'req-g').length === 2, 60);
  const [, second = 0] = attempts(cluster, 'req-g');
  assert.ok(second > (first ?? Infinity), 'attempt numbers increase');
  assert.equal(cluster.gangCoordinator.savedProgressMs.get('req-g'), 5000);
  await stepUntilDone(cluster, 'req-g');
});

test('an interruption notice for one machine checkpoints the whole gang', async () => {
  const cluster = await startCluster();
  for (let i = 0; i < 3; i += 1) cluster.addWorker('small', 'east', true);
  await cluster.step(3000);
  await cluster.submit(0, 'req-g', { ...GANG, spot: true });
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-g'));
  await cluster.step(7000);
  const interruptedWorker = cluster.workers.get(placements(cluster, 'req-g')[1]?.machine ?? '');
  assert.ok(interruptedWorker);
  interruptedWorker.interruptionAt = cluster.clock.now() + 12_000;
  await stepUntil(
    cluster,
    'the gang runs again on other machines',
    () => attempts(cluster, 'req-g').length === 2,
    30,
  );
  const saved = cluster.gangCoordinator.savedProgressMs.get('req-g') ?? 0;
  assert.ok(saved > 7000, `${saved} ms saved, more than the last checkpoint`);
  assert.ok(placements(cluster, 'req-g').every((p) => p.machine !== interruptedWorker.id));
  await stepUntilDone(cluster, 'req-g');
});

test('a gang is cancelled while it waits for its members and while it runs', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-a', GANG);
  await stepUntil(cluster, 'its tasks are on machines', () => placements(cluster, 'req-a').length > 0);
  assert.equal(
    (await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-a/abort')).body['status'],
    'cancelled',
  );
  await stepUntil(cluster, 'its tasks have ended', () => placements(cluster, 'req-a').length === 0, 10);
  await cluster.submit(0, 'req-b', GANG);
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-b'));
  assert.equal(
    (await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-b/abort')).body['status'],
    'cancelled',
  );
  await stepUntil(cluster, 'its tasks have ended', () => placements(cluster, 'req-b').length === 0, 10);
  assert.deepEqual(cluster.violations, []);
});

test('a running gang continues while its shard leader is replaced', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-g', { ...GANG, runMs: 40_000 });
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-g'));
  cluster.killNode(0);
  await cluster.step(12_000);
  await cluster.startNode(0);
  await stepUntil(cluster, 'the gang still runs', () => isRunning(cluster, 'req-g'));
  assert.equal(attempts(cluster, 'req-g').length, 1, 'a failover alone does not restart the gang');
  await stepUntilDone(cluster, 'req-g');
});

test('a gang whose shard leader dies while it waits for its members restarts under the next leader', async () => {
  const cluster = await startCluster();
  // The launch of one task arrives only after its sender has been killed.
  const isDelayedLaunch = (body: unknown): boolean =>
    JSON.stringify(body).includes('"launch","leg":"req-g/2"');
  cluster.commandDelayMs = (node, _, call) => (node === 0 && isDelayedLaunch(call.body) ? 9000 : null);
  await cluster.submit(0, 'req-g', GANG);
  await stepUntil(
    cluster,
    'two tasks wait for the third',
    () => placements(cluster, 'req-g').filter((p) => p.status === 'gathering').length === 2,
  );
  const [placementBefore] = placements(cluster, 'req-g');
  cluster.killNode(0);
  await stepUntilDone(cluster, 'req-g', 1);
  const [attempt = 0, ...laterAttempts] = attempts(cluster, 'req-g');
  assert.deepEqual(laterAttempts, []);
  assert.ok(attempt > (placementBefore?.attempt ?? Infinity), 'the attempt of the new leader is larger');
});

test('an urgent gang preempts capacity for all its tasks, and a preempted gang stops as a whole', async () => {
  const cluster = new SimulatedCluster({ ...SMALL_CLUSTER, zones: ['east'] });
  for (let i = 0; i < 4; i += 1) cluster.addWorker('small', 'east');
  await cluster.start();
  // 14 CPUs, more than the 12 guaranteed to its team: the gang may be preempted.
  await cluster.submit(0, 'req-low', { ...GANG, tasks: 7, priority: 'best_effort', runMs: 60_000 });
  await stepUntil(cluster, 'the gang runs', () => isRunning(cluster, 'req-low', 7));
  await cluster.step(6000);
  await cluster.submit(0, 'req-high', { ...GANG, team: 'blue', tasks: 4, priority: 'urgent' });
  await stepUntil(cluster, 'the urgent gang runs', () => isRunning(cluster, 'req-high', 4), 20);
  assert.ok(
    !placements(cluster, 'req-low').some((p) => p.status === 'running'),
    'no task of the preempted gang runs alone',
  );
  assert.ok((cluster.gangCoordinator.savedProgressMs.get('req-low') ?? 0) > 6000, 'its progress was saved');
  await stepUntilDone(cluster, 'req-low');
});
