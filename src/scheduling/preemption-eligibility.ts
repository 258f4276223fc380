/** Decides which tasks may be preempted for which job. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, subtract, TOLERANCE } from '../model/resources.js';
import type { JobId } from '../model/units.js';
import type { Allocation, ShardJob } from '../shards/model.js';
import { OVERDUE_AFTER_MS } from './cycle.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** How long a task whose job was overdue when it started can be preempted by critical jobs only. */
const PREEMPTION_PROTECTION_MS = 60_000;

/** The job for which other tasks may be preempted. */
export interface Preemptor {
  readonly job: ShardJob;
  /** Whether the job fits into its team's guaranteed quota. */
  readonly isGuaranteed: boolean;
}

/**
 * Returns true if the task may be stopped for the preemptor. The rules follow the order in which waiting jobs
 * are scheduled: otherwise a preempted task would be scheduled before its preemptor in the next cycle, and
 * both would preempt each other endlessly.
 */
export function isPreemptible(cycle: SchedulingCycle, allocation: Allocation, preemptor: Preemptor): boolean {
  const { spec } = allocation;
  if (allocation.stop || !spec || cycle.stopping.has(allocation) || allocation.job === preemptor.job.id)
    return false;
  return (
    mayBePreemptedBy(cycle, { jobId: allocation.job, spec, isStarted: true }, preemptor) &&
    !isProtectedFromPreemption(cycle, allocation, preemptor.job)
  );
}

/** A task that may be preempted: an allocated task, or a waiting task considered as if it had started. */
interface PreemptionCandidate {
  readonly jobId: JobId;
  readonly spec: JobSpec;
  /** Whether the usage of its team already includes the task. */
  readonly isStarted: boolean;
}

/** Returns true if the preemptor takes precedence over the task, by priority or by guaranteed quota. */
function mayBePreemptedBy(
  cycle: SchedulingCycle,
  task: PreemptionCandidate,
  { job, isGuaranteed }: Preemptor,
): boolean {
  const { jobId, spec } = task;
  if (job.spec.priority === Priority.critical) return spec.priority !== Priority.critical;
  if (spec.priority === Priority.critical) return false;
  if (cycle.context.guaranteed(jobId)) return false;
  if (job.spec.priority < spec.priority) return true;
  return isGuaranteed && spec.team !== job.spec.team && exceedsGuarantee(cycle, task);
}

/**
 * Returns true if the task is protected because its job was overdue when it started. Such a job is scheduled
 * before guaranteed jobs. If it were stopped for one at once, it would be scheduled first again, and both
 * would preempt each other endlessly.
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

/** Returns true if a task of the waiting job could be stopped for the preemptor as soon as it had started. */
export function wouldBePreemptible(cycle: SchedulingCycle, job: ShardJob, preemptor: Preemptor): boolean {
  return (
    mayBePreemptedBy(cycle, { jobId: job.id, spec: job.spec, isStarted: false }, preemptor) &&
    !wouldBeProtected(cycle, job, preemptor.job)
  );
}

function wouldBeProtected(cycle: SchedulingCycle, job: ShardJob, preemptor: ShardJob): boolean {
  if (preemptor.spec.priority === Priority.critical || !job.record.done.isEmpty) return false;
  return cycle.context.now - job.acceptedAt > OVERDUE_AFTER_MS;
}

/**
 * Returns true if the team would still use all of its guaranteed quota of a resource that the task needs if
 * the task were gone. All usage of a team without any guaranteed quota is borrowed.
 */
function exceedsGuarantee(cycle: SchedulingCycle, { spec, isStarted }: PreemptionCandidate): boolean {
  const guarantee = cycle.context.teams.get(spec.team)?.guaranteed;
  if (!guarantee) return true;
  const counted = RESOURCE_KINDS.filter((kind) => guarantee[kind] > 0 && spec[kind] > 0);
  const usage = cycle.usageAfterStops(spec.team);
  const usageWithoutTask = isStarted ? subtract(usage, spec) : usage;
  return (
    counted.length === 0 || counted.some((kind) => usageWithoutTask[kind] >= guarantee[kind] - TOLERANCE)
  );
}
