/**
 * User requests that coincide with a fault or with each other. Each test triggers the coincidence by an event (a
 * transaction is applied, a cancellation is confirmed, a task ends), and the invariants are checked throughout.
 */
import assert from 'node:assert/strict';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';

import { seededRandom, type Random } from '../../src/model/random.js';
import { startHttpServer } from '../../src/http/server.js';
import { silentLog } from '../../src/logging/log.js';
import { StoreCache } from '../../src/store/cache.js';
import type { Address, Revision, StoreKey, SteadyMs } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';
import type { TransactionBody } from '../support/fake-store.js';
import { SimulatedUsers, type UserAnswer } from '../support/simulated-users.js';
import {
  SMALL_CLUSTER,
  SimulatedCluster,
  type JobOptions,
  type ClusterConfig,
} from '../support/simulated-cluster.js';

const NODES = [0, 1, 2];
/** Seconds within which a task that was launched just before its job's cancellation may still start. */
const IN_FLIGHT_S = 1.5;
/** Time of the simulated clock at the start of a trace, whose lines count from 0. */
const CLOCK_START_MS = 1_000_000;
/** Delays after an event at which all nodes are polled. */
const BURST_DELAYS_MS = [0, 1, 2, 5, 10, 20, 50];

async function startCluster(
  ...zones: string[]
): Promise<{ cluster: SimulatedCluster; users: SimulatedUsers }> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return { cluster, users: new SimulatedUsers(cluster) };
}

const changesOf = (body: TransactionBody): NonNullable<TransactionBody['apply']> => body.apply ?? [];
const putsUnder = (body: TransactionBody, prefix: string): boolean =>
  changesOf(body).some((change) => change.put?.startsWith(prefix));

