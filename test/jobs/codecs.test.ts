/**
 * Tests the exact form of stored records and of messages between controllers. During an upgrade two versions read each
 * other's records and messages, so field names and formats must not change when names in the code change. The forms are
 * compared with those of the production version.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCatalog, encodeCatalog } from '../../src/autoscaling/codec.js';
import { decodeClusterTime, encodeClusterTime } from '../../src/jobs/cluster-clock.js';
import {
  decodeFinalState,
  decodeRecord,
  encodeFinalState,
  encodeRecord,
  finalStateKey,
  activeJobKey,
} from '../../src/jobs/codec.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/peers/codec.js';
import { quotaKey } from '../../src/quota/codec.js';
import {
  aliveKey,
  CATALOG_KEY,
  decodeMembership,
  decodeMachineRecord,
  decodeShardRecord,
  decodeFencingToken,
  encodeMembership,
  encodeMachineRecord,
  encodeShardRecord,
  encodeFencingToken,
  machineKey,
  shardKey,
  TIME_KEY,
  TOKEN_KEY,
} from '../../src/shards/codec.js';
import {
  loadProductionBuild,
  loadProductionModule,
  type ProductionRecords,
} from '../support/controller-builds.js';
import { SMALL_CLUSTER, SimulatedCluster } from '../support/simulated-cluster.js';

const production = await loadProductionModule<ProductionRecords>('jobs/record.js');
const productionNews = await loadProductionModule<{ receive(core: unknown, message: unknown): unknown }>(
  'flock/news.js',
);

test('keys of stored records', () => {
  const keys = [
    activeJobKey('req-1' as never),
    finalStateKey('req-1' as never),
    shardKey(2 as never),
    machineKey('m-7' as never),
    aliveKey('n1' as never),
    quotaKey('a team/b' as never),
    TOKEN_KEY,
    TIME_KEY,
    CATALOG_KEY,
  ];
  assert.deepEqual(keys, [
    'c/live/req-1',
    'over/req-1',
    'c/parts/2',
    'c/machines/m-7',
    'c/alive/n1',
    'c/quota/a%20team%2Fb',
    'c/token',
    'c/time',
    'c/catalog',
  ]);
});

const ARRAY =
  '{"spec":{"id":"req-a","lane":"render","team":"red","shape":"array","priority":2,"tasks":100,"cpus":2.5,"gpus":1,' +
  '"memoryGb":4,"types":["c4","g8"],"zone":null,"oneZone":true,"spread":false,"spot":true,"image":"img","imageGb":1.5,' +
  '"estimateS":30,"checkpointS":10,"saveS":2,"deadlineS":600},"home":1,"born":17,"at":12345,' +
  '"parts":[[0,60,0,null],[60,100,2,"east"]],"done":[[0,1],[7,9],[50,51]]}';
const GANG =
  '{"spec":{"id":"req-g","lane":"train","team":"blue","shape":"gang","priority":1,"tasks":8,"cpus":1,"gpus":8,' +
  '"memoryGb":64,"types":null,"zone":"west","oneZone":false,"spread":false,"spot":false,"image":"t","imageGb":20,' +
  '"estimateS":3600,"checkpointS":0,"saveS":0,"deadlineS":null},"home":0,"born":3,"at":null,' +
  '"parts":[[0,8,0,"west"]],"done":[]}';
const SERVICE =
  '{"spec":{"id":"req-s","lane":"web","team":"red","shape":"service","priority":0,"tasks":3,"cpus":1,"gpus":0,' +
  '"memoryGb":0.5,"types":null,"zone":null,"oneZone":false,"spread":true,"spot":false,"image":"w","imageGb":0.2,' +
  '"estimateS":0,"checkpointS":0,"saveS":0,"deadlineS":null},"home":2,"born":0,"at":0,' +
  '"parts":[[0,2,0,"east"],[2,3,1,"west"]],"done":[]}';

for (const [kind, text] of Object.entries({ ARRAY, GANG, SERVICE }))
  test(`a stored job record keeps its bytes, also through the production version: ${kind.toLowerCase()}`, () => {
    const decoded = decodeRecord(JSON.parse(text));
    assert.ok(decoded);
    assert.equal(JSON.stringify(encodeRecord(decoded)), text);
    const decodedByProduction = production.decodeRecord(JSON.parse(text));
    assert.ok(decodedByProduction);
    assert.equal(JSON.stringify(production.encodeRecord(decodedByProduction)), text);
  });

test('fields of a stored job record decode to the expected values', () => {
  const record = decodeRecord(JSON.parse(ARRAY));
  assert.ok(record);
  assert.equal(record.spec.id, 'req-a');
  assert.equal(record.spec.tasks, 100);
  assert.deepEqual(record.spec.types, ['c4', 'g8']);
  assert.equal(record.spec.oneZone, true);
  assert.equal(record.spec.deadlineS, 600);
  assert.equal(record.spec.unknownFields, undefined);
  assert.deepEqual(record.done.ranges(), [
    [0, 1],
    [7, 9],
    [50, 51],
  ]);
});

/** Returns the stored record `ARRAY` with some fields replaced; `undefined` removes a field. */
const changed = (changes: Record<string, unknown>): Record<string, unknown> =>
  JSON.parse(JSON.stringify({ ...(JSON.parse(ARRAY) as object), ...changes })) as Record<string, unknown>;

