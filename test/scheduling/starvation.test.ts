/** No job is left waiting while a machine that fits has capacity and its team is within its quota. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_REVISION } from '../../src/model/units.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import type { Core } from '../../src/core.js';
import { assignJob, type AssignmentContext } from '../../src/overflow/assignment.js';
import { freeCapacityOf } from '../../src/overflow/announcement.js';
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
/** What the task says: a job may be left waiting no longer than this, in milliseconds. */
const MAX_WAIT_MS = 90_000;

const machineTypeIn = (name: string, ...zones: string[]): InstanceType =>
  ({ name, cpus: 8, gpus: 0, memoryGb: 64, zones }) as unknown as InstanceType;
const TYPES = new Map([['large', machineTypeIn('large', 'east', 'west')]]) as never;

const freeCapacity = (shard: number, zone: string, cpus: number): FreeCapacity => {
  const machines =
    cpus > 0 ? [{ type: 'large', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }] : [];
  return { shard, zone, expiresAt: NOW + 9000, machines } as unknown as FreeCapacity;
};

/** A shard in the east with so many machines there, and one job whose tasks are assigned as given. */
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
    machine.lastHeardAt = NOW;
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

const core = (capacities: readonly FreeCapacity[]): Core =>
  ({
    settings: { shards: [], zone: EAST, zones: [EAST, WEST], maxValueBytes: 4000 },
    tuning: { announcementExpiry: 10_000 },
    clock: { now: () => NOW },
    heartbeatIntervalMs: 1500,
    gangWaitMs: 30_000,
    types: TYPES,
    freeCapacity: new Map(capacities.map((o) => [o.shard, o])),
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
  const together = assignJob(buildJobSpec({ tasks: 4, oneZone: true, types: ['rare'] }), ctx);
  assert.deepEqual(together, [{ from: 0, to: 4, shard: 1, zone: WEST }]);
  const apart = assignJob(buildJobSpec({ tasks: 4, spread: true, types: ['rare'] }), ctx);
  assert.deepEqual(
    apart.map((a) => [a.from, a.to, a.zone]),
    [
      [0, 2, WEST],
      [2, 4, ''],
    ],
  );
});

test('many tasks that wait for a full zone keep no task from starting in the other', () => {
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
    plan.starts.map((s) => s.index),
    [300, 301, 302, 303, 304, 305, 306, 307],
  );
  const shown = plan.unplaced.flatMap((u) => (u.indices === 'all' ? [] : u.indices));
  assert.ok(shown.some((i) => i < 300) && shown.some((i) => i >= 300), 'both zones are asked for elsewhere');
});

test('tasks for which no peer has capacity in their zone keep no others of the job from being transferred', () => {
  const { shard, job } = shardWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'east'],
    [2, 4, 0, 'west'],
  ]);
  const unplaced = [{ job, reason: 'capacity' as const, indices: [0, 1, 2, 3] }];
  const choice = chooseTaskTransfer(core([freeCapacity(1, 'west', 8)]), shard, unplaced, NOW);
  assert.deepEqual(choice?.tasks.ranges(), [[2, 4]]);
  assert.equal(choice.receivingShard, 1);
});

test('tasks that wait for another zone, or back off, do not hide this shard’s free capacity from peers', () => {
  const ask = buildJobSpec({ id: 'req-2' });
  const elsewhere = shardWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'west']]);
  assert.equal(taskCapacity(freeCapacityOf(core([]), elsewhere.shard), ask, null), 8);
  const here = shardWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'east']]);
  assert.equal(taskCapacity(freeCapacityOf(core([]), here.shard), ask, null), 0);
  here.job.backoffUntil = (NOW + 20_000) as SteadyMs;
  assert.equal(taskCapacity(freeCapacityOf(core([]), here.shard), ask, null), 8);
});

