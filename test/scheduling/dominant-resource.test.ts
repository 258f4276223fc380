/** Decisions follow the dominant resource: on machines with 8 GPUs and 64 CPUs, CPUs alone are misleading. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_REVISION } from '../../src/model/units.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import type { Core } from '../../src/core.js';
import { planScaleOut, type ScaleOutContext } from '../../src/autoscaling/scale-out-plan.js';
import { assignJob } from '../../src/overflow/assignment.js';
import type { AssignmentContext } from '../../src/overflow/assignment-context.js';
import { composeAnnouncement, capacityByImage, receiveMessage } from '../../src/overflow/announcement.js';
import { seededRandom } from '../../src/model/random.js';
import { encodePeerMessage } from '../../src/peers/codec.js';
import type { encodeQuotaTransferRequest } from '../../src/peers/request-codec.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { ZERO, type Resources } from '../../src/model/resources.js';
import { statisticsOf } from '../../src/shards/statistics.js';
import { allocate, newMachine, Shard, type Allocation } from '../../src/shards/model.js';
import { chooseRelocation } from '../../src/scheduling/consolidation.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import { quotaKey } from '../../src/quota/codec.js';
import { RangeSet } from '../../src/model/ranges.js';
import { StoreCache } from '../../src/store/cache.js';
import type { ShardId, SteadyMs, TeamId, InstanceTypeId } from '../../src/model/units.js';
import { RegisteredMachines } from '../../src/shards/registered-machines.js';
import { chooseShard } from '../../src/workers/shard-choice.js';
import { CycleRunner, type CycleRunnerOptions } from '../support/cycle-runner.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { assertTraceMatches } from '../support/recorded-trace.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const GPU_MACHINE: Resources = { cpus: 64, gpus: 8, memoryGb: 512 };
const GPU_TYPE = { ...GPU_MACHINE, name: 'gpu', zones: ['east'], price: 17, spotPrice: 8, bootS: 40 };
const TYPES = new Map([['gpu' as InstanceTypeId, GPU_TYPE as unknown as InstanceType]]);
const NOW = 1_000_000 as SteadyMs;
const SERVICE = { kind: 'service', priority: 0, cpus: 5, gpus: 1, memoryGb: 38 };

/** GPU machines, and teams that may use all of them without a guarantee. */
const onGpuMachines = (options: CycleRunnerOptions = {}): CycleRunnerOptions => ({
  capacity: GPU_MACHINE,
  team: { gpusMax: 100 },
  shardQuota: { cpus: Infinity, gpus: 100, memoryGb: Infinity },
  ...options,
});

const countOccurrences = (text: string, substring: string): number => text.split(substring).length - 1;

test('ordering: of jobs that can meet their deadline, the one with the smaller dominant share comes first', () => {
  const runner = new CycleRunner(1, onGpuMachines());
  const common = { deadlineS: 600, estimateS: 60, priority: 2 };
  runner.addJob('req-gpus', { ...common, tasks: 3, cpus: 1, gpus: 4 });
  runner.addJob('req-cpus', { ...common, tasks: 4, cpus: 4, gpus: 1 });
  assert.match(runner.runCycle(), /^start req-cpus\/0.*start req-cpus\/3/);
});

test('free capacity: as many tasks start as there are free GPUs, though CPUs and memory are left', () => {
  const runner = new CycleRunner(2, onGpuMachines());
  runner.addJob('req-a', { tasks: 20, cpus: 1, gpus: 1 });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 16);
});

test('quota: a job that fits the shard quota in CPUs and not in GPUs waits, and one without GPUs starts', () => {
  const shardQuota = { cpus: 100, gpus: 3, memoryGb: Infinity };
  const runner = new CycleRunner(1, onGpuMachines({ team: { cpusMax: 100, gpusMax: 3 }, shardQuota }));
  runner.addJob('req-gpus', { tasks: 8, cpus: 2, gpus: 1 });
  runner.addJob('req-cpus', { tasks: 4, cpus: 2, gpus: 0 });
  const decisions = runner.runCycle();
  assert.deepEqual(
    [countOccurrences(decisions, 'start req-gpus'), countOccurrences(decisions, 'start req-cpus')],
    [3, 4],
  );
});

