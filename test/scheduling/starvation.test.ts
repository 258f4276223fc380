/** No job keeps waiting while a suitable machine has capacity and its team is within its quota. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_REVISION } from '../../src/model/units.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import type { Core } from '../../src/core.js';
import { assignJob } from '../../src/overflow/assignment.js';
import type { AssignmentContext } from '../../src/overflow/assignment-context.js';
import { computeFreeCapacity } from '../../src/overflow/announcement.js';
import { chooseTaskTransfer } from '../../src/overflow/task-transfer.js';
import {
  chooseZoneReassignment,
  ZONE_REASSIGNMENT_DELAY_MS,
  type ZoneReassignment,
} from '../../src/overflow/zone-reassignment.js';
import { seededRandom } from '../../src/model/random.js';
import { taskCapacity } from '../../src/overflow/peer-ranking.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import { UNLIMITED, ZERO } from '../../src/model/resources.js';
import { newMachine, Shard, type ShardJob } from '../../src/shards/model.js';
import { planCycle } from '../../src/scheduling/plan.js';
import { OVERDUE_AFTER_MS, type SchedulingContext } from '../../src/scheduling/cycle.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { ShardId, SteadyMs, TeamId, ZoneId } from '../../src/model/units.js';
import { flushPromises } from '../support/simulated-clock.js';
import { createQuotaTransferService } from '../support/quota-transfer-service.js';
import { IdleCapacityMonitor } from '../support/idle-capacity-monitor.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { SimulatedCluster, type JobOptions } from '../support/simulated-cluster.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const NOW = 1_000_000 as SteadyMs;
const EAST = 'east' as ZoneId;
const WEST = 'west' as ZoneId;
const OWN_SHARD = 0 as ShardId;
/** Requirement: the longest time that a job may wait although it could run. */
const MAX_WAIT_MS = 90_000;

const machineTypeIn = (name: string, ...zones: string[]): InstanceType =>
  ({ name, cpus: 8, gpus: 0, memoryGb: 64, zones }) as unknown as InstanceType;
const TYPES = new Map([['large', machineTypeIn('large', 'east', 'west')]]) as never;

const freeCapacity = (shard: number, zone: string, cpus: number): FreeCapacity => {
  const machines =
    cpus > 0 ? [{ type: 'large', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }] : [];
  return { shard, zone, expiresAt: NOW + 9000, machines } as unknown as FreeCapacity;
};

/**
 * Builds a shard in the east with the given number of machines there, and one job with the given assignments: first task,
 * end of the range, shard and zone.
 */
function shardWith(
  machines: number,
  spec: Parameters<typeof buildJobSpec>[0],
  assignments: readonly (readonly [number, number, number, string | null])[],
): { shard: Shard; job: ShardJob } {
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  for (let i = 0; i < machines; i += 1) {
    const machine = newMachine({
      id: `m-${i}` as never,
      address: '' as never,
      type: 'large' as never,
      zone: EAST,
      spot: false,
      addedAt: 0 as never,
      reconciled: true,
      registeredVersion: NO_REVISION,
    });
    machine.lastMessageAt = NOW;
    shard.addMachine(machine);
  }
  const record = {
    spec: buildJobSpec(spec),
    homeShard: 0,
    assignments: assignments.map(([from, to, shardId, zone]) => ({ from, to, shard: shardId, zone })),
    done: RangeSet.empty(),
  } as never;
  syncConfirmedJob(shard, record, 1 as never, 0 as SteadyMs, false);
  return { shard, job: [...shard.jobs.values()][0] as ShardJob };
}

const buildCore = (capacities: readonly FreeCapacity[]): Core =>
  ({
    settings: { shards: [], zone: EAST, zones: [EAST, WEST], maxValueBytes: 4000 },
    tuning: { announcementExpiry: 10_000 },
    clock: { now: () => NOW },
    heartbeatIntervalMs: 1500,
    gangWaitMs: 30_000,
    types: TYPES,
    freeCapacity: new Map(capacities.map((capacity) => [capacity.shard, capacity])),
    random: seededRandom(1),
  }) as unknown as Core;

