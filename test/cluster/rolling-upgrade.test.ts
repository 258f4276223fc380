/** The version in production and the working sources side by side, each on the other's records, leases and messages. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../../src/jobs/codec.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { storedSizeBytes, withFinishedTasks } from '../../src/jobs/stored-size.js';
import * as machines from '../../src/shards/codec.js';
import type * as Mesh from '../../src/peers/peer-transport.js';
import * as mesh from '../../src/peers/peer-transport.js';
import { encodeQuotas } from '../../src/quota/codec.js';
import { evenQuotas } from '../../src/quota/shard-quota.js';
import { RangeSet } from '../../src/model/ranges.js';
import {
  loadProductionBuild,
  loadProductionModule,
  toProductionRecord,
  toProductionTeam,
  WORKING_BUILD,
  type ControllerBuild,
  type ProductionRecords,
  type ProductionQuotas,
  type ProductionShardRecords,
} from '../support/controller-builds.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';

const production = await loadProductionBuild();

/** A world whose nodes all start with the version in production. */
async function startProductionCluster(
  shape: ClusterConfig = SMALL_CLUSTER,
): Promise<{ cluster: SimulatedCluster; builds: ControllerBuild[] }> {
  const cluster = new SimulatedCluster(shape);
  const builds = shape.zones.map(() => production);
  cluster.buildOf = (node) => builds[node] ?? production;
  for (let i = 0; i < 6; i += 1) cluster.addWorker(i % 2 ? 'small' : 'large', i % 3 === 2 ? 'west' : 'east');
  await cluster.start();
  return { cluster, builds };
}

/** Submits a few jobs through a node; some are cancelled through another. */
async function submitJobs(cluster: SimulatedCluster, round: number): Promise<void> {
  const alive = cluster.nodes.map((_, node) => node).filter((node) => cluster.nodes[node]?.handler);
  const node = (i: number): number => alive[i % alive.length] ?? 0;
  await cluster.submit(node(round), `req-a${round}`, { tasks: 3, runMs: 4000 });
  await cluster.submit(node(round + 1), `req-s${round}`, { service: true, tasks: 1, cpus: 1, team: 'blue' });
  await cluster.submit(node(round + 2), `req-c${round}`, { tasks: 2, runMs: 30_000, team: 'blue' });
  await cluster.step(1000);
  await cluster.sendUserRequest(node(round + 1), 'POST', `/v2/runs/req-c${round}/abort`);
}

async function restart(cluster: SimulatedCluster, node: number): Promise<void> {
  cluster.killNode(node);
  await cluster.step(1500);
  await cluster.startNode(node);
  await cluster.step(2500);
}