test('waiting tasks change their zone only where the job may have more, none is running, and after a while', () => {
  const ctx = (...capacities: FreeCapacity[]): Parameters<typeof chooseZoneReassignment>[3] => ({
    now: NOW,
    homeZone: EAST,
    zones: [EAST, WEST],
    types: [machineTypeIn('large', 'east', 'west')],
    freeCapacity: new Map(capacities.map((o) => [o.shard, o])),
    random: seededRandom(1),
  });
  const choose = (
    job: ShardJob,
    at: ReturnType<typeof ctx>,
    waited = ZONE_REASSIGNMENT_DELAY_MS,
    shard = OWN_SHARD,
  ): ZoneReassignment | null => {
    job.waitingSince = (NOW - waited) as SteadyMs;
    return chooseZoneReassignment(shard, job, WEST, at);
  };
  const east = ctx(freeCapacity(0, 'east', 8));
  const apart = shardWith(0, { tasks: 3, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 3, 0, 'east'],
  ]).job;
  const moved = choose(apart, east);
  assert.deepEqual([moved?.tasks.ranges(), moved?.zone, moved?.shard], [[[0, 1]], EAST, 0]);
  assert.equal(choose(apart, east, ZONE_REASSIGNMENT_DELAY_MS - 1), null, 'its zone may have capacity soon');
  assert.equal(choose(apart, ctx(freeCapacity(0, 'east', 1))), null, 'no capacity there');
  apart.waiting.removeRange(0, 2);
  assert.equal(choose(apart, east), null, 'on a machine, or perhaps');
  const full = shardWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 4, 1, 'east'],
  ]).job;
  assert.equal(choose(full, east), null, 'half of the tasks belong there already');
  const together = shardWith(0, { tasks: 3, oneZone: true }, [[0, 3, 0, 'west']]).job;
  assert.deepEqual(choose(together, east)?.tasks.ranges(), [[0, 3]]);
  together.waiting.remove(1);
  assert.equal(choose(together, east), null, 'one runs: the others stay with it');
  const split = shardWith(0, { tasks: 3, oneZone: true }, [
    [0, 1, 0, 'west'],
    [1, 3, 1, 'west'],
  ]).job;
  assert.equal(choose(split, east), null, 'the others may run on the other shard');
  const reunited = choose(split, east, ZONE_REASSIGNMENT_DELAY_MS, 2 as ShardId);
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
    .filter((t) => t.taskId.startsWith(`${id}/`)).length;

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
  const how = killLeader ? 'with its controller' : 'alone';
  test(`a zone's machines are lost ${how}: what may run in the other zone does, and nothing waits there`, async () => {
    const cluster = await startCluster('west', 'west', 'west', 'east', 'east');
    await cluster.submit(0, 'req-1', { service: true, tasks: 3, spread: true });
    await submitOneZoneJob(cluster, 1, 'req-2', { tasks: 2, runMs: 200_000 });
    await cluster.submit(2, 'req-3', { tasks: 3, runMs: 200_000 });
    await cluster.step(6000);
    assert.equal(countRunningTasks(cluster, 'req-1'), 3);
    for (const machine of [...cluster.workers.values()])
      if (machine.zone === 'west') cluster.removeWorker(machine.id, 'lost');
    if (killLeader) cluster.killNode(1);
    const watch = new IdleCapacityMonitor(cluster, new Set(['req-2']));
    await watch.step(150_000);
    assert.deepEqual(cluster.violations, []);
    assert.equal(countRunningTasks(cluster, 'req-1'), 2, 'half of three, rounded up, may be in the east');
    assert.equal(countRunningTasks(cluster, 'req-2'), 2);
    assert.equal(countRunningTasks(cluster, 'req-3'), 3);
    assert.ok(
      watch.longestWaitMs < MAX_WAIT_MS,
      `${watch.longestWaitingJob} waited ${watch.longestWaitMs} ms for nothing`,
    );
  });
}

/** What the task says: the largest jobs of each class begin within this time, in milliseconds. */
const MAX_START_MS = 240_000;

