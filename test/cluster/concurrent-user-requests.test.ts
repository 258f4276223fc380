/**
 * User requests that coincide with each other or with the end of a job. Each test triggers the coincidence by an event
 * (a transaction is applied, a cancellation is confirmed, a task ends), and the invariants are checked throughout.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';
import { StoreCache } from '../../src/store/cache.js';
import type { Revision, StoreKey, SteadyMs } from '../../src/model/units.js';
import { type JobOptions } from '../support/simulated-cluster.js';
import { acceptedOrEndedJob, putsUnder, isCancellation, isCreation } from '../support/transaction-kinds.js';
import {
  BURST_DELAYS_MS,
  NODES,
  retryUntilAnswered,
  startCluster,
  pollUntilFinal,
  waitForAnswer,
  assertNoViolations,
  startsAfterCancellation,
  runUserLoad,
} from '../support/user-load.js';

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