async function assertAllDone(cluster: SimulatedCluster, rounds: number): Promise<void> {
  await cluster.step(25_000);
  for (let round = 0; round < rounds; round += 1) {
    for (const node of cluster.nodes.keys()) {
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-a${round}`)).body['status'],
        'done',
      );
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-c${round}`)).body['status'],
        'cancelled',
      );
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-s${round}`)).body['status'],
        'running',
      );
    }
  }
  assert.deepEqual(cluster.violations, []);
}

for (const order of [
  [0, 1, 2],
  [0, 2, 1],
  [1, 0, 2],
  [1, 2, 0],
  [2, 0, 1],
  [2, 1, 0],
])
  test(`upgraded in the order ${order.join(', ')}: jobs are taken, cancelled, polled and finished across versions`, async () => {
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

test('a controller that ends before its turn comes back old, one of each version takes over from the other', async () => {
  const { cluster, builds } = await startProductionCluster();
  builds[1] = WORKING_BUILD;
  await restart(cluster, 1);
  await submitJobs(cluster, 0);
  // The old leader is gone for longer than its lease: the new one has its pool, and gives it back.
  cluster.killNode(0);
  await cluster.step(8000);
  await submitJobs(cluster, 1);
  await cluster.startNode(0);
  await cluster.step(6000);
  // And the other way round.
  cluster.killNode(1);
  await cluster.step(8000);
  await submitJobs(cluster, 2);
  await cluster.startNode(1);
  await cluster.step(6000);
  await restart(cluster, 2);
  await submitJobs(cluster, 3);
  // All at once, in the middle of the roll.
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.step(1000);
  for (const node of [2, 0, 1]) await cluster.startNode(node);
  await cluster.step(5000);
  await submitJobs(cluster, 4);
  await assertAllDone(cluster, 5);
});

test('limits that come down in the middle of the roll: nothing larger is sent by then, and all goes on', async () => {
  const next = { writeRps: 15, valueKb: 2, txnOps: 4 };
  const shape: ClusterConfig = {
    ...SMALL_CLUSTER,
    storeLimits: { ...SMALL_CLUSTER.storeLimits, enforced: true },
    nextStoreLimits: next,
  };
  const { cluster, builds } = await startProductionCluster(shape);
  await submitJobs(cluster, 0);
  for (const node of [0, 1, 2]) {
    builds[node] = WORKING_BUILD;
    await restart(cluster, node);
  }
  await submitJobs(cluster, 1);
  const refused = cluster.store.observed.rateLimited;
  cluster.store.lowerLimits(next);
  await submitJobs(cluster, 2);
  for (let i = 0; i < 20; i += 1) cluster.addWorker('small', 'east');
  await cluster.step(20_000);
  const registered = [...cluster.store.entries.keys()].filter((key) => key.startsWith('c/machines/')).length;
  assert.ok(registered >= 20, `${registered} machines are registered`);
  await submitJobs(cluster, 3);
  await assertAllDone(cluster, 4);
  assert.equal(cluster.store.rejectedForSize, 0);
  assert.ok(
    cluster.store.observed.rateLimited - refused < 40,
    `${cluster.store.observed.rateLimited - refused} refused for a limit`,
  );
});

/** A job of the largest array whose finished tasks are scattered. */
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

test('records of each version are read by the other, and written alike', async () => {
  const old = await loadProductionModule<ProductionRecords>('jobs/record.js');
  for (const record of [
    recordWithScatteredResults(0),
    recordWithScatteredResults(1),
    recordWithScatteredResults(300),
  ]) {
    const written = old.encodeRecord(toProductionRecord(record));
    assert.deepEqual(records.encodeRecord(record), written);
    assert.deepEqual(records.decodeRecord(written)?.done.ranges(), record.done.ranges());
    const decoded = old.decodeRecord(records.encodeRecord(record));
    assert.ok(decoded);
    const { done, ...rest } = toProductionRecord(record);
    assert.deepEqual({ ...decoded, done: decoded.done.ranges() }, { ...rest, done: done.ranges() });
  }
  assert.deepEqual(records.encodeFinalState('done'), old.encodeFinal('done'));
  const oldMachines = await loadProductionModule<ProductionShardRecords>('parts/records.js');
  const shard = { owner: 'n1', incarnation: 'x', token: 9 };
  const decodedShard = machines.decodeShardRecord(shard);
  assert.ok(decodedShard);
  assert.deepEqual(machines.encodeShardRecord(decodedShard), oldMachines.decodePart(shard));
  const machine = { part: 1, address: '10.0.0.1:1', type: 't', zone: 'z', spot: true };
  const decodedMachine = machines.decodeMachineRecord(machine);
  assert.ok(decodedMachine);
  assert.deepEqual(machines.encodeMachineRecord(decodedMachine), oldMachines.decodeMachine(machine));
  const oldShardQuotas = await loadProductionModule<ProductionQuotas>('quota/shares.js');
  const team = buildTeam({ cpus: 4, cpusMax: 10 });
  assert.deepEqual(
    encodeQuotas(team, evenQuotas(team, 3)),
    oldShardQuotas.encodeShares(toProductionTeam(team), oldShardQuotas.evenShares(toProductionTeam(team), 3)),
  );
});

test('frames of each version are read by the other', async () => {
  const old = await loadProductionModule<typeof Mesh>('mesh/mesh.js');
  const message = { kind: 'cancelled', job: 'req-1', version: 77 };
  assert.deepEqual(new mesh.FrameReader().push(old.frame(message)), [message]);
  assert.deepEqual(new old.FrameReader().push(mesh.frame(message)), [message]);
});

test('a record that is larger than the limit to come is left as it is until it fits, and then rewritten', () => {
  const limit = 2048;
  const large = recordWithScatteredResults(400);
  assert.ok(storedSizeBytes(large) > limit);
  const more = RangeSet.of([[50_000, 50_001]]);
  assert.ok(storedSizeBytes(withFinishedTasks(large, more, limit)) > limit, 'one more task does not help');
  const nearly = RangeSet.of([[0, 99_999]]);
  const grown = withFinishedTasks(large, nearly, limit);
  assert.deepEqual(grown.done.ranges(), [[0, 99_999]]);
  assert.ok(storedSizeBytes(grown) <= limit);
});