test('tasks are assigned only to zones in which the cloud has machines that can take them', () => {
  const types = [machineTypeIn('common', 'east', 'west'), machineTypeIn('rare', 'west')];
  const ctx = {
    now: NOW,
    homeShard: 0,
    homeZone: EAST,
    shards: [
      { shard: 0, zone: EAST },
      { shard: 1, zone: WEST },
    ],
    zones: [EAST, WEST],
    types,
    freeCapacity: new Map(),
    imageCapacity: new Map(),
    random: seededRandom(1),
  } as unknown as AssignmentContext;
  const oneZoneAssignments = assignJob(buildJobSpec({ tasks: 4, oneZone: true, types: ['rare'] }), ctx);
  assert.deepEqual(oneZoneAssignments, [{ from: 0, to: 4, shard: 1, zone: WEST }]);
  const spreadAssignments = assignJob(buildJobSpec({ tasks: 4, spread: true, types: ['rare'] }), ctx);
  assert.deepEqual(
    spreadAssignments.map((assignment) => [assignment.from, assignment.to, assignment.zone]),
    [
      [0, 2, WEST],
      [2, 4, ''],
    ],
  );
});

test('many tasks that wait for a full zone do not keep tasks from starting in the other zone', () => {
  const { shard } = shardWith(2, { tasks: 600, spread: true }, [
    [0, 300, 0, 'west'],
    [300, 600, 0, 'east'],
  ]);
  const ctx = {
    now: NOW,
    types: TYPES,
    teams: new Map(),
    shardQuota: () => ({ cpus: 2000, gpus: 0, memoryGb: Infinity }),
    usageOnOtherShards: () => 0,
    guaranteed: () => false,
    peerHasCapacity: () => false,
    maxLatenessFactor: () => 1,
    runtimeCorrection: () => 1,
    heartbeatIntervalMs: 1500,
    gangWaitMs: 30_000,
  } as unknown as SchedulingContext;
  const plan = planCycle(shard, ctx);
  assert.deepEqual(
    plan.starts.map((start) => start.index),
    [300, 301, 302, 303, 304, 305, 306, 307],
  );
  const unplacedIndices = plan.unplaced.flatMap((entry) => (entry.indices === 'all' ? [] : entry.indices));
  assert.ok(
    unplacedIndices.some((i) => i < 300) && unplacedIndices.some((i) => i >= 300),
    'tasks of both zones are reported as unplaced',
  );
});

test('tasks for which no peer has capacity in their zone do not keep other tasks of the job from being transferred', () => {
  const { shard, job } = shardWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'east'],
    [2, 4, 0, 'west'],
  ]);
  const unplaced = [{ job, reason: 'capacity' as const, indices: [0, 1, 2, 3] }];
  const choice = chooseTaskTransfer(buildCore([freeCapacity(1, 'west', 8)]), shard, unplaced, NOW);
  assert.deepEqual(choice?.tasks.ranges(), [[2, 4]]);
  assert.equal(choice.receivingShard, 1);
});

test('tasks that wait for another zone, or back off, do not reduce the free capacity that the shard announces', () => {
  const spec = buildJobSpec({ id: 'req-2' });
  const elsewhere = shardWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'west']]);
  assert.equal(taskCapacity(computeFreeCapacity(buildCore([]), elsewhere.shard), spec, null), 8);
  const here = shardWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'east']]);
  assert.equal(taskCapacity(computeFreeCapacity(buildCore([]), here.shard), spec, null), 0);
  here.job.backoffUntil = (NOW + 20_000) as SteadyMs;
  assert.equal(taskCapacity(computeFreeCapacity(buildCore([]), here.shard), spec, null), 8);
});

