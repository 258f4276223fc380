/**
 * Users' requests that meet another trouble, or each other. Each test brings its meeting about by an event (a
 * transaction is applied, a cancellation is confirmed, a task ends) and is judged by the rules alone.
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
/** A task that was ordered just before its job was cancelled may start so much later, in seconds. */
const IN_FLIGHT_S = 1.5;
/** Milliseconds after an event at which all nodes are asked. */
const BURST = [0, 1, 2, 5, 10, 20, 50];

async function startCluster(...zones: string[]): Promise<{ world: SimulatedCluster; users: SimulatedUsers }> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return { world: cluster, users: new SimulatedUsers(cluster) };
}

const changes = (body: TransactionBody): NonNullable<TransactionBody['apply']> => body.apply ?? [];
const putsUnder = (body: TransactionBody, prefix: string): boolean =>
  changes(body).some((load) => load.put?.startsWith(prefix));

/** The job that a transaction accepts or ends. */
function jobOf(body: TransactionBody): string | null {
  if (!isCreation(body) && !isEnd(body)) return null;
  const entry = changes(body).find((load) => /^(c\/live|over)\//.test(load.put ?? ''));
  return entry?.put?.split('/').at(-1) ?? null;
}

const isCreation = (body: TransactionBody): boolean =>
  putsUnder(body, 'c/live/') && body.when.some((load) => load.path.startsWith('over/'));
const isEnd = (body: TransactionBody): boolean => changes(body).some((load) => load.put?.startsWith('over/'));
type Kind = 'submission' | 'cancellation' | 'end' | 'progress or hand-over' | 'claim' | 'share' | 'other';

function kindOf(body: TransactionBody): Kind {
  if (isCreation(body)) return 'submission';
  if (isCancellation(body)) return 'cancellation';
  if (isEnd(body)) return 'end';
  if (putsUnder(body, 'c/live/')) return 'progress or hand-over';
  if (putsUnder(body, 'c/token')) return 'claim';
  return putsUnder(body, 'c/quota/') ? 'share' : 'other';
}

const KINDS: readonly Kind[] = [
  'submission',
  'cancellation',
  'end',
  'progress or hand-over',
  'claim',
  'share',
];

const isCancellation = (body: TransactionBody): boolean =>
  isEnd(body) && JSON.stringify(body).includes('cancelled');

/** Everybody asks about every job until it is over for all, or the time is up. */
async function pollUntilFinal(
  cluster: SimulatedCluster,
  users: SimulatedUsers,
  ids: readonly string[],
  seconds: number,
): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    const open = ids.filter((id) => users.finalStateOf(id) === null);
    if (open.length === 0) break;
    for (const id of open) void users.poll(second % NODES.length, id);
    await cluster.step(1000);
  }
  // Every node says the same of every job.
  for (const id of ids) {
    users.pollAndResubmitEverywhere(id, [0]);
    await cluster.step(300);
  }
  await cluster.step(3000);
}

/** An answer, the clock moving on until it has come. */
async function waitForAnswer(cluster: SimulatedCluster, answer: Promise<UserAnswer>): Promise<UserAnswer> {
  let received: UserAnswer | null = null;
  void answer.then((a) => (received = a));
  for (let i = 0; i < 800 && received === null; i += 1) await cluster.step(10);
  return received ?? { status: 0, state: '' };
}

const assertNoViolations = (cluster: SimulatedCluster): void =>
  assert.deepEqual(cluster.violations, [], `rules broken:\n${cluster.traceLines.slice(-60).join('\n')}`);

/**
 * Starts of a cancelled job's tasks after its user was told so, but for those that were on their way: the owner hears of
 * the cancellation through its watch or from the peer that confirmed it, and a task starts when it has its image.
 */
function startsAfterCancellation(cluster: SimulatedCluster, users: SimulatedUsers): string[] {
  return [...cluster.jobs.keys()].flatMap((id) => {
    const at = users.cancelledAt(id);
    if (at === null) return [];
    const stamp = (at - 1_000_000) / 1000;
    return cluster.traceLines.filter(
      (l) => Number(l.slice(0, 6)) > stamp + IN_FLIGHT_S && l.includes(` runs ${id}/`),
    );
  });
}

