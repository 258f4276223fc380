/** Which tasks may be preempted for which job. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, TOLERANCE } from '../model/resources.js';
import type { Allocation, ShardJob } from '../shards/model.js';
import { OVERDUE_AFTER_MS } from './cycle.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** How long a task that was started long overdue is stopped for critical work only. */
const PREEMPTION_PROTECTION_MS = 60_000;

/** The job that others may be stopped for. */
export interface Preemptor {
  readonly job: ShardJob;
  /** It fits into its team's guaranteed quota. */
  readonly guaranteed: boolean;
}

/**
 * May this task be stopped for the preemptor? Follows the order in which waiting jobs are scheduled: otherwise a task
 * that was preempted would be scheduled first in the next cycle, and both would preempt each other endlessly.
 */
export function isPreemptible(cycle: SchedulingCycle, allocation: Allocation, preemptor: Preemptor): boolean {
  const { spec } = allocation;
  if (allocation.stop || !spec || cycle.stopping.has(allocation) || allocation.job === preemptor.job.id)
    return false;
  return (
    mayBeStoppedFor(cycle, allocation, spec, preemptor) &&
    !isProtectedFromPreemption(cycle, allocation, preemptor.job)
  );
}

function mayBeStoppedFor(
  cycle: SchedulingCycle,
  allocation: Allocation,
  spec: JobSpec,
  { job, guaranteed }: Preemptor,
): boolean {
  if (job.spec.priority === Priority.critical) return spec.priority !== Priority.critical;
  if (spec.priority === Priority.critical) return false;
  if (cycle.context.guaranteed(allocation.job)) return false;
  if (job.spec.priority < spec.priority) return true;
  return guaranteed && spec.team !== job.spec.team && exceedsGuarantee(cycle, spec);
}

/**
 * A job that started long overdue was scheduled before guaranteed work. Stopped for that at once, it would be scheduled
 * first again, and both would preempt each other endlessly.
 */
function isProtectedFromPreemption(
  cycle: SchedulingCycle,
  allocation: Allocation,
  preemptor: ShardJob,
): boolean {
  const job = cycle.shard.jobs.get(allocation.job);
  if (!job || preemptor.spec.priority === Priority.critical || !job.record.done.isEmpty) return false;
  return (
    allocation.allocatedAt - job.acceptedAt > OVERDUE_AFTER_MS &&
    cycle.context.now - allocation.allocatedAt < PREEMPTION_PROTECTION_MS
  );
}

/**
 * Would the team without this task still use all of a guaranteed quota that the task counts towards? A team without any
 * guaranteed quota has only borrowed what it uses.
 */
function exceedsGuarantee(cycle: SchedulingCycle, spec: JobSpec): boolean {
  const guarantee = cycle.context.teams.get(spec.team)?.guaranteed;
  if (!guarantee) return true;
  const counted = RESOURCE_KINDS.filter((kind) => guarantee[kind] > 0 && spec[kind] > 0);
  const usage = cycle.usageAfterStops(spec.team);
  return (
    counted.length === 0 || counted.some((kind) => usage[kind] - spec[kind] >= guarantee[kind] - TOLERANCE)
  );
}
