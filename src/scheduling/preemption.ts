/**
 * Preempts tasks for a task that takes precedence: finds the machine on which preemption costs least, stops
 * the victims and reserves their resources. Performs no I/O: decisions go into the plan of the cycle.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { add, fits, isZero, type Resources } from '../model/resources.js';
import type { Allocation, Machine, ShardJob } from '../shards/model.js';
import { millis, plus, type ZoneId } from '../model/units.js';
import { anyMachine, isCrowded } from './candidates.js';
import { mayRunOn } from '../model/constraints.js';
import { deadlineAt } from './deadlines.js';
import {
  failedSearchKey,
  hasRecentFailedSearch,
  recordFailedSearch,
  SEARCH_RETRY_DELAY_MS,
} from './failed-searches.js';
import { preemptionCost } from './preemption-cost.js';
import { isPreemptible, type Preemptor } from './preemption-eligibility.js';
import { longestGraceS, stopPreempted } from './preemption-stops.js';
import { hasRecentUnusedPreemption } from './reservation-terms.js';
import { reservedForPreemptibleJobs } from './reservation-precedence.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** Maximum number of searches in one cycle. */
const MAX_PREEMPTION_SEARCHES = 12;
/** The limit for critical jobs, higher so that a large service does not start half its tasks without its image. */
const MAX_CRITICAL_SEARCHES = 64;
/** A search ends after this many machines on which preemption is possible, and takes the cheapest. */
const PREEMPTION_SAMPLE = 24;
/** How long a critical task waits for a peer with announced capacity before it preempts others. */
const CRITICAL_PREEMPTION_DELAY_MS = 400;
/** How long any other task waits for resources to become free before it preempts others. */
const PREEMPTION_DELAY_MS = 1500;

/** The machines on which a search may preempt tasks. */
export type PreemptionScope = 'any machine' | 'machines with the image';

/** The machines that a search examines. */
interface PreemptionTarget {
  readonly zone: ZoneId | null;
  readonly scope: PreemptionScope;
  readonly mayUse: (machine: Machine) => boolean;
}

/** Tasks on one machine that are stopped together to make room for a task. */
interface Preemption {
  readonly machine: Machine;
  readonly allocations: readonly Allocation[];
  readonly cost: number;
}

/** Restrictions of a preemption in addition to the job's own requirements. */
export interface PreemptionOptions {
  readonly scope?: PreemptionScope;
  /** Restricts the machines further than the job's requirements do. */
  readonly mayUse?: (machine: Machine) => boolean;
  /** Longest grace period, in seconds, of tasks that are already being stopped for the same start. */
  readonly graceS?: number;
}

/**
 * Stops tasks for another task and reserves their machine for it. Returns false if no tasks may be stopped, or
 * not yet.
 */
export function preemptForTask(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  zone: ZoneId | null,
  { scope = 'any machine', mayUse = anyMachine, graceS = 0 }: PreemptionOptions = {},
): boolean {
  if (!mayPreempt(cycle, job, scope)) return false;
  const preemption = searchPreemption(cycle, job, { zone, scope, mayUse });
  if (!preemption) return false;
  const { machine, allocations } = preemption;
  stopPreempted(cycle, allocations, {
    reason: 'capacity',
    preemptor: job.id,
    preemptorIndex: index,
    reservedMachine: machine.id,
  });
  reserveAfterPreemption(cycle, job, index, machine, Math.max(graceS, longestGraceS(allocations)));
  return true;
}

/**
 * Returns true if the job may search now: the limit of searches is not reached, the delay after a failed search
 * has passed, the job is critical or its deadline has not passed, and the job has waited long enough to preempt
 * others. A search that is limited to machines with the image needs no wait.
 */
function mayPreempt(cycle: SchedulingCycle, job: ShardJob, scope: PreemptionScope): boolean {
  const { context } = cycle;
  const critical = job.spec.priority === Priority.critical;
  const maxSearches = critical ? MAX_CRITICAL_SEARCHES : MAX_PREEMPTION_SEARCHES;
  if (cycle.preemptionSearches >= maxSearches || context.now < job.nextPreemptionSearchAt) return false;
  if (!critical && deadlineAt(job) < context.now) return false;
  return scope === 'machines with the image' || hasWaitedForPreemption(cycle, job);
}

function hasWaitedForPreemption(cycle: SchedulingCycle, job: ShardJob): boolean {
  const { now } = cycle.context;
  const waitedMs = now - Math.max(job.lastAssignedAt, job.waitingSince ?? now);
  if (waitedMs >= PREEMPTION_DELAY_MS) return true;
  return job.spec.priority === Priority.critical && waitedMs >= criticalPreemptionDelayMs(cycle, job);
}

/**
 * Returns how long a critical job waits so that overflow to a peer is tried first. It is 0 if no peer has
 * announced capacity, and on a shard that has received the tasks by overflow: tasks stay there longer before
 * they are transferred again.
 */
function criticalPreemptionDelayMs({ shard, context }: SchedulingCycle, job: ShardJob): number {
  const mayOverflow = job.record.homeShard === shard.id && context.peerHasCapacity(job.spec);
  return mayOverflow ? CRITICAL_PREEMPTION_DELAY_MS : 0;
}