const key = (text: string): StoreKey => text as StoreKey;
const revision = (n: number): Revision => n as Revision;
const at = (ms: number): SteadyMs => ms as SteadyMs;

test('a write or a read that is answered late brings nothing back that the watch has shown to be gone', () => {
  const storeCache = new StoreCache(() => undefined);
  const job = key('c/live/req-1');
  storeCache.loadSnapshot([{ key: job, value: 'accepted', version: revision(3) }], revision(3), at(0));
  // The watch shows a write of ours, and that the job is over; the write is answered only then.
  storeCache.applyEvents(
    [
      { key: job, value: 'progress', version: revision(4) },
      { key: job, value: undefined, version: revision(5) },
    ],
    revision(5),
    at(10),
  );
  storeCache.apply(job, 'progress', revision(4));
  assert.equal(storeCache.get(job), undefined);
  storeCache.apply(job, 'accepted', revision(3));
  assert.equal(storeCache.get(job), undefined);
  // What the watch has not reached yet is news.
  storeCache.apply(key('c/live/req-2'), 'accepted', revision(6));
  assert.equal(storeCache.version(key('c/live/req-2')), 6);
});

test('progress is written at once and acknowledged late while another controller cancels the job', async () => {
  for (const delay of [50, 200, 600, 1200]) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    let cancelled = false;
    cluster.store.answerDelayMs = (_, call) =>
      JSON.stringify(call.body ?? '').includes('"done":[[') ? delay : 0;
    // Progress has been written, and its writer does not know it yet: a user cancels elsewhere.
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

test('a cancellation that reads the record while the last task ends does not cancel what is done', async () => {
  // The read is answered 800 ms late; the end is walked over it.
  for (let runMs = 1000; runMs <= 4600; runMs += 150) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { runMs, zone: 'east' }));
    // The first try is lost on its way, so that the second one reads the record first.
    let tries = 0;
    cluster.store.transactionFate = (node, body) => {
      if (node !== 'n1' || !isCancellation(body)) return 'normal';
      tries += 1;
      return tries === 1 ? { holdMs: 1e9 } : 'normal';
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
  /** Between two submissions, on average, in milliseconds. */
  readonly gap: number;
  /** Of a hundred jobs, how many their users cancel. */
  readonly cancelled: number;
  readonly options: (random: Random, index: number) => JobOptions;
}

/** Users who repeat themselves until they are answered, as the protocol says, at another node each time. */
async function persist(
  cluster: SimulatedCluster,
  from: number,
  ask: (node: number) => Promise<UserAnswer>,
): Promise<UserAnswer> {
  for (let attempt = 0; ; attempt += 1) {
    const answer = await ask((from + attempt) % NODES.length);
    if (answer.status > 0 && answer.status < 429) return answer;
    if (attempt > 60) return answer;
    await cluster.clock.sleep(1000);
  }
}

/** Submits jobs and cancels some: a third of these at once, a third within a second, the others later. */
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
    const accepted = persist(cluster, random(3), (node) => users.submit(node, id, options));
    if (random(100) < load.cancelled) {
      const delay = [0, random(1000), 1000 + random(4000)][random(3)] ?? 0;
      const cancel = (): Promise<UserAnswer> => persist(cluster, random(3), (node) => users.cancel(node, id));
      void accepted.then(() => cluster.clock.after(delay, () => void cancel()));
    }
    await cluster.step(10 + random(2 * load.gap));
  }
  return ids;
}

