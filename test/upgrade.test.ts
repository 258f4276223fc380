/** The version in production and the working sources side by side, each on the other's records, leases and messages. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/jobs/codec.js';
import type { JobRecord } from '../src/jobs/record.js';
import { storedSizeBytes, withFinishedTasks } from '../src/jobs/stored-size.js';
import * as machines from '../src/shards/codec.js';
import type * as Mesh from '../src/peers/peer-transport.js';
import * as mesh from '../src/peers/peer-transport.js';
import * as shares from '../src/quota/shard-quota.js';
import { RangeSet } from '../src/model/ranges.js';
import {
  productionBuild,
  productionModule,
  toProductionRecord,
  toProductionTeam,
  WORKING,
  type Build,
  type ProductionRecords,
  type ProductionQuotas,
  type ProductionShardRecords,
} from './standins/builds.js';
import { plainSpec, plainTeam } from './standins/spec.js';
import { SMALL, World, type Shape } from './standins/world.js';

const production = await productionBuild();

/** A world whose nodes all start with the version in production. */
async function inProduction(shape: Shape = SMALL): Promise<{ w: World; version: Build[] }> {
  const w = new World(shape);
  const version = shape.zones.map(() => production);
  w.buildOf = (n) => version[n] ?? production;
  for (let i = 0; i < 6; i += 1) w.addWorker(i % 2 ? 'small' : 'large', i % 3 === 2 ? 'west' : 'east');
  await w.start();
  return { w, version };
}

/** Submits a few jobs through a node; some are cancelled through another. */
async function work(w: World, round: number): Promise<void> {
  const alive = w.nodes.map((_, n) => n).filter((n) => w.nodes[n]?.handler);
  const node = (i: number): number => alive[i % alive.length] ?? 0;
  await w.submit(node(round), `req-a${round}`, { tasks: 3, runMs: 4000 });
  await w.submit(node(round + 1), `req-s${round}`, { service: true, tasks: 1, cpus: 1, team: 'blue' });
  await w.submit(node(round + 2), `req-c${round}`, { tasks: 2, runMs: 30_000, team: 'blue' });
  await w.step(1000);
  await w.ask(node(round + 1), 'POST', `/v2/runs/req-c${round}/abort`);
}

async function restart(w: World, n: number): Promise<void> {
  w.killNode(n);
  await w.step(1500);
  await w.startNode(n);
  await w.step(2500);
}

async function allDone(w: World, rounds: number): Promise<void> {
  await w.step(25_000);
  for (let round = 0; round < rounds; round += 1) {
    for (const n of w.nodes.keys()) {
      assert.equal((await w.ask(n, 'GET', `/v2/runs/req-a${round}`)).body['status'], 'done');
      assert.equal((await w.ask(n, 'GET', `/v2/runs/req-c${round}`)).body['status'], 'cancelled');
      assert.equal((await w.ask(n, 'GET', `/v2/runs/req-s${round}`)).body['status'], 'running');
    }
  }
  assert.deepEqual(w.broken, []);
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
    const { w, version } = await inProduction();
    await work(w, 0);
    let round = 1;
    for (const n of order) {
      version[n] = WORKING;
      await restart(w, n);
      await work(w, round);
      round += 1;
    }
    await allDone(w, round);
  });

test('a controller that ends before its turn comes back old, one of each version takes over from the other', async () => {
  const { w, version } = await inProduction();
  version[1] = WORKING;
  await restart(w, 1);
  await work(w, 0);
  // The old leader is gone for longer than its lease: the new one has its pool, and gives it back.
  w.killNode(0);
  await w.step(8000);
  await work(w, 1);
  await w.startNode(0);
  await w.step(6000);
  // And the other way round.
  w.killNode(1);
  await w.step(8000);
  await work(w, 2);
  await w.startNode(1);
  await w.step(6000);
  await restart(w, 2);
  await work(w, 3);
  // All at once, in the middle of the roll.
  for (const n of [0, 1, 2]) w.killNode(n);
  await w.step(1000);
  for (const n of [2, 0, 1]) await w.startNode(n);
  await w.step(5000);
  await work(w, 4);
  await allDone(w, 5);
});

