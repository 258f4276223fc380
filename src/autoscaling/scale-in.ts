/**
 * Which machines go back, and why. Pure: it reads one part as it was seen in one look. What is merely cut off is not
 * dead: hundreds may lose the network in the same second, and must be neither returned wholesale nor replaced.
 */
import type { ListedMachine } from '../cloud/wire.js';
import type { Machine, Shard } from '../shards/model.js';
import type { MachineId, Millis, Seconds, SteadyMs, ZoneId } from '../model/units.js';

/** Calls that a machine may miss after a claim. */
const MAX_MISSED_CALLS = 3;
/** Of a part's machines: more than these silent at once are a cut, or it is we who are cut off. */
const MAX_SILENT_FRACTION = 0.03;
/** Longer than cuts that heal by themselves mostly last. */
const UNREACHABLE_TIMEOUT_MS = 30_000;
const MAX_TASK_FAULTS = 4;

export interface ScaleInContext {
  readonly now: SteadyMs;
  readonly reportMs: number;
  readonly idleTimeout: Millis;
  readonly silenceTimeout: Millis;
  /** Work waits for room on the part. */
  readonly hasPendingDemand: boolean;
  /** Without the state service nobody knows what work waits, and the machine's record cannot be dropped. */
  readonly storeHealthy: boolean;
  /** The cloud's list does not show it any more, though it shows machines that came after it. */
  readonly isUnlisted: (id: MachineId) => boolean;
}

/** One look at all machines of a part, so that no question about one of them walks over the others. */
export interface ShardLiveness {
  readonly heardByZone: ReadonlyMap<ZoneId, number>;
  readonly heardMachineIds: ReadonlySet<MachineId>;
  readonly reachableMachines: number;
  /** That stay, so far: one always does. */
  remainingOnDemand: number;
  /** At most this many ordinary machines are silent at a time without a cut. */
  readonly maxSilentOnDemand: number;
  readonly silentOnDemand: number;
  readonly missingOnDemand: number;
}

const isSilent = (machine: Machine, context: ScaleInContext): boolean =>
  context.now - (machine.lastHeardAt ?? machine.addedAt) > Math.max(3.2 * context.reportMs, 5000);

export function assessLiveness(shard: Shard, context: ScaleInContext): ShardLiveness {
  const heardByZone = new Map<ZoneId, number>();
  const heardMachineIds = new Set<MachineId>();
  const counts = { reachableMachines: 0, remainingOnDemand: 0, silentOnDemand: 0, missingOnDemand: 0 };
  for (const machine of shard.machines.values()) {
    if (machine.lastHeardAt !== null && context.now - machine.lastHeardAt < 1.5 * context.reportMs) {
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

/** When all of a zone is silent, it is the network: its machines, and their work, are probably well. */
const othersHeardInZone = (machine: Machine, liveness: ShardLiveness): boolean =>
  (liveness.heardByZone.get(machine.zone) ?? 0) - (liveness.heardMachineIds.has(machine.id) ? 1 : 0) > 0;

export function scaleInReason(
  shard: Shard,
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): string | null {
  const reason = findScaleInReason(shard, machine, liveness, context);
  if (reason !== null && !machine.spot && machine.reconciled) liveness.remainingOnDemand -= 1;
  return reason;
}

function findScaleInReason(
  shard: Shard,
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): string | null {
  const silentMs = context.now - (machine.lastHeardAt ?? machine.addedAt);
  // A taken machine never comes back: asking the cloud makes certain that its tasks are gone.
  if (
    machine.interruptedAt !== null &&
    context.now > machine.interruptedAt &&
    silentMs > 2 * context.reportMs
  )
    return 'interrupted';
  const neverHeard = machine.lastHeardAt === null && machine.missedDirectRequests > 0;
  if ((neverHeard || silentMs > 1.5 * context.reportMs) && context.isUnlisted(machine.id))
    return 'not listed any more';
  // Spot machines may all be taken at once, ordinary ones are not: silent with many of those, it is a cut.
  if (
    machine.spot &&
    isSilent(machine, context) &&
    othersHeardInZone(machine, liveness) &&
    liveness.silentOnDemand <= liveness.maxSilentOnDemand
  )
    return 'spot machine silent';
  const timeoutFactor = liveness.silentOnDemand <= liveness.maxSilentOnDemand ? 1 : 2;
  if (silentMs > context.silenceTimeout * timeoutFactor) return 'silent';
  if (isMissingAfterFailover(shard, machine, liveness)) return 'it does not answer after a failover';
  if (isUnreachable(machine, liveness, context)) return 'its heartbeats arrive and it cannot be reached';
  return idleScaleInReason(machine, liveness, context);
}

function idleScaleInReason(
  machine: Machine,
  liveness: ShardLiveness,
  context: ScaleInContext,
): string | null {
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
  // One ordinary machine stays, so that a new job does not wait for a boot.
  if (
    context.now - machine.idleSince < context.idleTimeout ||
    (!machine.spot && liveness.remainingOnDemand <= 1)
  )
    return null;
  return 'idle';
}

/**
 * After a claim what was not seen is frozen until every machine has spoken, and a machine that is gone never will.
 * Deleting it settles that. Not when many are missing: then it is a cut, or we are.
 */
function isMissingAfterFailover(shard: Shard, machine: Machine, liveness: ShardLiveness): boolean {
  if (machine.reconciled || shard.reconciled || machine.lastHeardAt !== null) return false;
  // What a cut made it miss does not count when the cut ends and the last of them are few.
  if (liveness.missingOnDemand > liveness.maxSilentOnDemand || !othersHeardInZone(machine, liveness))
    machine.missedDirectRequests = 0;
  return machine.missedDirectRequests >= MAX_MISSED_CALLS;
}

/** Its reports arrive and our orders do not, while others can be reached: deleting it settles all that it holds. */
function isUnreachable(machine: Machine, liveness: ShardLiveness, { now }: ScaleInContext): boolean {
  if (machine.unreachableSince === null || machine.continuouslyHeardSince === null) return false;
  // Back from a cut it is heard first, and was not reached for as long as the cut lasted.
  const unreachableMs = now - Math.max(machine.unreachableSince, machine.continuouslyHeardSince);
  // What is merely cut off is not heard either.
  if (unreachableMs < UNREACHABLE_TIMEOUT_MS || now - (machine.lastHeardAt ?? 0) > UNREACHABLE_TIMEOUT_MS / 2)
    return false;
  return unreachableMs > 4 * UNREACHABLE_TIMEOUT_MS || liveness.reachableMachines > 0;
}

/** Names come in the order of creation, and are as long as each other until they grow by a digit. */
const compareCreationOrder = (a: MachineId, b: MachineId): number =>
  a.length - b.length || (a < b ? -1 : a > b ? 1 : 0);

/**
 * Whether the list would show a machine if it still was there: it shows one that came after it, and did so longer ago
 * than any page of the list can be old.
 */
export function unlistedCheck(
  listed: readonly ListedMachine[],
  listLagS: Seconds,
): (id: MachineId) => boolean {
  const listedIds = new Set<MachineId>();
  let newestSettled: MachineId | null = null;
  for (const machine of listed) {
    listedIds.add(machine.id);
    if (
      machine.ageS > 2 * listLagS + 5 &&
      (newestSettled === null || compareCreationOrder(machine.id, newestSettled) > 0)
    )
      newestSettled = machine.id;
  }
  return (id) => newestSettled !== null && !listedIds.has(id) && compareCreationOrder(id, newestSettled) < 0;
}
