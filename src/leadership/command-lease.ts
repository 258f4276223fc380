/**
 * Durations of the command lease (how long a controller may send commands after the store last confirmed its watch
 * cache) and of the worker lease (how long a worker may run tasks after its last heartbeat was answered). Both allow
 * for clocks that drift by up to 0.05% and for the granularity of timers.
 */
import type { Settings } from '../settings/settings.js';
import { millis, type Millis } from '../model/units.js';

/** Exceeds the drift between two clocks. */
const CLOCK_DRIFT_FACTOR = 1.001;
/** The same allowance, in milliseconds for each second of a duration. */
const DRIFT_ALLOWANCE_MS_PER_S = 1;
/** Exceeds the granularity of timers. */
const TIMING_MARGIN_MS = 500;

/**
 * Returns how long after the last confirmation of its watch cache a controller may answer heartbeats and send commands.
 *
 * Prevents: the store refuses only this controller; another controller confirms the cancellation of a job to its
 * user; this controller, which has not read the cancellation, answers a heartbeat and thereby renews the lease of a
 * worker that runs the job. The tasks would still run after `cancel_s`. Because the full length of the worker lease is
 * subtracted here, a lease that is renewed at the last moment still ends within `cancel_s`.
 */
export function commandLeaseDuration({ cancelS, leaseS }: Pick<Settings, 'cancelS' | 'leaseS'>): Millis {
  const driftAllowanceMs = cancelS * DRIFT_ALLOWANCE_MS_PER_S;
  return millis((cancelS - leaseS) * 1000 - 2 * TIMING_MARGIN_MS - driftAllowanceMs);
}

/** Returns how long after its last answered heartbeat a worker may still run tasks, by this controller's clock. */
export function workerLeaseDuration({ leaseS }: Pick<Settings, 'leaseS'>): Millis {
  return millis(leaseS * 1000 * CLOCK_DRIFT_FACTOR + TIMING_MARGIN_MS);
}
