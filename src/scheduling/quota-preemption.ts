/**
 * Preempts within a team: critical tasks of a team whose quota is used up get what its own less urgent tasks use of the
 * resources that are short, if there is a machine for them as well. Pure: decisions go into the plan of the cycle.
 */
import type { JobSpec } from '../jobs/spec.js';
import { addTo, RESOURCE_KINDS, subtract, TOLERANCE, ZERO, type ResourceKind } from '../model/resources.js';
import type { ZoneId } from '../model/units.js';
import type { Allocation, ShardJob } from '../shards/model.js';
import type { CandidateMachines } from './candidates.js';
import { lostWork } from './preemption-cost.js';
import { preemptForTask, reserveAfterPreemption } from './preemption.js';
import { expandToGangs, longestGraceS, stopPreempted } from './preemption-stops.js';
import { hasUnusedPreemption } from './reservation-terms.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/**
 * Makes room in the team's quota for a critical task, but only where a machine has room for it or others may be stopped
 * there, so that its start follows: a stopped task would else take the quota back, to be stopped again. Both together are
 * one decision, and the machine is reserved. false: nothing is stopped.
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
    if (allocations.length > 0 && hasUnusedPreemption(job, machine.id, cycle.context.now)) return false;
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
 * Tasks of the job's team without which one more task of the job is within the quota, those that lose least first; none
 * where enough are being stopped already. null: all that may be stopped are not enough, so that none is to be stopped.
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

/** Tasks of the team with a lower priority. */
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