/** Returns the job that a transaction accepts or ends, or null for other transactions. */
function acceptedOrEndedJob(body: TransactionBody): string | null {
  if (!isCreation(body) && !isEnd(body)) return null;
  const entry = changesOf(body).find((change) => /^(c\/live|over)\//.test(change.put ?? ''));
  return entry?.put?.split('/').at(-1) ?? null;
}

const isCreation = (body: TransactionBody): boolean =>
  putsUnder(body, 'c/live/') && body.when.some((condition) => condition.path.startsWith('over/'));
const isEnd = (body: TransactionBody): boolean =>
  changesOf(body).some((change) => change.put?.startsWith('over/'));
type TransactionKind =
  | 'submission'
  | 'cancellation'
  | 'completion'
  | 'progress or overflow'
  | 'token claim'
  | 'quota transfer'
  | 'other';

function classify(body: TransactionBody): TransactionKind {
  if (isCreation(body)) return 'submission';
  if (isCancellation(body)) return 'cancellation';
  if (isEnd(body)) return 'completion';
  if (putsUnder(body, 'c/live/')) return 'progress or overflow';
  if (putsUnder(body, 'c/token')) return 'token claim';
  return putsUnder(body, 'c/quota/') ? 'quota transfer' : 'other';
}

const INJECTED_KINDS: readonly TransactionKind[] = [
  'submission',
  'cancellation',
  'completion',
  'progress or overflow',
  'token claim',
  'quota transfer',
];

const isCancellation = (body: TransactionBody): boolean =>
  isEnd(body) && JSON.stringify(body).includes('cancelled');

/**
 * Polls every unfinished job each second, at one node after the other, until all are final or the time is up. Then
 * polls and resubmits every job at all nodes, whose answers must agree.
 */
async function pollUntilFinal(
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
async function waitForAnswer(cluster: SimulatedCluster, answer: Promise<UserAnswer>): Promise<UserAnswer> {
  let received: UserAnswer | null = null;
  void answer.then((a) => (received = a));
  for (let i = 0; i < 800 && received === null; i += 1) await cluster.step(10);
  return received ?? { status: 0, state: '' };
}

const assertNoViolations = (cluster: SimulatedCluster): void =>
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
function startsAfterCancellation(cluster: SimulatedCluster, users: SimulatedUsers): string[] {
  return [...cluster.jobs.keys()].flatMap((id) => {
    const cancelledAt = users.cancelledAt(id);
    if (cancelledAt === null) return [];
    const cancelledAtS = (cancelledAt - CLOCK_START_MS) / 1000;
    return cluster.traceLines.filter(
      (line) => Number(line.slice(0, 6)) > cancelledAtS + IN_FLIGHT_S && line.includes(` runs ${id}/`),
    );
  });
}

const storeKey = (text: string): StoreKey => text as StoreKey;
const revision = (n: number): Revision => n as Revision;
const steadyMs = (ms: number): SteadyMs => ms as SteadyMs;

test('a write or a read that is answered late does not restore a key that the watch has deleted', () => {
  const storeCache = new StoreCache(() => undefined);
  const job = storeKey('c/live/req-1');
  storeCache.loadSnapshot([{ key: job, value: 'accepted', version: revision(3) }], revision(3), steadyMs(0));
  // The watch delivers our write and the end of the job before the write is answered.
  storeCache.applyEvents(
    [
      { key: job, value: 'progress', version: revision(4) },
      { key: job, value: undefined, version: revision(5) },
    ],
    revision(5),
    steadyMs(10),
  );
  storeCache.apply(job, 'progress', revision(4));
  assert.equal(storeCache.get(job), undefined);
  storeCache.apply(job, 'accepted', revision(3));
  assert.equal(storeCache.get(job), undefined);
  // A revision that the watch has not reached yet is stored.
  storeCache.apply(storeKey('c/live/req-2'), 'accepted', revision(6));
  assert.equal(storeCache.version(storeKey('c/live/req-2')), 6);
});

test('progress is written at once and acknowledged late while another controller cancels the job', async () => {
  for (const delay of [50, 200, 600, 1200]) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    let cancelled = false;
    cluster.store.answerDelayMs = (_, call) =>
      JSON.stringify(call.body ?? '').includes('"done":[[') ? delay : 0;
    // Progress is stored, and its writer does not know yet: a user cancels at another node.
    cluster.store.onTransactionApplied = (body) => {
      if (cancelled || !putsUnder(body, 'c/live/') || isCreation(body)) return;
      cancelled = true;
      cluster.clock.after(5, () => void users.cancel(1, 'req-1'));
    };
    void users.submit(0, 'req-1', { tasks: 8, cpus: 4, runMs: 3000, zone: 'east' });
    await cluster.step(12_000);
    assert.ok(cancelled, 'progress was written');
    await pollUntilFinal(cluster, users, ['req-1'], 5);
    await cluster.step(40_000);
    assertNoViolations(cluster);
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
    assert.equal(users.finalStateOf('req-1'), 'cancelled');
  }
});

test('a cancellation that reads the record while the last task ends does not cancel a done job', async () => {
  // The read is answered 800 ms late; the run times move the end of the task across that window.
  for (let runMs = 1000; runMs <= 4600; runMs += 150) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { runMs, zone: 'east' }));
    // The first attempt is lost, so that the second one reads the record first.
    let attempts = 0;
    cluster.store.transactionFate = (node, body) => {
      if (node !== 'n1' || !isCancellation(body)) return 'normal';
      attempts += 1;
      return attempts === 1 ? { holdMs: 1e9 } : 'normal';
    };
    cluster.store.answerDelayMs = (node, call) =>
      node === 'n1' && call.path.startsWith('/kv/c/live') ? 800 : 0;
    void users.cancel(1, 'req-1');
    for (let i = 0; i < 60; i += 1) {
      for (const node of NODES) void users.poll(node, 'req-1');
      await cluster.step(100);
    }
    await pollUntilFinal(cluster, users, ['req-1'], 5);
    assertNoViolations(cluster);
    assert.notEqual(users.finalStateOf('req-1'), null);
  }
});

interface UserLoad {
  readonly jobs: number;
  /** Average interval between two submissions. */
  readonly intervalMs: number;
  readonly cancelledPercent: number;
  readonly options: (random: Random, index: number) => JobOptions;
}