test('all nodes are asked again and again right after a job is accepted, cancelled or ended', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    // On every other run one controller is answered late.
    const slow = `n${seed % 3}`;
    cluster.store.answerDelayMs = (node) => (seed % 2 === 0 && node === slow ? random(400) : 0);
    cluster.store.onTransactionApplied = (body) => {
      const id = jobOf(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST);
    };
    const options = (): JobOptions => ({ tasks: 1 + random(2), cpus: 1, runMs: 300 + random(2000) });
    const ids = await runUserLoad(cluster, users, random, { jobs: 16, gap: 250, cancelled: 40, options });
    await pollUntilFinal(cluster, users, ids, 30);
    assertNoViolations(cluster);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is over`);
  }
});

test('a submission is answered late, when its repetition has been accepted and cancelled elsewhere', async () => {
  for (const delay of [400, 700, 1400]) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    await cluster.step(500);
    cluster.store.answerDelayMs = (node, call) => (node === 'n0' && call.path === '/txn' ? delay : 0);
    let answer = false;
    cluster.store.onTransactionApplied = (body) => {
      if (answer || !isCreation(body)) return;
      answer = true;
      void users.submit(1, 'req-1').then(() => users.cancel(1, 'req-1'));
    };
    const late = await waitForAnswer(cluster, users.submit(0, 'req-1', { runMs: 60_000 }));
    assert.deepEqual(late, { status: 200, state: 'cancelled' });
    await pollUntilFinal(cluster, users, ['req-1'], 5);
    assertNoViolations(cluster);
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
  }
});

/** Every kind of write has met the trouble, or the test shows nothing about it. */
function assertEveryKindOccurred(met: ReadonlyMap<Kind, number>): void {
  const missed = KINDS.filter((kind) => (met.get(kind) ?? 0) === 0);
  assert.deepEqual(missed, [], 'kinds of writes that did not meet the trouble');
}

/** Work for all parts at once: shares move, tasks are handed over, and a controller ends and comes back. */
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
  const first = await runUserLoad(cluster, users, random, { jobs: 12, gap: 250, cancelled: 40, options });
  cluster.killNode(stoppedNode);
  await cluster.step(2000 + random(4000));
  await cluster.startNode(stoppedNode);
  await cluster.step(8000);
  endFault();
  await cluster.step(12_000);
  return first;
}

test('a transaction is carried out at once and its answer is lost, while all nodes read what it wrote', async () => {
  const met = new Map<Kind, number>();
  for (let seed = 1; seed <= 6; seed += 1) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east', 'west', 'east');
    const random = seededRandom(seed);
    cluster.store.transactionFate = (_, body) => {
      if (changes(body).length === 0 || random(100) >= 50) return 'normal';
      met.set(kindOf(body), (met.get(kindOf(body)) ?? 0) + 1);
      return 'lose-answer';
    };
    cluster.store.onTransactionApplied = (body) => {
      const id = jobOf(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, [...BURST, 200, 700, 1490, 1510, 1600]);
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
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is over (seed ${seed})`);
  }
  assertEveryKindOccurred(met);
});

