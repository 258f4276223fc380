/** Deadlines of jobs, and how late a job is expected to be. Pure. */
import type { ShardJob } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';

/** How late a job is expected to end; a larger number is worse. */
export const Lateness = {
  /** Within its deadline. */
  onTime: 0,
  /** Past its deadline, but within the multiple of it up to which the job is still useful. */
  late: 1,
  /** Too late to be useful. */
  tooLate: 2,
} as const;
/** A value of `Lateness`. */
export type Lateness = (typeof Lateness)[keyof typeof Lateness];

/** Returns when the job is due, on the steady clock; Infinity for a job without a deadline. */
export function deadlineAt(job: ShardJob): number {
  return job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
}

/** Returns how late the job would be if it ended `remainingMs` from now. */
export function lateness(job: ShardJob, remainingMs: number, context: SchedulingContext): Lateness {
  if (job.spec.deadlineS === null) return Lateness.onTime;
  const expectedTurnaroundMs = context.now + remainingMs - job.acceptedAt;
  const deadlineMs = job.spec.deadlineS * 1000;
  if (expectedTurnaroundMs < deadlineMs) return Lateness.onTime;
  const isLate = expectedTurnaroundMs < deadlineMs * context.maxLatenessFactor(job.spec.jobClass);
  return isLate ? Lateness.late : Lateness.tooLate;
}