/** Repeats a request each second until it is answered, as the protocol asks of users, at the next node each time. */
async function retryUntilAnswered(
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
async function runUserLoad(
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

test('all nodes are polled repeatedly right after a job is accepted, cancelled or ended', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    // With even seeds the store answers one controller up to 400 ms late.
    const slowNode = `n${seed % 3}`;
    cluster.store.answerDelayMs = (node) => (seed % 2 === 0 && node === slowNode ? random(400) : 0);
    cluster.store.onTransactionApplied = (body) => {
      const id = acceptedOrEndedJob(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST_DELAYS_MS);
    };
    const options = (): JobOptions => ({ tasks: 1 + random(2), cpus: 1, runMs: 300 + random(2000) });
    const ids = await runUserLoad(cluster, users, random, {
      jobs: 16,
      intervalMs: 250,
      cancelledPercent: 40,
      options,
    });
    await pollUntilFinal(cluster, users, ids, 30);
    assertNoViolations(cluster);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is final`);
  }
});

test('a submission is answered only after its repetition was accepted and cancelled at another node', async () => {
  for (const delay of [400, 700, 1400]) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    cluster.store.answerDelayMs = (node, call) => (node === 'n0' && call.path === '/txn' ? delay : 0);
    let repeated = false;
    cluster.store.onTransactionApplied = (body) => {
      if (repeated || !isCreation(body)) return;
      repeated = true;
      void users.submit(1, 'req-1').then(() => users.cancel(1, 'req-1'));
    };
    const lateAnswer = await waitForAnswer(cluster, users.submit(0, 'req-1', { runMs: 60_000 }));
    assert.deepEqual(lateAnswer, { status: 200, state: 'cancelled' });
    await pollUntilFinal(cluster, users, ['req-1'], 5);
    assertNoViolations(cluster);
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
  }
});

/** Fails if the fault was not injected into every kind of transaction: the test shows nothing about missing kinds. */
function assertEveryKindOccurred(faultsByKind: ReadonlyMap<TransactionKind, number>): void {
  const missingKinds = INJECTED_KINDS.filter((kind) => (faultsByKind.get(kind) ?? 0) === 0);
  assert.deepEqual(missingKinds, [], 'kinds of transactions without an injected fault');
}

/**
 * Runs load on all shards at once, so that quota moves and tasks overflow, then kills and restarts a controller.
 * `endFault` is called before the last 12 s. Returns the submitted jobs.
 */
async function workDuringFailover(
  cluster: SimulatedCluster,
  users: SimulatedUsers,
  random: Random,
  endFault: () => void,
): Promise<string[]> {
  const options = (): JobOptions => ({
    tasks: 1 + random(6),
    runMs: 500 + random(4000),
    zone: [null, 'east', 'west'][random(3)] ?? null,
    team: ['red', 'red', 'red', 'blue'][random(4)] ?? 'red',
  });
  const stoppedNode = random(3);
  const ids = await runUserLoad(cluster, users, random, {
    jobs: 12,
    intervalMs: 250,
    cancelledPercent: 40,
    options,
  });
  cluster.killNode(stoppedNode);
  await cluster.step(2000 + random(4000));
  await cluster.startNode(stoppedNode);
  await cluster.step(8000);
  endFault();
  await cluster.step(12_000);
  return ids;
}

test('a transaction is applied at once and its answer is lost, while all nodes read its writes', async () => {
  const faultsByKind = new Map<TransactionKind, number>();
  for (let seed = 1; seed <= 6; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east', 'west', 'east');
    const random = seededRandom(seed);
    cluster.store.transactionFate = (_, body) => {
      if (changesOf(body).length === 0 || random(100) >= 50) return 'normal';
      faultsByKind.set(classify(body), (faultsByKind.get(classify(body)) ?? 0) + 1);
      return 'lose-answer';
    };
    cluster.store.onTransactionApplied = (body) => {
      const id = acceptedOrEndedJob(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, [...BURST_DELAYS_MS, 200, 700, 1490, 1510, 1600]);
    };
    const ids = await workDuringFailover(
      cluster,
      users,
      random,
      () => (cluster.store.transactionFate = () => 'normal'),
    );
    await pollUntilFinal(cluster, users, ids, 60);
    assertNoViolations(cluster);
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is final (seed ${seed})`);
  }
  assertEveryKindOccurred(faultsByKind);
});