test('preemption: of two tasks, the one that loses less work, measured by its dominant resource, is stopped', () => {
  const runner = new CycleRunner(1, onGpuMachines());
  runner.addJob('req-gpus', { tasks: 1, cpus: 1, gpus: 4, priority: 3 });
  runner.addJob('req-cpus', { tasks: 1, cpus: 8, gpus: 4, priority: 3 });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 2);
  runner.addJob('req-web', { ...SERVICE, gpus: 4 });
  // Both lose 4 GPUs for the same time: their CPUs make no difference, and the task that started first is stopped.
  assert.equal(runner.runCycle(), 'stop req-cpus/0');
  const otherRunner = new CycleRunner(1, onGpuMachines());
  otherRunner.addJob('req-gpus', { tasks: 1, cpus: 1, gpus: 6, priority: 3 });
  otherRunner.addJob('req-cpus', { tasks: 1, cpus: 8, gpus: 2, priority: 3 });
  assert.equal(countOccurrences(otherRunner.runCycle(), 'start'), 2);
  otherRunner.addJob('req-web', { ...SERVICE, gpus: 1 });
  assert.equal(
    otherRunner.runCycle(),
    'stop req-cpus/0',
    '8 CPUs and 2 GPUs are less than 1 CPU and 6 GPUs for the same time',
  );
});

test('preemption: work that takes GPUs and no CPUs is preempted too', () => {
  const runner = new CycleRunner(1, onGpuMachines());
  runner.addJob('req-gpus', { tasks: 8, cpus: 0, gpus: 1, priority: 3 });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 8);
  runner.addJob('req-web', SERVICE);
  assert.equal(runner.runCycle(), 'stop req-gpus/0');
});

test('guaranteed quota: a team reclaims the GPUs that another team uses above its own guarantee, and no more', () => {
  const runner = new CycleRunner(1, onGpuMachines({ team: { gpus: 5, gpusMax: 100 } }));
  runner.addJob('req-big', { tasks: 8, cpus: 1, gpus: 1, team: 'red' });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 8);
  runner.addJob('req-mine', { tasks: 5, cpus: 1, gpus: 1, team: 'blue' });
  const decisions = Array.from({ length: 6 }, () => runner.runCycle()).join('; ');
  assert.equal(countOccurrences(decisions, 'stop req-big'), 3, decisions);
  assert.equal(countOccurrences(decisions, 'start req-mine'), 3);
});

test('guaranteed quota: GPUs that a team uses on other shards count against its guarantee', () => {
  const runner = new CycleRunner(1, onGpuMachines({ team: { gpus: 5, gpusMax: 100 } }));
  runner.usedElsewhere = { ...ZERO, gpus: 2 };
  runner.addJob('req-big', { tasks: 8, cpus: 1, gpus: 1, team: 'red' });
  runner.runCycle();
  runner.addJob('req-mine', { tasks: 5, cpus: 1, gpus: 1, team: 'blue' });
  const decisions = Array.from({ length: 6 }, () => runner.runCycle()).join('; ');
  assert.equal(countOccurrences(decisions, 'stop req-big'), 5, decisions);
});

test('a team at its GPU quota preempts only as much of its lower-priority work as frees the GPUs needed', () => {
  const shardQuota = { cpus: Infinity, gpus: 6, memoryGb: Infinity };
  const runner = new CycleRunner(2, onGpuMachines({ shardQuota }));
  runner.addJob('req-cpus', { tasks: 4, cpus: 1, gpus: 0, priority: 3 });
  runner.addJob('req-gpus', { tasks: 6, cpus: 20, gpus: 1, priority: 2 });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 10);
  runner.addJob('req-web', { ...SERVICE, tasks: 3 });
  const decisions = runner.runCycle();
  assert.deepEqual(
    [countOccurrences(decisions, 'stop req-gpus'), countOccurrences(decisions, 'stop req-cpus')],
    [3, 0],
    decisions,
  );
});

test('crowding: a new machine gets replicas up to half of its GPUs', () => {
  const runner = new CycleRunner(1, onGpuMachines({ machinesAddedAt: 1_001_000 }));
  runner.addJob('req-web', { ...SERVICE, cpus: 1, memoryGb: 1, tasks: 8 });
  assert.equal(countOccurrences(runner.runCycle(), 'start'), 4);
});

