/** The order in which a cycle schedules the waiting jobs of a shard. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { sizeOf } from '../model/resources.js';
import type { ShardJob } from '../shards/model.js';
import { compareLexicographically } from './candidates.js';
import { OVERDUE_AFTER_MS } from './cycle.js';
import { deadlineAt, Lateness, lateness } from './deadlines.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** A job that has waited this long without any start goes first in its priority, and none is kept below standard. */
const STARVED_AFTER_MS = 90_000;
/** Waiting this long outweighs needing twice as much, so that small jobs do not starve large ones. */
const AGING_STEP_MS = 15_000;

/** A job and what it is ordered by: the smaller of two different numbers goes first. */
export interface PrioritizedJob {
  readonly job: ShardJob;
  readonly sortKey: readonly number[];
}

/**
 * Critical jobs first, then jobs within their team's guaranteed quota, then by priority, then those whose deadline can
 * be kept, small jobs first. Waiting makes up for size, and after long enough for priority, so that every job starts.
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
  const starving = waitedMs > STARVED_AFTER_MS;
  // With more work than capacity, the nearest deadline first makes every job a little late. Small jobs go first
  // instead, in steps of a factor of two: most jobs are then done in time.
  const ordersBySize = deadline !== Infinity && latenessLevel !== Lateness.tooLate;
  const sortKey = [
    precedenceClass(spec, waitedMs),
    context.guaranteed(job.id) ? 0 : 1,
    starving ? Math.min(spec.priority, Priority.standard) : spec.priority,
    starving ? -1 : latenessLevel,
    ordersBySize ? sizeLevel(cycle, job, estimateMs) : 0,
    deadline === Infinity ? Number.MAX_SAFE_INTEGER : deadline,
    job.acceptedAt,
  ];
  return { job, sortKey };
}

/** Critical jobs first, then jobs that are long overdue, then all others. */
function precedenceClass(spec: JobSpec, waitedWithoutStartMs: number): number {
  if (spec.priority === Priority.critical) return 0;
  return waitedWithoutStartMs > OVERDUE_AFTER_MS ? 1 : 2;
}

/** The work that waits, in factors of two, less a step for each while that the job has waited. */
function sizeLevel({ context }: SchedulingCycle, job: ShardJob, estimateMs: number): number {
  const taskSize = sizeOf(job.spec, context.types.values());
  const agingSteps = (context.now - job.acceptedAt) / AGING_STEP_MS;
  return Math.round(Math.log2(1 + (job.waiting.size * taskSize * estimateMs) / 1000) - agingSteps);
}
