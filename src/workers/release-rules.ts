/**
 * The rules that decide when a task is certainly no longer on a machine, so that its allocation may be released, and
 * when a worker may forget an exited task. Each rule prevents a sequence of events in which a task would run twice. The
 * rules use the worker's agent epochs, sequence numbers and fencing tokens and this process's monotonic clock. Except
 * for the functions that are documented to change state, they only decide, and the callers act.
 */
import type { Log } from '../logging/log.js';
import type { JobId, Millis, Revision, Seconds, SteadyMs, TaskIndex } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import {
  release,
  type Allocation,
  type ExitedTask,
  type Machine,
  type Shard,
  type UnacknowledgedLaunch,
} from '../shards/model.js';
import type { Heartbeat } from './wire.js';

/** How a worker's status arrived: in a heartbeat, or in the reply to a direct command. */
export type StatusChannel = 'heartbeat' | 'direct';

/**
 * Returns whether a status is older than the last one applied to the machine, by agent epoch and then sequence number,
 * or of an agent epoch whose lease has expired.
 *
 * Prevents: a network fault delays a heartbeat for minutes; a task starts meanwhile; the delayed heartbeat, written
 * before that start, does not list the task; the task is released and started a second time elsewhere. Also prevents: a
 * lease has expired, its tasks are started elsewhere, and a delayed heartbeat of that agent epoch lists them as
 * running.
 */
export function isOutdated(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.agentEpoch < machine.minimumAgentEpoch ||
    heartbeat.agentEpoch < machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence)
  );
}

/**
 * Returns whether a task that the worker's status does not list is certainly not on the machine.
 *
 * Three cases must not be released. (1) The launch is in a direct request that is in flight, or that had no reply and
 * may be executed late: the status may predate the launch, and the task would start after its release. (2) The launch
 * was in the answer to a heartbeat: a direct reply may overtake that answer, and only the worker's next heartbeat is
 * certainly sent after the worker has executed or discarded it. (3) The launch has not been sent yet: the task cannot
 * be listed.
 */
export function mayReleaseAbsent(machine: Machine, allocation: Allocation, channel: StatusChannel): boolean {
  if (allocation.launchInFlight || allocation.unacknowledged) return false;
  if (allocation.launchAnswerSequence !== null)
    return channel === 'heartbeat' && machine.sequence > allocation.launchAnswerSequence;
  return !(allocation.phase === 'ordered' && allocation.launchPending);
}

/**
 * Clears unacknowledged launches that the worker can no longer execute: by the time it wrote this status, it already
 * refused launches of an earlier agent epoch or with a lower fencing token.
 *
 * Prevents: a direct launch without a reply is executed minutes later, after its task was started elsewhere.
 */
export function resolveUnacknowledgedLaunches(machine: Machine, heartbeat: Heartbeat): void {
  for (const allocation of machine.allocations.values())
    if (isRuledOut(allocation.unacknowledged, heartbeat)) allocation.unacknowledged = null;
  for (const exitedTask of machine.exitedTasks.values())
    if (isRuledOut(exitedTask.unacknowledged, heartbeat)) exitedTask.unacknowledged = null;
}

function isRuledOut(launch: UnacknowledgedLaunch | null, heartbeat: Heartbeat): boolean {
  return (
    launch !== null &&
    (heartbeat.agentEpoch > launch.agentEpoch || heartbeat.fencingToken > launch.fencingToken)
  );
}

/**
 * Returns the launch of `expected` that may still arrive at a machine that reports another attempt of the task, or null
 * if there is none.
 *
 * Prevents: the reported attempt ends, its task is released and started elsewhere, and then the launch of the expected
 * attempt arrives at the first machine.
 */
export function outstandingLaunchOf(
  shard: Shard,
  machine: Machine,
  expected: Allocation,
  now: SteadyMs,
): UnacknowledgedLaunch | null {
  if (expected.unacknowledged) return expected.unacknowledged;
  if (!expected.launchInFlight && expected.launchAnswerSequence === null) return null;
  return { fencingToken: shard.tokens.tokenOf(machine), agentEpoch: machine.agentEpoch, sentAt: now };
}

/** Returns whether an allocation or an exited task of the machine has an unacknowledged launch that `matches`. */
export function hasUnacknowledgedLaunch(
  machine: Machine,
  matches: (launch: UnacknowledgedLaunch) => boolean,
): boolean {
  for (const { unacknowledged } of machine.allocations.values())
    if (unacknowledged && matches(unacknowledged)) return true;
  for (const { unacknowledged } of machine.exitedTasks.values())
    if (unacknowledged && matches(unacknowledged)) return true;
  return false;
}

