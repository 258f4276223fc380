/** User requests while the state service enforces its limits, is slow, refuses controllers or is out. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';
import { SMALL_CLUSTER, SimulatedCluster, type JobOptions } from '../support/simulated-cluster.js';
import { SimulatedUsers } from '../support/simulated-users.js';
import { acceptedOrEndedJob, isEnd } from '../support/transaction-kinds.js';
import {
  BURST_DELAYS_MS,
  NODES,
  retryUntilAnswered,
  RATE_LIMITED_CLUSTER,
  startCluster,
  pollUntilFinal,
  waitForAnswer,
  assertNoViolations,
  startsAfterCancellation,
  runUserLoad,
} from '../support/user-load.js';

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