test('unanswered transactions are applied 2 to 12 s late, after newer ones', async () => {
  const faultsByKind = new Map<TransactionKind, number>();
  for (let seed = 1; seed <= 8; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east', 'west', 'east');
    const random = seededRandom(seed);
    cluster.store.transactionFate = (_, body) => {
      if (changesOf(body).length === 0 || random(100) >= 30) return 'normal';
      faultsByKind.set(classify(body), (faultsByKind.get(classify(body)) ?? 0) + 1);
      return { holdMs: 2000 + random(10_000) };
    };
    cluster.store.onTransactionApplied = (body) => {
      const id = acceptedOrEndedJob(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST_DELAYS_MS);
    };
    const ids = await workDuringFailover(
      cluster,
      users,
      random,
      () => (cluster.store.transactionFate = () => 'normal'),
    );
    await pollUntilFinal(cluster, users, ids, 60);
    assertNoViolations(cluster);
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is final (seed ${seed})`);
  }
  assertEveryKindOccurred(faultsByKind);
});

/** Delays the first transaction of a kind; later ones pass. */
function delayFirst(cluster: SimulatedCluster, kind: TransactionKind, delayMs: number): void {
  let isDelayed = false;
  cluster.store.transactionFate = (_, body) => {
    if (isDelayed || classify(body) !== kind) return 'normal';
    isDelayed = true;
    return { holdMs: delayMs };
  };
}

test('a submission, cancellation or completion that is applied late finds its job ended and changes nothing', async () => {
  for (const kind of ['submission', 'cancellation', 'completion'] as const) {
    for (let delayMs = 2000; delayMs <= 12_000; delayMs += 2500) {
      const { cluster, users } = await startCluster('east', 'west', 'east');
      await cluster.step(500);
      delayFirst(cluster, kind, delayMs);
      const submitted = retryUntilAnswered(cluster, 0, (node) => users.submit(node, 'req-1', { runMs: 400 }));
      await waitForAnswer(cluster, submitted);
      if (kind !== 'submission')
        await waitForAnswer(
          cluster,
          retryUntilAnswered(cluster, 1, (n) => users.cancel(n, 'req-1')),
        );
      await pollUntilFinal(cluster, users, ['req-1'], 10);
      await cluster.step(14_000);
      await pollUntilFinal(cluster, users, ['req-1'], 5);
      assertNoViolations(cluster);
      assert.notEqual(users.finalStateOf('req-1'), null);
      assert.equal(
        cluster.traceLines.filter((l) => l.includes(' runs req-1/0')).length <= 1,
        true,
        'runs once',
      );
    }
  }
});

test('a cancellation, polls and a repeated submission coincide with the end of the last task, at offsets 5 ms apart', async () => {
  const { cluster, users } = await startCluster('east', 'west', 'east', 'west');
  const runMs = 1000;
  const ids: string[] = [];
  const trace = cluster.trace.bind(cluster);
  cluster.trace = (line) => {
    trace(line);
    const started = / runs (req-(\d+))\/0$/.exec(line);
    if (!started) return;
    const [, id = '', number] = started;
    const offset = -100 + 5 * Number(number);
    cluster.clock.after(runMs + offset, () => {
      const node = Number(number) % NODES.length;
      void retryUntilAnswered(cluster, node, (n) => users.cancel(n, id));
      users.pollAndResubmitEverywhere(id, [0, 5, 50, 300]);
    });
  };
  for (let i = 0; i <= 160; i += 1) {
    ids.push(`req-${i}`);
    void retryUntilAnswered(cluster, i % 3, (node) => users.submit(node, `req-${i}`, { cpus: 1, runMs }));
    await cluster.step(300);
  }
  await pollUntilFinal(cluster, users, ids, 20);
  assertNoViolations(cluster);
  const finals = ids.map((id) => users.finalStateOf(id));
  const count = (state: string): number => finals.filter((f) => f === state).length;
  assert.equal(count('done') + count('cancelled'), ids.length, 'every job is final');
  assert.ok(count('done') >= 10 && count('cancelled') >= 10, 'the offsets span the end of the task');
});

test('an unanswered overflow write keeps its tasks from starting in their old shard, since it may be applied late', async () => {
  for (let delayMs = 3000; delayMs <= 9000; delayMs += 1500) {
    const { cluster, users } = await startCluster('east', 'west');
    const fullZone = { tasks: 4, team: 'blue' };
    await waitForAnswer(cluster, users.submit(0, 'req-1', { ...fullZone, zone: 'east', runMs: 4500 }));
    await waitForAnswer(cluster, users.submit(1, 'req-2', { ...fullZone, zone: 'west', runMs: 2500 }));
    await cluster.step(1000);
    // Accepted while no shard has capacity; capacity becomes free in the west first, and then in the east.
    await waitForAnswer(cluster, users.submit(0, 'req-3', { runMs: 15_000 }));
    let held = 0;
    cluster.store.transactionFate = (_, body) => {
      if (classify(body) !== 'progress or overflow' || !JSON.stringify(body).includes('req-3'))
        return 'normal';
      held += 1;
      return { holdMs: delayMs };
    };
    await pollUntilFinal(cluster, users, ['req-1', 'req-2', 'req-3'], 40);
    assert.ok(held > 0, 'the overflow was written');
    assertNoViolations(cluster);
    assert.equal(cluster.traceLines.filter((l) => l.includes(' runs req-3/0')).length, 1);
  }
});

/** The small cluster with enforced limits of the state service. */
const RATE_LIMITED_CLUSTER: ClusterConfig = {
  ...SMALL_CLUSTER,
  storeLimits: { ...SMALL_CLUSTER.storeLimits, enforced: true },
};

test('four one-task jobs a second for two minutes, a quarter of them cancelled, stay within the limits', async () => {
  const cluster = new SimulatedCluster(RATE_LIMITED_CLUSTER);
  for (let i = 0; i < 9; i += 1) cluster.addWorker('large', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  const users = new SimulatedUsers(cluster);
  const random = seededRandom(7);
  cluster.store.onTransactionApplied = (body) => {
    const id = acceptedOrEndedJob(body);
    if (id !== null && isEnd(body)) users.pollAndResubmitEverywhere(id, [0, 20]);
  };
  // The teams are near their limits, and at times beyond them.
  const options = (): JobOptions => ({
    cpus: 4,
    runMs: 1000 + random(3000),
    team: random(2) === 0 ? 'red' : 'blue',
  });
  const changesBefore = cluster.store.changes.total;
  const ids = await runUserLoad(cluster, users, random, {
    jobs: 480,
    intervalMs: 240,
    cancelledPercent: 25,
    options,
  });
  const changesPerJob = (cluster.store.changes.total - changesBefore) / ids.length;
  await pollUntilFinal(cluster, users, ids, 60);
  assertNoViolations(cluster);
  const finalJobs = ids.filter((id) => users.finalStateOf(id) !== null).length;
  assert.equal(finalJobs, ids.length, 'all jobs are final');
  assert.deepEqual(startsAfterCancellation(cluster, users), []);
  // One change for the acceptance, two for the end, and some for the rest.
  assert.ok(changesPerJob < 4.5, `${changesPerJob} changes a job`);
  assert.equal(cluster.store.observed.rateLimited, 0, 'no request beyond the limits');
});

test('the state service answers after up to a second while users cancel and poll', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    // Seeds 3 and 7 slow all controllers, the others one of them.
    const slow = (node: string): boolean => seed % 4 === 3 || node === `n${seed % 4}`;
    cluster.store.answerDelayMs = (node) => (slow(node) ? 300 + random(700) : 0);
    cluster.store.onTransactionApplied = (body) => {
      const id = acceptedOrEndedJob(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST_DELAYS_MS);
    };
    const options = (): JobOptions => ({ tasks: 1 + random(3), cpus: 1, runMs: 500 + random(4000) });
    const ids = await runUserLoad(cluster, users, random, {
      jobs: 12,
      intervalMs: 500,
      cancelledPercent: 50,
      options,
    });
    await pollUntilFinal(cluster, users, ids, 60);
    assertNoViolations(cluster);
    // Watches are answered late as well; the notice from the peer that confirmed the cancellation is not late.
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is final (seed ${seed})`);
  }
});

