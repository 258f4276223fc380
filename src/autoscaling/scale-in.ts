/**
 * Decides which machines are deleted, and why. Pure except that it updates `idleSince` and `missedDirectRequests` of a
 * machine. Machines behind a network partition are not lost: hundreds may become unreachable in the same second, and
 * must be neither deleted together nor replaced.
 */
import type { ListedMachine } from '../cloud/wire.js';
import type { Machine, Shard } from '../shards/model.js';
import type { MachineId, Millis, Seconds, SteadyMs, ZoneId } from '../model/units.js';

/** After a failover, a machine that leaves this many direct requests unanswered is considered lost. */
const MAX_MISSED_REQUESTS = 3;
/**
 * If more than this share of a shard's machines is silent, there is a partition, or this controller itself is cut off.
 */
const MAX_SILENT_FRACTION = 0.03;
/** Minimum time that a machine is unreachable before it is deleted; most partitions end sooner. */
const UNREACHABLE_TIMEOUT_MS = 30_000;
/** After this many times the timeout, an unreachable machine is deleted even if no machine is reachable. */
const UNREACHABLE_TIMEOUT_FACTOR = 4;
/** A machine on which this many tasks have failed recently is considered faulty. */
const FAULTY_MACHINE_TASK_FAILURES = 4;
/** A machine is silent if no message has arrived for this many heartbeat intervals and for at least `MIN_SILENT_MS`. */
const SILENT_AFTER_INTERVALS = 3.2;
const MIN_SILENT_MS = 5000;
/** A machine is live if its last message is less than this many heartbeat intervals old. */
const LIVE_WITHIN_INTERVALS = 1.5;
/** A spot machine past the time of its notice was interrupted after this many heartbeat intervals without a message. */
const INTERRUPTED_AFTER_INTERVALS = 2;
/** During a partition, the timeout for silent machines is multiplied by this. */
const PARTITION_TIMEOUT_FACTOR = 2;
/** A machine appears in the cloud's list within this many times the lag of the list, plus an extra time. */
const LISTED_AFTER_LAGS = 2;
const LISTED_AFTER_EXTRA_S = 5;

/** Why a machine is deleted, as it is logged. */
export type ScaleInReason =
  | 'interrupted'
  | 'not listed any more'
  | 'spot machine silent'
  | 'silent'
  | 'it does not answer after a failover'
  | 'its heartbeats arrive and it cannot be reached'
  | 'tasks fail on it'
  | 'idle';

/** Input of the scale-in decision, in addition to the shard. */
export interface ScaleInContext {
  readonly now: SteadyMs;
  /** The interval between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** How long a machine may be idle before it is deleted. */
  readonly idleTimeout: Millis;
  /** How long a machine may be silent before it is deleted. */
  readonly silenceTimeout: Millis;
  /** Whether tasks of the shard wait for capacity. */
  readonly hasPendingDemand: boolean;
  /** Whether the store answers: without it the waiting tasks are unknown, and a machine's record cannot be deleted. */
  readonly storeHealthy: boolean;
  /** Returns whether the cloud's list shows machines that were created later, but not this machine. */
  readonly isUnlisted: (id: MachineId) => boolean;
}

/** Liveness of a shard's machines, counted once so that the decision on each machine need not iterate over the others. */
export interface ShardLiveness {
  readonly liveCountByZone: ReadonlyMap<ZoneId, number>;
  readonly liveMachineIds: ReadonlySet<MachineId>;
  readonly reachableCount: number;
  /** Reconciled on-demand machines that are not being deleted; each decision to delete one of them decrements it. */
  remainingOnDemand: number;
  /** If more on-demand machines than this are silent at once, there is a partition. */
  readonly maxSilentOnDemand: number;
  readonly silentOnDemand: number;
  /** On-demand machines that have sent nothing since this controller became the leader of the shard. */
  readonly missingOnDemand: number;
}

