/** The only live controller loses its workers for a while. No other controller can acquire the shards that it releases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NODES, startCluster, type FaultInjectionCluster } from '../support/fault-injection-cluster.js';

/** Longer than the silence after which a shard is released. */
const CUT_OFF_MS = 12_000;
/** No job may wait for longer while a machine that fits has room. */
const MAX_WAITING_MS = 90_000;
const LAST_CONTROLLER = 0;

const leads = (cluster: FaultInjectionCluster, leader: number): boolean[] =>
  NODES.map((shard) => cluster.leaderOf(shard) === leader);

type Transaction = Parameters<FaultInjectionCluster['onCommit']>[0];

const releasesShard = ({ apply = [] }: Transaction, shard: number): boolean =>
  apply.some(
    ({ put, data }) =>
      put === `c/parts/${shard}` && (data as { readonly owner: string | null }).owner === null,
  );

async function assertAllShardsWork(cluster: FaultInjectionCluster): Promise<void> {
  await cluster.step(MAX_WAITING_MS);
  assert.deepEqual(leads(cluster, LAST_CONTROLLER), [true, true, true]);
  // Only shard 1, whose home controller has ended, has machines in this zone.
  await cluster.submit(LAST_CONTROLLER, 'req-west', { zone: 'west', runMs: 600_000 });
  await cluster.step(MAX_WAITING_MS);
  assert.equal(cluster.countRunningTasks('req-west'), 1);
  cluster.assertNoViolations('one controller is left');
}

// Shards that a controller had released stayed without a leader until another controller started.
test('the last live controller does not release its shards while their workers are silent', async () => {
  const cluster = await startCluster(4, 2);
  for (const node of [1, 2]) cluster.killNode(node);
  await cluster.until('it leads all shards', () => leads(cluster, LAST_CONTROLLER).every(Boolean));
  const machines = [...cluster.workers.keys()];
  await cluster.step(10_000);
  cluster.cutOff(machines);
  await cluster.step(CUT_OFF_MS);
  assert.deepEqual(leads(cluster, LAST_CONTROLLER), [true, true, true], 'no other controller can lead them');
  cluster.heal(machines);
  await assertAllShardsWork(cluster);
});

// A controller never acquired a shard again that it had released itself, as long as no other one led it in between.
test('a controller acquires a shard again that it released before its last peer ended', async () => {
  const cluster = await startCluster(4, 2);
  cluster.killNode(2);
  await cluster.until('it leads the shard', () => cluster.leaderOf(2) === LAST_CONTROLLER);
  await cluster.step(10_000);
  // No announcements of the live peer arrive, which ends as soon as the shard is released.
  cluster.networkCuts.add('n0|n1');
  const machines = [...cluster.workers.keys()];
  cluster.cutOff(machines);
  let isReleased = false;
  cluster.onCommit = (body) => {
    if (isReleased || !releasesShard(body, 2)) return;
    isReleased = true;
    cluster.killNode(1);
  };
  await cluster.until('the shard is released', () => isReleased);
  cluster.heal(machines);
  await assertAllShardsWork(cluster);
});