test('the store refuses the leader alone, then all nodes for longer than cancel_s, while users cancel and poll', async () => {
  // Milliseconds from the confirmed cancellation, at another node, to the outage.
  for (const outageDelayMs of [0, 100, 500, 1500, 3000]) {
    for (let phaseMs = 0; phaseMs < SMALL_CLUSTER.heartbeatIntervalS * 1000; phaseMs += 500) {
      const { cluster, users } = await startCluster('east', 'west', 'east');
      await waitForAnswer(cluster, users.submit(0, 'req-1', { tasks: 4, service: true, zone: 'east' }));
      await cluster.step(2000 + phaseMs);
      cluster.store.refusedNodes.add('n0');
      await waitForAnswer(
        cluster,
        retryUntilAnswered(cluster, 1, () => users.cancel(1, 'req-1')),
      );
      await cluster.step(outageDelayMs);
      cluster.store.outage = true;
      for (let second = 0; second < SMALL_CLUSTER.cancelS + 10; second += 1) {
        for (const node of NODES) void users.poll(node, 'req-1');
        void users.submit(second % 3, 'req-1');
        void users.cancel((second + 1) % 3, 'req-1');
        await cluster.step(1000);
      }
      assertNoViolations(cluster);
      cluster.store.refusedNodes.clear();
      cluster.store.endOutage();
      await pollUntilFinal(cluster, users, ['req-1'], 5);
      await cluster.step(10_000);
      assertNoViolations(cluster);
      assert.equal(users.finalStateOf('req-1'), 'cancelled');
    }
  }
});

