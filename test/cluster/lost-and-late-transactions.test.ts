/** Transactions whose answer is lost, or that are applied late, while users submit, poll and cancel and leaders change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom, type Random } from '../../src/model/random.js';
import type { SimulatedCluster } from '../support/simulated-cluster.js';
import { type JobOptions } from '../support/simulated-cluster.js';
import type { SimulatedUsers } from '../support/simulated-users.js';
import {
  acceptedOrEndedJob,
  changesOf,
  classify,
  delayFirst,
  INJECTED_KINDS,
  type TransactionKind,
} from '../support/transaction-kinds.js';
import {
  BURST_DELAYS_MS,
  retryUntilAnswered,
  startCluster,
  pollUntilFinal,
  waitForAnswer,
  assertNoViolations,
  startsAfterCancellation,
  runUserLoad,
} from '../support/user-load.js';

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
