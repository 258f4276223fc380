/**
 * Tasks on a machine that the shard's leader did not start there: which are adopted, which are stopped, and which are left
 * alone since the record of their job cannot be read.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { Log } from '../logging/log.js';
import type { JobId, SteadyMs, TaskId } from '../model/units.js';
import {
  addToMachine,
  allocate,
  isAssignedTo,
  release,
  withdrawFromQueue,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import { launchStillExpected } from './release-rules.js';
import type { ActiveTaskStatus } from './wire.js';

/** What the decision on an unexpected task uses of the controller. */
export interface UnexpectedTaskContext {
  readonly now: SteadyMs;
  readonly log: Log;
  /** The specification of a job that has ended and may still have tasks on machines. */
  readonly endedJobSpec: (job: JobId) => JobSpec | null;
  /** The store has a record of the job that this version cannot read: the job has not ended. */
  readonly isRecordUnreadable: (job: JobId) => boolean;
}

/** Whether a task in this state has begun to run. */
export const hasStarted = (state: ActiveTaskStatus['state']): boolean =>
  state === 'running' || state === 'saving';

/**
 * The allocation that the status is compared with. One of unknown size whose job has become known since is released, for
 * the task to be adopted as one of the job.
 */
export function expectedAllocation(
  shard: Shard,
  machine: Machine,
  id: TaskId,
  task: ActiveTaskStatus,
): Allocation | undefined {
  const allocation = machine.allocations.get(id);
  const isAdoptable =
    allocation?.attempt === task.attempt && allocation.spec === null && allocation.stop === null;
  if (!isAdoptable || !shard.jobs.has(task.job)) return allocation;
  release(shard, machine, allocation);
  return undefined;
}

/**
 * A task, or an attempt of one, that this leadership did not start there. It is adopted if the shard is to run it and
 * knows it nowhere else; otherwise it is stopped, and uses capacity and quota until it has gone.
 */
export function recordUnexpectedTask(
  shard: Shard,
  machine: Machine,
  id: TaskId,
  task: ActiveTaskStatus,
  expected: Allocation | undefined,
  context: UnexpectedTaskContext,
): void {
  const elsewhere = shard.allocations.get(id);
  const job = shard.jobs.get(task.job);
  const adopted = !elsewhere && !expected && job !== undefined && isUnfinishedHere(shard, job, task);
  const spec = job?.spec ?? context.endedJobSpec(task.job);
  // Prevents: a process that starts and cannot read the record of a later version stops the tasks of that job.
  const isLeftAlone = !elsewhere && !expected && !job && context.isRecordUnreadable(task.job);
  const allocation: Allocation = {
    ...observedAllocation(id, machine, task, spec, context),
    stop: adopted || isLeftAlone ? null : { grace: 0, direct: 'due' },
    unacknowledged: expected ? launchStillExpected(shard, machine, expected, context.now) : null,
  };
  if (adopted) allocate(shard, machine, allocation);
  else {
    addToMachine(shard, machine, allocation);
    if (!elsewhere || elsewhere === expected) shard.allocations.set(id, allocation);
    if (job) withdrawFromQueue(job, task.index, task.index + 1);
    context.log.info(
      { task: id, machine: machine.id, attempt: task.attempt },
      isLeftAlone ? 'record of its job cannot be read, left alone' : 'not assigned to this shard, stopping',
    );
  }
  if (task.state !== 'fetching' && spec) shard.recordImage(machine, spec.image, spec.imageGb);
}

function isUnfinishedHere(shard: Shard, job: ShardJob, { index }: ActiveTaskStatus): boolean {
  return isAssignedTo(shard, job.id, index) && !job.record.done.has(index) && !job.finished.has(index);
}

function observedAllocation(
  id: TaskId,
  machine: Machine,
  { job, index, attempt, state }: ActiveTaskStatus,
  spec: JobSpec | null,
  { now }: UnexpectedTaskContext,
): Omit<Allocation, 'stop' | 'unacknowledged'> {
  return {
    id,
    job,
    index,
    attempt,
    machine: machine.id,
    spec,
    phase: state,
    allocatedAt: now,
    runningSince: hasStarted(state) ? now : null,
    waitingForGangSince: state === 'gathering' ? now : null,
    launchInFlight: false,
    launchPending: false,
    answeredSequence: null,
  };
}
