/**
 * The cost of preempting a task: the work that it loses, and an amount that depends on how late its job is
 * expected to end, which is 0 if that is too late to be useful or the job has no deadline. Pure.
 */
import { taskSizeInCpus } from '../model/resources.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';
import { Lateness, lateness } from './deadlines.js';

/** The cost of each lateness step that a job has left, in CPU milliseconds for each CPU of the task's size. */
const DEADLINE_STEP_COST_CPU_MS = 20_000;
/**
 * The cost of stopping a task that is not running yet, as run time: its launch and the fetch of its image are
 * lost.
 */
const START_COST_MS = 500;
/** Added to the checkpoint duration, for the worker to begin the checkpoint. */
const CHECKPOINT_START_S = 1;

type CostContext = Pick<SchedulingContext, 'now' | 'types'>;

const runMs = (allocation: Allocation, context: Pick<SchedulingContext, 'now'>): number =>
  allocation.runningSince === null ? 0 : context.now - allocation.runningSince;

/**
 * Returns the work lost if the task is stopped now, in CPU milliseconds: its size in CPUs, by its dominant
 * resource, times the run time lost. A task with checkpoints loses at most the time that it takes to write one.
 */
export function lostWork(allocation: Allocation, context: CostContext): number {
  const { spec } = allocation;
  if (!spec) return 0;
  const size = taskSizeInCpus(spec, context.types.values());
  if (allocation.runningSince === null) return size * START_COST_MS;
  const sinceStartMs = runMs(allocation, context);
  const lostMs =
    spec.checkpointIntervalS > 0 ? Math.min(sinceStartMs, spec.checkpointDurationS * 1000) : sinceStartMs;
  return size * lostMs;
}

/**
 * Returns how many lateness steps the task's job has left until it is too late: 2 while it can meet its
 * deadline, 0 if it is too late or has no deadline.
 */
function deadlineLossSteps(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const { spec } = allocation;
  const job = shard.jobs.get(allocation.job);
  if (!spec || spec.deadlineS === null || !job) return 0;
  const estimateMs = spec.estimateS * context.runtimeCorrection(spec.jobClass) * 1000;
  const remainingMs = Math.max(0, estimateMs - runMs(allocation, context));
  return Lateness.tooLate - lateness(job, remainingMs, context);
}

/**
 * Returns the cost of preempting a task, in CPU milliseconds; for a member of a gang the cost of all members,
 * which stop together.
 */
export function preemptionCost(shard: Shard, allocation: Allocation, context: SchedulingContext): number {
  const { spec } = allocation;
  const size = spec ? taskSizeInCpus(spec, context.types.values()) : 0;
  const tasks = spec?.kind === 'gang' ? spec.tasks : 1;
  const deadlineCost = deadlineLossSteps(shard, allocation, context) * DEADLINE_STEP_COST_CPU_MS * size;
  return tasks * (lostWork(allocation, context) + deadlineCost);
}

/** Returns the time a task gets to write a checkpoint, in seconds; 0 if it writes none. */
export function gracePeriodS({ spec }: Allocation): number {
  return spec && spec.checkpointIntervalS > 0 ? Math.ceil(spec.checkpointDurationS + CHECKPOINT_START_S) : 0;
}
