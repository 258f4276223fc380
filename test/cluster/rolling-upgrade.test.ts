/** The production build and the working sources in one cluster, with each other's records, leases and messages. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as jobCodec from '../../src/jobs/codec.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { storedSizeBytes, withFinishedTasks } from '../../src/jobs/stored-size.js';
import * as shardCodec from '../../src/shards/codec.js';
import type * as PeerTransport from '../../src/peers/peer-transport.js';
import * as peerTransport from '../../src/peers/peer-transport.js';
import { encodeQuotas } from '../../src/quota/codec.js';
import { evenQuotas } from '../../src/quota/shard-quota.js';
import { RangeSet } from '../../src/model/ranges.js';
import {
  loadProductionBuild,
  loadProductionModule,
  toProductionRecord,
  toProductionTeam,
  WORKING_BUILD,
  type ProductionRecords,
  type ProductionQuotas,
  type ProductionShardRecords,
} from '../support/controller-builds.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { SMALL_CLUSTER, type ClusterConfig } from '../support/simulated-cluster.js';
import { assertAllDone, restart, startClusterOf, submitJobs } from '../support/upgrade-cluster.js';

const production = await loadProductionBuild();

const startProductionCluster = (config?: ClusterConfig): ReturnType<typeof startClusterOf> =>
  startClusterOf(production, config);

for (const order of [
  [0, 1, 2],
  [0, 2, 1],
  [1, 0, 2],
  [1, 2, 0],
  [2, 0, 1],
  [2, 1, 0],
])
  test(`upgraded in the order ${order.join(', ')}: jobs are accepted, cancelled, polled and finished across versions`, async () => {
    const { cluster, builds } = await startProductionCluster();
    await submitJobs(cluster, 0);
    let round = 1;
    for (const node of order) {
      builds[node] = WORKING_BUILD;
      await restart(cluster, node);
      await submitJobs(cluster, round);
      round += 1;
    }
    await assertAllDone(cluster, round);
  });

test('controllers die during the upgrade and restart with the same build; each build takes over from the other', async () => {
  const { cluster, builds } = await startProductionCluster();
  builds[1] = WORKING_BUILD;
  await restart(cluster, 1);
  await submitJobs(cluster, 0);
  // A controller of the old build is down for longer than its lease: the new build leads its shard and returns it.
  cluster.killNode(0);
  await cluster.step(8000);
  await submitJobs(cluster, 1);
  await cluster.startNode(0);
  await cluster.step(6000);
  // The same with a controller of the new build, whose shard the old build takes over.
  cluster.killNode(1);
  await cluster.step(8000);
  await submitJobs(cluster, 2);
  await cluster.startNode(1);
  await cluster.step(6000);
  await restart(cluster, 2);
  await submitJobs(cluster, 3);
  // All controllers die at once in the middle of the upgrade.
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.step(1000);
  for (const node of [2, 0, 1]) await cluster.startNode(node);
  await cluster.step(5000);
  await submitJobs(cluster, 4);
  await assertAllDone(cluster, 5);
});

test('limits that are lowered after the upgrade: nothing larger is sent from then on, and all jobs continue', async () => {
  const nextLimits = { writeRps: 15, valueKb: 2, txnOps: 4 };
  const config: ClusterConfig = {
    ...SMALL_CLUSTER,
    storeLimits: { ...SMALL_CLUSTER.storeLimits, enforced: true },
    nextStoreLimits: nextLimits,
  };
  const { cluster, builds } = await startProductionCluster(config);
  await submitJobs(cluster, 0);
  for (const node of [0, 1, 2]) {
    builds[node] = WORKING_BUILD;
    await restart(cluster, node);
  }
  await submitJobs(cluster, 1);
  const rateLimitedBefore = cluster.store.observed.rateLimited;
  cluster.store.lowerLimits(nextLimits);
  await submitJobs(cluster, 2);
  for (let i = 0; i < 20; i += 1) cluster.addWorker('small', 'east');
  await cluster.step(20_000);
  const registeredCount = [...cluster.store.entries.keys()].filter((key) =>
    key.startsWith('c/machines/'),
  ).length;
  assert.ok(registeredCount >= 20, `${registeredCount} machines are registered`);
  await submitJobs(cluster, 3);
  await assertAllDone(cluster, 4);
  assert.equal(cluster.store.rejectedForSize, 0);
  assert.ok(
    cluster.store.observed.rateLimited - rateLimitedBefore < 40,
    `${cluster.store.observed.rateLimited - rateLimitedBefore} requests refused by the rate limit`,
  );
});

/** Returns the record of the largest array job, whose finished tasks form this many separate ranges. */
function recordWithScatteredResults(ranges: number): JobRecord {
  const done = RangeSet.of(Array.from({ length: ranges }, (_, i) => [7 * i, 7 * i + 1] as const));
  return {
    spec: buildJobSpec({ id: 'req-large', tasks: 100_000 }),
    homeShard: 1 as never,
    acceptedRevision: 17 as never,
    acceptedAt: 12_345 as never,
    assignments: [
      { from: 0, to: 60_000, shard: 0 as never, zone: null },
      { from: 60_000, to: 100_000, shard: 2 as never, zone: 'east' as never },
    ],
    done,
  };
}

