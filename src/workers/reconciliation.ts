/**
 * Reconciles a shard's memory with what a worker reports: which tasks are on the machine, have exited or are absent.
 * A fixed sequence of stages without I/O; `release-rules.ts` decides what may be released in them, `task-exits.ts`
 * handles the tasks that ended. Callers hold the controller's lock.
 */
import type { GangHistory } from '../model/gang.js';
import type { Attempt, JobId, Millis, TaskId } from '../model/units.js';
import { elapsed, plus, taskId, toMillis } from '../model/units.js';
import type { JobSpec } from '../jobs/spec.js';
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
import {
  isOutdated,
  launchStillExpected,
  mayReleaseAbsent,
  provesReconciled,
  releaseAll,
  resolveUnacknowledgedLaunches,
  type StatusChannel,
} from './release-rules.js';
import { reconcileExitedTasks, type TaskExitContext } from './task-exits.js';
import type { ActiveTaskStatus, Heartbeat } from './wire.js';

/** What reconciliation uses of the controller. */
export interface ReconciliationContext extends TaskExitContext {
  /** The specification of a job that has ended and may still have tasks on machines. */
  readonly endedJobSpec: (job: JobId) => JobSpec | null;
  /** The store has a record of the job that this version cannot read: the job has not ended. */
  readonly isRecordUnreadable: (job: JobId) => boolean;
  /** A worker that received the answer to its heartbeat sends the next one within this time. */
  readonly heartbeatTimeout: Millis;
}

/** Applies a worker's status to the shard; false, without any effect, when it is older than what is known. */
export function reconcileHeartbeat(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  channel: StatusChannel,
  context: ReconciliationContext,
): boolean {
  if (isOutdated(machine, heartbeat)) return false;
  if (channel === 'heartbeat' && wentUnanswered(machine, heartbeat, context))
    requireDirectReply(shard, machine, context);
  if (heartbeat.agentEpoch > machine.agentEpoch) startAgentEpoch(shard, machine, context);
  updateIdentity(machine, heartbeat, context);
  updateInterruptionNotice(shard, machine, heartbeat, context);
  if (channel === 'heartbeat') recordHeartbeat(machine, heartbeat, context);
  resolveUnacknowledgedLaunches(machine, heartbeat);
  reconcileTasks(shard, machine, heartbeat, channel, context);
  if (provesReconciled(shard, heartbeat)) shard.markReconciled(machine);
  return true;
}

/**
 * Whether an answer to an earlier heartbeat may not have arrived: the agent epoch is new, or the silence was longer
 * than between answered heartbeats.
 */
function wentUnanswered(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): boolean {
  if (machine.lastHeartbeatAt === null || !machine.reconciled) return false;
  return (
    heartbeat.agentEpoch > machine.agentEpoch ||
    elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout
  );
}

/**
 * Nothing is placed on the machine until it replies to a direct request.
 *
 * Prevents: its heartbeats arrive and the answers to them do not, so that tasks placed there never start.
 */
function requireDirectReply(shard: Shard, machine: Machine, context: ReconciliationContext): void {
  machine.unreachableSince ??= context.now;
  shard.machinesWithPendingCommands.add(machine);
}

/** With a new agent epoch the worker has forgotten all tasks of the one before and refuses its commands. */
function startAgentEpoch(shard: Shard, machine: Machine, context: ReconciliationContext): void {
  releaseAll(shard, machine, context.log);
  machine.agentEpochSeenAt = context.now;
}

function updateIdentity(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): void {
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.fencingToken = heartbeat.fencingToken;
  machine.address = heartbeat.address;
  machine.lastHeardAt = context.now;
}

function updateInterruptionNotice(
  shard: Shard,
  machine: Machine,
  { interruptionNoticeS }: Heartbeat,
  context: ReconciliationContext,
): void {
  const interruptedAt =
    interruptionNoticeS === null ? null : plus(context.now, toMillis(interruptionNoticeS));
  shard.setInterruption(machine, interruptedAt);
}

