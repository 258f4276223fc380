/** A late copy of an answered launch must start nothing, whatever has become of its task in the meantime. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call } from '../../src/http/client.js';
import type { WorkerCommand } from '../support/fake-worker.js';
import { startCluster, type FaultInjectionCluster } from '../support/fault-injection-cluster.js';
import type { JobOptions } from '../support/simulated-cluster.js';

interface AnsweredCall {
  readonly machine: string;
  readonly call: Call;
}

const JOB = 'req-1';
const EAST_MACHINES = 4;
const WEST_MACHINES = 2;
/** Longer than a task fetches its image, so that a task that a copy starts is seen to run. */
const START_TIME_MS = 1500;
/** The heartbeats after the end of a task have been answered by then. */
const SETTLING_TIME_MS = 6000;

async function recordCalls(): Promise<{ cluster: FaultInjectionCluster; calls: AnsweredCall[] }> {
  const cluster = await startCluster(EAST_MACHINES, WEST_MACHINES);
  const calls: AnsweredCall[] = [];
  cluster.commandDelayMs = (_, machine, call) => {
    if (call.path === '/orders') calls.push({ machine, call });
    return null;
  };
  return { cluster, calls };
}

function countStarts(cluster: FaultInjectionCluster): number {
  return cluster.traceLines.filter((line) => line.includes(` ${JOB}/`) && / (runs|gathers) /.test(line))
    .length;
}

/** Delivers a copy of each call, the newest first; fails if a task of the job starts or ends, or a rule of the protocol is violated. */
async function assertCopiesStartNothing(
  cluster: FaultInjectionCluster,
  calls: readonly AnsweredCall[],
): Promise<void> {
  assert.ok(calls.some(({ call }) => JSON.stringify(call.body).includes('"launch"')));
  const startsBefore = countStarts(cluster);
  const runningBefore = cluster.countRunningTasks(JOB);
  for (const { machine, call } of [...calls].reverse()) cluster.worker(machine).receive(call);
  await cluster.step(START_TIME_MS);
  assert.equal(countStarts(cluster), startsBefore, cluster.traceLines.join('\n'));
  assert.equal(cluster.countRunningTasks(JOB), runningBefore, cluster.traceLines.join('\n'));
  cluster.assertNoViolations('after the copies');
}

function setFaulty(cluster: FaultInjectionCluster, faulty: boolean): void {
  for (const worker of cluster.workers.values()) worker.faulty = faulty;
}

/** Starts a job whose tasks all fail on their first machines, and waits until they run on others. */
async function runAfterFailure(cluster: FaultInjectionCluster, options: JobOptions): Promise<void> {
  const tasks = options.tasks ?? 1;
  setFaulty(cluster, true);
  await cluster.submit(0, JOB, { runMs: 600_000, ...options });
  const failures = (): number => cluster.traceLines.filter((line) => line.endsWith(': error')).length;
  await cluster.until('each task has failed', () => failures() >= tasks);
  setFaulty(cluster, false);
  await cluster.until('all tasks run', () => cluster.countRunningTasks(JOB) === tasks, 60_000);
  await cluster.step(SETTLING_TIME_MS);
}

const MOVED_JOBS: readonly (readonly [string, JobOptions])[] = [
  ['a task that failed', {}],
  ['a replica of a service', { tasks: 2, service: true }],
  ['a task of a spread job', { tasks: 2, spread: true }],
  ['a task of a job in one zone', { tasks: 2, oneZone: true }],
  ['a gang', { tasks: 2, gang: true }],
];

for (const [name, options] of MOVED_JOBS)
  test(`a repeated launch does not start ${name} that runs on another machine`, async () => {
    const { cluster, calls } = await recordCalls();
    await runAfterFailure(cluster, options);
    await assertCopiesStartNothing(cluster, calls);
  });

test('a repeated launch does not start a task that its leader moved and that ended since', async () => {
  const { cluster, calls } = await recordCalls();
  await cluster.submit(0, JOB, { runMs: 600_000, service: true });
  await cluster.until('the replica runs', () => cluster.countRunningTasks(JOB) === 1);
  const [machine] = cluster.machinesRunning(JOB) as [string];
  cluster.worker(machine).interruptionAt = cluster.clock.now() + 30_000;
  await cluster.until('it has moved', () => !cluster.machinesRunning(JOB).includes(machine), 30_000);
  await cluster.until('it runs again', () => cluster.countRunningTasks(JOB) === 1, 30_000);
  await cluster.step(SETTLING_TIME_MS);
  await assertCopiesStartNothing(cluster, calls);
});

test('repeated commands do not disturb a gang whose lost member was replaced under the same attempt', async () => {
  const { cluster, calls } = await recordCalls();
  const record = cluster.commandDelayMs;
  cluster.commandDelayMs = (node, machine, call) => {
    if (calls.length === 0) cluster.worker(machine).faulty = true;
    return record(node, machine, call);
  };
  await cluster.submit(0, JOB, { tasks: 2, gang: true, runMs: 600_000 });
  await cluster.until('a member has failed', () =>
    cluster.traceLines.some((line) => line.endsWith(': error')),
  );
  setFaulty(cluster, false);
  await cluster.until('the gang runs', () => cluster.countRunningTasks(JOB) === 2, 60_000);
  await cluster.step(SETTLING_TIME_MS);
  assert.equal(launchedAttempts(calls).size, 1, 'one attempt');
  await assertCopiesStartNothing(cluster, calls);
});

function launchedAttempts(calls: readonly AnsweredCall[]): Set<number> {
  const commands = calls.flatMap(({ call }) => (call.body as { orders: readonly WorkerCommand[] }).orders);
  return new Set(commands.filter(({ order }) => order === 'launch').map(({ sailing }) => sailing));
}

test('a repeated launch does not start a cancelled task', async () => {
  const { cluster, calls } = await recordCalls();
  await cluster.submit(0, JOB, { runMs: 600_000 });
  await cluster.until('the task runs', () => cluster.countRunningTasks(JOB) === 1);
  cluster.cancel(JOB, 1);
  await cluster.until('the task is gone', () => cluster.countRunningTasks(JOB) === 0);
  await cluster.step(SETTLING_TIME_MS);
  await assertCopiesStartNothing(cluster, calls);
});

test('a repeated launch does not start a task that is done', async () => {
  const { cluster, calls } = await recordCalls();
  await cluster.submit(0, JOB, { tasks: 2, runMs: 1000 });
  await cluster.until('both tasks have ended', () => countStarts(cluster) === 2 && noneRuns(cluster));
  await cluster.step(SETTLING_TIME_MS);
  await assertCopiesStartNothing(cluster, calls);
});

const noneRuns = (cluster: FaultInjectionCluster): boolean => cluster.countRunningTasks(JOB) === 0;

test('a launch of an ended leader that is repeated before its successor starts nothing', async () => {
  const { cluster, calls } = await recordCalls();
  await runAfterFailure(cluster, {});
  const leaders = cluster.nodes.map((_, node) => node);
  for (const node of leaders) cluster.killNode(node);
  await assertCopiesStartNothing(cluster, calls);
  for (const node of leaders) void cluster.startNode(node);
  await cluster.step(SETTLING_TIME_MS);
  await assertCopiesStartNothing(cluster, calls);
});
