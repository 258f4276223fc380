/** Each decision goes by the dominant resource: on machines with 8 GPUs and 64 CPUs, CPUs alone mislead. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../src/cloud/wire.js';
import type { Core } from '../src/core.js';
import { planScaleOut, type ScaleOutContext } from '../src/autoscaling/scale-out-plan.js';
import { assignJob, type AssignmentContext } from '../src/overflow/assignment.js';
import { composeAnnouncement, capacityByImage, receiveMessage } from '../src/overflow/announcement.js';
import { seededRandom } from '../src/overflow/peer-ranking.js';
import { encodePeerMessage } from '../src/peers/codec.js';
import type { QuotaTransferRequest } from '../src/peers/messages.js';
import type { JobSpec } from '../src/jobs/spec.js';
import { ZERO, type Resources } from '../src/model/resources.js';
import { statisticsOf } from '../src/shards/statistics.js';
import { allocate, newMachine, Shard, syncJob, type Allocation } from '../src/shards/model.js';
import { chooseRelocation } from '../src/scheduling/consolidation.js';
import { QuotaTransferService } from '../src/quota/transfer-service.js';
import { quotaKey } from '../src/quota/shard-quota.js';
import { RangeSet } from '../src/model/ranges.js';
import { StoreCache } from '../src/store/cache.js';
import type { ShardId, SteadyMs, TeamId, InstanceTypeId } from '../src/model/units.js';
import { RegisteredMachines } from '../src/shards/registered-machines.js';
import { chooseShard } from '../src/workers/registration.js';
import { Rounds, type RoundsOptions } from './standins/rounds.js';
import { plainSpec, plainTeam } from './standins/spec.js';
import { checkTrace } from './standins/trace.js';
import { SMALL, World, type Shape } from './standins/world.js';

const GPU_MACHINE: Resources = { cpus: 64, gpus: 8, memoryGb: 512 };
const GPU_TYPE = { ...GPU_MACHINE, name: 'gpu', zones: ['east'], price: 17, spotPrice: 8, bootS: 40 };
const TYPES = new Map([['gpu' as InstanceTypeId, GPU_TYPE as unknown as InstanceType]]);
const NOW = 1_000_000 as SteadyMs;
const SERVICE = { kind: 'service', priority: 0, cpus: 5, gpus: 1, memoryGb: 38 };

/** Teams that may use everything, with no guarantee. */
const onGpuMachines = (o: RoundsOptions = {}): RoundsOptions => ({
  capacity: GPU_MACHINE,
  team: { gpusMax: 100 },
  share: { cpus: Infinity, gpus: 100, memoryGb: Infinity },
  ...o,
});

const count = (text: string, what: string): number => text.split(what).length - 1;

test('rank: among jobs in time the one that needs less of its dominant resource goes first', () => {
  const w = new Rounds(1, onGpuMachines());
  const common = { deadlineS: 600, estimateS: 60, priority: 2 };
  w.job('req-gpus', { ...common, tasks: 3, cpus: 1, gpus: 4 });
  w.job('req-cpus', { ...common, tasks: 4, cpus: 4, gpus: 1 });
  assert.match(w.round(), /^start req-cpus\/0.*start req-cpus\/3/);
});

test('room: as many tasks start as GPUs are free, though CPUs and memory are left', () => {
  const w = new Rounds(2, onGpuMachines());
  w.job('req-a', { tasks: 20, cpus: 1, gpus: 1 });
  assert.equal(count(w.round(), 'start'), 16);
});

test('limit: a job that fits into its share in CPUs and not in GPUs waits, and one without GPUs starts', () => {
  const share = { cpus: 100, gpus: 3, memoryGb: Infinity };
  const w = new Rounds(1, onGpuMachines({ team: { cpusMax: 100, gpusMax: 3 }, share }));
  w.job('req-gpus', { tasks: 8, cpus: 2, gpus: 1 });
  w.job('req-cpus', { tasks: 4, cpus: 2, gpus: 0 });
  const said = w.round();
  assert.deepEqual([count(said, 'start req-gpus'), count(said, 'start req-cpus')], [3, 4]);
});