test('waiting tasks change only to a zone that may take more of the job, after a delay, and if none of them runs', () => {
  const ctx = (...capacities: FreeCapacity[]): Parameters<typeof chooseZoneReassignment>[3] => ({
    now: NOW,
    homeZone: EAST,
    shards: [{ shard: OWN_SHARD, zone: EAST }],
    zones: [EAST, WEST],
    types: [machineTypeIn('large', 'east', 'west')],
    freeCapacity: new Map(capacities.map((capacity) => [capacity.shard, capacity])),
    random: seededRandom(1),
  });
  const choose = (
    job: ShardJob,
    context: ReturnType<typeof ctx>,
    waitedMs = ZONE_REASSIGNMENT_DELAY_MS,
    shard = OWN_SHARD,
  ): ZoneReassignment | null => {
    job.waitingSince = (NOW - waitedMs) as SteadyMs;
    return chooseZoneReassignment(shard, job, WEST, context);
  };
  const east = ctx(freeCapacity(0, 'east', 8));
  const spreadJob = shardWith(0, { tasks: 3, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 3, 0, 'east'],
  ]).job;
  const moved = choose(spreadJob, east);
  assert.deepEqual([moved?.tasks.ranges(), moved?.zone, moved?.shard], [[[0, 1]], EAST, 0]);
  assert.equal(
    choose(spreadJob, east, ZONE_REASSIGNMENT_DELAY_MS - 1),
    null,
    'its zone may have capacity soon',
  );
  assert.equal(choose(spreadJob, ctx(freeCapacity(0, 'east', 1))), null, 'no capacity there');
  spreadJob.waiting.removeRange(0, 2);
  assert.equal(choose(spreadJob, east), null, 'its tasks are, or may be, on machines');
  const evenlySpreadJob = shardWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 4, 1, 'east'],
  ]).job;
  assert.equal(choose(evenlySpreadJob, east), null, 'half of the tasks are assigned there already');
  const oneZoneJob = shardWith(0, { tasks: 3, oneZone: true }, [[0, 3, 0, 'west']]).job;
  assert.deepEqual(choose(oneZoneJob, east)?.tasks.ranges(), [[0, 3]]);
  oneZoneJob.waiting.remove(1);
  assert.equal(choose(oneZoneJob, east), null, 'one task runs: the others stay in its zone');
  const splitJob = shardWith(0, { tasks: 3, oneZone: true }, [
    [0, 1, 0, 'west'],
    [1, 3, 1, 'west'],
  ]).job;
  assert.equal(choose(splitJob, east), null, 'the others may run on the other shard');
  const reunited = choose(splitJob, east, ZONE_REASSIGNMENT_DELAY_MS, 2 as ShardId);
  assert.deepEqual([reunited?.tasks.ranges(), reunited?.zone, reunited?.shard], [[[0, 1]], WEST, 0]);
  const jobWithZone = shardWith(0, { tasks: 3, oneZone: true, zone: 'west' }, [[0, 3, 0, 'west']]).job;
  assert.equal(choose(jobWithZone, east), null, 'the user requires the zone');
});

async function startCluster(...zones: string[]): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return cluster;
}

const countRunningTasks = (cluster: SimulatedCluster, id: string): number =>
  [...cluster.workers.values()]
    .flatMap((machine) => machine.runningTasks())
    .filter((task) => task.taskId.startsWith(`${id}/`)).length;

/** Submits a job whose tasks must all be in one zone. */
const submitOneZoneJob = (
  cluster: SimulatedCluster,
  node: number,
  id: string,
  options: JobOptions,
): Promise<unknown> =>
  cluster.sendUserRequest(node, 'POST', '/v2/runs', {
    ...cluster.submissionBody(id, options),
    samePlace: true,
  });