test('a job record of an earlier version, without revision and time of acceptance, is read with defaults', () => {
  const stored = changed({ born: undefined, at: undefined });
  const decoded = decodeRecord(stored);
  assert.ok(decoded);
  assert.deepEqual(encodeRecord(decoded), { ...stored, born: 0, at: null });
});

test('fields of a specification that this version does not know are written back', () => {
  const { spec } = JSON.parse(ARRAY) as { spec: object };
  const stored = changed({ spec: { ...spec, laterField: { nested: [1] } } });
  const decoded = decodeRecord(stored);
  assert.ok(decoded);
  assert.deepEqual(encodeRecord(decoded), stored);
});

test('fields of a specification that an earlier version did not store stay absent', () => {
  const stored = changed({ spec: { id: 'req-1', tasks: 100 } });
  const decoded = decodeRecord(stored);
  assert.ok(decoded);
  assert.deepEqual(encodeRecord(decoded), stored);
});

test('unknown fields outside the specification are ignored, as in production', () => {
  const stored = changed({ later: 1 });
  const decoded = decodeRecord(stored);
  const decodedByProduction = production.decodeRecord(stored);
  assert.ok(decoded && decodedByProduction);
  assert.deepEqual(encodeRecord(decoded), JSON.parse(ARRAY));
  assert.deepEqual(encodeRecord(decoded), production.encodeRecord(decodedByProduction));
});

test('a job record with a field that is missing or of the wrong type cannot be read, as in production', () => {
  const broken: Record<string, unknown>[] = [
    { spec: undefined },
    { spec: 'text' },
    { spec: null },
    { spec: { id: 'req-1' } },
    { spec: { tasks: 3 } },
    { home: undefined },
    { home: '1' },
    { born: '17' },
    { at: 'now' },
    { parts: undefined },
    { parts: 'none' },
    { parts: [[0, 60, 0]] },
    { parts: [[0, 60, 0, 7]] },
    { done: undefined },
    { done: [[3, 3]] },
    { done: [['0', 1]] },
  ];
  for (const changes of broken) {
    const stored = changed(changes);
    assert.equal(decodeRecord(stored), null, JSON.stringify(changes));
    assert.equal(production.decodeRecord(stored), null, JSON.stringify(changes));
  }
  for (const value of [undefined, null, 7, 'text', []]) assert.equal(decodeRecord(value), null);
});