test('victims: of two tasks the one with less work lost by its dominant resource is stopped', () => {
  const w = new Rounds(1, onGpuMachines());
  w.job('req-gpus', { tasks: 1, cpus: 1, gpus: 4, priority: 3 });
  w.job('req-cpus', { tasks: 1, cpus: 8, gpus: 4, priority: 3 });
  assert.equal(count(w.round(), 'start'), 2);
  w.job('req-web', { ...SERVICE, gpus: 4 });
  // Both lose 4 GPUs for as long: their CPUs make no difference, and the first that was started is taken.
  assert.equal(w.round(), 'stop req-cpus/0');
  const v = new Rounds(1, onGpuMachines());
  v.job('req-gpus', { tasks: 1, cpus: 1, gpus: 6, priority: 3 });
  v.job('req-cpus', { tasks: 1, cpus: 8, gpus: 2, priority: 3 });
  assert.equal(count(v.round(), 'start'), 2);
  v.job('req-web', { ...SERVICE, gpus: 1 });
  assert.equal(v.round(), 'stop req-cpus/0', '8 CPUs and 2 GPUs for a time are less than 1 CPU and 6 GPUs');
});

test('victims: work that takes GPUs and no CPUs makes way too', () => {
  const w = new Rounds(1, onGpuMachines());
  w.job('req-gpus', { tasks: 8, cpus: 0, gpus: 1, priority: 3 });
  assert.equal(count(w.round(), 'start'), 8);
  w.job('req-web', SERVICE);
  assert.equal(w.round(), 'stop req-gpus/0');
});

test('guarantee: a team gets GPUs back from work above the guarantee of another, and no more', () => {
  const w = new Rounds(1, onGpuMachines({ team: { gpus: 5, gpusMax: 100 } }));
  w.job('req-big', { tasks: 8, cpus: 1, gpus: 1, team: 'red' });
  assert.equal(count(w.round(), 'start'), 8);
  w.job('req-mine', { tasks: 5, cpus: 1, gpus: 1, team: 'blue' });
  const rounds = Array.from({ length: 6 }, () => w.round()).join('; ');
  assert.equal(count(rounds, 'stop req-big'), 3, rounds);
  assert.equal(count(rounds, 'start req-mine'), 3);
});

test('guarantee: what a team uses on other parts counts in GPUs as well', () => {
  const w = new Rounds(1, onGpuMachines({ team: { gpus: 5, gpusMax: 100 } }));
  w.elsewhere = { ...ZERO, gpus: 2 };
  w.job('req-big', { tasks: 8, cpus: 1, gpus: 1, team: 'red' });
  w.round();
  w.job('req-mine', { tasks: 5, cpus: 1, gpus: 1, team: 'blue' });
  const rounds = Array.from({ length: 6 }, () => w.round()).join('; ');
  assert.equal(count(rounds, 'stop req-big'), 5, rounds);
});

test('a team at its GPU limit stops as much of its lesser work as frees the GPUs, and none without GPUs', () => {
  const share = { cpus: Infinity, gpus: 6, memoryGb: Infinity };
  const w = new Rounds(2, onGpuMachines({ share }));
  w.job('req-cpus', { tasks: 4, cpus: 1, gpus: 0, priority: 3 });
  w.job('req-gpus', { tasks: 6, cpus: 20, gpus: 1, priority: 2 });
  assert.equal(count(w.round(), 'start'), 10);
  w.job('req-web', { ...SERVICE, tasks: 3 });
  const said = w.round();
  assert.deepEqual([count(said, 'stop req-gpus'), count(said, 'stop req-cpus')], [3, 0], said);
});

test('crowding: a machine that has just come gets replicas up to half of its GPUs', () => {
  const w = new Rounds(1, onGpuMachines({ since: 1_001_000 }));
  w.job('req-web', { ...SERVICE, cpus: 1, memoryGb: 1, tasks: 8 });
  assert.equal(count(w.round(), 'start'), 4);
});