/** Tells which task results are recorded in the store. */
export interface ResultRecords {
  /** Returns whether the worker's copy of the result is not needed: the job's record has it, or the job has ended. */
  isResultRecorded(job: JobId, index: TaskIndex): boolean;
}

/**
 * Returns whether a worker may be told to forget an exited task.
 *
 * Prevents: a launch of the same attempt arrives afterwards, and the worker, which no longer knows the attempt, starts
 * it again. Also prevents: the result is forgotten before it is in the store, because the controller stops in between,
 * does not know the job yet or has the task allocated to another machine; the finished task then runs again.
 */
export function mayForget(records: ResultRecords, exitedTask: ExitedTask): boolean {
  if (exitedTask.unacknowledged) return false;
  return exitedTask.cause !== 'done' || records.isResultRecorded(exitedTask.job, exitedTask.index);
}

/**
 * Returns whether a status proves that the machine no longer accepts commands of earlier leaders, so that it lists
 * every task that they started there.
 *
 * Prevents: the previous leader, which has not stopped yet, starts a task after the worker wrote a status without it.
 */
export function provesReconciled(shard: Shard, heartbeat: Heartbeat): boolean {
  return heartbeat.fencingToken >= shard.fencingToken;
}

/**
 * Returns whether the machine was registered after this leadership began, so that no earlier leader has commanded it.
 *
 * Prevents: after a failover a machine of the previous leader is assumed to be empty while tasks run on it.
 */
export function isRegisteredSinceAcquisition(shard: Shard, registeredAt: Revision): boolean {
  return registeredAt > shard.acquiredVersion;
}

/** The inputs for computing when a machine's lease ends. */
export interface LeaseTerms {
  /** Duration of the lease, including margins for clock drift and timers. */
  readonly leaseDuration: Millis;
  /** The previous leader has stopped renewing leases this long after a failover. */
  readonly previousLeaderTimeout: Millis;
  /** Start of the last request that confirmed that the watch cache, and with it the leadership, was current. */
  readonly confirmedAt: SteadyMs;
}

/** Upper bound for the milliseconds of this process's clock per second of another's: each may drift by 0.05%. */
const MAX_MS_PER_REMOTE_SECOND = 1001;

/**
 * Returns a time after a failover by which the previous leader has certainly stopped renewing leases: the time limit
 * for cancellations, which exceeds the time for which a leader may send commands without a confirmation by the store.
 */
export const previousLeaderTimeout = (cancelS: Seconds): Millis => millis(cancelS * MAX_MS_PER_REMOTE_SECOND);

/**
 * Returns whether the worker's lease has certainly expired, so that the worker has killed and forgotten all its tasks.
 *
 * Prevents three sequences in which a task would be started elsewhere while it runs. (1) The previous leader answers a
 * heartbeat after the failover, which renews the lease. (2) This controller has lost its leadership without noticing,
 * and its successor renews the lease that this controller considers expired; `confirmedAt` excludes this. (3) A direct
 * reply shows a new agent epoch, whose lease began after the last heartbeat, and the tasks of the new epoch are
 * released because the lease of the old one has expired.
 */
export function isLeaseExpired(shard: Shard, machine: Machine, now: SteadyMs, terms: LeaseTerms): boolean {
  const leaseEnd = Math.max(
    earliestLeaseEnd(shard, machine, terms),
    lastPossibleRenewal(machine) + terms.leaseDuration,
  );
  return now >= leaseEnd && terms.confirmedAt >= leaseEnd;
}

/**
 * Returns the time until which an earlier leader may have renewed the lease; 0 if a heartbeat was received by this
 * leader from a reconciled machine. A machine that replies to calls but whose heartbeats do not arrive has reported
 * this leader's fencing token, but not when its lease was last renewed.
 */
function earliestLeaseEnd(shard: Shard, machine: Machine, terms: LeaseTerms): number {
  const renewedHere = machine.reconciled && machine.lastHeartbeatAt !== null;
  return renewedHere ? 0 : plus(shard.acquiredAt, terms.previousLeaderTimeout);
}

function lastPossibleRenewal(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt ?? 0, machine.agentEpochSeenAt ?? 0);
}

/** Releases all tasks of a machine whose agent epoch has ended: by lease expiry, a newer epoch or its deletion. */
export function releaseAll(shard: Shard, machine: Machine, log: Log): void {
  for (const allocation of [...machine.allocations.values()]) {
    log.debug(
      { task: allocation.id, machine: machine.id, attempt: allocation.attempt },
      'agent epoch ended, allocation released',
    );
    release(shard, machine, allocation);
  }
  machine.exitedTasks = new Map();
}
