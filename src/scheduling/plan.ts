/**
 * One placement round of a part: which waiting tasks start where, which tasks stop to make room, and what stays
 * without room. Pure: it reads the part and returns decisions.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, sizeOf, TOLERANCE, ZERO, type Resources } from '../model/resources.js';
import {
  requiredZone,
  waitingRuns,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import type { ZoneId } from '../model/units.js';
import { scheduleGang, stopBrokenGangs } from './gangs.js';
import { compareLexicographically, candidatesFor, type CandidateMachines } from './candidates.js';
import {
  addTaskUsage,
  deadlineAt,
  lateness,
  addStoppingUsage,
  OVERDUE_AFTER_MS,
  freeResourcesOn,
  newCycleState,
  adjustFreeResources,
  usageWithTask,
  fitsShardQuota,
  type SchedulingPlan,
  type SchedulingContext,
  type CycleState,
} from './cycle.js';
import { gracePeriodS, lostWork, preemptForTask } from './preemption.js';
import { reserveMachine, reserveQuota, waitedWithoutStartMs } from './reservations.js';

const MAX_STARTS_PER_CYCLE = 200;
const MAX_UNPLACED_REPORTED = 200;
const MIN_FETCH_FOR_PREEMPTION_S = 1;
/** A job that has waited this long without any start goes first in its priority, and none is kept below standard. */
const STARVED_AFTER_MS = 90_000;
/** Waiting this long outweighs needing twice as much: work that needs little must not starve the largest. */
const AGING_STEP_MS = 15_000;

interface PrioritizedJob {
  readonly job: ShardJob;
  readonly sortKey: readonly number[];
}

/** Critical work first, then jobs that are long overdue, then all others. */
const precedenceClass = (spec: JobSpec, waitedWithoutStart: number): number =>
  spec.priority === Priority.critical ? 0 : waitedWithoutStart > OVERDUE_AFTER_MS ? 1 : 2;

/**
 * Critical first, then work within its team's guarantee, then by priority, then the deadlines that can be met,
 * small jobs first. Waiting makes up for size, and after long enough for priority: every job begins.
 */
function prioritize(shard: Shard, job: ShardJob, context: SchedulingContext): PrioritizedJob {
  const spec = job.spec;
  const estimateMs = spec.estimateS * context.runtimeCorrection(spec.jobClass) * 1000;
  const size = sizeOf(spec, context.types.values());
  const deadline = deadlineAt(job);
  const latenessLevel = lateness(job, estimateMs, context);
  const waitedWithoutStart = waitedWithoutStartMs(shard, job, context);
  const starving = waitedWithoutStart > STARVED_AFTER_MS;
  const agingSteps = (context.now - job.acceptedAt) / AGING_STEP_MS;
  const sortKey = [
    precedenceClass(spec, waitedWithoutStart),
    context.guaranteed(job.id) ? 0 : 1,
    starving ? Math.min(spec.priority, Priority.standard) : spec.priority,
    starving ? -1 : latenessLevel,
    // With more work than room, the nearest deadline first makes everybody a little late. Jobs that need little
    // go first instead, in steps of a factor of two: most jobs are then done in time.
    deadline === Infinity || latenessLevel === 2
      ? 0
      : Math.round(Math.log2(1 + (job.waiting.size * size * estimateMs) / 1000) - agingSteps),
    deadline === Infinity ? Number.MAX_SAFE_INTEGER : deadline,
    job.acceptedAt,
  ];
  return { job, sortKey };
}

const comparePriority = (first: PrioritizedJob, second: PrioritizedJob): number =>
  compareLexicographically(first.sortKey, second.sortKey) || (first.job.id < second.job.id ? -1 : 1);