test('packing: batch work fills the machine with the fewest GPUs left, though it has more CPUs left', () => {
  const runner = new CycleRunner(2, onGpuMachines());
  for (const machineId of ['m-0', 'm-1']) runner.cacheImage(machineId, 'i');
  runner.addRunningTask('req-few-cpus', 'm-0', { cpus: 1, gpus: 6, image: 'i' });
  runner.addRunningTask('req-many-cpus', 'm-1', { cpus: 40, gpus: 2, image: 'i' });
  runner.addJob('req-a', { tasks: 1, cpus: 1, gpus: 1 });
  assert.equal(runner.runCycle(), 'start req-a/0 on m-0');
});

test('spreading: a task whose image no machine holds starts where most GPUs are free', () => {
  const runner = new CycleRunner(2, onGpuMachines());
  runner.addRunningTask('req-few-cpus', 'm-0', { cpus: 1, gpus: 6 });
  runner.addRunningTask('req-many-cpus', 'm-1', { cpus: 40, gpus: 2 });
  runner.addJob('req-a', { tasks: 1, cpus: 1, gpus: 1, image: 'other' });
  assert.equal(runner.runCycle(), 'start req-a/0 on m-1');
});

/** Builds a shard with machines by name, each with a number of replicas of one GPU, or with the given replicas. */
function shardWith(load: Record<string, number | Partial<JobSpec>[]>, changes: Partial<JobSpec> = {}): Shard {
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  const spec = buildJobSpec({ id: 'req-s', ...SERVICE, tasks: 50, image: 'img', ...changes });
  const assignments = [{ from: 0, to: 50, shard: shard.id, zone: null }];
  const record = { spec, homeShard: shard.id, acceptedRevision: 0, assignments, done: RangeSet.empty() };
  syncConfirmedJob(shard, record as never, 1 as never, 0 as SteadyMs, false);
  let index = 0;
  for (const [name, replicas] of Object.entries(load)) {
    const machine = newMachine({
      id: name as never,
      address: 'a:1' as never,
      type: 'gpu' as never,
      zone: 'east' as never,
      spot: false,
      addedAt: NOW,
      reconciled: true,
      registeredVersion: NO_REVISION,
    });
    machine.lastMessageAt = NOW;
    shard.addMachine(machine);
    shard.recordImage(machine, 'img' as never, 1);
    const specChanges: Partial<JobSpec>[] =
      typeof replicas === 'number' ? Array.from({ length: replicas }, () => ({})) : replicas;
    for (const changes of specChanges) {
      const runningSince = NOW - 90_000;
      allocate(shard, machine, {
        id: `req-s/${index}`,
        job: spec.id,
        index,
        machine: machine.id,
        spec: { ...spec, ...changes },
        phase: 'running',
        allocatedAt: runningSince,
        runningSince,
        stop: null,
      } as unknown as Allocation);
      index += 1;
    }
  }
  return shard;
}

test('consolidation: only while half of the GPUs are free, and to machines with free GPUs', () => {
  const move = (load: Parameters<typeof shardWith>[0]): string => {
    const relocation = chooseRelocation(shardWith(load, { cpus: 1, memoryGb: 1 }), {
      now: NOW,
      types: TYPES,
      heartbeatIntervalMs: 1500,
    });
    return relocation ? `${relocation.allocation.machine} -> ${relocation.target.id}` : 'stays';
  };
  assert.deepEqual(
    {
      'half of the GPUs are free': move({ a: 1, b: 5, c: 4, d: 3, idle: 0, idler: 0 }),
      'less than half of the GPUs are free': move({ a: 1, b: 7, c: 4, d: 4, e: 5 }),
      'the most loaded machine has no free GPU': move({ a: 1, b: 8, c: 4, d: 3, i1: 0, i2: 0 }),
      'one GPU and 30 CPUs are less than 4 GPUs': move({ a: [{ cpus: 30 }], b: 4, i1: 0, i2: 0, i3: 0 }),
      'there is room for one of two replicas': move({ a: 2, b: 7, i1: 0, i2: 0, i3: 0 }),
      'two machines have room for one replica each': move({ a: 2, b: 7, c: 7, i1: 0, i2: 0, i3: 0 }),
    },
    {
      'half of the GPUs are free': 'a -> b',
      'less than half of the GPUs are free': 'stays',
      'the most loaded machine has no free GPU': 'a -> c',
      'one GPU and 30 CPUs are less than 4 GPUs': 'a -> b',
      'there is room for one of two replicas': 'stays',
      'two machines have room for one replica each': 'a -> b',
    },
  );
});