/** Returns bodies that are refused for a new job and must not affect an existing one. */
const malformedBodies = (body: Record<string, unknown>): Record<string, unknown>[] => {
  const { crew, ...withoutTeam } = body;
  return [
    withoutTeam,
    { ...body, crew: `no ${String(crew)}` },
    { ...body, legs: 0 },
    { ...body, vcpus: 7000 },
    { ...body, memoryGb: 1000 },
    { ...body, hulls: ['no such type'] },
    { ...body, rank: 'highest' },
    { ...body, hulls: Array.from({ length: 60 }, (_, i) => `${'x'.repeat(150)}${i}`) },
  ];
};

test('malformed repeated submissions never affect an existing job, and impossible jobs are refused with a message, also during a failover', async () => {
  for (let seed = 1; seed <= 3; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { service: true, tasks: 2 }));
    await waitForAnswer(cluster, users.submit(1, 'req-2', { tasks: 2, runMs: 20_000 }));
    await waitForAnswer(cluster, users.submit(2, 'req-3', { runMs: 300 }));
    await waitForAnswer(cluster, users.submit(0, 'req-4', { runMs: 60_000 }));
    await waitForAnswer(cluster, users.cancel(1, 'req-4'));
    await cluster.step(3000);
    await waitForAnswer(cluster, users.poll(0, 'req-3'));
    assert.equal(users.finalStateOf('req-3'), 'done');
    const existing = ['req-1', 'req-2', 'req-3', 'req-4'];
    const refusedIds: string[] = [];
    const validBody = cluster.submissionBody('req-plain');
    const statuses = new Set<number>();
    for (let round = 0; round < 100; round += 1) {
      if (round === 10) cluster.killNode(seed % 3);
      if (round === 40 + random(20)) await cluster.startNode(seed % 3);
      if (round === 70) await cluster.startNode(seed % 3);
      const id = existing[random(4)] ?? '';
      for (const body of malformedBodies({ ...validBody, uid: id }))
        void users.submitBody(random(3), id, body);
      void users.cancel(random(3), random(2) === 0 ? 'req-3' : 'req-4');
      const newId = `req-odd-${round}`;
      refusedIds.push(newId);
      const malformed = malformedBodies({ ...validBody, uid: newId })[random(7)];
      const answer = cluster.request(random(3), 'POST', '/v2/runs', malformed);
      void answer.then((response) => {
        statuses.add(response?.status ?? 0);
        const text = (response?.body as { error?: string } | undefined)?.error;
        if (response && !text)
          cluster.violations.push(`${newId} answered ${response.status} without an error text`);
      });
      await cluster.step(200);
    }
    await cluster.step(5000);
    for (const id of refusedIds) {
      const answer = await waitForAnswer(cluster, users.poll(random(3), id));
      assert.equal(answer.status, 404, `${id} was never accepted`);
    }
    await pollUntilFinal(cluster, users, ['req-2'], 30);
    assertNoViolations(cluster);
    assert.ok([400, 422].every((status) => statuses.has(status)));
    assert.ok([...statuses].every((status) => [0, 400, 422, 503].includes(status)));
    assert.equal(users.finalStateOf('req-2'), 'done');
    assert.equal(cluster.traceLines.filter((l) => l.includes('runs req-odd')).length, 0);
  }
});

/** Sends bytes, optionally ends the stream, and resolves with all that arrives until the connection is closed. */
function exchange(sockets: Socket[], port: number, bytes: string, endsStream: boolean): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    if (endsStream) socket.end(bytes);
    else socket.write(bytes);
  });
}