const isSilent = (machine: Machine, context: ScaleInContext): boolean =>
  context.now - (machine.lastMessageAt ?? machine.addedAt) >
  Math.max(SILENT_AFTER_INTERVALS * context.heartbeatIntervalMs, MIN_SILENT_MS);

/** Counts the live, reachable, silent and missing machines of a shard. */
export function assessLiveness(shard: Shard, context: ScaleInContext): ShardLiveness {
  const liveCountByZone = new Map<ZoneId, number>();
  const liveMachineIds = new Set<MachineId>();
  const counts = { reachableCount: 0, remainingOnDemand: 0, silentOnDemand: 0, missingOnDemand: 0 };
  for (const machine of shard.machines.values()) {
    if (
      machine.lastMessageAt !== null &&
      context.now - machine.lastMessageAt < LIVE_WITHIN_INTERVALS * context.heartbeatIntervalMs
    ) {
      liveCountByZone.set(machine.zone, (liveCountByZone.get(machine.zone) ?? 0) + 1);
      liveMachineIds.add(machine.id);
    }
    if (machine.unreachableSince === null && machine.lastMessageAt !== null) counts.reachableCount += 1;
    if (machine.spot) continue;
    if (isSilent(machine, context)) counts.silentOnDemand += 1;
    if (!machine.reconciled && machine.lastMessageAt === null) counts.missingOnDemand += 1;
    if (!machine.scalingIn && machine.reconciled) counts.remainingOnDemand += 1;
  }
  const maxSilentOnDemand = Math.max(1, Math.floor(shard.machines.size * MAX_SILENT_FRACTION));
  return {
    liveCountByZone,
    liveMachineIds,
    maxSilentOnDemand,
    ...counts,
  };
}

/** If a whole zone is silent, the cause is the network: its machines and their tasks are probably still running. */
const hasOtherLiveMachineInZone = (machine: Machine, liveness: ShardLiveness): boolean =>
  (liveness.liveCountByZone.get(machine.zone) ?? 0) - (liveness.liveMachineIds.has(machine.id) ? 1 : 0) > 0;

/** Returns why the machine is to be deleted, or null; decrements `remainingOnDemand` for an on-demand machine. */
export function scaleInReason(
  shard: Shard,
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): ScaleInReason | null {
  const reason = findScaleInReason(shard, machine, liveness, context);
  if (reason !== null && !machine.spot && machine.reconciled) liveness.remainingOnDemand -= 1;
  return reason;
}

function findScaleInReason(
  shard: Shard,
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): ScaleInReason | null {
  const silentMs = context.now - (machine.lastMessageAt ?? machine.addedAt);
  // An interrupted machine does not return: once the cloud confirms the deletion, its tasks are certainly gone.
  if (
    machine.interruptedAt !== null &&
    context.now > machine.interruptedAt &&
    silentMs > INTERRUPTED_AFTER_INTERVALS * context.heartbeatIntervalMs
  )
    return 'interrupted';
  const neverResponded = machine.lastMessageAt === null && machine.missedDirectRequests > 0;
  if (
    (neverResponded || silentMs > LIVE_WITHIN_INTERVALS * context.heartbeatIntervalMs) &&
    context.isUnlisted(machine.id)
  )
    return 'not listed any more';
  // All spot machines may be interrupted at once, but on-demand machines are not interrupted: spot machines that are
  // silent at the same time as many on-demand machines are behind a partition.
  if (
    machine.spot &&
    isSilent(machine, context) &&
    hasOtherLiveMachineInZone(machine, liveness) &&
    liveness.silentOnDemand <= liveness.maxSilentOnDemand
  )
    return 'spot machine silent';
  const timeoutFactor = liveness.silentOnDemand <= liveness.maxSilentOnDemand ? 1 : PARTITION_TIMEOUT_FACTOR;
  if (silentMs > context.silenceTimeout * timeoutFactor) return 'silent';
  if (isMissingAfterFailover(shard, machine, liveness)) return 'it does not answer after a failover';
  if (isUnreachable(machine, liveness, context)) return 'its heartbeats arrive and it cannot be reached';
  return idleScaleInReason(machine, liveness, context);
}

