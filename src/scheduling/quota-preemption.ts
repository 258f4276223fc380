/**
 * Preemption within a team: when the team's quota is used up, critical tasks preempt lower-priority tasks of
 * the same team that use the exhausted resources, provided that there is a machine for the critical tasks as
 * well. Performs no I/O: decisions go into the plan of the cycle.
 */
import type { JobSpec } from '../jobs/spec.js';
import { addTo, RESOURCE_KINDS, subtract, TOLERANCE, ZERO, type ResourceKind } from '../model/resources.js';
import type { ZoneId } from '../model/units.js';
import type { Allocation, ShardJob } from '../shards/model.js';
import type { CandidateMachines } from './candidates.js';
import { lostWork } from './preemption-cost.js';
import { preemptForTask, reserveAfterPreemption } from './preemption.js';
import { expandToGangs, longestGraceS, stopPreempted } from './preemption-stops.js';
import { hasRecentUnusedPreemption } from './reservation-terms.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/**
 * Frees quota of the team for a critical task, but only if a machine has room for the task or others may be
 * preempted there, so that its start follows: otherwise a stopped task would take the quota back and be
 * stopped again. Stops for quota and for capacity are one decision, and the machine is reserved. Returns
 * false if that is not possible; nothing is stopped then.
 */
export function preemptForQuota(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  zone: ZoneId | null,
  candidates: CandidateMachines,
): boolean {
  const allocations = chooseStopsForQuota(cycle, job);
  if (!allocations) return false;
  const cause = { reason: 'quota', preemptor: job.id } as const;
  if (job.reservations.get(index)?.withoutPreemption === false) {
    stopPreempted(cycle, allocations, cause);
    cycle.addTaskUsage(job.spec);
    return true;
  }
  const graceS = longestGraceS(allocations);
  const machine = candidates.next();
  if (machine) {
    if (allocations.length > 0 && hasRecentUnusedPreemption(job, machine.id, cycle.context.now)) return false;
    stopPreempted(cycle, allocations, cause);
    reserveAfterPreemption(cycle, job, index, machine, graceS);
    return true;
  }
  const undo = cycle.savepoint();
  stopPreempted(cycle, allocations, cause);
  if (preemptForTask(cycle, job, index, zone, { graceS })) return true;
  undo();
  return false;
}

/**
 * Chooses the tasks of the job's team to stop so that one more task of the job fits into the quota, those
 * that lose least work first. Returns an empty list if enough tasks are already being stopped, and null if
 * stopping all tasks that may be stopped would not be enough.
 */
function chooseStopsForQuota(cycle: SchedulingCycle, job: ShardJob): Allocation[] | null {
  const { spec } = job;
  const freed = { ...ZERO };
  const exceededKinds = (): ResourceKind[] => {
    const usage = subtract(subtract(cycle.usageWithTask(spec), cycle.stoppingUsage(spec.team)), freed);
    const shardQuota = cycle.context.shardQuota(spec.team);
    return RESOURCE_KINDS.filter((kind) => spec[kind] > 0 && usage[kind] > shardQuota[kind] + TOLERANCE);
  };
  let exceeded = exceededKinds();
  if (exceeded.length === 0) return [];
  const chosen = new Set<Allocation>();
  for (const allocation of cheapestFirst(cycle, preemptibleForQuota(cycle, spec))) {
    if (chosen.has(allocation) || !exceeded.some((kind) => allocation.spec && allocation.spec[kind] > 0))
      continue;
    for (const member of expandToGangs(cycle.shard, [allocation])) {
      chosen.add(member);
      addTo(freed, member.spec as JobSpec);
    }
    exceeded = exceededKinds();
    if (exceeded.length === 0) return [...chosen];
  }
  return null;
}

function cheapestFirst({ context }: SchedulingCycle, allocations: readonly Allocation[]): Allocation[] {
  const membersOf = ({ spec }: Allocation): number => (spec?.kind === 'gang' ? spec.tasks : 1);
  return allocations
    .map((allocation) => ({ allocation, cost: membersOf(allocation) * lostWork(allocation, context) }))
    .sort((first, second) => first.cost - second.cost)
    .map(({ allocation }) => allocation);
}

/** Returns the tasks of the team with a lower priority that are not being stopped yet. */
function preemptibleForQuota({ shard, stopping }: SchedulingCycle, spec: JobSpec): Allocation[] {
  const preemptible: Allocation[] = [];
  for (const [id, allocations] of shard.allocationsByJob) {
    const otherSpec = shard.jobs.get(id)?.spec;
    if (otherSpec?.team !== spec.team || otherSpec.priority <= spec.priority) continue;
    for (const allocation of allocations)
      if (allocation.spec && !allocation.stop && !stopping.has(allocation)) preemptible.push(allocation);
  }
  return preemptible;
}
