/**
 * Handles tasks that a machine reports and that the shard's leader did not start there: they are adopted, stopped, or
 * left running because the record of their job cannot be read.
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
import { outstandingLaunchOf } from './release-rules.js';
import type { ActiveTaskStatus } from './wire.js';

/** The parts of the controller that handling an unexpected task uses. */
export interface UnexpectedTaskContext {
  readonly now: SteadyMs;
  readonly log: Log;
  /** Returns the specification of a recently ended job, which may still have tasks on machines. */
  readonly endedJobSpec: (job: JobId) => JobSpec | null;
  /** Returns whether the store has a record of the job that this version cannot read, so that the job has not ended. */
  readonly isRecordUnreadable: (job: JobId) => boolean;
}

/** Returns whether a task in this state has started to run. */
export const hasStarted = (state: ActiveTaskStatus['state']): boolean =>
  state === 'running' || state === 'saving';

/**
 * Returns the allocation that the reported task is compared with. An allocation without a specification, whose job has
 * become known meanwhile, is released instead, so that the task is adopted with the job's specification.
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
 * Records a task, or an attempt of a task, that this leadership did not start on the machine. The task is adopted if it
 * is an unfinished task of the shard without another allocation. It is left running if the record of its job cannot be
 * read. Otherwise it is stopped, and uses capacity and quota until it has exited.
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
  // Prevents: a controller that starts and cannot read a job record of a later version stops the tasks of that job.
  const isLeftRunning = !elsewhere && !expected && !job && context.isRecordUnreadable(task.job);
  const allocation: Allocation = {
    ...observedAllocation(id, machine, task, spec, context),
    stop: adopted || isLeftRunning ? null : { grace: 0, direct: 'due' },
    unacknowledged: expected ? outstandingLaunchOf(shard, machine, expected, context.now) : null,
  };
  if (adopted) allocate(shard, machine, allocation);
  else {
    addToMachine(shard, machine, allocation);
    if (!elsewhere || elsewhere === expected) shard.allocations.set(id, allocation);
    if (job) withdrawFromQueue(job, task.index, task.index + 1);
    context.log.info(
      { task: id, machine: machine.id, attempt: task.attempt },
      isLeftRunning ? 'job record is unreadable, task left running' : 'unexpected task, stopping it',
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
    launchAnswerSequence: null,
  };
}
