/** The order in which a cycle schedules the waiting jobs of a shard. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { taskSizeInCpus } from '../model/resources.js';
import type { ShardJob } from '../shards/model.js';
import { compareLexicographically } from './candidates.js';
import { OVERDUE_AFTER_MS } from './cycle.js';
import { deadlineAt, Lateness, lateness } from './deadlines.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/**
 * A job that has waited this long without any start is scheduled first within its priority, and at least as a
 * standard job.
 */
const STARVED_AFTER_MS = 90_000;
/** Waiting this long offsets a factor of two in size, so that small jobs do not starve large ones. */
const AGING_STEP_MS = 15_000;

/** A job and its sort key. Keys are compared lexicographically; the smaller one is scheduled first. */
export interface PrioritizedJob {
  readonly job: ShardJob;
  readonly sortKey: readonly number[];
}

/**
 * Sorts the jobs: critical jobs first, then overdue jobs, then jobs within their team's guaranteed quota,
 * then by priority, then jobs that can meet their deadline, small jobs first. Waiting time offsets size and,
 * once it is long enough, also priority, so that every job starts.
 */
export function orderJobs(cycle: SchedulingCycle, jobs: readonly ShardJob[]): PrioritizedJob[] {
  return jobs.map((job) => prioritize(cycle, job)).sort(comparePriority);
}

const comparePriority = (first: PrioritizedJob, second: PrioritizedJob): number =>
  compareLexicographically(first.sortKey, second.sortKey) || (first.job.id < second.job.id ? -1 : 1);

function prioritize(cycle: SchedulingCycle, job: ShardJob): PrioritizedJob {
  const { context } = cycle;
  const { spec } = job;
  const estimateMs = spec.estimateS * context.runtimeCorrection(spec.jobClass) * 1000;
  const latenessLevel = lateness(job, estimateMs, context);
  const deadline = deadlineAt(job);
  const waitedMs = cycle.waitedWithoutStartMs(job);
  const isStarving = waitedMs > STARVED_AFTER_MS;
  // When there is more work than capacity, scheduling by the nearest deadline makes every job a little late.
  // Instead, small jobs are scheduled first, in steps of a factor of two, so that most jobs are done in time.
  const ordersBySize = deadline !== Infinity && latenessLevel !== Lateness.tooLate;
  const sortKey = [
    precedenceClass(spec, waitedMs),
    context.guaranteed(job.id) ? 0 : 1,
    isStarving ? Math.min(spec.priority, Priority.standard) : spec.priority,
    isStarving ? -1 : latenessLevel,
    ordersBySize ? sizeLevel(cycle, job, estimateMs) : 0,
    deadline === Infinity ? Number.MAX_SAFE_INTEGER : deadline,
    job.acceptedAt,
  ];
  return { job, sortKey };
}

/** Returns the first element of the sort key: critical jobs first, then overdue jobs, then all others. */
function precedenceClass(spec: JobSpec, waitedWithoutStartMs: number): number {
  if (spec.priority === Priority.critical) return 0;
  return waitedWithoutStartMs > OVERDUE_AFTER_MS ? 1 : 2;
}

/**
 * Returns the waiting work on a logarithmic scale to base two, less one for each AGING_STEP_MS since the job
 * was accepted.
 */
function sizeLevel({ context }: SchedulingCycle, job: ShardJob, estimateMs: number): number {
  const taskSize = taskSizeInCpus(job.spec, context.types.values());
  const agingSteps = (context.now - job.acceptedAt) / AGING_STEP_MS;
  return Math.round(Math.log2(1 + (job.waiting.size * taskSize * estimateMs) / 1000) - agingSteps);
}