/**
 * Finds the cheapest preemption. Records a failed search, except for critical jobs, which search again in
 * each cycle, and for searches among machines with the image only.
 */
function searchPreemption(
  cycle: SchedulingCycle,
  job: ShardJob,
  target: PreemptionTarget,
): Preemption | null {
  const { shard, context } = cycle;
  const { zone, scope, mayUse } = target;
  const recordsFailure = job.spec.priority !== Priority.critical && scope === 'any machine';
  const searchKey = recordsFailure ? failedSearchKey(job, zone, context) : null;
  if (searchKey !== null && hasRecentFailedSearch(shard, searchKey, job.spec, context.now)) return null;
  cycle.preemptionSearches += 1;
  const preemption = cheapestPreemption(cycle, job, target);
  if (!preemption && searchKey !== null) {
    job.nextPreemptionSearchAt = plus(context.now, millis(SEARCH_RETRY_DELAY_MS));
    // A search that excluded machines because of this job says nothing about other jobs.
    if (mayUse === anyMachine && job.unusedPreemptions.size === 0)
      recordFailedSearch(shard, searchKey, job.spec, context.now);
  }
  return preemption;
}

/**
 * Returns the cheapest preemption among the first PREEMPTION_SAMPLE machines on which enough tasks may be
 * stopped.
 */
function cheapestPreemption(
  cycle: SchedulingCycle,
  job: ShardJob,
  { zone, scope, mayUse }: PreemptionTarget,
): Preemption | null {
  const { shard } = cycle;
  const preemptor = { job, isGuaranteed: cycle.context.guaranteed(job.id) };
  const machines =
    scope === 'machines with the image'
      ? shard.totals.machinesWithImage(job.spec.image)
      : shard.machines.values();
  let cheapest: Preemption | null = null;
  let sampleCount = 0;
  for (const machine of machines) {
    if (!mayUse(machine) || hasRecentUnusedPreemption(job, machine.id, cycle.context.now)) continue;
    const free = freeBeforePreemption(cycle, machine, preemptor, zone);
    const preemption = free && findPreemptionOn(cycle, machine, free, preemptor);
    if (!preemption) continue;
    if (!cheapest || preemption.cost < cheapest.cost) cheapest = preemption;
    sampleCount += 1;
    if (sampleCount >= PREEMPTION_SAMPLE) break;
  }
  return cheapest;
}

/**
 * Returns the resources of the machine that are free, or reserved for jobs that the preemptor could preempt;
 * null if preemption cannot make enough room there.
 */
function freeBeforePreemption(
  cycle: SchedulingCycle,
  machine: Machine,
  preemptor: Preemptor,
  zone: ZoneId | null,
): Resources | null {
  const { spec } = preemptor.job;
  const preemptibleReservations = reservedForPreemptibleJobs(cycle, machine, preemptor);
  const reclaimable = add(machine.preemptible, preemptibleReservations);
  if (isZero(reclaimable) || !mayRunOn(spec, machine.type, machine.zone, machine.spot, zone)) return null;
  const unreserved = cycle.freeAfterStops.get(machine.id) ?? cycle.freeResourcesOn(machine);
  if (!unreserved || !fits(spec, add(unreserved, reclaimable))) return null;
  const free = add(unreserved, preemptibleReservations);
  const { types, now } = cycle.context;
  return isCrowded(machine, free, spec, types.get(machine.type), now) ? null : free;
}

/** Finds the cheapest tasks of a machine that make enough room; null if stopping all would not be enough. */
function findPreemptionOn(
  cycle: SchedulingCycle,
  machine: Machine,
  freeBefore: Resources,
  preemptor: Preemptor,
): Preemption | null {
  const { spec } = preemptor.job;
  const preemptible: Allocation[] = [];
  const freeAtMost = { ...freeBefore };
  for (const allocation of machine.allocations.values()) {
    if (!isPreemptible(cycle, allocation, preemptor)) continue;
    preemptible.push(allocation);
    returnResources(freeAtMost, allocation.spec as JobSpec);
  }
  // Costs are computed only if stopping all preemptible tasks would be enough.
  if (!fits(spec, freeAtMost)) return null;
  const free = { ...freeBefore };
  const allocations: Allocation[] = [];
  let totalCost = 0;
  for (const { allocation, cost } of cheapestFirst(cycle, preemptible)) {
    if (fits(spec, free)) break;
    returnResources(free, allocation.spec as JobSpec);
    totalCost += cost;
    allocations.push(allocation);
  }
  return fits(spec, free) ? { machine, allocations, cost: totalCost } : null;
}

function cheapestFirst(
  { shard, context }: SchedulingCycle,
  allocations: readonly Allocation[],
): { allocation: Allocation; cost: number }[] {
  return allocations
    .map((allocation) => ({ allocation, cost: preemptionCost(shard, allocation, context) }))
    .sort((first, second) => first.cost - second.cost);
}

/** Reserves resources of the machine, free or becoming free, and counts them as used by the job's team. */
export function reserveAfterPreemption(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  machine: Machine,
  graceS: number,
): void {
  takeResources(cycle.freeAfterStopsOn(machine), job.spec);
  takeResources(cycle.freeResources.get(machine.id), job.spec);
  cycle.addTaskUsage(job.spec);
  cycle.plan.reservations.push({ job, index, machine: machine.id, withoutPreemption: false, graceS });
}