test('packing: batch work fills the machine with the fewest GPUs left, though it has more CPUs left', () => {
  const w = new Rounds(2, onGpuMachines());
  for (const m of ['m-0', 'm-1']) w.holds(m, 'i');
  w.place('req-few-cpus', 'm-0', { cpus: 1, gpus: 6, image: 'i' });
  w.place('req-many-cpus', 'm-1', { cpus: 40, gpus: 2, image: 'i' });
  w.job('req-a', { tasks: 1, cpus: 1, gpus: 1 });
  assert.equal(w.round(), 'start req-a/0 on m-0');
});

test('spreading: what finds its image nowhere goes where most GPUs are free', () => {
  const w = new Rounds(2, onGpuMachines());
  w.place('req-few-cpus', 'm-0', { cpus: 1, gpus: 6 });
  w.place('req-many-cpus', 'm-1', { cpus: 40, gpus: 2 });
  w.job('req-a', { tasks: 1, cpus: 1, gpus: 1, image: 'other' });
  assert.equal(w.round(), 'start req-a/0 on m-1');
});

/** A part with machines by name, and on each so many replicas of one GPU, or replicas as given. */
function partWith(load: Record<string, number | Partial<JobSpec>[]>, o: Partial<JobSpec> = {}): Shard {
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  const spec = plainSpec({ id: 'req-s', ...SERVICE, tasks: 50, image: 'img', ...o });
  const assignments = [{ from: 0, to: 50, shard: shard.id, zone: null }];
  const record = { spec, homeShard: shard.id, acceptedRevision: 0, assignments, done: RangeSet.empty() };
  syncJob(shard, record as never, 1 as never, 0 as SteadyMs, false);
  let index = 0;
  for (const [name, replicas] of Object.entries(load)) {
    const m = newMachine(name as never, 'a:1' as never, 'gpu' as never, 'east' as never, false, NOW, true);
    m.lastHeardAt = NOW;
    shard.addMachine(m);
    shard.recordImage(m, 'img' as never, 1);
    const list: Partial<JobSpec>[] =
      typeof replicas === 'number' ? Array.from({ length: replicas }, () => ({})) : replicas;
    for (const changes of list) {
      const since = NOW - 90_000;
      allocate(shard, m, {
        id: `req-s/${index}`,
        job: spec.id,
        index,
        machine: m.id,
        spec: { ...spec, ...changes },
        phase: 'running',
        allocatedAt: since,
        runningSince: since,
        stop: null,
      } as unknown as Allocation);
      index += 1;
    }
  }
  return shard;
}

test('moving together: only while half of the GPUs are free, and to where GPUs are free', () => {
  const move = (load: Parameters<typeof partWith>[0]): string => {
    const found = chooseRelocation(partWith(load, { cpus: 1, memoryGb: 1 }), {
      now: NOW,
      types: TYPES,
      reportMs: 1500,
    });
    return found ? `${found.allocation.machine} -> ${found.target.id}` : 'stays';
  };
  assert.deepEqual(
    {
      'half is free': move({ a: 1, b: 5, c: 4, d: 3, idle: 0, idler: 0 }),
      'less than half of the GPUs is free': move({ a: 1, b: 7, c: 4, d: 4, e: 5 }),
      'the fullest has no GPU left': move({ a: 1, b: 8, c: 4, d: 3, i1: 0, i2: 0 }),
      'one GPU and 30 CPUs are less than 4 GPUs': move({ a: [{ cpus: 30 }], b: 4, i1: 0, i2: 0, i3: 0 }),
      'there is room for one of two': move({ a: 2, b: 7, i1: 0, i2: 0, i3: 0 }),
      'there is room for one on each of two': move({ a: 2, b: 7, c: 7, i1: 0, i2: 0, i3: 0 }),
    },
    {
      'half is free': 'a -> b',
      'less than half of the GPUs is free': 'stays',
      'the fullest has no GPU left': 'a -> c',
      'one GPU and 30 CPUs are less than 4 GPUs': 'a -> b',
      'there is room for one of two': 'stays',
      'there is room for one on each of two': 'a -> b',
    },
  );
});