export function planCycle(shard: Shard, context: SchedulingContext): SchedulingPlan {
  const state = newCycleState(shard);
  const waiting = jobsWithWaitingTasks(shard);
  applyReservations(shard, waiting, state, context);
  const plan: SchedulingPlan = {
    starts: [],
    stops: [],
    reservations: [],
    unplaced: [],
    quotaReservations: new Map(),
    oversizedGang: null,
  };
  stopBrokenGangs(shard, state, context, plan);
  const eligible = waiting.filter((j) => context.now >= j.backoffUntil);
  const prioritized = eligible.map((j) => prioritize(shard, j, context)).sort(comparePriority);
  for (const { job } of prioritized) {
    if (job.gangHistory) scheduleGang(shard, job, state, context, plan);
    else scheduleJob(shard, job, state, context, plan);
  }
  return plan;
}

/** Jobs with waiting tasks; those without leave the queue. */
function jobsWithWaitingTasks(shard: Shard): ShardJob[] {
  const jobs: ShardJob[] = [];
  for (const job of shard.queue) {
    if (!job.waiting.isEmpty && shard.jobs.get(job.id) === job) jobs.push(job);
    else {
      job.reservations.clear();
      shard.queue.delete(job);
    }
  }
  return jobs;
}

function applyReservations(
  shard: Shard,
  waiting: readonly ShardJob[],
  state: CycleState,
  context: SchedulingContext,
): void {
  for (const job of waiting) {
    for (const [index, reservation] of job.reservations) {
      const machine = shard.machines.get(reservation.machine);
      const free = machine ? freeResourcesOn(machine, state, context) : null;
      const ended = !machine || context.now >= reservation.reservedUntil || !job.waiting.has(index);
      if (ended || (reservation.withoutPreemption && !free)) job.reservations.delete(index);
      else adjustFreeResources(free, job.spec, 1);
      if (reservation.withoutPreemption && job.reservations.has(index)) state.reservedMachines += 1;
    }
  }
}

function scheduleJob(
  shard: Shard,
  job: ShardJob,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  const blockedByCapacity: number[] = [];
  const blockedByQuota: number[] = [];
  const candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  const zonesWithoutPreemption = new Set<ZoneId | null>();
  let quotaExhausted = false;
  const reservationsBefore = plan.reservations.length;
  const hasRequiredZones = job.record.assignments.some((a) => a.zone !== null);
  const blockedInZone = new Map<ZoneId | null, number>();
  for (const index of indicesToTry(job, blockedInZone)) {
    if (
      !hasRequiredZones &&
      job.reservations.size === 0 &&
      plan.reservations.length === reservationsBefore &&
      (zonesWithoutPreemption.size > 0 || quotaExhausted)
    ) {
      // What holds for one task of the job holds for all.
      plan.unplaced.push({ job, reason: quotaExhausted ? 'limit' : 'room', indices: 'all' });
      return;
    }
    if (blockedByQuota.length >= MAX_UNPLACED_REPORTED || plan.starts.length >= MAX_STARTS_PER_CYCLE) break;
    if (!fitsShardQuota(job.spec, state, context)) {
      blockedByQuota.push(index);
      if (blockedByQuota.length === 1) reserveQuota(shard, job, 1, state, context, plan);
      if (job.spec.priority === Priority.critical)
        preemptForQuota(shard, job, blockedByQuota.length, state, context, plan);
      else quotaExhausted = true;
      continue;
    }
    const zone = requiredZone(job, index);
    const reservation = job.reservations.get(index);
    if (reservation && !job.reservations.delete(index)) continue;
    const reservedMachine = reservation && shard.machines.get(reservation.machine);
    if (reservedMachine) adjustFreeResources(freeResourcesOn(reservedMachine, state, context), job.spec, -1);
    let candidates = candidatesByZone.get(zone);
    if (!candidates)
      candidatesByZone.set(zone, (candidates = candidatesFor(shard, job, zone, state, context)));
    const machine = candidates.next(reservedMachine);
    const startsLater =
      machine && reservedMachine?.images.has(job.spec.image) && fetchDelaysUrgentTask(job, machine, context);
    if (reservation && reservedMachine && machine !== reservedMachine && (!machine || startsLater)) {
      // Its place is being cleared: a free machine that lacks the image would only start it later.
      job.reservations.set(index, reservation);
      adjustFreeResources(state.freeResources.get(reservedMachine.id), job.spec, 1);
      continue;
    }
    const preemptedOnHolder =
      machine &&
      machine !== reservedMachine &&
      fetchDelaysUrgentTask(job, machine, context) &&
      preemptForTask(shard, job, index, zone, state, context, plan, true);
    if (machine && !preemptedOnHolder) {
      adjustFreeResources(state.freeResources.get(machine.id), job.spec, 1);
      addTaskUsage(state, job.spec);
      plan.starts.push({ job, index, machine });
      continue;
    }
    if (!preemptedOnHolder && !zonesWithoutPreemption.has(zone)) {
      // One search that finds nobody to stop speaks for all tasks of the job: others need the searches too.
      if (preemptForTask(shard, job, index, zone, state, context, plan)) continue;
      zonesWithoutPreemption.add(zone);
    }
    if (!preemptedOnHolder && reserveMachine(shard, job, index, zone, state, context, plan)) continue;
    blockedByCapacity.push(index);
    blockedInZone.set(zone, (blockedInZone.get(zone) ?? 0) + 1);
  }
  if (blockedByCapacity.length > 0) plan.unplaced.push({ job, reason: 'room', indices: blockedByCapacity });
  if (blockedByQuota.length > 0) plan.unplaced.push({ job, reason: 'limit', indices: blockedByQuota });
}