/** Only heartbeats renew leases: a direct reply must not change these times. */
function recordHeartbeat(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): void {
  const interrupted =
    machine.lastHeartbeatAt === null ||
    elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout;
  if (interrupted) machine.continuouslyHeardSince = context.now;
  machine.lastHeartbeatAt = context.now;
  machine.lastHeartbeatSequence = heartbeat.sequence;
}

function reconcileTasks(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  channel: StatusChannel,
  context: ReconciliationContext,
): void {
  const seen = new Set<TaskId>();
  machine.exitedTasks = reconcileExitedTasks(shard, machine, heartbeat, seen, context);
  for (const task of heartbeat.tasks) {
    if (task.state === 'exited') continue;
    const id = taskId(task.job, task.index);
    seen.add(id);
    const expected = machine.allocations.get(id);
    if (expected?.attempt === task.attempt) updatePhase(shard, machine, expected, task.state, context);
    else recordUnexpectedTask(shard, machine, id, task, expected, context);
  }
  for (const allocation of [...machine.allocations.values()])
    if (!seen.has(allocation.id)) reconcileAbsentTask(shard, machine, allocation, channel, context);
}

function updatePhase(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  state: ActiveTaskStatus['state'],
  context: ReconciliationContext,
): void {
  if (allocation.phase !== state)
    context.log.debug({ task: allocation.id, machine: machine.id, state }, 'task state changed');
  allocation.phase = state;
  allocation.launchPending = false;
  const gang = shard.jobs.get(allocation.job)?.gangHistory;
  if (gang) recordGangState(gang, allocation.attempt, state);
  if (state === 'fetching') return;
  if (state === 'gathering') allocation.waitingForGangSince ??= context.now;
  else allocation.runningSince ??= context.now;
  if (allocation.spec) shard.recordImage(machine, allocation.spec.image, allocation.spec.imageGb);
}

/** A task that still waits for its gang shows that the attempt has not started; one that runs, that it has. */
function recordGangState(gang: GangHistory, attempt: Attempt, state: ActiveTaskStatus['state']): void {
  if (hasStarted(state)) gang.started = attempt;
  else gang.mayHaveStarted = false;
}

const hasStarted = (state: ActiveTaskStatus['state']): boolean => state === 'running' || state === 'saving';

/**
 * A task, or an attempt of one, that this leadership did not start there. It is adopted if the shard is to run it and
 * knows it nowhere else; otherwise it is stopped, and uses capacity and quota until it has gone.
 */
function recordUnexpectedTask(
  shard: Shard,
  machine: Machine,
  id: TaskId,
  task: ActiveTaskStatus,
  expected: Allocation | undefined,
  context: ReconciliationContext,
): void {
  const elsewhere = shard.allocations.get(id);
  const job = shard.jobs.get(task.job);
  const adopted = !elsewhere && !expected && job !== undefined && isUnfinishedHere(shard, job, task);
  const spec = job?.spec ?? context.endedJobSpec(task.job);
  const allocation: Allocation = {
    ...observedAllocation(id, machine, task, spec, context),
    stop: adopted ? null : { grace: 0, direct: 'due' },
    unacknowledged: expected ? launchStillExpected(shard, machine, expected, context.now) : null,
  };
  if (adopted) allocate(shard, machine, allocation);
  else {
    addToMachine(shard, machine, allocation);
    if (!elsewhere || elsewhere === expected) shard.allocations.set(id, allocation);
    if (job) withdrawFromQueue(job, task.index, task.index + 1);
    context.log.info(
      { task: id, machine: machine.id, attempt: task.attempt },
      'not assigned to this shard, stopping',
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
  { now }: ReconciliationContext,
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

function reconcileAbsentTask(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  channel: StatusChannel,
  context: ReconciliationContext,
): void {
  if (!mayReleaseAbsent(machine, allocation, channel)) return;
  context.log.debug(
    { task: allocation.id, machine: machine.id, attempt: allocation.attempt },
    'not on its machine',
  );
  release(shard, machine, allocation);
}