const NEWS = {
  settings: { node: 'n1', shards: [{ shard: 0 }, { shard: 1 }] },
  types: TYPES,
  heartbeatIntervalMs: 1500,
};

test('announcements: what is used, spare and ready is told in GPUs and memory as well', () => {
  const shard = partWith({ a: 3, b: 0 });
  const core = {
    ...NEWS,
    clock: { now: () => NOW },
    tuning: { announcementExpiry: 1000 },
    shards: new Map([[shard.id, shard]]),
    freeCapacity: new Map(),
    readyCapacity: new Map(),
    unregisteredOwnMachines: new Map(),
    store: { usage: { requests: 1, writes: 1 } },
    storeHealthy: () => true,
    incarnation: 'n1-1',
  } as unknown as Core;
  core.readyCapacity.set(shard.id, capacityByImage(core, shard));
  const spare = new Map([['red' as TeamId, { cpus: 0, gpus: 7, memoryGb: 0 }]]);
  const news = encodePeerMessage(composeAnnouncement(core, () => spare, new Map()));
  assert.ok(news.kind === 'news');
  const peer = {
    ...core,
    shards: new Map(),
    peers: new Map(),
    shardAnnouncements: new Map(),
    readyCapacity: new Map(),
  };
  Object.assign(peer, { intendedShards: new Map(), imageHints: new Map(), freeCapacity: new Map() });
  receiveMessage(peer as unknown as Core, JSON.parse(JSON.stringify(news)));
  const told = (peer as unknown as Core).shardAnnouncements.get(shard.id);
  assert.deepEqual(told?.usage.get('red' as TeamId), { cpus: 15, gpus: 3, memoryGb: 114 });
  assert.deepEqual(told.unusedQuota.get('red' as TeamId), { cpus: 0, gpus: 7, memoryGb: 0 });
  assert.deepEqual((peer as unknown as Core).readyCapacity.get(shard.id)?.get('img' as never), {
    cpus: 113,
    gpus: 13,
    memoryGb: 910,
  });
  // An earlier version tells CPUs alone.
  const old = news.parts.map((p) => ({ ...p, besides: undefined }));
  receiveMessage(peer as unknown as Core, JSON.parse(JSON.stringify({ ...news, parts: old })));
  assert.deepEqual(told.usage.get('red' as TeamId)?.gpus, 3, 'what was told before is kept apart');
  const again = (peer as unknown as Core).shardAnnouncements.get(shard.id);
  assert.deepEqual(again?.usage.get('red' as TeamId), { cpus: 15, gpus: 0, memoryGb: 0 });
});

test('a new service goes to the part that has GPUs where its image is, not to the one with CPUs', () => {
  const ready = (amount: Resources) => new Map([['img', amount]]);
  const ctx = {
    now: NOW,
    homeShard: 0,
    homeZone: 'east',
    shards: [0, 1, 2].map((shard) => ({ shard, zone: 'east' })),
    zones: ['east'],
    types: [GPU_TYPE],
    freeCapacity: new Map(),
    imageCapacity: new Map([
      [0, ready({ cpus: 200, gpus: 1, memoryGb: 900 })],
      [1, ready({ cpus: 60, gpus: 8, memoryGb: 500 })],
      [2, ready({ cpus: 100, gpus: 5, memoryGb: 900 })],
    ]),
    random: seededRandom(1),
  } as unknown as AssignmentContext;
  const parts = (tasks: number): string =>
    assignJob(plainSpec({ ...SERVICE, tasks, image: 'img' }), ctx)
      .map((a) => `${a.from}-${a.to} at ${a.shard}`)
      .join(', ');
  assert.equal(parts(4), '0-4 at 1');
  assert.equal(parts(14), '0-1 at 0, 1-9 at 1, 9-14 at 2');
});