for (const killLeader of [false, true]) {
  const lossDescription = killLeader ? 'with its controller' : 'alone';
  test(`a zone's machines are lost ${lossDescription}: tasks that may run in the other zone do, and none waits there`, async () => {
    const cluster = await startCluster('west', 'west', 'west', 'east', 'east');
    await cluster.submit(0, 'req-1', { service: true, tasks: 3, spread: true });
    await submitOneZoneJob(cluster, 1, 'req-2', { tasks: 2, runMs: 200_000 });
    await cluster.submit(2, 'req-3', { tasks: 3, runMs: 200_000 });
    await cluster.step(6000);
    assert.equal(countRunningTasks(cluster, 'req-1'), 3);
    for (const machine of [...cluster.workers.values()])
      if (machine.zone === 'west') cluster.removeWorker(machine.id, 'lost');
    if (killLeader) cluster.killNode(1);
    const monitor = new IdleCapacityMonitor(cluster, new Set(['req-2']));
    await monitor.step(150_000);
    assert.deepEqual(cluster.violations, []);
    assert.equal(countRunningTasks(cluster, 'req-1'), 2, 'half of three, rounded up, may be in the east');
    assert.equal(countRunningTasks(cluster, 'req-2'), 2);
    assert.equal(countRunningTasks(cluster, 'req-3'), 3);
    assert.ok(
      monitor.longestWaitMs < MAX_WAIT_MS,
      `${monitor.longestWaitingJob} waited ${monitor.longestWaitMs} ms although it could run`,
    );
  });
}

/** Requirement: the largest jobs of each class start within this time. */
const MAX_START_MS = 240_000;

/** Submits more work than capacity: small jobs of both teams and of two priorities all the time, and large jobs in between. */
async function submitOverload(
  cluster: SimulatedCluster,
  durationMs: number,
  intervalMs: number,
  large: readonly (readonly [string, JobOptions])[],
): Promise<void> {
  const startedAt = cluster.clock.now();
  let smallCount = 0;
  let largeCount = 0;
  for (let at = 0; at < durationMs; at += intervalMs) {
    const kind = smallCount % 4;
    const priority = kind < 2 ? 'urgent' : 'standard';
    const small = {
      tasks: 1 + (smallCount % 2),
      runMs: 6000,
      team: kind % 2 === 0 ? 'red' : 'blue',
      priority,
    };
    void cluster.request(
      smallCount % 3,
      'POST',
      '/v2/runs',
      cluster.submissionBody(`req-${1000 + smallCount}`, small),
    );
    const due = at >= 18_000 + 4000 * largeCount ? large[largeCount] : undefined;
    if (due) largeCount += 1;
    if (due) await cluster.submit(smallCount % 3, due[0], due[1]);
    smallCount += 1;
    await cluster.step(Math.max(0, startedAt + at + intervalMs - cluster.clock.now()));
  }
}

test('under overload by urgent and standard jobs the largest jobs start in time and no team starves, also over slow links', async () => {
  // Each task takes longer over slow links. The intervals make the overload equal in both cases.
  for (const [linkMs, intervalMs] of [
    [1, 600],
    [300, 670],
  ] as const) {
    const cluster = await startCluster('east', 'east', 'west', 'west');
    cluster.linkLatencyMs = linkMs;
    const large: [string, JobOptions][] = ['standard', 'urgent', 'best_effort'].flatMap((priority, i) => [
      [`req-${10 + i}`, { tasks: 30, runMs: 15_000, team: 'red', priority }] as [string, JobOptions],
      [`req-${20 + i}`, { tasks: 2, cpus: 8, runMs: 15_000, team: 'blue', priority }] as [string, JobOptions],
    ]);
    await submitOverload(cluster, 300_000, intervalMs, large);
    const startDelaysS = large.map(([id]) => {
      const submitLine = cluster.traceLines.find((line) => line.includes(` POST /${id} `)) ?? '';
      const runLine = cluster.traceLines.find((line) => line.includes(` runs ${id}/`));
      return runLine ? Math.round(Number(runLine.slice(0, 7)) - Number(submitLine.slice(0, 7))) : Infinity;
    });
    assert.deepEqual(cluster.violations, []);
    assert.ok(
      Math.max(...startDelaysS) * 1000 <= MAX_START_MS,
      `links of ${linkMs} ms: started after ${startDelaysS.join(', ')} s`,
    );
    for (const [team, fraction] of startedFractions(cluster))
      assert.ok(
        fraction >= 0.5,
        `links of ${linkMs} ms: of the jobs of ${team} ${fraction.toFixed(2)} started`,
      );
  }
});