const ANNOUNCEMENT_CONTEXT = {
  settings: { node: 'n1', shards: [{ shard: 0 }, { shard: 1 }] },
  types: TYPES,
  heartbeatIntervalMs: 1500,
};

test('announcements: usage, unused quota and capacity by cached image include GPUs and memory', () => {
  const shard = shardWith({ a: 3, b: 0 });
  const core = {
    ...ANNOUNCEMENT_CONTEXT,
    clock: { now: () => NOW },
    tuning: { announcementExpiry: 1000 },
    shards: new Map([[shard.id, shard]]),
    freeCapacity: new Map(),
    criticalCapacityByImage: new Map(),
    unregisteredOwnMachines: new Map(),
    store: { usage: { requests: 1, writes: 1 } },
    storeHealthy: () => true,
    incarnation: 'n1-1',
  } as unknown as Core;
  core.criticalCapacityByImage.set(shard.id, capacityByImage(core, shard));
  const unusedQuota = new Map([['red' as TeamId, { cpus: 0, gpus: 7, memoryGb: 0 }]]);
  const announcement = encodePeerMessage(composeAnnouncement(core, () => unusedQuota, new Map()));
  assert.ok(announcement.kind === 'news');
  const peer = {
    ...core,
    shards: new Map(),
    peers: new Map(),
    shardAnnouncements: new Map(),
    criticalCapacityByImage: new Map(),
  };
  Object.assign(peer, { intendedShards: new Map(), imageHints: new Map(), freeCapacity: new Map() });
  receiveMessage(peer as unknown as Core, JSON.parse(JSON.stringify(announcement)));
  const announced = (peer as unknown as Core).shardAnnouncements.get(shard.id);
  assert.deepEqual(announced?.usage.get('red' as TeamId), { cpus: 15, gpus: 3, memoryGb: 114 });
  assert.deepEqual(announced.unusedQuota.get('red' as TeamId), { cpus: 0, gpus: 7, memoryGb: 0 });
  assert.deepEqual((peer as unknown as Core).criticalCapacityByImage.get(shard.id)?.get('img' as never), {
    cpus: 113,
    gpus: 13,
    memoryGb: 910,
  });
  // Earlier versions announce CPUs only.
  const oldParts = announcement.parts.map((part) => ({ ...part, besides: undefined }));
  receiveMessage(peer as unknown as Core, JSON.parse(JSON.stringify({ ...announcement, parts: oldParts })));
  assert.deepEqual(announced.usage.get('red' as TeamId)?.gpus, 3, 'the earlier announcement is not modified');
  const newAnnouncement = (peer as unknown as Core).shardAnnouncements.get(shard.id);
  assert.deepEqual(newAnnouncement?.usage.get('red' as TeamId), { cpus: 15, gpus: 0, memoryGb: 0 });
});

test('a new service is assigned to the shard with free GPUs where its image is cached, not to the one with free CPUs', () => {
  const cachedCapacity = (amount: Resources) => new Map([['img', amount]]);
  const ctx = {
    now: NOW,
    homeShard: 0,
    homeZone: 'east',
    shards: [0, 1, 2].map((shard) => ({ shard, zone: 'east' })),
    zones: ['east'],
    types: [GPU_TYPE],
    freeCapacity: new Map(),
    imageCapacity: new Map([
      [0, cachedCapacity({ cpus: 200, gpus: 1, memoryGb: 900 })],
      [1, cachedCapacity({ cpus: 60, gpus: 8, memoryGb: 500 })],
      [2, cachedCapacity({ cpus: 100, gpus: 5, memoryGb: 900 })],
    ]),
    random: seededRandom(1),
  } as unknown as AssignmentContext;
  const chosenShards = (tasks: number): string =>
    assignJob(buildJobSpec({ ...SERVICE, tasks, image: 'img' }), ctx)
      .map((assignment) => `${assignment.from}-${assignment.to} at ${assignment.shard}`)
      .join(', ');
  assert.equal(chosenShards(4), '0-4 at 1');
  assert.equal(chosenShards(14), '0-1 at 0, 1-9 at 1, 9-14 at 2');
});