test('limits that come down in the middle of the roll: nothing larger is sent by then, and all goes on', async () => {
  const next = { writeRps: 15, valueKb: 2, txnOps: 4 };
  const shape: Shape = { ...SMALL, state: { ...SMALL.state, enforced: true }, next };
  const { w, version } = await inProduction(shape);
  await work(w, 0);
  for (const n of [0, 1, 2]) {
    version[n] = WORKING;
    await restart(w, n);
  }
  await work(w, 1);
  const refused = w.state.seen.tooMany;
  w.state.lowerLimits(next);
  await work(w, 2);
  for (let i = 0; i < 20; i += 1) w.addWorker('small', 'east');
  await w.step(20_000);
  const registered = [...w.state.rows.keys()].filter((key) => key.startsWith('c/machines/')).length;
  assert.ok(registered >= 20, `${registered} machines are registered`);
  await work(w, 3);
  await allDone(w, 4);
  assert.equal(w.state.tooLarge, 0);
  assert.ok(w.state.seen.tooMany - refused < 40, `${w.state.seen.tooMany - refused} refused for a limit`);
});

/** A job of the largest array whose finished tasks are scattered. */
function scattered(ranges: number): JobRecord {
  const done = RangeSet.of(Array.from({ length: ranges }, (_, i) => [7 * i, 7 * i + 1] as const));
  return {
    spec: plainSpec({ id: 'req-large', tasks: 100_000 }),
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
  const old = await productionModule<ProductionRecords>('jobs/record.js');
  for (const record of [scattered(0), scattered(1), scattered(300)]) {
    const written = old.encodeRecord(toProductionRecord(record));
    assert.deepEqual(records.encodeRecord(record), written);
    assert.deepEqual(records.decodeRecord(written)?.done.ranges(), record.done.ranges());
    const decoded = old.decodeRecord(records.encodeRecord(record));
    assert.ok(decoded);
    const { done, ...rest } = toProductionRecord(record);
    assert.deepEqual({ ...decoded, done: decoded.done.ranges() }, { ...rest, done: done.ranges() });
  }
  assert.deepEqual(records.encodeFinalState('done'), old.encodeFinal('done'));
  const oldMachines = await productionModule<ProductionShardRecords>('parts/records.js');
  const shard = { owner: 'n1', incarnation: 'x', token: 9 };
  const decodedShard = machines.decodeShardRecord(shard);
  assert.ok(decodedShard);
  assert.deepEqual(machines.encodeShardRecord(decodedShard), oldMachines.decodePart(shard));
  const machine = { part: 1, address: '10.0.0.1:1', type: 't', zone: 'z', spot: true };
  const decodedMachine = machines.decodeMachineRecord(machine);
  assert.ok(decodedMachine);
  assert.deepEqual(machines.encodeMachineRecord(decodedMachine), oldMachines.decodeMachine(machine));
  const oldShares = await productionModule<ProductionQuotas>('quota/shares.js');
  const team = plainTeam({ cpus: 4, cpusMax: 10 });
  assert.deepEqual(
    shares.encodeQuotas(team, shares.evenQuotas(team, 3)),
    oldShares.encodeShares(toProductionTeam(team), oldShares.evenShares(toProductionTeam(team), 3)),
  );
});

test('frames of each version are read by the other', async () => {
  const old = await productionModule<typeof Mesh>('mesh/mesh.js');
  const message = { kind: 'cancelled', job: 'req-1', version: 77 };
  assert.deepEqual(new mesh.FrameReader().push(old.frame(message)), [message]);
  assert.deepEqual(new old.FrameReader().push(mesh.frame(message)), [message]);
});

test('a record that is larger than the limit to come is left as it is until it fits, and then rewritten', () => {
  const limit = 2048;
  const large = scattered(400);
  assert.ok(storedSizeBytes(large) > limit);
  const more = RangeSet.of([[50_000, 50_001]]);
  assert.ok(storedSizeBytes(withFinishedTasks(large, more, limit)) > limit, 'one more task does not help');
  const nearly = RangeSet.of([[0, 99_999]]);
  const grown = withFinishedTasks(large, nearly, limit);
  assert.deepEqual(grown.done.ranges(), [[0, 99_999]]);
  assert.ok(storedSizeBytes(grown) <= limit);
});
