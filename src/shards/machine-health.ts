/** Decides whether new tasks may be started on a machine, from the fields of `Machine` alone. */
import type { SteadyMs } from '../model/units.js';
import type { Machine } from './machine.js';

/** A machine that misses this many consecutive heartbeats gets no new tasks. */
const MISSED_HEARTBEATS = 2;
/** Allowance for network delays, added to the time of these heartbeats. */
const HEARTBEAT_DELAY_MS = 1000;

/** The current time, and how often machines send heartbeats. */
export interface HeartbeatExpectation {
  readonly now: SteadyMs;
  /** Interval of heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
}

/**
 * Returns whether new tasks may be started on the machine now: not while it is unreachable, may still run tasks of an
 * earlier leader, was registered by a record ahead of the watch, is leaving the shard, is quarantined, or is silent.
 */
export function isSchedulable(machine: Machine, { now, heartbeatIntervalMs }: HeartbeatExpectation): boolean {
  if (machine.unreachableSince !== null) return false;
  if (!machine.reconciled || !machine.confirmed || isLeaving(machine)) return false;
  if (now < machine.quarantinedUntil) return false;
  return machine.lastMessageAt !== null && now - machine.lastMessageAt < silenceLimitMs(heartbeatIntervalMs);
}

/** Whether it is being transferred to another shard, deleted, or interrupted by the cloud. */
const isLeaving = (machine: Machine): boolean =>
  machine.draining || machine.scalingIn || machine.interruptedAt !== null;

/** A machine without a message for this many milliseconds is silent. */
const silenceLimitMs = (heartbeatIntervalMs: number): number =>
  heartbeatIntervalMs * MISSED_HEARTBEATS + HEARTBEAT_DELAY_MS;