test('final states', () => {
  for (const state of ['done', 'cancelled'] as const) {
    assert.equal(JSON.stringify(encodeFinalState(state)), `{"state":"${state}"}`);
    assert.deepEqual(production.encodeFinal(state), encodeFinalState(state));
    assert.equal(decodeFinalState({ state }), state);
    assert.equal(production.decodeFinal({ state }), state);
  }
  for (const value of [{ state: 'lost' }, {}, null, 'done']) assert.equal(decodeFinalState(value), null);
});

test('records of shards, machines, controllers, the token, the clock and the instance types', () => {
  const shard = '{"owner":"n1","incarnation":"x7","token":9}';
  const released = '{"owner":null,"incarnation":null,"token":9}';
  for (const text of [shard, released]) {
    const decoded = decodeShardRecord(JSON.parse(text));
    assert.ok(decoded);
    assert.equal(JSON.stringify(encodeShardRecord(decoded)), text);
  }
  const machine = '{"part":1,"address":"10.0.0.1:1","type":"t","zone":"z","spot":true}';
  const decodedMachine = decodeMachineRecord(JSON.parse(machine));
  assert.ok(decodedMachine);
  assert.equal(JSON.stringify(encodeMachineRecord(decodedMachine)), machine);
  assert.equal(JSON.stringify(encodeMembership('x7' as never)), '{"incarnation":"x7"}');
  assert.equal(decodeMembership({ incarnation: 'x7' }), 'x7');
  assert.equal(JSON.stringify(encodeFencingToken(9 as never)), '{"token":9}');
  assert.equal(decodeFencingToken({ token: 9 }), 9);
  assert.equal(JSON.stringify(encodeClusterTime(1234 as never)), '{"ms":1234}');
  assert.equal(decodeClusterTime({ ms: 1234 }), 1234);
  const catalog =
    '{"types":[{"name":"c4","cpus":4,"gpus":0,"memoryGb":16,"cacheGb":50,"fetchGbPerS":0.5,"price":2,"spotPrice":1,' +
    '"bootS":30,"zones":["east","west"]}]}';
  const types = decodeCatalog(JSON.parse(catalog));
  assert.ok(types);
  assert.equal(JSON.stringify(encodeCatalog(types)), catalog);
});

test('these records cannot be decoded if a field is missing or of the wrong type; unknown fields are ignored', () => {
  const shard = { owner: 'n1', incarnation: 'x7', token: 9 };
  assert.deepEqual(decodeShardRecord({ ...shard, later: 1 }), {
    leader: 'n1',
    incarnation: 'x7',
    fencingToken: 9,
  });
  for (const changes of [{ owner: 1 }, { owner: undefined }, { incarnation: 3 }, { token: '9' }])
    assert.equal(decodeShardRecord({ ...shard, ...changes }), null);
  const machine = { part: 1, address: 'a', type: 't', zone: 'z', spot: true };
  const { part, ...rest } = machine;
  assert.deepEqual(decodeMachineRecord({ ...machine, later: 1 }), { ...rest, shard: part });
  for (const changes of [{ part: '1' }, { address: null }, { type: undefined }, { zone: 1 }, { spot: 'yes' }])
    assert.equal(decodeMachineRecord({ ...machine, ...changes }), null);
  assert.equal(decodeMembership({}), null);
  assert.equal(decodeMembership({ incarnation: 7 }), null);
  for (const value of [undefined, {}, { token: 'x' }]) assert.equal(decodeFencingToken(value), 0);
  for (const value of [undefined, null, {}, { ms: 'soon' }])
    assert.ok(Number.isNaN(decodeClusterTime(value)));
  const type = { name: 'c4', cpus: 4, gpus: 0, memoryGb: 16 };
  assert.equal(decodeCatalog({ types: [type] })?.length, 1, 'written by a version that stored fewer fields');
  for (const value of [null, {}, { types: 'none' }, { types: [{ ...type, gpus: undefined }] }])
    assert.equal(decodeCatalog(value), null);
});