/** Returns the fraction of each team's jobs of which some task has started. */
function startedFractions(cluster: SimulatedCluster): Map<string, number> {
  const startedJobs = new Set(
    cluster.traceLines.flatMap((line) => / runs (\S+)\/\d+$/.exec(line)?.[1] ?? []),
  );
  const counts = new Map<string, { all: number; started: number }>();
  for (const [id, job] of cluster.jobs) {
    const counter = counts.get(job.team) ?? { all: 0, started: 0 };
    counts.set(job.team, { all: counter.all + 1, started: counter.started + (startedJobs.has(id) ? 1 : 0) });
  }
  return new Map([...counts].map(([team, counter]) => [team, counter.started / counter.all]));
}

const RED = 'red' as TeamId;

test('an overdue task that needs more of its team’s quota than is free reserves it against smaller tasks of the team', () => {
  const { shard, job } = shardWith(3, { id: 'req-small', tasks: 20, cpus: 2 }, [[0, 20, 0, null]]);
  (job as { acceptedAt: SteadyMs }).acceptedAt = NOW;
  const record = {
    spec: buildJobSpec({ id: 'req-large', cpus: 8 }),
    homeShard: 0,
    assignments: [{ from: 0, to: 1, shard: 0, zone: null }],
    done: RangeSet.empty(),
  } as never;
  const starts = (ageMs: number): string[] => {
    shard.jobs.delete('req-large' as never);
    syncConfirmedJob(shard, record, 2 as never, NOW, false, ageMs as never);
    const plan = planCycle(shard, {
      now: NOW,
      types: TYPES,
      teams: new Map(),
      shardQuota: () => ({ ...UNLIMITED, cpus: 7, gpus: 0 }),
      usageOnOtherShards: () => ZERO,
      maxServiceUsageOnOtherShards: () => ZERO,
      guaranteed: () => false,
      peerHasCapacity: () => false,
      maxLatenessFactor: () => 1,
      runtimeCorrection: () => 1,
      heartbeatIntervalMs: 1500,
      gangWaitMs: 30_000,
    });
    shard.quotaReservations = plan.quotaReservations;
    return plan.starts.map((start) => start.job.id);
  };
  assert.equal(starts(1000).length, 3);
  assert.equal(shard.quotaReservations.size, 0);
  assert.deepEqual(starts(OVERDUE_AFTER_MS + 1), []);
  assert.deepEqual([...shard.quotaReservations], [[RED, { cpus: 8, gpus: 0, memoryGb: 1 }]]);
});

test('quota remainders too small for any task are merged on one shard; the lower id has precedence', async () => {
  const red = buildTeam({ cpus: 12, cpusMax: 24 });
  const shards = [0, 1].map((id) => {
    const shard = new Shard(id as ShardId, 1 as never, 1 as never, 0 as SteadyMs, TYPES);
    shard.reconciled = true;
    const assignments = [{ from: 0, to: 10, shard: id, zone: null }];
    const spec = buildJobSpec({ id: `req-${id}`, tasks: 10, cpus: 9 });
    syncConfirmedJob(shard, { spec, assignments, done: RangeSet.empty() } as never, 2 as never, NOW, false);
    return shard;
  });
  const [first, second] = shards as [Shard, Shard];
  let now = NOW as number;
  const transferService = createQuotaTransferService(red, shards, 3, () => (now += 1000));
  const shardQuotas = async (): Promise<number[]> => {
    await flushPromises();
    return [first, second].map((shard) => transferService.shardQuota(shard.id, RED).cpus);
  };
  const request = { cpus: 90, gpus: 0, memoryGb: 10 };
  transferService.requestQuota(first, RED, request);
  assert.deepEqual(await shardQuotas(), [8, 8], 'tasks wait on both shards: neither transfers quota');
  second.quotaReservations = first.quotaReservations = new Map([[RED, { cpus: 9, gpus: 0, memoryGb: 1 }]]);
  transferService.requestQuota(second, RED, request);
  assert.deepEqual(await shardQuotas(), [8, 8], 'the first shard collects quota itself');
  transferService.requestQuota(first, RED, request);
  assert.deepEqual(await shardQuotas(), [9, 7]);
});