function idleScaleInReason(
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): ScaleInReason | null {
  if (
    machine.allocations.size > 0 ||
    machine.directRequestInFlight ||
    !machine.reconciled ||
    machine.lastMessageAt === null
  ) {
    machine.idleSince = null;
    return null;
  }
  if (machine.taskFailures.length >= FAULTY_MACHINE_TASK_FAILURES) return 'tasks fail on it';
  machine.idleSince ??= context.now;
  if (machine.interruptedAt !== null || context.hasPendingDemand || !context.storeHealthy) return null;
  // Keeps one on-demand machine, so that a new job does not wait for a machine to boot.
  if (
    context.now - machine.idleSince < context.idleTimeout ||
    (!machine.spot && liveness.remainingOnDemand <= 1)
  )
    return null;
  return 'idle';
}

/**
 * Returns whether a machine has been missing since a failover and is considered lost. After a failover, tasks that no
 * heartbeat has listed stay unaccounted until every machine has sent a heartbeat. A lost machine never sends one; its
 * deletion reconciles its tasks. If many machines are missing, they or this controller are behind a partition, and none
 * is considered lost.
 */
function isMissingAfterFailover(shard: Shard, machine: Machine, liveness: ShardLiveness): boolean {
  if (machine.reconciled || shard.reconciled || machine.lastMessageAt !== null) return false;
  // Direct requests that stay unanswered during a partition must not count once it has ended and only a few machines
  // are still missing.
  if (liveness.missingOnDemand > liveness.maxSilentOnDemand || !hasOtherLiveMachineInZone(machine, liveness))
    machine.missedDirectRequests = 0;
  return machine.missedDirectRequests >= MAX_MISSED_REQUESTS;
}

/**
 * Returns whether the machine sends heartbeats but no command reaches it, while other machines are reachable. Only its
 * deletion can prove that its tasks are gone.
 */
function isUnreachable(machine: Machine, liveness: ShardLiveness, { now }: ScaleInContext): boolean {
  if (machine.unreachableSince === null || machine.continuousHeartbeatsSince === null) return false;
  // When a partition ends, heartbeats arrive before the first command gets through, and `unreachableSince` still dates
  // from the beginning of the partition.
  const unreachableMs = now - Math.max(machine.unreachableSince, machine.continuousHeartbeatsSince);
  // A machine whose messages no longer arrive either may be behind a partition.
  if (
    unreachableMs < UNREACHABLE_TIMEOUT_MS ||
    now - (machine.lastMessageAt ?? 0) > UNREACHABLE_TIMEOUT_MS / 2
  )
    return false;
  return unreachableMs > UNREACHABLE_TIMEOUT_FACTOR * UNREACHABLE_TIMEOUT_MS || liveness.reachableCount > 0;
}

/** The cloud assigns increasing ids: ids of equal length compare as text, and a longer id is newer. */
const compareCreationOrder = (first: MachineId, second: MachineId): number =>
  first.length - second.length || (first < second ? -1 : first > second ? 1 : 0);

/**
 * Returns a function that tells whether the list proves that a machine no longer exists: the machine is absent, and the
 * list shows a machine that was created later, but longer ago than any page of the list can lag.
 */
export function createUnlistedCheck(
  listed: readonly ListedMachine[],
  listLagS: Seconds,
): (id: MachineId) => boolean {
  const listedIds = new Set<MachineId>();
  let newestReliableId: MachineId | null = null;
  for (const machine of listed) {
    listedIds.add(machine.id);
    if (
      machine.ageS > LISTED_AFTER_LAGS * listLagS + LISTED_AFTER_EXTRA_S &&
      (newestReliableId === null || compareCreationOrder(machine.id, newestReliableId) > 0)
    )
      newestReliableId = machine.id;
  }
  return (id) =>
    newestReliableId !== null && !listedIds.has(id) && compareCreationOrder(id, newestReliableId) < 0;
}
