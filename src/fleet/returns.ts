/**
 * Which machines go back, and why. Pure: it reads one part as it was seen in one look. What is merely cut off is not
 * dead: hundreds may lose the network in the same second, and must be neither returned wholesale nor replaced.
 */
import type { Listed } from '../cloud/wire.js';
import type { Machine, Shard } from '../shards/model.js';
import type { MachineId, Millis, Seconds, SteadyMs, ZoneId } from '../model/units.js';

/** Calls that a machine may miss after a claim. */
const MISSED_CALLS = 3;
/** Of a part's machines: more than these silent at once are a cut, or it is we who are cut off. */
const FEW_SHARE = 0.03;
/** Longer than cuts that heal by themselves mostly last. */
const DEAF_RETURN = 30_000;
const FAULTS = 4;

export interface ReturnContext {
  readonly now: SteadyMs;
  readonly reportMs: number;
  readonly idleReturn: Millis;
  readonly silentReturn: Millis;
  /** Work waits for room on the part. */
  readonly wanted: boolean;
  /** Without the state service nobody knows what work waits, and the machine's record cannot be dropped. */
  readonly stateOk: boolean;
  /** The cloud's list does not show it any more, though it shows machines that came after it. */
  readonly unlisted: (id: MachineId) => boolean;
}

/** One look at all machines of a part, so that no question about one of them walks over the others. */
export interface Sight {
  readonly heard: ReadonlyMap<ZoneId, number>;
  readonly heardMachines: ReadonlySet<MachineId>;
  readonly reached: number;
  /** That stay, so far: one always does. */
  ordinary: number;
  /** At most this many ordinary machines are silent at a time without a cut. */
  readonly few: number;
  readonly silentOrdinary: number;
  readonly missingOrdinary: number;
}

const isSilent = (m: Machine, ctx: ReturnContext): boolean =>
  ctx.now - (m.lastHeardAt ?? m.addedAt) > Math.max(3.2 * ctx.reportMs, 5000);

export function look(shard: Shard, ctx: ReturnContext): Sight {
  const heard = new Map<ZoneId, number>();
  const heardMachines = new Set<MachineId>();
  const count = { reached: 0, ordinary: 0, silentOrdinary: 0, missingOrdinary: 0 };
  for (const m of shard.machines.values()) {
    if (m.lastHeardAt !== null && ctx.now - m.lastHeardAt < 1.5 * ctx.reportMs) {
      heard.set(m.zone, (heard.get(m.zone) ?? 0) + 1);
      heardMachines.add(m.id);
    }
    if (m.unreachableSince === null && m.lastHeardAt !== null) count.reached += 1;
    if (m.spot) continue;
    if (isSilent(m, ctx)) count.silentOrdinary += 1;
    if (!m.reconciled && m.lastHeardAt === null) count.missingOrdinary += 1;
    if (!m.scalingIn && m.reconciled) count.ordinary += 1;
  }
  const few = Math.max(1, Math.floor(shard.machines.size * FEW_SHARE));
  return { heard, heardMachines, few, ...count };
}

/** When all of a zone is silent, it is the network: its machines, and their work, are probably well. */
const othersHeard = (m: Machine, sight: Sight): boolean =>
  (sight.heard.get(m.zone) ?? 0) - (sight.heardMachines.has(m.id) ? 1 : 0) > 0;

export function reasonToReturn(shard: Shard, m: Machine, sight: Sight, ctx: ReturnContext): string | null {
  const why = reason(shard, m, sight, ctx);
  if (why !== null && !m.spot && m.reconciled) sight.ordinary -= 1;
  return why;
}

function reason(shard: Shard, m: Machine, sight: Sight, ctx: ReturnContext): string | null {
  const silent = ctx.now - (m.lastHeardAt ?? m.addedAt);
  // A taken machine never comes back: asking the cloud makes certain that its tasks are gone.
  if (m.interruptedAt !== null && ctx.now > m.interruptedAt && silent > 2 * ctx.reportMs) return 'taken';
  const unseen = m.lastHeardAt === null && m.missedDirectRequests > 0;
  if ((unseen || silent > 1.5 * ctx.reportMs) && ctx.unlisted(m.id)) return 'not listed any more';
  // Spot machines may all be taken at once, ordinary ones are not: silent with many of those, it is a cut.
  if (m.spot && isSilent(m, ctx) && othersHeard(m, sight) && sight.silentOrdinary <= sight.few)
    return 'spot machine silent';
  const patience = sight.silentOrdinary <= sight.few ? 1 : 2;
  if (silent > ctx.silentReturn * patience) return 'silent';
  if (isMissing(shard, m, sight)) return 'it does not answer after a claim';
  if (isDeaf(m, sight, ctx)) return 'it is heard and cannot be reached';
  return reasonIfIdle(m, sight, ctx);
}

function reasonIfIdle(m: Machine, sight: Sight, ctx: ReturnContext): string | null {
  if (m.allocations.size > 0 || m.directRequestInFlight || !m.reconciled || m.lastHeardAt === null) {
    m.idleSince = null;
    return null;
  }
  if (m.taskFailures.length >= FAULTS) return 'tasks fail on it';
  m.idleSince ??= ctx.now;
  if (m.interruptedAt !== null || ctx.wanted || !ctx.stateOk) return null;
  // One ordinary machine stays, so that a new job does not wait for a boot.
  if (ctx.now - m.idleSince < ctx.idleReturn || (!m.spot && sight.ordinary <= 1)) return null;
  return 'idle';
}

/**
 * After a claim what was not seen is frozen until every machine has spoken, and a machine that is gone never will.
 * Deleting it settles that. Not when many are missing: then it is a cut, or we are.
 */
function isMissing(shard: Shard, m: Machine, sight: Sight): boolean {
  if (m.reconciled || shard.reconciled || m.lastHeardAt !== null) return false;
  // What a cut made it miss does not count when the cut ends and the last of them are few.
  if (sight.missingOrdinary > sight.few || !othersHeard(m, sight)) m.missedDirectRequests = 0;
  return m.missedDirectRequests >= MISSED_CALLS;
}

/** Its reports arrive and our orders do not, while others can be reached: deleting it settles all that it holds. */
function isDeaf(m: Machine, sight: Sight, { now }: ReturnContext): boolean {
  if (m.unreachableSince === null || m.continuouslyHeardSince === null) return false;
  // Back from a cut it is heard first, and was not reached for as long as the cut lasted.
  const lasted = now - Math.max(m.unreachableSince, m.continuouslyHeardSince);
  // What is merely cut off is not heard either.
  if (lasted < DEAF_RETURN || now - (m.lastHeardAt ?? 0) > DEAF_RETURN / 2) return false;
  return lasted > 4 * DEAF_RETURN || sight.reached > 0;
}

/** Names come in the order of creation, and are as long as each other until they grow by a digit. */
const came = (a: MachineId, b: MachineId): number => a.length - b.length || (a < b ? -1 : a > b ? 1 : 0);

/**
 * Whether the list would show a machine if it still was there: it shows one that came after it, and did so longer ago
 * than any page of the list can be old.
 */
export function absentFrom(listed: readonly Listed[], listLagS: Seconds): (id: MachineId) => boolean {
  const names = new Set<MachineId>();
  let last: MachineId | null = null;
  for (const l of listed) {
    names.add(l.id);
    if (l.ageS > 2 * listLagS + 5 && (last === null || came(l.id, last) > 0)) last = l.id;
  }
  return (id) => last !== null && !names.has(id) && came(id, last) < 0;
}
