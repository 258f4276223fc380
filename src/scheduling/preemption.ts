/** Which tasks stop to make room for one that goes first. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import {
  add,
  covers,
  fits,
  isZero,
  RESOURCE_KINDS,
  sizeOf,
  TOLERANCE,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import type { Allocation, Machine, Shard, ShardJob } from '../shards/model.js';
import type { SteadyMs, ZoneId } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { isCrowded } from './candidates.js';
import { mayRunOn } from '../model/constraints.js';
import {
  addTaskUsage,
  deadlineAt,
  lateness,
  addStoppingUsage,
  OVERDUE_AFTER_MS,
  freeResourcesOn,
  usageAfterStops,
  adjustFreeResources,
  type SchedulingPlan,
  type SchedulingContext,
  type CycleState,
} from './cycle.js';

const MAX_PREEMPTION_SEARCHES = 12;
/** A large service must not start half of its tasks where their image is missing. */
const MAX_CRITICAL_SEARCHES = 64;
/** Machines on which preemption was found possible before the cheapest of them is taken. */
const PREEMPTION_SAMPLE = 24;
/** How long a task waits for a peer with announced room, or for room to come free, before others are stopped. */
const CRITICAL_PREEMPTION_DELAY_MS = 400;
const PREEMPTION_DELAY_MS = 1500;
/** Work in CPU milliseconds, for each CPU of its size, that one step of a job's deadline weighs as much as. */
const DEADLINE_STEP_COST_CPU_MS = 20_000;
const SEARCH_RETRY_DELAY_MS = 700;
/** How long a job that began long overdue is stopped for critical work only. */
const PREEMPTION_PROTECTION_MS = 60_000;
const MAX_FAILED_SEARCHES = 200;

type SizeContext = Pick<SchedulingContext, 'now' | 'types'>;

/** Work lost when this task is stopped now: its size in CPUs, by its dominant resource, times milliseconds. */
export function lostWork(allocation: Allocation, context: SizeContext): number {
  if (!allocation.spec) return 0;
  const size = sizeOf(allocation.spec, context.types.values());
  if (allocation.runningSince === null) return 0.5 * size * 1000;
  const runMs = context.now - allocation.runningSince;
  return (
    size *
    (allocation.spec.checkpointIntervalS > 0
      ? Math.min(runMs, allocation.spec.checkpointDurationS * 1000)
      : runMs)
  );
}

/** What the users lose with a task besides its work: 2 when its job's deadline can still be kept, 0 when none can. */
function deadlineLossSteps(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const job = shard.jobs.get(allocation.job);
  if (!allocation.spec || allocation.spec.deadlineS === null || !job) return 0;
  const runMs = allocation.runningSince === null ? 0 : context.now - allocation.runningSince;
  const estimateMs = allocation.spec.estimateS * context.runtimeCorrection(allocation.spec.jobClass) * 1000;
  return 2 - lateness(job, Math.max(0, estimateMs - runMs), context);
}

function preemptionCost(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const size = allocation.spec ? sizeOf(allocation.spec, context.types.values()) : 0;
  // A gang stops as a whole.
  const tasks = allocation.spec?.kind === 'gang' ? allocation.spec.tasks : 1;
  return (
    tasks *
    (lostWork(allocation, context) +
      deadlineLossSteps(shard, allocation, context) * DEADLINE_STEP_COST_CPU_MS * size)
  );
}

/** These tasks, and all others of the gangs among them. */
function expandToGangs(shard: Shard, allocations: readonly Allocation[]): Set<Allocation> {
  const all = new Set(allocations);
  for (const allocation of allocations) {
    if (allocation.spec?.kind !== 'gang') continue;
    for (const member of shard.allocationsByJob.get(allocation.job) ?? []) if (!member.stop) all.add(member);
  }
  return all;
}

/**
 * The same order as `rank` decides who is stopped for whom: otherwise a task that was stopped is placed first in
 * the next round, and both stop each other for good.
 */
function isPreemptible(
  allocation: Allocation,
  job: ShardJob,
  guaranteed: boolean,
  state: CycleState,
  context: SchedulingContext,
): boolean {
  if (allocation.stop || !allocation.spec || state.stopping.has(allocation) || allocation.job === job.id)
    return false;
  if (job.spec.priority === Priority.critical) return allocation.spec.priority !== Priority.critical;
  if (allocation.spec.priority === Priority.critical) return false;
  if (context.guaranteed(allocation.job)) return false;
  const higher = job.spec.priority < allocation.spec.priority;
  return (
    higher ||
    (guaranteed &&
      allocation.spec.team !== job.spec.team &&
      exceedsGuarantee(allocation.spec, state, context))
  );
}

