/**
 * Preempts within a team: critical tasks of a team whose quota is used up get what its own less urgent tasks use of the
 * resources that are short. Pure: decisions go into the plan of the cycle.
 */
import type { JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, TOLERANCE, type ResourceKind } from '../model/resources.js';
import type { Allocation, ShardJob } from '../shards/model.js';
import { gracePeriodS, lostWork } from './preemption-cost.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** Stops tasks of the job's team until `count` tasks of the job are within the quota, those that lose least first. */
export function preemptForQuota(cycle: SchedulingCycle, job: ShardJob, count: number): void {
  const { spec } = job;
  const exceededKinds = kindsOverQuota(cycle, spec);
  const isEnoughStopped = (): boolean => {
    const stopped = cycle.stoppingUsage(spec.team);
    return exceededKinds.every((kind) => stopped[kind] >= count * spec[kind]);
  };
  if (isEnoughStopped()) return;
  const byLostWork = preemptibleForQuota(cycle, spec, exceededKinds)
    .map((allocation) => ({ allocation, lostCpuMs: lostWork(allocation, cycle.context) }))
    .sort((x, y) => x.lostCpuMs - y.lostCpuMs);
  for (const { allocation } of byLostWork) {
    if (isEnoughStopped()) return;
    cycle.stopping.add(allocation);
    cycle.addStoppingUsage(allocation.spec as JobSpec);
    const cause = { reason: 'quota', preemptor: job.id } as const;
    cycle.plan.stops.push({ allocation, graceS: gracePeriodS(allocation), cause });
  }
}

/** The resources of which one more task would take the team over its quota on this shard. */
function kindsOverQuota(cycle: SchedulingCycle, spec: JobSpec): ResourceKind[] {
  const shardQuota = cycle.context.shardQuota(spec.team);
  const usage = cycle.usageWithTask(spec);
  return RESOURCE_KINDS.filter((kind) => spec[kind] > 0 && usage[kind] > shardQuota[kind] + TOLERANCE);
}

/** Tasks of the team with a lower priority that use any of these resources. */
function preemptibleForQuota(
  { shard, stopping }: SchedulingCycle,
  spec: JobSpec,
  exceededKinds: readonly ResourceKind[],
): Allocation[] {
  const preemptible: Allocation[] = [];
  for (const [id, allocations] of shard.allocationsByJob) {
    const otherSpec = shard.jobs.get(id)?.spec;
    if (otherSpec?.team !== spec.team || otherSpec.priority <= spec.priority) continue;
    if (!exceededKinds.some((kind) => otherSpec[kind] > 0)) continue;
    for (const allocation of allocations)
      if (allocation.spec && !allocation.stop && !stopping.has(allocation)) preemptible.push(allocation);
  }
  return preemptible;
}
