/**
 * Decides which machines are deleted, and why. Pure but for what it remembers on a machine (idle since when, missed
 * requests). Machines behind a network partition are not lost: hundreds may be cut off in the same second, and must be
 * neither deleted together nor replaced.
 */
import type { ListedMachine } from '../cloud/wire.js';
import type { Machine, Shard } from '../shards/model.js';
import type { MachineId, Millis, Seconds, SteadyMs, ZoneId } from '../model/units.js';

/** After a failover a machine that misses so many direct requests is taken for lost. */
const MAX_MISSED_REQUESTS = 3;
/** More than this share of a shard's machines silent at once: a partition, and this controller may be on its far side. */
const MAX_SILENT_FRACTION = 0.03;
/** Longer than most partitions that heal by themselves. */
const UNREACHABLE_TIMEOUT_MS = 30_000;
/** An unreachable machine is deleted after so many times that, even if no machine can be reached. */
const UNREACHABLE_TIMEOUT_FACTOR = 4;
/** A machine on which so many tasks have failed lately is taken for faulty. */
const MAX_TASK_FAULTS = 4;
/** Silent: no heartbeat for so many intervals, and for at least so long. */
const SILENT_AFTER_INTERVALS = 3.2;
const MIN_SILENT_MS = 5000;
/** Heard: the last heartbeat is at most so many intervals old. */
const HEARD_WITHIN_INTERVALS = 1.5;
/** Without a heartbeat for so many intervals past its announced end, a spot machine was interrupted. */
const INTERRUPTED_AFTER_INTERVALS = 2;
/** In a partition silent machines are kept this many times as long. */
const PARTITION_TIMEOUT_FACTOR = 2;
/** A machine shows in the cloud's list this many times the list's lag after its creation, and some seconds more. */
const LISTED_AFTER_LAGS = 2;
const LISTED_AFTER_EXTRA_S = 5;

/** Why a machine is deleted, as the log tells it. */
export type ScaleInReason =
  | 'interrupted'
  | 'not listed any more'
  | 'spot machine silent'
  | 'silent'
  | 'it does not answer after a failover'
  | 'its heartbeats arrive and it cannot be reached'
  | 'tasks fail on it'
  | 'idle';

/** What the decision reads beside the shard. */
export interface ScaleInContext {
  readonly now: SteadyMs;
  /** The interval between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** How long a machine may be idle. */
  readonly idleTimeout: Millis;
  /** How long a machine may send no heartbeat. */
  readonly silenceTimeout: Millis;
  /** Tasks of the shard wait for capacity. */
  readonly hasPendingDemand: boolean;
  /** Without the store nobody knows which tasks wait, and the machine's record cannot be dropped. */
  readonly storeHealthy: boolean;
  /** The cloud's list shows machines that were created later, and not this one. */
  readonly isUnlisted: (id: MachineId) => boolean;
}

/** Counted once over all machines of a shard, so that the decision on one of them does not walk over the others. */
export interface ShardLiveness {
  readonly heardByZone: ReadonlyMap<ZoneId, number>;
  readonly heardMachineIds: ReadonlySet<MachineId>;
  readonly reachableMachines: number;
  /** On-demand machines that are not being deleted; lowered by each decision. */
  remainingOnDemand: number;
  /** At most so many on-demand machines are silent at a time without a partition. */
  readonly maxSilentOnDemand: number;
  readonly silentOnDemand: number;
  /** Not heard since this controller became the leader. */
  readonly missingOnDemand: number;
}

const isSilent = (machine: Machine, context: ScaleInContext): boolean =>
  context.now - (machine.lastHeardAt ?? machine.addedAt) >
  Math.max(SILENT_AFTER_INTERVALS * context.heartbeatIntervalMs, MIN_SILENT_MS);

/** Counts the machines of a shard that are heard, reachable, silent and missing. */
export function assessLiveness(shard: Shard, context: ScaleInContext): ShardLiveness {
  const heardByZone = new Map<ZoneId, number>();
  const heardMachineIds = new Set<MachineId>();
  const counts = { reachableMachines: 0, remainingOnDemand: 0, silentOnDemand: 0, missingOnDemand: 0 };
  for (const machine of shard.machines.values()) {
    if (
      machine.lastHeardAt !== null &&
      context.now - machine.lastHeardAt < HEARD_WITHIN_INTERVALS * context.heartbeatIntervalMs
    ) {
      heardByZone.set(machine.zone, (heardByZone.get(machine.zone) ?? 0) + 1);
      heardMachineIds.add(machine.id);
    }
    if (machine.unreachableSince === null && machine.lastHeardAt !== null) counts.reachableMachines += 1;
    if (machine.spot) continue;
    if (isSilent(machine, context)) counts.silentOnDemand += 1;
    if (!machine.reconciled && machine.lastHeardAt === null) counts.missingOnDemand += 1;
    if (!machine.scalingIn && machine.reconciled) counts.remainingOnDemand += 1;
  }
  const maxSilentOnDemand = Math.max(1, Math.floor(shard.machines.size * MAX_SILENT_FRACTION));
  return {
    heardByZone,
    heardMachineIds,
    maxSilentOnDemand,
    ...counts,
  };
}

