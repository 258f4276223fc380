/**
 * Whether a leader should release its shard because it does not hear the shard's machines, while a peer may: so that a
 * controller that does reach the workers can command them. Pure.
 */
import type { Settings } from '../settings/settings.js';
import type { Machine, Shard } from '../shards/model.js';
import type { ControllerId, Millis, ShardId, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';

/** What the decision uses of the controller. */
export interface ReachabilityContext {
  readonly heartbeatIntervalMs: number;
  readonly settings: Pick<Settings, 'peers'>;
  readonly peers: Pick<
    ReadonlyMap<ControllerId, { readonly redirectedHeartbeats: ReadonlyMap<ShardId, number> }>,
    'get'
  >;
  /** The peer has sent an announcement within this time. */
  heardWithin(node: ControllerId, within: Millis): boolean;
}

/** Machines of a shard that have had time to send a heartbeat, and how many of them have not. */
export interface MachineSilence {
  readonly expected: number;
  readonly silent: number;
}

/** Heartbeat intervals without a heartbeat after which a machine counts as silent, and the least time (milliseconds). */
const SILENT_INTERVALS = 3.2;
const MIN_SILENCE_MS = 4500;
/** Of fewer machines than this nothing can be concluded. */
const MIN_MACHINES = 2;
/** Announcements come every second or so: a peer that is silent for longer counts as out of reach. */
const PEER_SILENCE_LIMIT = millis(3000);

/** How many machines the leader does not hear, if that is a reason to release the shard; otherwise null. */
export function findUnreachableMachines(
  context: ReachabilityContext,
  shard: Shard,
  now: SteadyMs,
): MachineSilence | null {
  const silence = countSilentMachines(shard, now, context.heartbeatIntervalMs);
  return areMostSilent(silence) && mayPeersReachMachines(context, shard.id) ? silence : null;
}

/** Counts the shard's machines that have been silent for more than three heartbeat intervals. */
function countSilentMachines(shard: Shard, now: SteadyMs, heartbeatIntervalMs: number): MachineSilence {
  const silenceLimitMs = Math.max(SILENT_INTERVALS * heartbeatIntervalMs, MIN_SILENCE_MS);
  let expected = 0;
  let silent = 0;
  for (const machine of shard.machines.values()) {
    if (machine.scalingIn || now - machine.addedAt <= silenceLimitMs) continue;
    expected += 1;
    if (now - lastHeardAt(machine) > silenceLimitMs) silent += 1;
  }
  return { expected, silent };
}

/**
 * When a heartbeat of the machine last arrived. Those refused because commands do not reach the machine count: this
 * controller hears it, and a new leader would have to wait for its lease all over again.
 */
function lastHeardAt(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt ?? -Infinity, machine.refusedUnreachableAt ?? -Infinity);
}

/** At least two thirds of the machines are silent. */
function areMostSilent({ expected, silent }: MachineSilence): boolean {
  return expected >= MIN_MACHINES && silent * 3 >= expected * 2;
}

/**
 * Some peer hears machines of the shard, or no peer is heard, which means that this controller is cut off. Prevents:
 * when the machines themselves are cut off or dead, a release would only change the leader, and the next one would have
 * to reconcile all machines.
 */
function mayPeersReachMachines(context: ReachabilityContext, shard: ShardId): boolean {
  const { settings, peers } = context;
  if (settings.peers.length === 0) return false;
  const heard = settings.peers.filter((peer) => context.heardWithin(peer.node, PEER_SILENCE_LIMIT));
  if (heard.length === 0) return true;
  return heard.some((peer) => (peers.get(peer.node)?.redirectedHeartbeats.get(shard) ?? 0) > 0);
}