test('each build reads the records of the other and writes them identically', async () => {
  const productionRecords = await loadProductionModule<ProductionRecords>('jobs/record.js');
  for (const record of [
    recordWithScatteredResults(0),
    recordWithScatteredResults(1),
    recordWithScatteredResults(300),
  ]) {
    const written = productionRecords.encodeRecord(toProductionRecord(record));
    assert.deepEqual(jobCodec.encodeRecord(record), written);
    assert.deepEqual(jobCodec.decodeRecord(written)?.done.ranges(), record.done.ranges());
    const decoded = productionRecords.decodeRecord(jobCodec.encodeRecord(record));
    assert.ok(decoded);
    const { done, ...expected } = toProductionRecord(record);
    assert.deepEqual({ ...decoded, done: decoded.done.ranges() }, { ...expected, done: done.ranges() });
  }
  assert.deepEqual(jobCodec.encodeFinalState('done'), productionRecords.encodeFinal('done'));
  const productionShardRecords = await loadProductionModule<ProductionShardRecords>('parts/records.js');
  const shard = { owner: 'n1', incarnation: 'x', token: 9 };
  const decodedShard = shardCodec.decodeShardRecord(shard);
  assert.ok(decodedShard);
  assert.deepEqual(shardCodec.encodeShardRecord(decodedShard), productionShardRecords.decodePart(shard));
  const machine = { part: 1, address: '10.0.0.1:1', type: 't', zone: 'z', spot: true };
  const decodedMachine = shardCodec.decodeMachineRecord(machine);
  assert.ok(decodedMachine);
  assert.deepEqual(
    shardCodec.encodeMachineRecord(decodedMachine),
    productionShardRecords.decodeMachine(machine),
  );
  const productionQuotas = await loadProductionModule<ProductionQuotas>('quota/shares.js');
  const team = buildTeam({ cpus: 4, cpusMax: 10 });
  assert.deepEqual(
    encodeQuotas(team, evenQuotas(team, 3)),
    productionQuotas.encodeShares(
      toProductionTeam(team),
      productionQuotas.evenShares(toProductionTeam(team), 3),
    ),
  );
});

test('each build reads the frames of the other', async () => {
  const productionMesh = await loadProductionModule<typeof PeerTransport>('mesh/mesh.js');
  const message = { kind: 'cancelled', job: 'req-1', version: 77 };
  assert.deepEqual(new peerTransport.FrameReader().push(productionMesh.frame(message)), [message]);
  assert.deepEqual(new productionMesh.FrameReader().push(peerTransport.frame(message)), [message]);
});

test('a record larger than the future limit is kept as it is until it fits, and then rewritten', () => {
  const limitBytes = 2048;
  const oversizedRecord = recordWithScatteredResults(400);
  assert.ok(storedSizeBytes(oversizedRecord) > limitBytes);
  const oneMoreTask = RangeSet.of([[50_000, 50_001]]);
  assert.ok(
    storedSizeBytes(withFinishedTasks(oversizedRecord, oneMoreTask, limitBytes)) > limitBytes,
    'one more task does not help',
  );
  const almostAllTasks = RangeSet.of([[0, 99_999]]);
  const rewritten = withFinishedTasks(oversizedRecord, almostAllTasks, limitBytes);
  assert.deepEqual(rewritten.done.ranges(), [[0, 99_999]]);
  assert.ok(storedSizeBytes(rewritten) <= limitBytes);
});
