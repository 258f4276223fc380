/**
 * Reconciles the tasks that a worker lists as exited: updates the task, its job, its gang and the machine's health.
 * `release` updates the shard's totals; `jobs/progress.ts` writes finished tasks to the store.
 */
import type { Log } from '../logging/log.js';
import type { ExitCause } from '../model/exit-cause.js';
import type { SteadyMs, TaskId } from '../model/units.js';
import { millis, plus, seconds, taskId, toMillis } from '../model/units.js';
import {
  isAssignedTo,
  release,
  stopOrRelease,
  withdrawFromQueue,
  type Allocation,
  type ExitedTask,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import type { ExitedTaskStatus, Heartbeat, TaskStatus } from './wire.js';

/** The parts of the controller that are used when a task has exited. */
export interface TaskExitContext {
  readonly now: SteadyMs;
  readonly onTaskDone: (allocation: Allocation) => void;
  readonly log: Log;
  /** Called for an attempt that is not expected on the machine and that its previous status did not list. */
  readonly onUnexpectedTask: (heartbeat: Heartbeat, task: TaskStatus) => void;
}

/** No task is placed for this time on a machine that has refused a task for lack of capacity. */
const REFUSAL_QUARANTINE_MS = millis(2000);
/** No task of a job is started for this time after a worker did not know the job. */
const UNKNOWN_JOB_BACKOFF_MS = millis(1000);
/** A job without a success that fails on this many machines is assumed to be faulty itself. */
const MIN_FAILED_MACHINES = 3;
const MAX_JOB_BACKOFF_S = 60;
/** Limits the exponent of the exponential backoff; `MAX_JOB_BACKOFF_S` caps the result. */
const MAX_JOB_BACKOFF_EXPONENT = 6;
const MAX_RECENT_FAILURES = 20;
const FIRST_FAILURE_QUARANTINE_S = 5;
const REPEATED_FAILURE_QUARANTINE_S = 45;
/** Exit causes that prove that the gang's attempt did not start: the task never gathered with the others. */
const NEVER_STARTED_CAUSES: readonly ExitCause[] = ['no-room', 'busy', 'unknown', 'alone'];

/**
 * Releases the allocations of exited tasks, adds these tasks to `seen`, and returns all exited tasks that the worker
 * still reports. An unacknowledged launch of the same attempt is kept with the exited task, so that the worker is not
 * told to forget the task too early.
 */
export function reconcileExitedTasks(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  seen: Set<TaskId>,
  context: TaskExitContext,
): Map<TaskId, ExitedTask> {
  const exitedTasks = new Map<TaskId, ExitedTask>();
  for (const task of heartbeat.tasks) {
    if (task.state !== 'exited') continue;
    const id = taskId(task.job, task.index);
    const previous = machine.exitedTasks.get(id);
    const current = machine.allocations.get(id);
    const allocation = current?.attempt === task.attempt ? current : null;
    exitedTasks.set(id, newExitedTask(id, task, allocation, previous));
    if (allocation) {
      seen.add(id);
      onTaskExited(shard, machine, allocation, task, context);
      continue;
    }
    if (previous?.attempt !== task.attempt) context.onUnexpectedTask(heartbeat, task);
    if (task.cause === 'done') markFinished(shard, task);
  }
  return exitedTasks;
}

function newExitedTask(
  id: TaskId,
  { job, index, attempt, cause }: ExitedTaskStatus,
  allocation: Allocation | null,
  previous: ExitedTask | undefined,
): ExitedTask {
  const unacknowledged =
    allocation?.unacknowledged ?? (previous?.attempt === attempt ? previous.unacknowledged : null);
  return { id, job, index, attempt, cause, unacknowledged };
}

function onTaskExited(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  task: ExitedTaskStatus,
  context: TaskExitContext,
): void {
  release(shard, machine, allocation);
  const job = shard.jobs.get(allocation.job);
  context.log.debug(
    { task: allocation.id, machine: machine.id, attempt: allocation.attempt, cause: task.cause },
    'exited',
  );
  if (job) recordGangExit(job, machine, task);
  if (task.cause === 'done') {
    machine.taskFailures = [];
    if (job) job.successes += 1;
    context.onTaskDone(allocation);
    markFinished(shard, task);
  } else if (task.cause === 'error') recordFailure(machine, allocation, job, context);
  else if (task.cause === 'no-room' || task.cause === 'busy')
    machine.quarantinedUntil = plus(context.now, REFUSAL_QUARANTINE_MS);
  else if (task.cause === 'unknown' && job) job.backoffUntil = plus(context.now, UNKNOWN_JOB_BACKOFF_MS);
}

/** Updates the history of a gang from the exit of one of its tasks. */
function recordGangExit(
  { gangHistory }: ShardJob,
  machine: Machine,
  { attempt, cause }: ExitedTaskStatus,
): void {
  if (!gangHistory) return;
  gangHistory.vacatedMachines.add(machine.id);
  if (cause === 'peers') gangHistory.lastStartedAttempt = attempt;
  if (cause === 'alone') gangHistory.lastFailedAttempt = attempt;
  if (NEVER_STARTED_CAUSES.includes(cause)) gangHistory.mayHaveStarted = false;
}

function markFinished(shard: Shard, task: ExitedTaskStatus): void {
  const job = shard.jobs.get(task.job);
  if (!job || job.spec.kind === 'service' || job.record.done.has(task.index)) return;
  if (job.finished.has(task.index) || !isAssignedTo(shard, task.job, task.index)) return;
  if (job.gangHistory) {
    markGangFinished(shard, job);
    return;
  }
  job.finished.add(task.index);
  stopAllocationElsewhere(shard, task);
  shard.jobsWithUnrecordedResults.add(job);
  withdrawFromQueue(job, task.index, task.index + 1);
}

/**
 * Stops a finished task on the machine where it is still allocated: it may run there, or a delayed heartbeat may have
 * listed it there.
 */
function stopAllocationElsewhere(shard: Shard, { job, index }: ExitedTaskStatus): void {
  const allocation = shard.allocations.get(taskId(job, index));
  const machine = allocation && shard.machines.get(allocation.machine);
  if (machine) stopOrRelease(shard, machine, allocation, 0);
}

/** Marks all tasks of a gang as finished: they complete together, so one finished task proves that all are. */
function markGangFinished(shard: Shard, job: ShardJob): void {
  job.finished.addRange(0, job.spec.tasks);
  job.finished.removeAll(job.record.done);
  shard.jobsWithUnrecordedResults.add(job);
  withdrawFromQueue(job, 0, job.spec.tasks);
}

/** Backs off a job that has failed on several machines without a success; other failures quarantine the machine. */
function recordFailure(
  machine: Machine,
  allocation: Allocation,
  job: ShardJob | undefined,
  context: TaskExitContext,
): void {
  if (job) {
    job.errors += 1;
    job.failedMachines.add(machine.id);
    if (failsEverywhere(job)) {
      delayFailingJob(job, context);
      return;
    }
  }
  quarantineFailingMachine(machine, allocation, context);
}

function failsEverywhere(job: ShardJob): boolean {
  return job.successes === 0 && job.failedMachines.size >= MIN_FAILED_MACHINES;
}

function delayFailingJob(job: ShardJob, { now, log }: TaskExitContext): void {
  const machines = job.failedMachines.size;
  const exponent = Math.min(MAX_JOB_BACKOFF_EXPONENT, machines - (MIN_FAILED_MACHINES - 1));
  const backoffS = Math.min(MAX_JOB_BACKOFF_S, 2 ** exponent);
  job.backoffUntil = plus(now, toMillis(seconds(backoffS)));
  log.info({ job: job.id, machines, backoffS }, 'job fails on every machine that starts it, backing off');
}

function quarantineFailingMachine(
  machine: Machine,
  allocation: Allocation,
  { now, log }: TaskExitContext,
): void {
  machine.taskFailures.push({ at: now, job: allocation.job });
  machine.taskFailures = machine.taskFailures.slice(-MAX_RECENT_FAILURES);
  const faults = machine.taskFailures.length;
  const jobs = new Set(machine.taskFailures.map((failure) => failure.job)).size;
  const quarantineS = faults > 1 ? REPEATED_FAILURE_QUARANTINE_S : FIRST_FAILURE_QUARANTINE_S;
  machine.quarantinedUntil = plus(now, toMillis(seconds(quarantineS)));
  log.info({ machine: machine.id, faults, jobs, avoidS: quarantineS }, 'tasks fail on machine');
}