/**
 * A job that began long overdue went before guaranteed work: stopped for that at once, it would be placed first again,
 * and both would stop each other for good.
 */
function isProtectedFromPreemption(
  shard: Shard,
  allocation: Allocation,
  preemptor: ShardJob,
  context: SchedulingContext,
): boolean {
  const job = shard.jobs.get(allocation.job);
  if (!job || preemptor.spec.priority === Priority.critical || !job.record.done.isEmpty) return false;
  return (
    allocation.allocatedAt - job.acceptedAt > OVERDUE_AFTER_MS &&
    context.now - allocation.allocatedAt < PREEMPTION_PROTECTION_MS
  );
}

/** Would its team without this task still use all of a guarantee that the task counts for? None: it is all borrowed. */
function exceedsGuarantee(spec: JobSpec, state: CycleState, context: SchedulingContext): boolean {
  const guarantee = context.teams.get(spec.team)?.guaranteed;
  if (!guarantee) return true;
  const counted = RESOURCE_KINDS.filter((kind) => guarantee[kind] > 0 && spec[kind] > 0);
  const usage = usageAfterStops(state, spec.team, context);
  return (
    counted.length === 0 || counted.some((kind) => usage[kind] - spec[kind] >= guarantee[kind] - TOLERANCE)
  );
}

interface Preemption {
  readonly machine: Machine;
  readonly allocations: readonly Allocation[];
  readonly cost: number;
}

function findPreemptionOn(
  shard: Shard,
  machine: Machine,
  freeBefore: Resources,
  job: ShardJob,
  guaranteed: boolean,
  state: CycleState,
  context: SchedulingContext,
): Preemption | null {
  const preemptible: Allocation[] = [];
  const freeAtMost = { ...freeBefore };
  for (const allocation of machine.allocations.values()) {
    if (
      !isPreemptible(allocation, job, guaranteed, state, context) ||
      isProtectedFromPreemption(shard, allocation, job, context)
    )
      continue;
    preemptible.push(allocation);
    adjustFreeResources(freeAtMost, allocation.spec as JobSpec, -1);
  }
  // What each costs is only worth finding out where it would be enough.
  if (!fits(job.spec, freeAtMost)) return null;
  const candidates = preemptible.map((allocation) => ({
    allocation,
    cost: preemptionCost(shard, allocation, context),
  }));
  candidates.sort((x, y) => x.cost - y.cost);
  const free = { ...freeBefore };
  const chosen: Allocation[] = [];
  let cost = 0;
  for (const { allocation, cost: allocationCost } of candidates) {
    if (fits(job.spec, free)) break;
    adjustFreeResources(free, allocation.spec as JobSpec, -1);
    cost += allocationCost;
    chosen.push(allocation);
  }
  return fits(job.spec, free) ? { machine, allocations: chosen, cost } : null;
}

const criticalPreemptionDelayMs = (shard: Shard, job: ShardJob, context: SchedulingContext): number =>
  job.record.homeShard === shard.id && context.peerHasCapacity(job.spec) ? CRITICAL_PREEMPTION_DELAY_MS : 0;