/** More work than capacity: small jobs of both teams and priorities all the time; the large ones arrive amid them. */
async function overload(
  cluster: SimulatedCluster,
  forMs: number,
  intervalMs: number,
  large: readonly (readonly [string, JobOptions])[],
): Promise<void> {
  const from = cluster.clock.now();
  let next = 0;
  let sent = 0;
  for (let at = 0; at < forMs; at += intervalMs) {
    const kind = next % 4;
    const priority = kind < 2 ? 'urgent' : 'standard';
    const small = {
      tasks: 1 + (next % 2),
      runMs: 6000,
      team: kind % 2 === 0 ? 'red' : 'blue',
      priority,
    };
    void cluster.request(next % 3, 'POST', '/v2/runs', cluster.submissionBody(`req-${1000 + next}`, small));
    const due = at >= 18_000 + 4000 * sent ? large[sent] : undefined;
    if (due) sent += 1;
    if (due) await cluster.submit(next % 3, due[0], due[1]);
    next += 1;
    await cluster.step(Math.max(0, from + at + intervalMs - cluster.clock.now()));
  }
}

test('more work than capacity, urgent and not, over slow links: the largest start in time, nobody starves', async () => {
  // Each task costs more time over slow links: as much more work than capacity in both.
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
    await overload(cluster, 300_000, intervalMs, large);
    const begun = large.map(([id]) => {
      const asked = cluster.traceLines.find((l) => l.includes(` POST /${id} `)) ?? '';
      const first = cluster.traceLines.find((l) => l.includes(` runs ${id}/`));
      return first ? Math.round(Number(first.slice(0, 7)) - Number(asked.slice(0, 7))) : Infinity;
    });
    assert.deepEqual(cluster.violations, []);
    assert.ok(Math.max(...begun) * 1000 <= MAX_START_MS, `${linkMs}: begun after ${begun.join(', ')} s`);
    for (const [what, fraction] of startedFractions(cluster))
      assert.ok(fraction >= 0.5, `${linkMs}: of ${what} ${fraction.toFixed(2)} was served`);
  }
});

/** Of each team's jobs, the share of which some task has begun. */
function startedFractions(cluster: SimulatedCluster): Map<string, number> {
  const begun = new Set(cluster.traceLines.flatMap((l) => / runs (\S+)\/\d+$/.exec(l)?.[1] ?? []));
  const counts = new Map<string, { all: number; begun: number }>();
  for (const [id, job] of cluster.jobs) {
    const counter = counts.get(job.team) ?? { all: 0, begun: 0 };
    counts.set(job.team, { all: counter.all + 1, begun: counter.begun + (begun.has(id) ? 1 : 0) });
  }
  return new Map([...counts].map(([what, counter]) => [what, counter.begun / counter.all]));
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
      servicesOnOtherShards: () => ZERO,
      guaranteed: () => false,
      peerHasCapacity: () => false,
      maxLatenessFactor: () => 1,
      runtimeCorrection: () => 1,
      heartbeatIntervalMs: 1500,
      gangWaitMs: 30_000,
    });
    shard.quotaReservations = plan.quotaReservations;
    return plan.starts.map((s) => s.job.id);
  };
  assert.equal(starts(1000).length, 3);
  assert.equal(shard.quotaReservations.size, 0);
  assert.deepEqual(starts(OVERDUE_AFTER_MS + 1), []);
  assert.deepEqual([...shard.quotaReservations], [[RED, { cpus: 8, gpus: 0, memoryGb: 1 }]]);
});

test('quota remainders too small for any task are merged on one shard, the lower id first', async () => {
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
    return [first, second].map((p) => transferService.shardQuota(p.id, RED).cpus);
  };
  const ask = { cpus: 90, gpus: 0, memoryGb: 10 };
  transferService.requestQuota(first, RED, ask);
  assert.deepEqual(await shardQuotas(), [8, 8], 'both have tasks that wait: neither gives');
  second.quotaReservations = first.quotaReservations = new Map([[RED, { cpus: 9, gpus: 0, memoryGb: 1 }]]);
  transferService.requestQuota(second, RED, ask);
  assert.deepEqual(await shardQuotas(), [8, 8], 'the first shard collects quota itself');
  transferService.requestQuota(first, RED, ask);
  assert.deepEqual(await shardQuotas(), [9, 7]);
});