/** The waiting tasks of a job, less the rest of those whose zone has shown that it has no room for many of them. */
function* indicesToTry(job: ShardJob, blockedInZone: ReadonlyMap<ZoneId | null, number>): Generator<number> {
  for (const { from, to, zone } of waitingRuns(job))
    for (let index = from; index < to && (blockedInZone.get(zone) ?? 0) < MAX_UNPLACED_REPORTED; index += 1)
      yield index;
}

/** A team at its limit: its critical tasks get what its own lesser work uses of the resources that are short. */
function preemptForQuota(
  shard: Shard,
  job: ShardJob,
  count: number,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  const { spec } = job;
  const shardQuota = context.shardQuota(spec.team);
  const usage = usageWithTask(spec, state);
  const exceededKinds = RESOURCE_KINDS.filter(
    (kind) => spec[kind] > 0 && usage[kind] > shardQuota[kind] + TOLERANCE,
  );
  const isEnough = (freed: Resources): boolean =>
    exceededKinds.every((kind) => freed[kind] >= count * spec[kind]);
  const freed = (): Resources => state.stoppingUsage.get(spec.team) ?? ZERO;
  if (isEnough(freed())) return;
  const candidates: Allocation[] = [];
  for (const [id, allocations] of shard.allocationsByJob) {
    const otherSpec = shard.jobs.get(id)?.spec;
    if (otherSpec?.team !== spec.team || otherSpec.priority <= spec.priority) continue;
    if (!exceededKinds.some((kind) => otherSpec[kind] > 0)) continue;
    for (const allocation of allocations)
      if (allocation.spec && !allocation.stop && !state.stopping.has(allocation)) candidates.push(allocation);
  }
  const costs = candidates
    .map((allocation) => ({ allocation, lostCpuMs: lostWork(allocation, context) }))
    .sort((x, y) => x.lostCpuMs - y.lostCpuMs);
  for (const { allocation } of costs) {
    if (isEnough(freed())) return;
    state.stopping.add(allocation);
    addStoppingUsage(state, allocation.spec as JobSpec);
    plan.stops.push({ allocation, graceS: gracePeriodS(allocation) });
  }
}

/** Work that should start at once: would it wait for its image there, longer than room is made elsewhere? */
function fetchDelaysUrgentTask(job: ShardJob, machine: Machine, context: SchedulingContext): boolean {
  if (machine.images.has(job.spec.image)) return false;
  if (job.spec.priority !== Priority.critical && !context.guaranteed(job.id)) return false;
  const rate = context.types.get(machine.type)?.fetchGbPerS ?? 1;
  return job.spec.imageGb / Math.max(rate, 1e-3) > MIN_FETCH_FOR_PREEMPTION_S;
}