/** Returns the quota requested from each of two other shards for tasks that wait on a third, local shard. */
function requestedTransfers(
  team: Parameters<typeof buildTeam>[0],
  unusedQuota: Resources[],
  waiting: Resources,
): string {
  const red = buildTeam(team);
  const requests: ReturnType<typeof encodeQuotaTransferRequest>[] = [];
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  const core = {
    settings: { teams: new Map([[red.name, red]]), shards: [{ shard: 0 }, { shard: 1 }, { shard: 2 }] },
    storeCache: new StoreCache(() => undefined),
    clock: { now: () => NOW },
    shards: new Map([[shard.id, shard]]),
    shardAnnouncements: new Map(
      unusedQuota.map((amount, i) => [
        i + 1,
        { expiresAt: NOW + 1, unusedQuota: new Map([[red.name, amount]]) },
      ]),
    ),
    shardRecord: (shardId: number) => ({ leader: `n${shardId}` }),
    peerTransport: {
      send: (_: string, request: ReturnType<typeof encodeQuotaTransferRequest>) => requests.push(request),
    },
  } as unknown as Core;
  core.storeCache.apply(quotaKey(red.name), undefined, 1 as never);
  new QuotaTransferService(core).requestQuota(shard, red.name, waiting);
  return requests.map((request) => `${request.cpus} CPUs, ${request.gpus} GPUs of ${request.to}`).join('; ');
}

test('quota transfer: CPUs, GPUs or both are requested from the shard with most of the missing quota unused', () => {
  const gpus = (count: number): Resources => ({ ...ZERO, gpus: count });
  const cpus = (count: number): Resources => ({ ...ZERO, cpus: count });
  const waiting = { cpus: 200, gpus: 40, memoryGb: 900 };
  assert.equal(requestedTransfers({ gpusMax: 30 }, [gpus(2), gpus(9)], waiting), '0 CPUs, 40 GPUs of 2');
  assert.equal(requestedTransfers({ cpusMax: 30 }, [cpus(9), cpus(2)], waiting), '200 CPUs, 0 GPUs of 1');
  const both = { cpusMax: 3000, gpusMax: 30 };
  assert.equal(
    requestedTransfers(both, [{ ...cpus(900), gpus: 1 }, gpus(8)], waiting),
    '0 CPUs, 40 GPUs of 2',
  );
  const bothShort = { cpusMax: 30, gpusMax: 30 };
  const unusedQuota = [
    { ...cpus(9), gpus: 1 },
    { ...cpus(8), gpus: 8 },
  ];
  assert.equal(requestedTransfers(bothShort, unusedQuota, waiting), '200 CPUs, 40 GPUs of 2');
  assert.equal(
    requestedTransfers({ gpusMax: 30 }, [ZERO, cpus(500)], waiting),
    '',
    'no shard has unused GPU quota',
  );
});

test('quota transfer: unused GPU quota moves to the shard where tasks wait', async () => {
  const config: ClusterConfig = {
    ...SMALL_CLUSTER,
    machineTypes: [{ name: 'gpu', ...GPU_MACHINE }],
    teams: [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 4, gpusMax: 12 }],
  };
  const cluster = new SimulatedCluster(config);
  for (let i = 0; i < 2; i += 1) cluster.addWorker('gpu', 'west');
  await cluster.start();
  // All machines are in the west, and so is the shard that may schedule on them: its quota is 4 of 12 GPUs.
  await cluster.submit(1, 'req-1', { tasks: 12, cpus: 2, gpus: 1, runMs: 8000, zone: 'west' });
  await cluster.step(12_000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'gpu-shares-move');
});