export function preemptForTask(
  shard: Shard,
  job: ShardJob,
  index: number,
  zone: ZoneId | null,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
  holdersOnly = false,
): boolean {
  const critical = job.spec.priority === Priority.critical;
  const waitedMs = context.now - Math.max(job.arrivedAt, job.waitingSince ?? context.now);
  if (
    state.preemptionSearches >= (critical ? MAX_CRITICAL_SEARCHES : MAX_PREEMPTION_SEARCHES) ||
    context.now < job.nextPreemptionSearchAt
  )
    return false;
  if (!critical && deadlineAt(job) < context.now) return false;
  if (
    !holdersOnly &&
    waitedMs < PREEMPTION_DELAY_MS &&
    !(critical && waitedMs >= criticalPreemptionDelayMs(shard, job, context))
  )
    return false;
  const searchKey = critical || holdersOnly ? null : failedSearchKey(job, zone, context);
  if (searchKey !== null && hasFailedSearch(shard, searchKey, job.spec, context.now)) return false;
  state.preemptionSearches += 1;
  const best = cheapestPreemption(shard, job, zone, state, context, holdersOnly);
  if (!best) {
    // Nobody may be stopped for it: that changes with what runs, not from one round to the next.
    if (!critical && !holdersOnly)
      job.nextPreemptionSearchAt = plus(context.now, millis(SEARCH_RETRY_DELAY_MS));
    if (searchKey !== null) rememberFailedSearch(shard, searchKey, job.spec, context.now);
    return false;
  }
  const { machine } = best;
  const freeOnTarget = freeAfterStopsOn(machine, state, context);
  for (const allocation of expandToGangs(shard, best.allocations)) {
    if (state.stopping.has(allocation)) continue;
    state.stopping.add(allocation);
    addStoppingUsage(state, allocation.spec as JobSpec);
    const freedMachine = shard.machines.get(allocation.machine);
    if (freedMachine)
      adjustFreeResources(freeAfterStopsOn(freedMachine, state, context), allocation.spec as JobSpec, -1);
    plan.stops.push({ allocation, graceS: gracePeriodS(allocation) });
  }
  adjustFreeResources(freeOnTarget, job.spec, 1);
  adjustFreeResources(state.freeResources.get(machine.id), job.spec, 1);
  addTaskUsage(state, job.spec);
  plan.reservations.push({ job, index, machine: machine.id, reserved: false });
  return true;
}

/** Who may be stopped depends on this alone, and on how much room is asked for. */
function failedSearchKey({ id, spec }: ShardJob, zone: ZoneId | null, context: SchedulingContext): string {
  const team = context.guaranteed(id) ? spec.team : '';
  return [spec.priority, team, spec.spot, spec.zone, zone, spec.types?.join()].join('/');
}

/** With hundreds of jobs waiting, each would look at every machine for itself and find nobody. */
function hasFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): boolean {
  const failed = shard.failedSearches.get(key);
  return failed !== undefined && now < failed.until && covers(spec, failed.need);
}

function rememberFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): void {
  const { cpus, gpus, memoryGb } = spec;
  // Users may name any list of types: old keys are not kept for ever.
  if (shard.failedSearches.size >= MAX_FAILED_SEARCHES) shard.failedSearches.clear();
  shard.failedSearches.set(key, {
    need: { cpus, gpus, memoryGb },
    until: plus(now, millis(SEARCH_RETRY_DELAY_MS)),
  });
}

/** What a machine will have once those stopped in this round are gone. */
function freeAfterStopsOn(
  machine: Machine,
  state: CycleState,
  context: SchedulingContext,
): MutableResources | null {
  const known = state.freeAfterStops.get(machine.id);
  if (known) return known;
  const free = freeResourcesOn(machine, state, context);
  if (!free) return null;
  const freeAfterStops = { ...free };
  state.freeAfterStops.set(machine.id, freeAfterStops);
  return freeAfterStops;
}

/** The cheapest of the first machines on which enough may be stopped. */
function cheapestPreemption(
  shard: Shard,
  job: ShardJob,
  zone: ZoneId | null,
  state: CycleState,
  context: SchedulingContext,
  holdersOnly: boolean,
): Preemption | null {
  const guaranteed = context.guaranteed(job.id);
  let best: Preemption | null = null;
  let found = 0;
  for (const machine of holdersOnly
    ? shard.totals.machinesWithImage(job.spec.image)
    : shard.machines.values()) {
    if (isZero(machine.preemptible) || !mayRunOn(job.spec, machine.type, machine.zone, machine.spot, zone))
      continue;
    const free = state.freeAfterStops.get(machine.id) ?? freeResourcesOn(machine, state, context);
    if (!free || !fits(job.spec, add(free, machine.preemptible))) continue;
    if (isCrowded(machine, free, job.spec, context.types.get(machine.type), context.now)) continue;
    const preemption = findPreemptionOn(shard, machine, free, job, guaranteed, state, context);
    if (!preemption) continue;
    if (!best || preemption.cost < best.cost) best = preemption;
    found += 1;
    if (found >= PREEMPTION_SAMPLE) break;
  }
  return best;
}

/** Time to save for a task that can; none for others. */
export function gracePeriodS(allocation: Allocation): number {
  return allocation.spec && allocation.spec.checkpointIntervalS > 0
    ? Math.ceil(allocation.spec.checkpointDurationS + 1)
    : 0;
}