const NEWS_PART =
  '{"part":1,"machines":[["c4","east",false,2,0,8.5,3],["g8","west",true,1,8,64,1]],"used":{"red":10,"blue":2},' +
  '"spare":{"red":5},"ready":{"img":12},"besides":{"used":{"red":[1,20],"blue":[0,4]},"spare":{"red":[2,0]},' +
  '"ready":{"img":[4,96]}},"images":{"m-1":[["img",1.5],["t",20]]}}';
const MESSAGES: Record<string, string> = {
  news:
    '{"kind":"news","node":"n1","incarnation":"x7","stateOk":true,"use":{"requests":3.5,"writes":1},' +
    `"running":{"req-a":7},"strays":{"2":4},"rented":{"m-9":0},"parts":[${NEWS_PART}]}`,
  'news without a part':
    '{"kind":"news","node":"n1","incarnation":"x7","stateOk":false,"use":{"requests":0,"writes":0},' +
    '"running":{},"strays":{},"rented":{},"parts":[]}',
  'ask, waiting':
    '{"kind":"ask","from":0,"to":2,"team":"red","cpus":4,"gpus":1,"memoryGb":8,"purpose":"waiting"}',
  'ask, gather':
    '{"kind":"ask","from":0,"to":2,"team":"red","cpus":4,"gpus":0,"memoryGb":0,"purpose":"gather"}',
  'ask, remainder':
    '{"kind":"ask","from":1,"to":0,"team":"red","cpus":0.5,"gpus":0,"memoryGb":0,"purpose":"remainder"}',
  cancelled: '{"kind":"cancelled","job":"req-1","version":77}',
  'machines of some types':
    '{"kind":"machines","from":0,"to":1,"cpus":4,"gpus":8,"memoryGb":32,"tasks":5,"types":["g8"],"spot":true,"zone":"east"}',
  'machines of any type':
    '{"kind":"machines","from":0,"to":1,"cpus":4,"gpus":8,"memoryGb":32,"tasks":5,"types":null,"spot":false,"zone":"east"}',
};

for (const [name, text] of Object.entries(MESSAGES))
  test(`a message between controllers keeps its form: ${name}`, () => {
    const decoded = decodePeerMessage(JSON.parse(text));
    assert.ok(decoded);
    assert.deepEqual(JSON.parse(JSON.stringify(encodePeerMessage(decoded))), JSON.parse(text));
  });

/** Builds the peer state of a controller of the production version, as far as announcements update it. */
function productionCore() {
  return {
    clock: { now: () => 0 },
    tuning: { announceExpiry: 1000 },
    settings: { zone: 'east', parts: [] },
    parts: new Map(),
    peers: new Map<string, { running: Map<string, number>; strays: Map<number, number> }>(),
    rentedFor: new Map<string, number>(),
    imageHints: new Map<string, unknown>(),
    ready: new Map<number, Map<string, unknown>>(),
    partNews: new Map<number, { used: Map<string, unknown>; spare: Map<string, unknown> }>(),
    offers: new Map<number, { machines: unknown[] }>(),
  };
}

/** Decodes and re-encodes a message, giving what the production version receives. */
function reencode(text: string): unknown {
  const decoded = decodePeerMessage(JSON.parse(text));
  assert.ok(decoded);
  return JSON.parse(JSON.stringify(encodePeerMessage(decoded)));
}