test('scale-out: GPU demand is sized by GPUs, and CPU work gets machines that cost less for it', () => {
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
  const plan = (changes: Partial<Record<keyof JobSpec, unknown>>, tasks: number): string =>
    planScaleOut([{ spec: buildJobSpec(changes), requiredZone: null, count: tasks, waitedMs: 2000 }], ctx)
      .map((rental) => `${rental.count} ${rental.type}`)
      .join(', ');
  assert.equal(plan({ cpus: 5, gpus: 1 }, 8), '', 'the pending machine has 8 GPUs');
  assert.equal(plan({ cpus: 1, gpus: 1 }, 17), '2 gpu');
  assert.equal(plan({ cpus: 8, gpus: 0 }, 16), '1 cpu');
  assert.equal(plan({ cpus: 1, gpus: 0, memoryGb: 256 }, 4), '1 cpu', 'sized by memory');
});

test('a new machine goes to the next shard in turn unless that is clearly larger by CPUs or GPUs', () => {
  const types = new Map([
    ['gpu', { cpus: 8, gpus: 8, memoryGb: 64 }],
    ['cpu', { cpus: 64, gpus: 0, memoryGb: 64 }],
    ['half', { cpus: 32, gpus: 0, memoryGb: 64 }],
  ]);
  const shardFor = (machines: (readonly [shard: number, type: string])[]): number => {
    const registered = new RegisteredMachines();
    machines.forEach(([shard, type], i) => registered.update(`m-${i}` as never, { shard, type } as never));
    const chosenShards = [0, 1].map((shard) => ({ shard, zone: 'east' }));
    const core = {
      settings: { shards: chosenShards },
      registeredMachines: registered,
      types,
    } as unknown as Core;
    return chooseShard(core, { zone: 'east' as never, machine: 'm-7' as never });
  };
  const machinesOf = (shard: number, type: string, count: number) =>
    Array.from({ length: count }, () => [shard, type] as const);
  assert.equal(
    shardFor([...machinesOf(0, 'gpu', 3), ...machinesOf(1, 'cpu', 3)]),
    1,
    '24 GPUs and 192 CPUs count the same',
  );
  assert.equal(
    shardFor([...machinesOf(0, 'cpu', 3), ...machinesOf(1, 'gpu', 5)]),
    0,
    '40 GPUs are clearly more',
  );
  assert.equal(shardFor([...machinesOf(0, 'cpu', 1), ...machinesOf(1, 'cpu', 3)]), 0, 'by CPUs only');
  assert.equal(
    shardFor([...machinesOf(0, 'cpu', 2), ...machinesOf(1, 'half', 5)]),
    1,
    'not by memory: 128 and 160 CPUs',
  );
});

test('statistics: usage, free capacity and demand include every resource', () => {
  const shard = shardWith({ a: 3, b: 0 });
  const shardQuota = (): Resources => ({ cpus: Infinity, gpus: 5, memoryGb: Infinity });
  const statistics = statisticsOf(shard, NOW, 1500, shardQuota);
  assert.deepEqual(statistics.capacity, { cpus: 128, gpus: 16, memoryGb: 1024 });
  assert.deepEqual(statistics.free, { cpus: 113, gpus: 13, memoryGb: 910 });
  assert.deepEqual(statistics.allocated.running, { cpus: 15, gpus: 3, memoryGb: 114 });
  assert.deepEqual(statistics.teams['red'], {
    usage: { cpus: 15, gpus: 3, memoryGb: 114 },
    shardQuota: { cpus: Infinity, gpus: 5, memoryGb: Infinity },
    waiting: { cpus: 235, gpus: 47, memoryGb: 1786 },
  });
});

test('a stored catalog is replaced when only the GPUs or the memory of a type have changed', async () => {
  const cluster = new SimulatedCluster({ ...SMALL_CLUSTER, machineTypes: [{ name: 'gpu', ...GPU_MACHINE }] });
  cluster.addWorker('gpu', 'east');
  await cluster.start();
  const stored = (): Resources[] =>
    (cluster.store.entries.get('c/catalog')?.data as { types: Resources[] } | undefined)?.types ?? [];
  assert.equal(stored()[0]?.gpus, 8);
  const [type] = stored();
  Object.assign(type as object, { gpus: 4 });
  for (const node of cluster.nodes.keys()) cluster.killNode(node);
  await cluster.start();
  assert.equal(stored()[0]?.gpus, 8);
});
