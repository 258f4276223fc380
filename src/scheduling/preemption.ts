/**
 * Preempts tasks for one that goes first: finds the machine on which stopping others costs least, stops them and
 * reserves their resources. Pure: decisions go into the plan of the cycle.
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
  hasFailedSearch,
  rememberFailedSearch,
  SEARCH_RETRY_DELAY_MS,
} from './failed-searches.js';
import { preemptionCost } from './preemption-cost.js';
import { isPreemptible, type Preemptor } from './preemption-eligibility.js';
import { longestGraceS, stopPreempted } from './preemption-stops.js';
import { hasUnusedPreemption } from './reservation-terms.js';
import { yieldedTo } from './reservation-precedence.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** Searches in one cycle. */
const MAX_PREEMPTION_SEARCHES = 12;
/** More for critical work: a large service must not start half of its tasks where their image is missing. */
const MAX_CRITICAL_SEARCHES = 64;
/** Machines on which preemption was found possible before the cheapest of them is taken. */
const PREEMPTION_SAMPLE = 24;
/** How long a critical task waits for a peer with announced capacity before others are stopped. */
const CRITICAL_PREEMPTION_DELAY_MS = 400;
/** How long any other task waits for resources to become free before others are stopped. */
const PREEMPTION_DELAY_MS = 1500;

/** Where preemption may happen. */
export type PreemptionScope = 'any machine' | 'machines with the image';

/** Which machines a search looks at. */
interface PreemptionTarget {
  readonly zone: ZoneId | null;
  readonly scope: PreemptionScope;
  readonly mayUse: (machine: Machine) => boolean;
}

/** Tasks on one machine whose end makes room for a task. */
interface Preemption {
  readonly machine: Machine;
  readonly allocations: readonly Allocation[];
  readonly cost: number;
}

/** What a preemption must observe beside the job's own requirements. */
export interface PreemptionOptions {
  readonly scope?: PreemptionScope;
  /** Machines that the task may use, beside its requirements. */
  readonly mayUse?: (machine: Machine) => boolean;
  /** The longest time to save, in seconds, of tasks that are stopped for the same start already. */
  readonly graceS?: number;
}

/** Stops others for a task and reserves the machine for it; false: none may be stopped, or not yet. */
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

/** Is the job's turn to search, has it waited long enough for others to be stopped, and is it of use to start now? */
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
  const waitedMs = now - Math.max(job.arrivedAt, job.waitingSince ?? now);
  if (waitedMs >= PREEMPTION_DELAY_MS) return true;
  return job.spec.priority === Priority.critical && waitedMs >= criticalPreemptionDelayMs(cycle, job);
}

/** Overflow to a peer is tried first, but not from a receiving shard: tasks stay there longer before they move on. */
function criticalPreemptionDelayMs({ shard, context }: SchedulingCycle, job: ShardJob): number {
  const mayOverflow = job.record.homeShard === shard.id && context.peerHasCapacity(job.spec);
  return mayOverflow ? CRITICAL_PREEMPTION_DELAY_MS : 0;
}

/**
 * The cheapest preemption. A failed search is remembered, unless it was for a critical job, which searches again in
 * each cycle, or only among machines with the image.
 */
function searchPreemption(
  cycle: SchedulingCycle,
  job: ShardJob,
  target: PreemptionTarget,
): Preemption | null {
  const { shard, context } = cycle;
  const { zone, scope, mayUse } = target;
  const remembersFailure = job.spec.priority !== Priority.critical && scope === 'any machine';
  const searchKey = remembersFailure ? failedSearchKey(job, zone, context) : null;
  if (searchKey !== null && hasFailedSearch(shard, searchKey, job.spec, context.now)) return null;
  cycle.preemptionSearches += 1;
  const preemption = cheapestPreemption(cycle, job, target);
  if (!preemption && searchKey !== null) {
    job.nextPreemptionSearchAt = plus(context.now, millis(SEARCH_RETRY_DELAY_MS));
    // A search that had to leave out machines speaks for this job alone.
    if (mayUse === anyMachine && job.unusedPreemptions.size === 0)
      rememberFailedSearch(shard, searchKey, job.spec, context.now);
  }
  return preemption;
}

/** The cheapest of the first machines on which enough tasks may be stopped. */
function cheapestPreemption(
  cycle: SchedulingCycle,
  job: ShardJob,
  { zone, scope, mayUse }: PreemptionTarget,
): Preemption | null {
  const { shard } = cycle;
  const preemptor = { job, guaranteed: cycle.context.guaranteed(job.id) };
  const machines =
    scope === 'machines with the image'
      ? shard.totals.machinesWithImage(job.spec.image)
      : shard.machines.values();
  let best: Preemption | null = null;
  let found = 0;
  for (const machine of machines) {
    if (!mayUse(machine) || hasUnusedPreemption(job, machine.id, cycle.context.now)) continue;
    const free = freeBeforePreemption(cycle, machine, preemptor, zone);
    const preemption = free && findPreemptionOn(cycle, machine, free, preemptor);
    if (!preemption) continue;
    if (!best || preemption.cost < best.cost) best = preemption;
    found += 1;
    if (found >= PREEMPTION_SAMPLE) break;
  }
  return best;
}

/** What is free, or kept for jobs that yield, on a machine where preemption could make room; null: it cannot. */
function freeBeforePreemption(
  cycle: SchedulingCycle,
  machine: Machine,
  preemptor: Preemptor,
  zone: ZoneId | null,
): Resources | null {
  const { spec } = preemptor.job;
  const yielded = yieldedTo(cycle, machine, preemptor);
  const atMost = add(machine.preemptible, yielded);
  if (isZero(atMost) || !mayRunOn(spec, machine.type, machine.zone, machine.spot, zone)) return null;
  const unreserved = cycle.freeAfterStops.get(machine.id) ?? cycle.freeResourcesOn(machine);
  if (!unreserved || !fits(spec, add(unreserved, atMost))) return null;
  const free = add(unreserved, yielded);
  const { types, now } = cycle.context;
  return isCrowded(machine, free, spec, types.get(machine.type), now) ? null : free;
}

/** The cheapest tasks of a machine whose end is enough; null: all that may be stopped there are not. */
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
  // Costs are only worked out where stopping everything would be enough.
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
    .sort((x, y) => x.cost - y.cost);
}

/** Reserves what is free on the machine, or is becoming free, for the task; its quota counts as used. */
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
