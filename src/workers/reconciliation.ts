/**
 * Reconciles a shard's in-memory state with a worker's status: tasks that are on the machine, have exited or are
 * absent. Runs a fixed sequence of steps without I/O. `release-rules.ts` decides which allocations may be released;
 * `task-exits.ts` handles exited tasks. Callers hold the controller's lock.
 */
import type { GangHistory } from '../model/gang.js';
import type { Attempt, Millis, TaskId } from '../model/units.js';
import { elapsed, plus, taskId, toMillis } from '../model/units.js';
import { release, type Allocation, type Machine, type Shard } from '../shards/model.js';
import {
  isOutdated,
  mayReleaseAbsent,
  provesReconciled,
  releaseAll,
  resolveUnacknowledgedLaunches,
  type StatusChannel,
} from './release-rules.js';
import { reconcileExitedTasks, type TaskExitContext } from './task-exits.js';
import {
  expectedAllocation,
  hasStarted,
  recordUnexpectedTask,
  type UnexpectedTaskContext,
} from './unexpected-tasks.js';
import type { ActiveTaskStatus, Heartbeat } from './wire.js';

/** The parts of the controller that reconciliation uses. */
export interface ReconciliationContext extends TaskExitContext, UnexpectedTaskContext {
  /** A worker that received the answer to its heartbeat sends the next heartbeat within this time. */
  readonly heartbeatTimeout: Millis;
}

/** Applies a worker's status to the shard. Returns false, without any effect, if the status is outdated. */
export function reconcileHeartbeat(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  channel: StatusChannel,
  context: ReconciliationContext,
): boolean {
  if (isOutdated(machine, heartbeat)) return false;
  if (channel === 'heartbeat' && mayHaveMissedAnswer(machine, heartbeat, context))
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
 * Returns whether the worker may have missed the answer to an earlier heartbeat: it reports a new agent epoch, or more
 * time has passed since its last heartbeat than between answered heartbeats.
 */
function mayHaveMissedAnswer(
  machine: Machine,
  heartbeat: Heartbeat,
  context: ReconciliationContext,
): boolean {
  if (machine.lastHeartbeatAt === null || !machine.reconciled) return false;
  return (
    heartbeat.agentEpoch > machine.agentEpoch ||
    elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout
  );
}

/**
 * Marks the machine as unreachable: no task is placed on it until it replies to a direct request.
 *
 * Prevents: the machine's heartbeats arrive but the answers to them do not, so that tasks placed there never start.
 */
function requireDirectReply(shard: Shard, machine: Machine, context: ReconciliationContext): void {
  machine.unreachableSince ??= context.now;
  shard.machinesWithPendingCommands.add(machine);
}

/** In a new agent epoch the worker has no tasks of earlier epochs and refuses commands that were sent for them. */
function startAgentEpoch(shard: Shard, machine: Machine, context: ReconciliationContext): void {
  releaseAll(shard, machine, context.log);
  machine.agentEpochSeenAt = context.now;
}

function updateIdentity(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): void {
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.fencingToken = heartbeat.fencingToken;
  machine.address = heartbeat.address;
  machine.lastMessageAt = context.now;
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

/** Records the time of a heartbeat. Only heartbeats renew leases: a direct reply must not change these times. */
function recordHeartbeat(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): void {
  const hasGap =
    machine.lastHeartbeatAt === null ||
    elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout;
  if (hasGap) machine.continuousHeartbeatsSince = context.now;
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
    const expected = expectedAllocation(shard, machine, id, task);
    if (expected?.attempt === task.attempt) updatePhase(shard, machine, expected, task.state, context);
    else {
      context.onUnexpectedTask(heartbeat, task);
      recordUnexpectedTask(shard, machine, id, task, expected, context);
    }
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

/** A running task proves that its gang's attempt has started; a task in an earlier state, that it has not. */
function recordGangState(gang: GangHistory, attempt: Attempt, state: ActiveTaskStatus['state']): void {
  if (hasStarted(state)) gang.lastStartedAttempt = attempt;
  else gang.mayHaveStarted = false;
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
    'task absent from worker status, allocation released',
  );
  release(shard, machine, allocation);
}
