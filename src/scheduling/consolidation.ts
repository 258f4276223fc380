/**
 * Moves replicas together while nothing waits and half of the capacity is free: a machine that runs for one replica
 * costs as much as a full one. One replica at a time, from the machine with the least load to one that holds the image,
 * so that it is down for a moment only. Pure.
 */
import {
  addTo,
  asCpus,
  fits,
  freeAsCpus,
  isZero,
  largestOf,
  scale,
  sizeOf,
  subtract,
  TOLERANCE,
  ZERO,
  type MutableResources,
} from '../model/resources.js';
import type { Allocation, Machine, Shard } from '../shards/model.js';
import { hasUnknownUsage, requiredZone, freeResources } from '../shards/model.js';
import { mayRunOn } from '../model/constraints.js';
import { type SchedulingContext } from './cycle.js';
import { isSchedulable } from '../shards/machine-health.js';

/** Decision: this replica stops and starts again on the target. */
export interface Relocation {
  readonly allocation: Allocation;
  readonly target: Machine;
}

/** A replica moves only after it has run for this long, so that no service restarts over and over. */
const STABLE_AFTER_MS = 60_000;
/** Capacity must be at least so many times what is used. */
const MIN_CAPACITY_OVER_USED = 2;

type ConsolidationContext = Pick<SchedulingContext, 'now' | 'types' | 'heartbeatIntervalMs'>;

/** The first move of those that would make a whole machine free; null: none is worth it, or some replica cannot move. */
export function chooseRelocation(shard: Shard, context: ConsolidationContext): Relocation | null {
  if (!isMostlyFree(shard, context)) return null;
  const from = leastLoadedReplicaMachine(shard, context);
  if (!from) return null;
  const relocations: Relocation[] = [];
  const placedOn = new Map<Machine, number>();
  for (const allocation of from.allocations.values()) {
    const target = chooseTarget(shard, from, allocation, placedOn, context);
    // A move is worth it only if the whole machine becomes free.
    if (!target) return null;
    placedOn.set(target, (placedOn.get(target) ?? 0) + 1);
    relocations.push({ allocation, target });
  }
  return relocations[0] ?? null;
}

/** Under load, replicas stay spread: a lost machine costs fewer, and there is work to preempt beside each. */
function isMostlyFree(shard: Shard, context: ConsolidationContext): boolean {
  const total: MutableResources = { ...ZERO };
  const used: MutableResources = { ...ZERO };
  for (const machine of shard.machines.values()) {
    addTo(total, context.types.get(machine.type) ?? ZERO);
    addTo(used, machine.used);
  }
  return fits(scale(used, MIN_CAPACITY_OVER_USED), total);
}

/** By the dominant resource, as CPUs of the machine. */
const loadInCpus = (machine: Machine, context: ConsolidationContext): number =>
  asCpus(machine.used, context.types.get(machine.type) ?? ZERO);

function criticalLoadInCpus(machine: Machine, context: ConsolidationContext): number {
  return asCpus(subtract(machine.used, machine.preemptible), context.types.get(machine.type) ?? ZERO);
}

/** Of the machines with nothing but stable replicas the one with the least load. */
function leastLoadedReplicaMachine(shard: Shard, context: ConsolidationContext): Machine | null {
  let best: Machine | null = null;
  for (const machine of shard.machines.values()) {
    if (
      machine.allocations.size === 0 ||
      !isZero(machine.preemptible) ||
      hasUnknownUsage(machine) ||
      !isSchedulable(machine, context)
    )
      continue;
    if (best && loadInCpus(machine, context) >= loadInCpus(best, context)) continue;
    if ([...machine.allocations.values()].every((allocation) => isStableReplica(allocation, context)))
      best = machine;
  }
  return best;
}

const isStableReplica = (allocation: Allocation, context: ConsolidationContext): boolean =>
  allocation.spec?.kind === 'service' &&
  allocation.stop === null &&
  allocation.runningSince !== null &&
  context.now - allocation.runningSince > STABLE_AFTER_MS;

/** Stays free on machines with the image, for more replicas of a service: the largest machine, in CPUs. */
const headroomCpus = (context: ConsolidationContext): number => largestOf(context.types.values()).cpus;

/** The fullest machine that holds the image and has more load than the one to become free; null: none. */
function chooseTarget(
  shard: Shard,
  from: Machine,
  allocation: Allocation,
  placedOn: ReadonlyMap<Machine, number>,
  context: ConsolidationContext,
): Machine | null {
  const job = shard.jobs.get(allocation.job);
  if (!allocation.spec || !job) return null;
  const zone = requiredZone(job, allocation.index);
  let best: Machine | null = null;
  let headroom = 0;
  for (const machine of shard.totals.machinesWithImage(allocation.spec.image)) {
    if (
      machine === from ||
      !isSchedulable(machine, context) ||
      !mayRunOn(allocation.spec, machine.type, machine.zone, machine.spot, zone)
    )
      continue;
    const type = context.types.get(machine.type) ?? ZERO;
    const remaining = subtract(
      freeResources(machine, context.types.get(machine.type)),
      scale(allocation.spec, placedOn.get(machine) ?? 0),
    );
    headroom += Math.max(0, freeAsCpus(remaining, type, allocation.spec));
    if (
      criticalLoadInCpus(machine, context) <= loadInCpus(from, context) - TOLERANCE ||
      !fits(allocation.spec, remaining)
    )
      continue;
    if (!best || loadInCpus(machine, context) > loadInCpus(best, context)) best = machine;
  }
  const needed = headroomCpus(context) + sizeOf(allocation.spec, context.types.values());
  return headroom >= needed ? best : null;
}
