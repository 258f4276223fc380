/** A simulated cluster with users who submit, poll and cancel jobs, and the checks of what they are told. */
import assert from 'node:assert/strict';
import type { Random } from '../../src/model/random.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig, type JobOptions } from './simulated-cluster.js';
import { SimulatedUsers, type UserAnswer } from './simulated-users.js';

export const NODES = [0, 1, 2];
/** Seconds within which a task that was launched just before its job's cancellation may still start. */
const IN_FLIGHT_S = 1.5;
/** Time of the simulated clock at the start of a trace, whose lines count from 0. */
const CLOCK_START_MS = 1_000_000;

/** Delays after an event at which all nodes are polled. */
export const BURST_DELAYS_MS = [0, 1, 2, 5, 10, 20, 50];

/** The small cluster with enforced limits of the state service. */
export const RATE_LIMITED_CLUSTER: ClusterConfig = {
  ...SMALL_CLUSTER,
  storeLimits: { ...SMALL_CLUSTER.storeLimits, enforced: true },
};

export async function startCluster(
  ...zones: string[]
): Promise<{ cluster: SimulatedCluster; users: SimulatedUsers }> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return { cluster, users: new SimulatedUsers(cluster) };
}

/**
 * Polls every unfinished job each second, at one node after the other, until all are final or the time is up. Then
 * polls and resubmits every job at all nodes, whose answers must agree.
 */
export async function pollUntilFinal(
  cluster: SimulatedCluster,
  users: SimulatedUsers,
  ids: readonly string[],
  timeoutS: number,
): Promise<void> {
  for (let second = 0; second < timeoutS; second += 1) {
    const unfinished = ids.filter((id) => users.finalStateOf(id) === null);
    if (unfinished.length === 0) break;
    for (const id of unfinished) void users.poll(second % NODES.length, id);
    await cluster.step(1000);
  }
  for (const id of ids) {
    users.pollAndResubmitEverywhere(id, [0]);
    await cluster.step(300);
  }
  await cluster.step(3000);
}

/** Steps the cluster until an answer has come, for at most 8 s. Returns status 0 if none has. */
export async function waitForAnswer(
  cluster: SimulatedCluster,
  answer: Promise<UserAnswer>,
): Promise<UserAnswer> {
  const received: { answer: UserAnswer | null } = { answer: null };
  void answer.then((userAnswer) => (received.answer = userAnswer));
  for (let i = 0; i < 800 && received.answer === null; i += 1) await cluster.step(10);
  return received.answer ?? { status: 0, state: '' };
}

export const assertNoViolations = (cluster: SimulatedCluster): void =>
  assert.deepEqual(
    cluster.violations,
    [],
    `invariant violations:\n${cluster.traceLines.slice(-60).join('\n')}`,
  );

/**
 * Returns the starts of cancelled jobs' tasks after their user was told of the cancellation, except for launches in
 * flight: the shard leader learns of the cancellation from its watch or from the peer that confirmed it, and a task
 * starts once its image is fetched.
 */
export function startsAfterCancellation(cluster: SimulatedCluster, users: SimulatedUsers): string[] {
  return [...cluster.jobs.keys()].flatMap((id) => {
    const cancelledAt = users.cancelledAt(id);
    if (cancelledAt === null) return [];
    const cancelledAtS = (cancelledAt - CLOCK_START_MS) / 1000;
    return cluster.traceLines.filter(
      (line) => Number(line.slice(0, 6)) > cancelledAtS + IN_FLIGHT_S && line.includes(` runs ${id}/`),
    );
  });
}

export interface UserLoad {
  readonly jobs: number;
  /** Average interval between two submissions. */
  readonly intervalMs: number;
  readonly cancelledPercent: number;
  readonly options: (random: Random, index: number) => JobOptions;
}

/** Repeats a request each second until it is answered, as the protocol asks of users, at the next node each time. */
export async function retryUntilAnswered(
  cluster: SimulatedCluster,
  firstNode: number,
  sendTo: (node: number) => Promise<UserAnswer>,
): Promise<UserAnswer> {
  for (let attempt = 0; ; attempt += 1) {
    const answer = await sendTo((firstNode + attempt) % NODES.length);
    if (answer.status > 0 && answer.status < 429) return answer;
    if (attempt > 60) return answer;
    await cluster.clock.sleep(1000);
  }
}

/** Submits jobs and cancels some: a third of these at once, a third within 1 s, and the rest after 1 to 5 s. */
export async function runUserLoad(
  cluster: SimulatedCluster,
  users: SimulatedUsers,
  random: Random,
  load: UserLoad,
): Promise<string[]> {
  const ids: string[] = [];
  for (let index = 0; index < load.jobs; index += 1) {
    const id = `req-${index}`;
    ids.push(id);
    const options = load.options(random, index);
    const accepted = retryUntilAnswered(cluster, random(3), (node) => users.submit(node, id, options));
    if (random(100) < load.cancelledPercent) {
      const delay = [0, random(1000), 1000 + random(4000)][random(3)] ?? 0;
      const cancel = (): Promise<UserAnswer> =>
        retryUntilAnswered(cluster, random(3), (node) => users.cancel(node, id));
      void accepted.then(() => cluster.clock.after(delay, () => void cancel()));
    }
    await cluster.step(10 + random(2 * load.intervalMs));
  }
  return ids;
}
