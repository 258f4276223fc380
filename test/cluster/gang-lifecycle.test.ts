/** Gangs in the whole service: start, loss, notice, cancellation, takeover, preemption; judged by the rules. */
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

/** Machines on which tasks of the job are, with what they do. */
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
  const now = placements(cluster, job);
  return now.length === tasks && now.every((p) => p.status === 'running');
};

async function until(
  cluster: SimulatedCluster,
  what: string,
  condition: () => boolean,
  seconds = 60,
): Promise<void> {
  for (let ms = 0; ms < seconds * 1000; ms += 50) {
    if (condition()) return;
    await cluster.step(50);
  }
  assert.fail(`${what}: ${JSON.stringify(cluster.traceLines.slice(-12), null, 1)}`);
}

async function untilDone(cluster: SimulatedCluster, job: string, node = 0): Promise<void> {
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

test('a gang starts together under one attempt, and is done together', async () => {
  const cluster = await startCluster();
  assert.equal((await cluster.submit(0, 'req-g', GANG)).status, 201);
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-g'));
  assert.equal(new Set(placements(cluster, 'req-g').map((p) => p.attempt)).size, 1);
  await untilDone(cluster, 'req-g');
  assert.equal(attempts(cluster, 'req-g').length, 1);
});

test('a gang whose tasks together exceed the limit of its team is refused', async () => {
  const cluster = await startCluster();
  assert.equal((await cluster.submit(0, 'req-large', { ...GANG, tasks: 13 })).status, 422);
  assert.equal((await cluster.submit(1, 'req-fits', { ...GANG, tasks: 12 })).status, 201);
});

test('a task that is lost before the start is replaced under the same attempt', async () => {
  const cluster = await startCluster();
  let lost: string | null = null;
  cluster.onCommandExecuted = (worker, command) => {
    // The last machine dies the moment it is told to fetch.
    if (command.order === 'launch' && command.leg === 'req-g/2' && lost === null) lost = worker.id;
  };
  await cluster.submit(0, 'req-g', GANG);
  await until(cluster, 'launched', () => lost !== null);
  cluster.workers.get(lost ?? '')?.restart();
  await untilDone(cluster, 'req-g');
  assert.equal(attempts(cluster, 'req-g').length, 1, 'the others have not begun anew');
});

test('a running gang that loses a task begins anew when all of it is gone, from its last checkpoint', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-g', GANG);
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-g'));
  const [first] = attempts(cluster, 'req-g');
  await cluster.step(7000);
  const lostMachine = placements(cluster, 'req-g')[0]?.machine ?? '';
  cluster.removeWorker(lostMachine, 'dead');
  await until(cluster, 'it runs again', () => attempts(cluster, 'req-g').length === 2, 60);
  const [, second = 0] = attempts(cluster, 'req-g');
  assert.ok(second > (first ?? Infinity), 'attempts grow');
  assert.equal(cluster.gangCoordinator.savedProgressMs.get('req-g'), 5000);
  await untilDone(cluster, 'req-g');
});

test('an interruption notice for one machine checkpoints the whole gang', async () => {
  const cluster = await startCluster();
  for (let i = 0; i < 3; i += 1) cluster.addWorker('small', 'east', true);
  await cluster.step(3000);
  await cluster.submit(0, 'req-g', { ...GANG, spot: true });
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-g'));
  await cluster.step(7000);
  const interruptedWorker = cluster.workers.get(placements(cluster, 'req-g')[1]?.machine ?? '');
  assert.ok(interruptedWorker);
  interruptedWorker.interruptionAt = cluster.clock.now() + 12_000;
  await until(cluster, 'it runs again elsewhere', () => attempts(cluster, 'req-g').length === 2, 30);
  const saved = cluster.gangCoordinator.savedProgressMs.get('req-g') ?? 0;
  assert.ok(saved > 7000, `${saved} ms saved, more than the last checkpoint`);
  assert.ok(placements(cluster, 'req-g').every((p) => p.machine !== interruptedWorker.id));
  await untilDone(cluster, 'req-g');
});

test('a gang is cancelled while it waits for its members and while it runs', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-a', GANG);
  await until(cluster, 'it is on machines', () => placements(cluster, 'req-a').length > 0);
  assert.equal(
    (await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-a/abort')).body['status'],
    'cancelled',
  );
  await until(cluster, 'it is gone', () => placements(cluster, 'req-a').length === 0, 10);
  await cluster.submit(0, 'req-b', GANG);
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-b'));
  assert.equal(
    (await cluster.sendUserRequest(2, 'POST', '/v2/runs/req-b/abort')).body['status'],
    'cancelled',
  );
  await until(cluster, 'it is gone', () => placements(cluster, 'req-b').length === 0, 10);
  assert.deepEqual(cluster.violations, []);
});

test('a running gang continues while its shard leader is replaced', async () => {
  const cluster = await startCluster();
  await cluster.submit(0, 'req-g', { ...GANG, runMs: 40_000 });
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-g'));
  cluster.killNode(0);
  await cluster.step(12_000);
  await cluster.startNode(0);
  await until(cluster, 'still there', () => isRunning(cluster, 'req-g'));
  assert.equal(attempts(cluster, 'req-g').length, 1, 'a takeover alone does not end it');
  await untilDone(cluster, 'req-g');
});

test('a gang whose shard leader ends while it waits for its members restarts under the next one', async () => {
  const cluster = await startCluster();
  // The order for one task is on its way for longer than its sender lives.
  const isDelayedLaunch = (body: unknown): boolean =>
    JSON.stringify(body).includes('"launch","leg":"req-g/2"');
  cluster.commandDelayMs = (node, _, call) => (node === 0 && isDelayedLaunch(call.body) ? 9000 : null);
  await cluster.submit(0, 'req-g', GANG);
  await until(
    cluster,
    'two wait',
    () => placements(cluster, 'req-g').filter((p) => p.status === 'gathering').length === 2,
  );
  const [before] = placements(cluster, 'req-g');
  cluster.killNode(0);
  await untilDone(cluster, 'req-g', 1);
  const [attempt = 0, ...more] = attempts(cluster, 'req-g');
  assert.deepEqual(more, []);
  assert.ok(attempt > (before?.attempt ?? Infinity), 'the attempt of the new owner is larger');
});

test('an urgent gang makes room for all of itself, and an ordinary gang that makes way goes whole', async () => {
  const cluster = new SimulatedCluster({ ...SMALL_CLUSTER, zones: ['east'] });
  // More than the guarantee of its team: it may be stopped for others.
  for (let i = 0; i < 4; i += 1) cluster.addWorker('small', 'east');
  await cluster.start();
  await cluster.submit(0, 'req-low', { ...GANG, tasks: 7, priority: 'best_effort', runMs: 60_000 });
  await until(cluster, 'it runs', () => isRunning(cluster, 'req-low', 7));
  await cluster.step(6000);
  await cluster.submit(0, 'req-high', { ...GANG, team: 'blue', tasks: 4, priority: 'urgent' });
  await until(cluster, 'the urgent one runs', () => isRunning(cluster, 'req-high', 4), 20);
  assert.ok(
    !placements(cluster, 'req-low').some((p) => p.status === 'running'),
    'none of the other runs alone',
  );
  assert.ok((cluster.gangCoordinator.savedProgressMs.get('req-low') ?? 0) > 6000, 'its work was saved');
  await untilDone(cluster, 'req-low');
});
