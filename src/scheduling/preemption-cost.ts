/** What is lost when a task is preempted: its work since the last checkpoint, and its job's deadline. Pure. */
import { sizeOf } from '../model/resources.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';
import { Lateness, lateness } from './deadlines.js';

/** Work in CPU milliseconds, for each CPU of its size, that one step of a job's deadline weighs as much as. */
const DEADLINE_STEP_COST_CPU_MS = 20_000;
/** A task that has not begun to run loses its start and the fetch of its image: as much as this time of work. */
const START_COST_MS = 500;
/** Added to the time of a checkpoint, for the worker to begin it. */
const CHECKPOINT_START_S = 1;

type CostContext = Pick<SchedulingContext, 'now' | 'types'>;

const runMs = (allocation: Allocation, context: Pick<SchedulingContext, 'now'>): number =>
  allocation.runningSince === null ? 0 : context.now - allocation.runningSince;

/** Work lost when this task is stopped now: its size in CPUs, by its dominant resource, times milliseconds. */
export function lostWork(allocation: Allocation, context: CostContext): number {
  const { spec } = allocation;
  if (!spec) return 0;
  const size = sizeOf(spec, context.types.values());
  if (allocation.runningSince === null) return size * START_COST_MS;
  const sinceStartMs = runMs(allocation, context);
  const lostMs =
    spec.checkpointIntervalS > 0 ? Math.min(sinceStartMs, spec.checkpointDurationS * 1000) : sinceStartMs;
  return size * lostMs;
}

/** What the users lose with a task beside its work: 2 while its job's deadline can be kept, 0 when it is too late. */
function deadlineLossSteps(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const { spec } = allocation;
  const job = shard.jobs.get(allocation.job);
  if (!spec || spec.deadlineS === null || !job) return 0;
  const estimateMs = spec.estimateS * context.runtimeCorrection(spec.jobClass) * 1000;
  const remainingMs = Math.max(0, estimateMs - runMs(allocation, context));
  return Lateness.tooLate - lateness(job, remainingMs, context);
}

/** The cost of preempting a task, in CPU milliseconds; of a gang's task that of all members, which stop together. */
export function preemptionCost(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const { spec } = allocation;
  const size = spec ? sizeOf(spec, context.types.values()) : 0;
  const tasks = spec?.kind === 'gang' ? spec.tasks : 1;
  const deadlineCost = deadlineLossSteps(shard, allocation, context) * DEADLINE_STEP_COST_CPU_MS * size;
  return tasks * (lostWork(allocation, context) + deadlineCost);
}

/** Time to write a checkpoint, in seconds, for a task that can; 0 for others. */
export function gracePeriodS({ spec }: Allocation): number {
  return spec && spec.checkpointIntervalS > 0 ? Math.ceil(spec.checkpointDurationS + CHECKPOINT_START_S) : 0;
}