test('an announcement encoded here is understood by the production version', () => {
  const core = productionCore();
  assert.equal(productionNews.receive(core, reencode(MESSAGES['news'] as string)), null);
  assert.equal(core.peers.get('n1')?.running.get('req-a'), 7);
  assert.equal(core.peers.get('n1')?.strays.get(2), 4);
  assert.equal(core.rentedFor.get('m-9'), 0);
  assert.deepEqual(core.imageHints.get('m-1'), [
    ['img', 1.5],
    ['t', 20],
  ]);
  assert.deepEqual(core.ready.get(1)?.get('img'), { cpus: 12, gpus: 4, memoryGb: 96 });
  assert.deepEqual(core.partNews.get(1)?.used.get('blue'), { cpus: 2, gpus: 0, memoryGb: 4 });
  assert.deepEqual(core.partNews.get(1)?.spare.get('red'), { cpus: 5, gpus: 2, memoryGb: 0 });
  assert.equal(core.offers.get(1)?.machines.length, 2);
});

test('requests for quota encoded here are understood by the production version', () => {
  for (const [name, text] of Object.entries(MESSAGES).filter(([key]) => key.startsWith('ask')))
    assert.deepEqual(productionNews.receive(productionCore(), reencode(text)), JSON.parse(text), name);
});

test('messages of earlier versions: absent optional fields get safe defaults', () => {
  const { memoryGb, purpose, ...ask } = JSON.parse(MESSAGES['ask, waiting'] as string) as Record<
    string,
    unknown
  >;
  assert.deepEqual([memoryGb, purpose], [8, 'waiting']);
  assert.deepEqual(encodePeerMessage(decodePeerMessage(ask) as never), {
    ...ask,
    memoryGb: 0,
    purpose: 'waiting',
  });
  const { besides, ...part } = JSON.parse(NEWS_PART) as Record<string, unknown>;
  assert.ok(besides);
  const news = { ...(JSON.parse(MESSAGES['news'] as string) as object), parts: [part] };
  const decoded = decodePeerMessage(news);
  assert.ok(decoded?.kind === 'capacityAnnouncement');
  assert.deepEqual(decoded.shards[0]?.used.get('red' as never), { cpus: 10, gpus: 0, memoryGb: 0 });
});

test('unknown fields of a message are ignored; an unknown kind or a field of the wrong type makes it invalid', () => {
  for (const text of Object.values(MESSAGES)) {
    const sent = JSON.parse(text) as Record<string, unknown>;
    assert.deepEqual(decodePeerMessage({ ...sent, later: 1 }), decodePeerMessage(sent));
    assert.equal(decodePeerMessage({ ...sent, kind: 'later' }), null);
    for (const field of Object.keys(sent))
      assert.equal(decodePeerMessage({ ...sent, [field]: Symbol('wrong') }), null, `${text}: ${field}`);
  }
  for (const value of [undefined, null, 7, 'text', [], {}]) assert.equal(decodePeerMessage(value), null);
});

test('messages between controllers of the production version are decoded and encoded without loss', async () => {
  const build = await loadProductionBuild();
  const cluster = new SimulatedCluster(SMALL_CLUSTER);
  cluster.buildOf = () => build;
  for (let i = 0; i < 4; i += 1) cluster.addWorker('large', i % 2 ? 'east' : 'west');
  await cluster.start();
  const kinds = new Set<string>();
  for (const node of cluster.nodes) {
    const receive = node.receiveFromPeer;
    node.receiveFromPeer = (message) => {
      const decoded = decodePeerMessage(message);
      assert.ok(decoded, JSON.stringify(message));
      const encoded = JSON.parse(JSON.stringify(encodePeerMessage(decoded))) as { kind: string };
      assert.deepEqual(encoded, JSON.parse(JSON.stringify(message)));
      kinds.add(encoded.kind);
      receive?.(message);
    };
  }
  for (let job = 0; job < 12; job += 1)
    await cluster.submit(job % 3, `req-${job}`, {
      tasks: 4,
      cpus: 2,
      runMs: 8000,
      team: job % 2 ? 'red' : 'blue',
    });
  await cluster.step(1500);
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(12_000);
  assert.ok(kinds.has('news') && kinds.has('cancelled'), [...kinds].join(', '));
  assert.deepEqual(cluster.violations, []);
});
