/**
 * Decides what may be released: every rule by which a task is taken to be certainly gone from a machine, and by which
 * an exited task may be removed from its worker. Each rule excludes a sequence of events in which one task would run
 * twice. The rules rely on the worker's epochs, sequence numbers and fencing tokens and on this process's monotonic
 * clock; they decide, and the callers act.
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

/** How a worker's status arrived: in its own heartbeat, or as its reply to a direct command. */
export type StatusChannel = 'heartbeat' | 'direct';

/**
 * Whether a status is older than what is known of the machine, by agent epoch and then sequence number.
 *
 * Prevents: a network fault holds a heartbeat back for minutes; a task starts meanwhile; the delayed heartbeat, written
 * before that start, does not list the task; the task is released and started a second time elsewhere. And: a lease
 * has expired, its tasks are started elsewhere, and a delayed heartbeat of that agent epoch lists them as running.
 */
export function isOutdated(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.agentEpoch < machine.minimumAgentEpoch ||
    heartbeat.agentEpoch < machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence)
  );
}

/**
 * Whether a task that the worker's status does not list is certainly not on the machine.
 *
 * Prevents three sequences. The launch is still in a direct request, or may be executed late because that request had
 * no reply: the status was written before it, and the task starts after its release. The launch was in the reply to a
 * heartbeat: a direct reply may overtake it, and only the worker's next heartbeat is sent after it has executed or
 * dropped that reply. The launch has not been sent yet: its absence says nothing.
 */
export function mayReleaseAbsent(machine: Machine, allocation: Allocation, channel: StatusChannel): boolean {
  if (allocation.launchInFlight || allocation.unacknowledged) return false;
  if (allocation.answeredSequence !== null)
    return channel === 'heartbeat' && machine.sequence > allocation.answeredSequence;
  return !(allocation.phase === 'ordered' && allocation.launchPending);
}

/**
 * Forgets unacknowledged launches that this status rules out: the worker has refused any launch of an earlier agent
 * epoch, or of a lower fencing token, since before it wrote the status.
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
 * The launch that may still arrive at a machine which shows another attempt of the task than `expected`, the one that
 * was sent there; null when there is none.
 *
 * Prevents: the attempt that the worker shows ends, its task is released and started elsewhere, and then the launch
 * of the expected attempt arrives at the first machine.
 */
export function launchStillExpected(
  shard: Shard,
  machine: Machine,
  expected: Allocation,
  now: SteadyMs,
): UnacknowledgedLaunch | null {
  if (expected.unacknowledged) return expected.unacknowledged;
  if (!expected.launchInFlight && expected.answeredSequence === null) return null;
  return { fencingToken: shard.fencingToken, agentEpoch: machine.agentEpoch, sentAt: now };
}

/** Whether the machine has, or had, a task with an unacknowledged launch of which `matches` holds. */
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

/** What the store is known to say about results. */
export interface ResultRecords {
  /** The task's result needs no other trace: its job's record has it, or the job has certainly ended. */
  isResultRecorded(job: JobId, index: TaskIndex): boolean;
}

/**
 * Whether an exited task may be removed from its worker's memory.
 *
 * Prevents: a launch of the same attempt arrives after the removal, and the worker, which does not know the attempt
 * any more, starts it anew; and: the result is removed before the store has it, since the controller ends in between,
 * does not know the job yet or takes the task to be elsewhere, and the task runs again after it was done.
 */
export function mayForget(records: ResultRecords, exitedTask: ExitedTask): boolean {
  if (exitedTask.unacknowledged) return false;
  return exitedTask.cause !== 'done' || records.isResultRecorded(exitedTask.job, exitedTask.index);
}

/**
 * Whether a status shows that the machine takes commands of this leadership only, and so lists all that earlier leaders
 * started there.
 *
 * Prevents: the previous leader, not yet stopped, starts a task after a status that does not list it.
 */
export function provesReconciled(shard: Shard, heartbeat: Heartbeat): boolean {
  return heartbeat.fencingToken >= shard.fencingToken;
}

/**
 * Whether the machine was registered after this leadership began, so that no earlier leader has commanded it.
 *
 * Prevents: a machine of the previous leader counts as empty after a failover while its tasks run.
 */
export function isRegisteredSinceAcquisition(shard: Shard, registeredAt: Revision): boolean {
  return registeredAt > shard.acquiredVersion;
}

/** What the end of a machine's lease is computed from. */
export interface LeaseTerms {
  /** The lease with the margins for clock drift and timers. */
  readonly leaseDuration: Millis;
  /** Within this time after a failover the previous leader has stopped renewing leases. */
  readonly previousLeaderTimeout: Millis;
  /** Start of the last request that proved the watch cache, and with it the leadership, current. */
  readonly confirmedAt: SteadyMs;
}

/** At most so many milliseconds of this process's clock pass in a second of another's: drift is 0.05% on each side. */
const MAX_MS_PER_REMOTE_SECOND = 1001;

/** Within this time after a failover the previous leader has stopped renewing leases: its cancellation limit. */
export const previousLeaderTimeout = (cancelS: Seconds): Millis => millis(cancelS * MAX_MS_PER_REMOTE_SECOND);

/**
 * Whether the worker's lease has expired: it has killed and forgotten all its tasks.
 *
 * Prevents: the previous leader answers a heartbeat after the failover, which renews the lease, and the task is started
 * elsewhere while it runs; this controller has lost its leadership without knowing, and its successor renews the lease
 * that is taken to have ended (`confirmedAt`); and a direct reply shows a new agent epoch, whose lease began after the
 * last heartbeat, and what was started in it is released with the old epoch.
 */
export function isLeaseExpired(shard: Shard, machine: Machine, now: SteadyMs, terms: LeaseTerms): boolean {
  const leaseEnd = Math.max(
    earliestLeaseEnd(shard, machine, terms),
    lastPossibleRenewal(machine) + terms.leaseDuration,
  );
  return now >= leaseEnd && terms.confirmedAt >= leaseEnd;
}

/**
 * Before this time a leader before this one may have renewed the lease. A machine that replies to calls and whose
 * heartbeats do not arrive has shown this leader's fencing token, and not when its lease was last renewed.
 */
function earliestLeaseEnd(shard: Shard, machine: Machine, terms: LeaseTerms): number {
  const renewedHere = machine.reconciled && machine.lastHeartbeatAt !== null;
  return renewedHere ? 0 : plus(shard.acquiredAt, terms.previousLeaderTimeout);
}

function lastPossibleRenewal(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt ?? 0, machine.agentEpochSeenAt ?? 0);
}

/** Releases all that was on a machine whose agent epoch has certainly ended, by its expiry, a newer one or deletion. */
export function releaseAll(shard: Shard, machine: Machine, log: Log): void {
  for (const allocation of [...machine.allocations.values()]) {
    log.debug(
      { task: allocation.id, machine: machine.id, attempt: allocation.attempt },
      'lost with its agent epoch',
    );
    release(shard, machine, allocation);
  }
  machine.exitedTasks = new Map();
}