/** A desk of three parts, the first of them ours and its tasks waiting; what it asks of whom. */
function asks(team: Parameters<typeof plainTeam>[0], spare: Resources[], waiting: Resources): string {
  const red = plainTeam(team);
  const sent: QuotaTransferRequest[] = [];
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  const core = {
    settings: { teams: new Map([[red.name, red]]), shards: [{ shard: 0 }, { shard: 1 }, { shard: 2 }] },
    storeCache: new StoreCache(() => undefined),
    clock: { now: () => NOW },
    shards: new Map([[shard.id, shard]]),
    shardAnnouncements: new Map(
      spare.map((amount, i) => [i + 1, { expiresAt: NOW + 1, unusedQuota: new Map([[red.name, amount]]) }]),
    ),
    shardRecord: (p: number) => ({ leader: `n${p}` }),
    peerTransport: { send: (_: string, ask: QuotaTransferRequest) => sent.push(ask) },
  } as unknown as Core;
  core.storeCache.apply(quotaKey(red.name), undefined, 1 as never);
  new QuotaTransferService(core).requestQuota(shard, red.name, waiting);
  return sent.map((a) => `${a.cpus} CPUs, ${a.gpus} GPUs of ${a.to}`).join('; ');
}

test('lending: asks the part with most to spare of what is short, in CPUs, in GPUs or in both', () => {
  const gpus = (n: number): Resources => ({ ...ZERO, gpus: n });
  const cpus = (n: number): Resources => ({ ...ZERO, cpus: n });
  const waiting = { cpus: 200, gpus: 40, memoryGb: 900 };
  assert.equal(asks({ gpusMax: 30 }, [gpus(2), gpus(9)], waiting), '0 CPUs, 40 GPUs of 2');
  assert.equal(asks({ cpusMax: 30 }, [cpus(9), cpus(2)], waiting), '200 CPUs, 0 GPUs of 1');
  const both = { cpusMax: 3000, gpusMax: 30 };
  assert.equal(asks(both, [{ ...cpus(900), gpus: 1 }, gpus(8)], waiting), '0 CPUs, 40 GPUs of 2');
  const bothShort = { cpusMax: 30, gpusMax: 30 };
  const spare = [
    { ...cpus(9), gpus: 1 },
    { ...cpus(8), gpus: 8 },
  ];
  assert.equal(asks(bothShort, spare, waiting), '200 CPUs, 40 GPUs of 2');
  assert.equal(asks({ gpusMax: 30 }, [ZERO, cpus(500)], waiting), '', 'nobody has any GPU to spare');
});

test('lending: a share of GPUs that nobody uses moves to the part where tasks wait', async () => {
  const shape: Shape = {
    ...SMALL,
    machineTypes: [{ name: 'gpu', ...GPU_MACHINE }],
    teams: [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 4, gpusMax: 12 }],
  };
  const w = new World(shape);
  for (let i = 0; i < 2; i += 1) w.addWorker('gpu', 'west');
  await w.start();
  // All machines are in the west, and so is the part that may place them: its share is 4 of 12 GPUs.
  await w.submit(1, 'req-1', { tasks: 12, cpus: 2, gpus: 1, runMs: 8000, zone: 'west' });
  await w.step(12_000);
  await w.ask(1, 'GET', '/v2/runs/req-1');
  checkTrace(w, 'gpu-shares-move');
});

