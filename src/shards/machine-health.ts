/** Whether a machine is in a state in which new tasks may be started on it. Relies on the fields of `Machine` alone. */
import type { SteadyMs } from '../model/units.js';
import type { Machine } from './machine.js';

/** A machine that misses this many heartbeats in a row gets no new tasks ... */
const MISSED_HEARTBEATS = 2;
/** ... nor does one that is late by this much more, which covers delays on the way. */
const HEARTBEAT_DELAY_MS = 1000;

/** The time of the question, and how often machines send heartbeats. */
export interface HeartbeatExpectation {
  readonly now: SteadyMs;
  /** Interval of heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
}

/**
 * May new tasks be started on the machine now? Not while it cannot be reached, may still run tasks of an earlier leader,
 * was registered by a record ahead of the watch, leaves the shard, is quarantined, or has stopped sending heartbeats.
 */
export function isSchedulable(machine: Machine, { now, heartbeatIntervalMs }: HeartbeatExpectation): boolean {
  if (machine.unreachableSince !== null) return false;
  if (!machine.reconciled || !machine.confirmed || isLeaving(machine)) return false;
  if (now < machine.quarantinedUntil) return false;
  return machine.lastHeardAt !== null && now - machine.lastHeardAt < longestSilence(heartbeatIntervalMs);
}

/** It goes to another shard, back to the cloud, or the cloud takes it. */
const isLeaving = (machine: Machine): boolean =>
  machine.draining || machine.scalingIn || machine.interruptedAt !== null;

/** A machine not heard from for this many milliseconds counts as silent. */
const longestSilence = (heartbeatIntervalMs: number): number =>
  heartbeatIntervalMs * MISSED_HEARTBEATS + HEARTBEAT_DELAY_MS;
