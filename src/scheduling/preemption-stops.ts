/**
 * Adds the stops of preempted tasks to the plan of a cycle: stops gangs as a whole, and accounts for the
 * resources that become free.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { StopCause } from './cycle.js';
import { gracePeriodS } from './preemption-cost.js';
import { returnResources, type SchedulingCycle } from './scheduling-cycle.js';

/** Stops the tasks, and all other members of their gangs. */
export function stopPreempted(
  cycle: SchedulingCycle,
  allocations: readonly Allocation[],
  cause: StopCause,
): void {
  const { shard } = cycle;
  for (const allocation of expandToGangs(shard, allocations)) {
    if (cycle.stopping.has(allocation)) continue;
    const spec = allocation.spec as JobSpec;
    cycle.stopping.add(allocation);
    cycle.addStoppingUsage(spec);
    const freedMachine = shard.machines.get(allocation.machine);
    if (freedMachine) returnResources(cycle.freeAfterStopsOn(freedMachine), spec);
    cycle.plan.stops.push({ allocation, graceS: gracePeriodS(allocation), cause });
  }
}

/** Returns the longest grace period of the tasks, in seconds. */
export const longestGraceS = (allocations: readonly Allocation[]): number =>
  Math.max(0, ...allocations.map(gracePeriodS));

/** Returns the tasks and the other members of their gangs, which stop with them. */
export function expandToGangs(shard: Shard, allocations: readonly Allocation[]): Set<Allocation> {
  const all = new Set(allocations);
  for (const allocation of allocations) {
    if (allocation.spec?.kind !== 'gang') continue;
    for (const member of shard.allocationsByJob.get(allocation.job) ?? []) if (!member.stop) all.add(member);
  }
  return all;
}
