/**
 * Decides whether a leader should release its shard because it receives no heartbeats from most of the shard's machines
 * while a peer may receive them: a controller that reaches the workers can then lead the shard. Pure functions.
 */
import type { Settings } from '../settings/settings.js';
import type { Machine, Shard } from '../shards/model.js';
import type { ControllerId, Incarnation, Millis, ShardId, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';

/** The part of the controller that the decision uses. */
export interface ReachabilityContext {
  readonly heartbeatIntervalMs: number;
  readonly settings: Pick<Settings, 'peers'>;
  readonly peers: Pick<
    ReadonlyMap<ControllerId, { readonly redirectedHeartbeats: ReadonlyMap<ShardId, number> }>,
    'get'
  >;
  /** Returns whether an announcement of the peer arrived within this time. */
  hasAnnouncedWithin(node: ControllerId, within: Millis): boolean;
  /** Returns whether the controller's membership key exists, for the given incarnation unless that is null. */
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
}

/** How many machines of a shard are expected to send heartbeats, and how many of these are silent. */
export interface MachineSilence {
  readonly expected: number;
  readonly silent: number;
}

/** A machine is silent after this many heartbeat intervals without a heartbeat, but not before the minimum time. */
const SILENT_INTERVALS = 3.2;
const MIN_SILENCE_MS = 4500;
/** A shard with fewer expected machines than this is not released: their silence proves nothing. */
const MIN_MACHINES = 2;
/** Peers send announcements about once a second; a peer that is silent for longer than this is unreachable. */
const PEER_SILENCE_LIMIT = millis(3000);

/** Returns the counts of expected and silent machines if they are a reason to release the shard; otherwise null. */
export function findUnreachableMachines(
  context: ReachabilityContext,
  shard: Shard,
  now: SteadyMs,
): MachineSilence | null {
  const silence = countSilentMachines(shard, now, context.heartbeatIntervalMs);
  return areMostSilent(silence) && mayPeersReachMachines(context, shard.id) ? silence : null;
}

/** Counts the machines of the shard that are expected to send heartbeats, and those that are silent. */
function countSilentMachines(shard: Shard, now: SteadyMs, heartbeatIntervalMs: number): MachineSilence {
  const silenceLimitMs = Math.max(SILENT_INTERVALS * heartbeatIntervalMs, MIN_SILENCE_MS);
  let expected = 0;
  let silent = 0;
  for (const machine of shard.machines.values()) {
    if (machine.scalingIn || now - machine.addedAt <= silenceLimitMs) continue;
    expected += 1;
    if (now - lastHeartbeatArrivalAt(machine) > silenceLimitMs) silent += 1;
  }
  return { expected, silent };
}

/**
 * Returns when a heartbeat of the machine last arrived. Heartbeats that were refused because commands do not reach the
 * machine are included: this controller receives them, and a new leader would have to wait again for the
 * expiry of the machine's lease.
 */
function lastHeartbeatArrivalAt(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt ?? -Infinity, machine.heartbeatRefusedAt ?? -Infinity);
}

/** Returns whether at least two thirds of the machines are silent. */
function areMostSilent({ expected, silent }: MachineSilence): boolean {
  return expected >= MIN_MACHINES && silent * 3 >= expected * 2;
}

/**
 * Returns whether a peer receives heartbeats of the shard's machines, or no announcements arrive from live peers, which
 * means that this controller is cut off. Prevents: when the machines themselves are cut off or have failed, or no peer
 * is alive, a release only leaves the shard without a leader or changes it, and all machines have to be reconciled.
 */
function mayPeersReachMachines(context: ReachabilityContext, shard: ShardId): boolean {
  const { settings, peers } = context;
  const announcingPeers = settings.peers.filter((peer) =>
    context.hasAnnouncedWithin(peer.node, PEER_SILENCE_LIMIT),
  );
  if (announcingPeers.length === 0) return settings.peers.some((peer) => context.isAlive(peer.node, null));
  return announcingPeers.some((peer) => (peers.get(peer.node)?.redirectedHeartbeats.get(shard) ?? 0) > 0);
}
