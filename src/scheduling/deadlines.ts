/** Deadlines of jobs, and how far a job can still keep its own. Pure. */
import type { ShardJob } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';

/** What can still be kept of a job's deadline; a larger number is worse. */
export const Lateness = {
  /** The deadline itself. */
  onTime: 0,
  /** The largest multiple of it within which the job is still of use. */
  late: 1,
  /** Neither. */
  tooLate: 2,
} as const;
/** One of the values above. */
export type Lateness = (typeof Lateness)[keyof typeof Lateness];

/** When the job is due, on the steady clock; infinite for a job without a deadline. */
export function deadlineAt(job: ShardJob): number {
  return job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
}

/** How late the job would be if it ended `remainingMs` from now. */
export function lateness(job: ShardJob, remainingMs: number, context: SchedulingContext): Lateness {
  if (job.spec.deadlineS === null) return Lateness.onTime;
  const expectedTurnaroundMs = context.now + remainingMs - job.acceptedAt;
  const deadlineMs = job.spec.deadlineS * 1000;
  if (expectedTurnaroundMs < deadlineMs) return Lateness.onTime;
  const isLate = expectedTurnaroundMs < deadlineMs * context.maxLatenessFactor(job.spec.jobClass);
  return isLate ? Lateness.late : Lateness.tooLate;
}