/** When a whole zone is silent, the network is at fault: its machines and their tasks are probably well. */
const othersHeardInZone = (machine: Machine, liveness: ShardLiveness): boolean =>
  (liveness.heardByZone.get(machine.zone) ?? 0) - (liveness.heardMachineIds.has(machine.id) ? 1 : 0) > 0;

/** Why the machine is to be deleted, or null; counts it off `remainingOnDemand`. */
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
  const silentMs = context.now - (machine.lastHeardAt ?? machine.addedAt);
  // An interrupted machine never comes back: the cloud's confirmation proves that its tasks are gone.
  if (
    machine.interruptedAt !== null &&
    context.now > machine.interruptedAt &&
    silentMs > INTERRUPTED_AFTER_INTERVALS * context.heartbeatIntervalMs
  )
    return 'interrupted';
  const neverHeard = machine.lastHeardAt === null && machine.missedDirectRequests > 0;
  if (
    (neverHeard || silentMs > HEARD_WITHIN_INTERVALS * context.heartbeatIntervalMs) &&
    context.isUnlisted(machine.id)
  )
    return 'not listed any more';
  // Spot machines may all be interrupted at once, on-demand ones are not: silent together with many of those, spot
  // machines are behind a partition.
  if (
    machine.spot &&
    isSilent(machine, context) &&
    othersHeardInZone(machine, liveness) &&
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
    machine.lastHeardAt === null
  ) {
    machine.idleSince = null;
    return null;
  }
  if (machine.taskFailures.length >= MAX_TASK_FAULTS) return 'tasks fail on it';
  machine.idleSince ??= context.now;
  if (machine.interruptedAt !== null || context.hasPendingDemand || !context.storeHealthy) return null;
  // One on-demand machine stays, so that a new job does not wait for a boot.
  if (
    context.now - machine.idleSince < context.idleTimeout ||
    (!machine.spot && liveness.remainingOnDemand <= 1)
  )
    return null;
  return 'idle';
}

/**
 * After a failover, tasks that no heartbeat has shown stay unaccounted until every machine has sent one, and a lost
 * machine never will: its deletion reconciles them. Not when many are missing, as then they, or this controller, are
 * behind a partition.
 */
function isMissingAfterFailover(shard: Shard, machine: Machine, liveness: ShardLiveness): boolean {
  if (machine.reconciled || shard.reconciled || machine.lastHeardAt !== null) return false;
  // Requests missed in a partition do not count when it ends and only few machines are still missing.
  if (liveness.missingOnDemand > liveness.maxSilentOnDemand || !othersHeardInZone(machine, liveness))
    machine.missedDirectRequests = 0;
  return machine.missedDirectRequests >= MAX_MISSED_REQUESTS;
}

/**
 * Its heartbeats arrive and no command reaches it, while other machines are reachable: its deletion proves that its
 * tasks are gone.
 */
function isUnreachable(machine: Machine, liveness: ShardLiveness, { now }: ScaleInContext): boolean {
  if (machine.unreachableSince === null || machine.continuouslyHeardSince === null) return false;
  // After a partition it is heard first, and has been unreachable for as long as the partition lasted.
  const unreachableMs = now - Math.max(machine.unreachableSince, machine.continuouslyHeardSince);
  // Behind a partition it would not be heard either.
  if (unreachableMs < UNREACHABLE_TIMEOUT_MS || now - (machine.lastHeardAt ?? 0) > UNREACHABLE_TIMEOUT_MS / 2)
    return false;
  return (
    unreachableMs > UNREACHABLE_TIMEOUT_FACTOR * UNREACHABLE_TIMEOUT_MS || liveness.reachableMachines > 0
  );
}

/** The cloud counts its ids up: of equal length they compare as text, and a longer one is later. */
const compareCreationOrder = (first: MachineId, second: MachineId): number =>
  first.length - second.length || (first < second ? -1 : first > second ? 1 : 0);

/**
 * Whether the list proves that the cloud has a machine no more: it shows one that was created later, and longer ago than
 * any page of the list can lag behind.
 */
export function unlistedCheck(
  listed: readonly ListedMachine[],
  listLagS: Seconds,
): (id: MachineId) => boolean {
  const listedIds = new Set<MachineId>();
  let newestCertain: MachineId | null = null;
  for (const machine of listed) {
    listedIds.add(machine.id);
    if (
      machine.ageS > LISTED_AFTER_LAGS * listLagS + LISTED_AFTER_EXTRA_S &&
      (newestCertain === null || compareCreationOrder(machine.id, newestCertain) > 0)
    )
      newestCertain = machine.id;
  }
  return (id) => newestCertain !== null && !listedIds.has(id) && compareCreationOrder(id, newestCertain) < 0;
}