test('transactions without an answer are carried out 2 to 12 s late, after newer ones', async () => {
  const met = new Map<Kind, number>();
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east', 'west', 'east');
    const random = seededRandom(seed);
    cluster.store.transactionFate = (_, body) => {
      if (changes(body).length === 0 || random(100) >= 30) return 'normal';
      met.set(kindOf(body), (met.get(kindOf(body)) ?? 0) + 1);
      return { holdMs: 2000 + random(10_000) };
    };
    cluster.store.onTransactionApplied = (body) => {
      const id = jobOf(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST);
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
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is over (seed ${seed})`);
  }
  assertEveryKindOccurred(met);
});

/** Holds back the first transaction of a kind; the next ones pass. */
function delayFirst(cluster: SimulatedCluster, kind: Kind, delayMs: number): void {
  let isDelayed = false;
  cluster.store.transactionFate = (_, body) => {
    if (isDelayed || kindOf(body) !== kind) return 'normal';
    isDelayed = true;
    return { holdMs: delayMs };
  };
}

test('a late copy of a submission, a cancellation or an end finds that its job is over and changes nothing', async () => {
  for (const kind of ['submission', 'cancellation', 'end'] as const) {
    for (let delayMs = 2000; delayMs <= 12_000; delayMs += 2500) {
      const { world: cluster, users } = await startCluster('east', 'west', 'east');
      await cluster.step(500);
      delayFirst(cluster, kind, delayMs);
      const submitted = persist(cluster, 0, (node) => users.submit(node, 'req-1', { runMs: 400 }));
      await waitForAnswer(cluster, submitted);
      if (kind !== 'submission')
        await waitForAnswer(
          cluster,
          persist(cluster, 1, (n) => users.cancel(n, 'req-1')),
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

test('a cancellation, questions and a repeated submission meet the end of the last task, every 5 ms', async () => {
  const { world: cluster, users } = await startCluster('east', 'west', 'east', 'west');
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
      void persist(cluster, node, (n) => users.cancel(n, id));
      users.pollAndResubmitEverywhere(id, [0, 5, 50, 300]);
    });
  };
  for (let i = 0; i <= 160; i += 1) {
    ids.push(`req-${i}`);
    void persist(cluster, i % 3, (node) => users.submit(node, `req-${i}`, { cpus: 1, runMs }));
    await cluster.step(300);
  }
  await pollUntilFinal(cluster, users, ids, 20);
  assertNoViolations(cluster);
  const finals = ids.map((id) => users.finalStateOf(id));
  const count = (state: string): number => finals.filter((f) => f === state).length;
  assert.equal(count('done') + count('cancelled'), ids.length, 'every job is over');
  assert.ok(count('done') >= 10 && count('cancelled') >= 10, 'the walk crosses the end');
});

test('a hand-over without an answer keeps its tasks from starting here, for it may be applied late', async () => {
  for (let delayMs = 3000; delayMs <= 9000; delayMs += 1500) {
    const { world: cluster, users } = await startCluster('east', 'west');
    const full = { tasks: 4, team: 'blue' };
    await waitForAnswer(cluster, users.submit(0, 'req-1', { ...full, zone: 'east', runMs: 4500 }));
    await waitForAnswer(cluster, users.submit(1, 'req-2', { ...full, zone: 'west', runMs: 2500 }));
    await cluster.step(1000);
    // Accepted while nobody has room; the west has room first, and then the east.
    await waitForAnswer(cluster, users.submit(0, 'req-3', { runMs: 15_000 }));
    let held = 0;
    cluster.store.transactionFate = (_, body) => {
      if (kindOf(body) !== 'progress or hand-over' || !JSON.stringify(body).includes('req-3'))
        return 'normal';
      held += 1;
      return { holdMs: delayMs };
    };
    await pollUntilFinal(cluster, users, ['req-1', 'req-2', 'req-3'], 40);
    assert.ok(held > 0, 'the job was handed over');
    assertNoViolations(cluster);
    assert.equal(cluster.traceLines.filter((l) => l.includes(' runs req-3/0')).length, 1);
  }
});

/** Limits that are enforced, and room for the jobs that come. */
const RATE_LIMITED_CLUSTER: ClusterConfig = {
  ...SMALL_CLUSTER,
  storeLimits: { ...SMALL_CLUSTER.storeLimits, enforced: true },
};

test('one-task jobs come four a second for two minutes, a quarter of them cancelled', async () => {
  const cluster = new SimulatedCluster(RATE_LIMITED_CLUSTER);
  for (let i = 0; i < 9; i += 1) cluster.addWorker('large', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  const users = new SimulatedUsers(cluster);
  const random = seededRandom(7);
  cluster.store.onTransactionApplied = (body) => {
    const id = jobOf(body);
    if (id !== null && isEnd(body)) users.pollAndResubmitEverywhere(id, [0, 20]);
  };
  // The teams are near their limits, and at times beyond them.
  const options = (): JobOptions => ({
    cpus: 4,
    runMs: 1000 + random(3000),
    team: random(2) === 0 ? 'red' : 'blue',
  });
  const from = cluster.store.changes.total;
  const ids = await runUserLoad(cluster, users, random, { jobs: 480, gap: 240, cancelled: 25, options });
  const changesAJob = (cluster.store.changes.total - from) / ids.length;
  await pollUntilFinal(cluster, users, ids, 60);
  assertNoViolations(cluster);
  const over = ids.filter((id) => users.finalStateOf(id) !== null).length;
  assert.equal(over, ids.length, 'all jobs are over');
  assert.deepEqual(startsAfterCancellation(cluster, users), []);
  // Accepted, ended (two changes), and a little for the rest.
  assert.ok(changesAJob < 4.5, `${changesAJob} changes a job`);
  assert.equal(cluster.store.observed.rateLimited, 0, 'no request beyond the limits');
});

test('the state service answers after up to a second while users cancel and ask', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    // All controllers, or one of them.
    const slow = (node: string): boolean => seed % 4 === 3 || node === `n${seed % 4}`;
    cluster.store.answerDelayMs = (node) => (slow(node) ? 300 + random(700) : 0);
    cluster.store.onTransactionApplied = (body) => {
      const id = jobOf(body);
      if (id !== null) users.pollAndResubmitEverywhere(id, BURST);
    };
    const options = (): JobOptions => ({ tasks: 1 + random(3), cpus: 1, runMs: 500 + random(4000) });
    const ids = await runUserLoad(cluster, users, random, { jobs: 12, gap: 500, cancelled: 50, options });
    await pollUntilFinal(cluster, users, ids, 60);
    assertNoViolations(cluster);
    // The watch is answered late as well; the notice of the peer that confirmed is not.
    assert.deepEqual(startsAfterCancellation(cluster, users), []);
    for (const id of ids) assert.notEqual(users.finalStateOf(id), null, `${id} is over (seed ${seed})`);
  }
});

test('the leader alone is refused, then everybody for longer than cancel_s, while users cancel and ask', async () => {
  // The cancellation is confirmed elsewhere; the outage begins at each of these times after it.
  for (const outageAfter of [0, 100, 500, 1500, 3000]) {
    for (let phase = 0; phase < SMALL_CLUSTER.heartbeatIntervalS * 1000; phase += 500) {
      const { world: cluster, users } = await startCluster('east', 'west', 'east');
      await waitForAnswer(cluster, users.submit(0, 'req-1', { tasks: 4, service: true, zone: 'east' }));
      await cluster.step(2000 + phase);
      cluster.store.refusedNodes.add('n0');
      await waitForAnswer(
        cluster,
        persist(cluster, 1, () => users.cancel(1, 'req-1')),
      );
      await cluster.step(outageAfter);
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

/** Bodies that no new job could have, and that must not hurt a known one. */
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
    const { world: cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { service: true, tasks: 2 }));
    await waitForAnswer(cluster, users.submit(1, 'req-2', { tasks: 2, runMs: 20_000 }));
    await waitForAnswer(cluster, users.submit(2, 'req-3', { runMs: 300 }));
    await waitForAnswer(cluster, users.submit(0, 'req-4', { runMs: 60_000 }));
    await waitForAnswer(cluster, users.cancel(1, 'req-4'));
    await cluster.step(3000);
    await waitForAnswer(cluster, users.poll(0, 'req-3'));
    assert.equal(users.finalStateOf('req-3'), 'done');
    const known = ['req-1', 'req-2', 'req-3', 'req-4'];
    const impossible: string[] = [];
    const plain = cluster.submissionBody('req-plain');
    const verdicts = new Set<number>();
    for (let round = 0; round < 100; round += 1) {
      if (round === 10) cluster.killNode(seed % 3);
      if (round === 40 + random(20)) await cluster.startNode(seed % 3);
      if (round === 70) await cluster.startNode(seed % 3);
      const id = known[random(4)] ?? '';
      for (const body of malformedBodies({ ...plain, uid: id })) void users.submitBody(random(3), id, body);
      void users.cancel(random(3), random(2) === 0 ? 'req-3' : 'req-4');
      const fresh = `req-odd-${round}`;
      impossible.push(fresh);
      const odd = malformedBodies({ ...plain, uid: fresh })[random(7)];
      const answer = cluster.request(random(3), 'POST', '/v2/runs', odd);
      void answer.then((response) => {
        verdicts.add(response?.status ?? 0);
        const text = (response?.body as { error?: string } | undefined)?.error;
        if (response && !text) cluster.violations.push(`${fresh} answered ${response.status} without a text`);
      });
      await cluster.step(200);
    }
    await cluster.step(5000);
    for (const id of impossible) {
      const answer = await waitForAnswer(cluster, users.poll(random(3), id));
      assert.equal(answer.status, 404, `${id} was never accepted`);
    }
    await pollUntilFinal(cluster, users, ['req-2'], 30);
    assertNoViolations(cluster);
    assert.ok([400, 422].every((status) => verdicts.has(status)));
    assert.ok([...verdicts].every((status) => [0, 400, 422, 503].includes(status)));
    assert.equal(users.finalStateOf('req-2'), 'done');
    assert.equal(cluster.traceLines.filter((l) => l.includes('runs req-odd')).length, 0);
  }
});

/** Sends bytes, perhaps ends there, and resolves with all that came until the connection was closed. */
function exchange(sockets: Socket[], port: number, bytes: string, ends: boolean): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    if (ends) socket.end(bytes);
    else socket.write(bytes);
  });
}

test('garbage, oversized and half-sent requests during a failover are answered or closed, and nothing is lost', async () => {
  const { world: cluster, users } = await startCluster('east', 'west', 'east');
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
    let open = 0;
    for (let round = 0; round < 6; round += 1) {
      for (const port of ports)
        for (const [bytes, ends] of cases) {
          open += 1;
          exchanges.push(exchange(sockets, port, bytes, ends).finally(() => (open -= 1)));
        }
      if (round === 3) await cluster.startNode(0);
      for (let i = 0; i < 400 && open > 0; i += 1) {
        await cluster.step(5);
        await new Promise((resolve) => setTimeout(resolve, 2));
      }
      assert.equal(open, 0, 'every connection is answered or closed');
    }
    for (const text of await Promise.all(exchanges))
      assert.match(text, /^$|^HTTP\/1\.1 (200|4\d\d|503) /, 'refused, or nothing');
    await pollUntilFinal(cluster, users, ['req-1'], 60);
    assertNoViolations(cluster);
    assert.equal(users.finalStateOf('req-1'), 'done');
  } finally {
    for (const socket of sockets) socket.destroy();
    for (const server of servers) server.close();
  }
});

test('after a restart of all amid an outage every job is known within 75 s, asked by hundreds at once', async () => {
  const cluster = new SimulatedCluster(RATE_LIMITED_CLUSTER);
  for (let i = 0; i < 6; i += 1) cluster.addWorker('large', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  const before = new SimulatedUsers(cluster);
  const random = seededRandom(3);
  const options = (): JobOptions => ({ cpus: 1, runMs: 300 + random(3) * 40_000 });
  const ids = await runUserLoad(cluster, before, random, { jobs: 120, gap: 250, cancelled: 30, options });
  await cluster.step(5000);
  for (const node of NODES) cluster.killNode(node);
  cluster.store.outage = true;
  await cluster.start();
  await cluster.step(40_000);
  cluster.store.endOutage();
  const from = cluster.clock.now();
  const knownAfter = new Map<string, number>();
  for (let tick = 0; tick < 300 && knownAfter.size < ids.length; tick += 1) {
    // Every user asks every 5 s, and all of them at the same moment; others ask about jobs that nobody submitted.
    if (tick % 20 === 0)
      for (const [index, id] of ids.entries()) {
        const asked = cluster.clock.now();
        void before.poll((index + tick / 20) % 3, id).then((answer) => {
          const now = cluster.clock.now();
          if (answer.status === 200 && now - asked <= 2000 && !knownAfter.has(id))
            knownAfter.set(id, now - from);
        });
        for (const node of NODES) void before.poll(node, `req-nobody-${tick}-${index}`);
      }
    await cluster.step(250);
  }
  assertNoViolations(cluster);
  assert.equal(knownAfter.size, ids.length, `known: ${knownAfter.size} of ${ids.length} jobs`);
});
