/** Which tasks may be preempted for which job. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, subtract, TOLERANCE } from '../model/resources.js';
import type { JobId } from '../model/units.js';
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
    mayBeStoppedFor(cycle, { jobId: allocation.job, spec, isStarted: true }, preemptor) &&
    !isProtectedFromPreemption(cycle, allocation, preemptor.job)
  );
}

/** A task that is to make room, or that would have to if it started. */
interface PreemptibleTask {
  readonly jobId: JobId;
  readonly spec: JobSpec;
  /** Whether its team's usage counts it already. */
  readonly isStarted: boolean;
}

/** Does the preemptor go before the task, in rank and in guarantee? */
function mayBeStoppedFor(
  cycle: SchedulingCycle,
  task: PreemptibleTask,
  { job, guaranteed }: Preemptor,
): boolean {
  const { jobId, spec } = task;
  if (job.spec.priority === Priority.critical) return spec.priority !== Priority.critical;
  if (spec.priority === Priority.critical) return false;
  if (cycle.context.guaranteed(jobId)) return false;
  if (job.spec.priority < spec.priority) return true;
  return guaranteed && spec.team !== job.spec.team && exceedsGuarantee(cycle, task);
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

/** Could a task of the waiting job be stopped for the preemptor as soon as it had started? */
export function wouldBePreemptible(cycle: SchedulingCycle, job: ShardJob, preemptor: Preemptor): boolean {
  return (
    mayBeStoppedFor(cycle, { jobId: job.id, spec: job.spec, isStarted: false }, preemptor) &&
    !wouldBeProtected(cycle, job, preemptor.job)
  );
}

function wouldBeProtected(cycle: SchedulingCycle, job: ShardJob, preemptor: ShardJob): boolean {
  if (preemptor.spec.priority === Priority.critical || !job.record.done.isEmpty) return false;
  return cycle.context.now - job.acceptedAt > OVERDUE_AFTER_MS;
}

/**
 * Would the team without this task still use all of a guaranteed quota that the task counts towards? A team without any
 * guaranteed quota has only borrowed what it uses.
 */
function exceedsGuarantee(cycle: SchedulingCycle, { spec, isStarted }: PreemptibleTask): boolean {
  const guarantee = cycle.context.teams.get(spec.team)?.guaranteed;
  if (!guarantee) return true;
  const counted = RESOURCE_KINDS.filter((kind) => guarantee[kind] > 0 && spec[kind] > 0);
  const usage = cycle.usageAfterStops(spec.team);
  const usageWithoutTask = isStarted ? subtract(usage, spec) : usage;
  return (
    counted.length === 0 || counted.some((kind) => usageWithoutTask[kind] >= guarantee[kind] - TOLERANCE)
  );
}
