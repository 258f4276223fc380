/**
 * Consolidates replicas on fewer machines while nothing waits and half of the capacity is free: a machine
 * that runs for one replica costs as much as a full machine. Moves one replica at a time, from the least
 * loaded machine to one that holds the image, so that the replica is down only briefly. Pure.
 */
import {
  addTo,
  cpuEquivalent,
  fits,
  freeCpuEquivalent,
  isZero,
  largestPerResource,
  scale,
  taskSizeInCpus,
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

/** Decision to stop a replica and to start it again on the target. */
export interface Relocation {
  readonly allocation: Allocation;
  readonly target: Machine;
}

/** Minimum run time of a replica before it is moved, so that no service restarts over and over. */
const STABLE_AFTER_MS = 60_000;
/** Minimum ratio of capacity to usage for consolidation. */
const MIN_CAPACITY_TO_USAGE_RATIO = 2;

type ConsolidationContext = Pick<SchedulingContext, 'now' | 'types' | 'heartbeatIntervalMs'>;

/**
 * Returns the first of the relocations that would empty the least loaded machine with replicas only; null if
 * there is no such machine, too little capacity is free, or one of the replicas cannot move.
 */
export function chooseRelocation(shard: Shard, context: ConsolidationContext): Relocation | null {
  if (!isMostlyFree(shard, context)) return null;
  const source = leastLoadedReplicaMachine(shard, context);
  if (!source) return null;
  const relocations: Relocation[] = [];
  const plannedReplicas = new Map<Machine, number>();
  for (const allocation of source.allocations.values()) {
    const target = chooseTarget(shard, source, allocation, plannedReplicas, context);
    // A relocation is useful only if the whole machine becomes free.
    if (!target) return null;
    plannedReplicas.set(target, (plannedReplicas.get(target) ?? 0) + 1);
    relocations.push({ allocation, target });
  }
  return relocations[0] ?? null;
}

/**
 * Returns true if at least half of the capacity is free. Under load replicas stay spread: the loss of a
 * machine then stops fewer of them, and each runs beside tasks that can be preempted.
 */
function isMostlyFree(shard: Shard, context: ConsolidationContext): boolean {
  const total: MutableResources = { ...ZERO };
  const used: MutableResources = { ...ZERO };
  for (const machine of shard.machines.values()) {
    addTo(total, context.types.get(machine.type) ?? ZERO);
    addTo(used, machine.used);
  }
  return fits(scale(used, MIN_CAPACITY_TO_USAGE_RATIO), total);
}

/** Returns the load of the machine in CPUs, by its dominant resource. */
const loadInCpus = (machine: Machine, context: ConsolidationContext): number =>
  cpuEquivalent(machine.used, context.types.get(machine.type) ?? ZERO);

function criticalLoadInCpus(machine: Machine, context: ConsolidationContext): number {
  return cpuEquivalent(subtract(machine.used, machine.preemptible), context.types.get(machine.type) ?? ZERO);
}

/** Returns the least loaded of the machines that run stable replicas only. */
function leastLoadedReplicaMachine(shard: Shard, context: ConsolidationContext): Machine | null {
  let leastLoaded: Machine | null = null;
  for (const machine of shard.machines.values()) {
    if (
      machine.allocations.size === 0 ||
      !isZero(machine.preemptible) ||
      hasUnknownUsage(machine) ||
      !isSchedulable(machine, context)
    )
      continue;
    if (leastLoaded && loadInCpus(machine, context) >= loadInCpus(leastLoaded, context)) continue;
    if ([...machine.allocations.values()].every((allocation) => isStableReplica(allocation, context)))
      leastLoaded = machine;
  }
  return leastLoaded;
}

const isStableReplica = (allocation: Allocation, context: ConsolidationContext): boolean =>
  allocation.spec?.kind === 'service' &&
  allocation.stop === null &&
  allocation.runningSince !== null &&
  context.now - allocation.runningSince > STABLE_AFTER_MS;

/**
 * Returns the CPUs that must stay free on machines with the image, for more replicas of a service: those of
 * the largest machine.
 */
const headroomCpus = (context: ConsolidationContext): number =>
  largestPerResource(context.types.values()).cpus;

/**
 * Returns the most loaded of the machines that hold the image, have room, and whose load by critical tasks is
 * at least the load of the source; null if there is none, or if too little would stay free for more replicas.
 */
function chooseTarget(
  shard: Shard,
  source: Machine,
  allocation: Allocation,
  plannedReplicas: ReadonlyMap<Machine, number>,
  context: ConsolidationContext,
): Machine | null {
  const job = shard.jobs.get(allocation.job);
  if (!allocation.spec || !job) return null;
  const zone = requiredZone(job, allocation.index);
  let mostLoaded: Machine | null = null;
  let freeHeadroomCpus = 0;
  for (const machine of shard.totals.machinesWithImage(allocation.spec.image)) {
    if (
      machine === source ||
      !isSchedulable(machine, context) ||
      !mayRunOn(allocation.spec, machine.type, machine.zone, machine.spot, zone)
    )
      continue;
    const type = context.types.get(machine.type) ?? ZERO;
    const remaining = subtract(
      freeResources(machine, context.types.get(machine.type)),
      scale(allocation.spec, plannedReplicas.get(machine) ?? 0),
    );
    freeHeadroomCpus += Math.max(0, freeCpuEquivalent(remaining, type, allocation.spec));
    if (
      criticalLoadInCpus(machine, context) <= loadInCpus(source, context) - TOLERANCE ||
      !fits(allocation.spec, remaining)
    )
      continue;
    if (!mostLoaded || loadInCpus(machine, context) > loadInCpus(mostLoaded, context)) mostLoaded = machine;
  }
  const neededHeadroomCpus = headroomCpus(context) + taskSizeInCpus(allocation.spec, context.types.values());
  return freeHeadroomCpus >= neededHeadroomCpus ? mostLoaded : null;
}