test('rentals: machines for GPUs by their GPUs, and CPU work on machines that cost less for it', () => {
  const cpuType = { ...GPU_TYPE, name: 'cpu', gpus: 0, price: 6 };
  const ctx = {
    types: [GPU_TYPE, cpuType],
    zones: [],
    homeZone: 'east',
    pendingMachines: [{ type: 'gpu', zone: 'east', spot: false }],
    runningTasks: 0,
    runtimeCorrection: () => 1,
    isBackedOff: () => false,
  } as unknown as ScaleOutContext;
  const plan = (o: Partial<Record<keyof JobSpec, unknown>>, tasks: number): string =>
    planScaleOut([{ spec: plainSpec(o), requiredZone: null, count: tasks, waitedMs: 2000 }], ctx)
      .map((w) => `${w.count} ${w.type}`)
      .join(', ');
  assert.equal(plan({ cpus: 5, gpus: 1 }, 8), '', 'the machine on its way has 8');
  assert.equal(plan({ cpus: 1, gpus: 1 }, 17), '2 gpu');
  assert.equal(plan({ cpus: 8, gpus: 0 }, 16), '1 cpu');
  assert.equal(plan({ cpus: 1, gpus: 0, memoryGb: 256 }, 4), '1 cpu', 'by memory');
});

test('a new machine goes to the part with less of its dominant resource, else by turns', () => {
  const types = new Map([
    ['gpu', { cpus: 8, gpus: 8, memoryGb: 64 }],
    ['cpu', { cpus: 64, gpus: 0, memoryGb: 64 }],
    ['half', { cpus: 32, gpus: 0, memoryGb: 64 }],
  ]);
  const partFor = (machines: (readonly [part: number, type: string])[]): number => {
    const named = new RegisteredMachines();
    machines.forEach(([shard, type], i) => named.update(`m-${i}` as never, { shard, type } as never));
    const parts = [0, 1].map((shard) => ({ shard, zone: 'east' }));
    const core = { settings: { shards: parts }, registeredMachines: named, types } as unknown as Core;
    return chooseShard(core, { zone: 'east' as never, machine: 'm-7' as never });
  };
  const of = (shard: number, type: string, count: number) =>
    Array.from({ length: count }, () => [shard, type] as const);
  assert.equal(partFor([...of(0, 'gpu', 3), ...of(1, 'cpu', 3)]), 1, '24 GPUs and 192 CPUs are alike');
  assert.equal(partFor([...of(0, 'cpu', 3), ...of(1, 'gpu', 5)]), 0, '40 GPUs are clearly ahead');
  assert.equal(partFor([...of(0, 'cpu', 1), ...of(1, 'cpu', 3)]), 0, 'by CPUs alone');
  assert.equal(partFor([...of(0, 'cpu', 2), ...of(1, 'half', 5)]), 1, 'not by memory: 128 and 160 CPUs');
});

test('figures: what is used, free and waiting is told of every resource', () => {
  const shard = partWith({ a: 3, b: 0 });
  const share = (): Resources => ({ cpus: Infinity, gpus: 5, memoryGb: Infinity });
  const figures = statisticsOf(shard, NOW, 1500, share);
  assert.deepEqual(figures.capacity, { cpus: 128, gpus: 16, memoryGb: 1024 });
  assert.deepEqual(figures.free, { cpus: 113, gpus: 13, memoryGb: 910 });
  assert.deepEqual(figures.allocated.running, { cpus: 15, gpus: 3, memoryGb: 114 });
  assert.deepEqual(figures.teams['red'], {
    usage: { cpus: 15, gpus: 3, memoryGb: 114 },
    shardQuota: { cpus: Infinity, gpus: 5, memoryGb: Infinity },
    waiting: { cpus: 235, gpus: 47, memoryGb: 1786 },
  });
});

test('a stored catalog is replaced when only the GPUs or the memory of a type have changed', async () => {
  const w = new World({ ...SMALL, machineTypes: [{ name: 'gpu', ...GPU_MACHINE }] });
  w.addWorker('gpu', 'east');
  await w.start();
  const stored = (): Resources[] =>
    (w.state.rows.get('c/catalog')?.data as { types: Resources[] } | undefined)?.types ?? [];
  assert.equal(stored()[0]?.gpus, 8);
  const [type] = stored();
  Object.assign(type as object, { gpus: 4 });
  for (const n of w.nodes.keys()) w.killNode(n);
  await w.start();
  assert.equal(stored()[0]?.gpus, 8);
});