test('malformed, oversized and incomplete requests during a failover are answered or closed, and no job is lost', async () => {
  const { cluster, users } = await startCluster('east', 'west', 'east');
  const options = {
    maxConnections: 100,
    receiveTimeout: millis(300),
    idleTimeout: millis(300),
    responseTimeout: millis(2000),
  };
  const servers = await Promise.all(
    NODES.map((node) =>
      startHttpServer(
        '127.0.0.1:0' as Address,
        (request) => {
          const handler = cluster.nodes[node]?.handler;
          return handler ? handler(request) : { status: 503, body: { error: 'not running' } };
        },
        options,
        silentLog(),
      ),
    ),
  );
  const sockets: Socket[] = [];
  try {
    const ports = servers.map((server) => (server.address() as AddressInfo).port);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { tasks: 2, runMs: 12_000 }));
    await cluster.step(1000);
    const body = JSON.stringify(cluster.submissionBody('req-1', { tasks: 2, runMs: 12_000 }));
    const head = (length: number): string =>
      `POST /v2/runs HTTP/1.1\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n`;
    const cases: [string, boolean][] = [
      ['\x16\x03\x01 not HTTP at all\r\n\r\n', false],
      [`GET /v2/runs/${'x'.repeat(100_000)} HTTP/1.1\r\n\r\n`, false],
      [head(10_000_000), false],
      [head(20) + '{"uid":"req-1","lane"', false],
      [head(body.length) + body.slice(0, 100), false],
      [head(body.length) + body.slice(0, 100), true],
      [head(body.length) + body, false],
    ];
    cluster.killNode(0);
    const exchanges: Promise<string>[] = [];
    let openConnections = 0;
    for (let round = 0; round < 6; round += 1) {
      for (const port of ports)
        for (const [bytes, endsStream] of cases) {
          openConnections += 1;
          exchanges.push(exchange(sockets, port, bytes, endsStream).finally(() => (openConnections -= 1)));
        }
      if (round === 3) await cluster.startNode(0);
      for (let i = 0; i < 400 && openConnections > 0; i += 1) {
        await cluster.step(5);
        await new Promise((resolve) => setTimeout(resolve, 2));
      }
      assert.equal(openConnections, 0, 'every connection is answered or closed');
    }
    for (const text of await Promise.all(exchanges))
      assert.match(text, /^$|^HTTP\/1\.1 (200|4\d\d|503) /, 'an answer with one of these statuses, or none');
    await pollUntilFinal(cluster, users, ['req-1'], 60);
    assertNoViolations(cluster);
    assert.equal(users.finalStateOf('req-1'), 'done');
  } finally {
    for (const socket of sockets) socket.destroy();
    for (const server of servers) server.close();
  }
});

test('after all controllers restart in an outage every job is known within 75 s, while hundreds of users poll at once', async () => {
  const cluster = new SimulatedCluster(RATE_LIMITED_CLUSTER);
  for (let i = 0; i < 6; i += 1) cluster.addWorker('large', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  const users = new SimulatedUsers(cluster);
  const random = seededRandom(3);
  const options = (): JobOptions => ({ cpus: 1, runMs: 300 + random(3) * 40_000 });
  const ids = await runUserLoad(cluster, users, random, {
    jobs: 120,
    intervalMs: 250,
    cancelledPercent: 30,
    options,
  });
  await cluster.step(5000);
  for (const node of NODES) cluster.killNode(node);
  cluster.store.outage = true;
  await cluster.start();
  await cluster.step(40_000);
  cluster.store.endOutage();
  const outageEndedAt = cluster.clock.now();
  const knownAfter = new Map<string, number>();
  for (let tick = 0; tick < 300 && knownAfter.size < ids.length; tick += 1) {
    // All users poll at the same moment, every 5 s; others poll jobs that nobody submitted.
    if (tick % 20 === 0)
      for (const [index, id] of ids.entries()) {
        const polledAt = cluster.clock.now();
        void users.poll((index + tick / 20) % 3, id).then((answer) => {
          const now = cluster.clock.now();
          if (answer.status === 200 && now - polledAt <= 2000 && !knownAfter.has(id))
            knownAfter.set(id, now - outageEndedAt);
        });
        for (const node of NODES) void users.poll(node, `req-nobody-${tick}-${index}`);
      }
    await cluster.step(250);
  }
  assertNoViolations(cluster);
  assert.equal(knownAfter.size, ids.length, `known: ${knownAfter.size} of ${ids.length} jobs`);
});
