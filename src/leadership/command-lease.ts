/**
 * How long a controller may command after the watch cache was last confirmed, and how long a worker may go on after a
 * heartbeat was answered. Both allow for clocks that drift by up to 0.05% and for the steps of timers.
 */
import type { Settings } from '../settings/settings.js';
import { millis, type Millis } from '../model/units.js';

/** Beyond any drift between two clocks. */
const CLOCK_DRIFT_FACTOR = 1.001;
/** The same drift, taken off a time in seconds. */
const DRIFT_ALLOWANCE_MS_PER_S = 1;
/** Beyond the steps of timers. */
const TIMING_MARGIN_MS = 500;

/**
 * For how long after its last confirmation a watch cache entitles to answer heartbeats and to send commands.
 *
 * The bound prevents this sequence: this controller alone is refused by the store; another one confirms the
 * cancellation of a job to its user; this one, which has not read it, answers a heartbeat and so renews the lease of a
 * worker that runs the job. The tasks would outlive `cancel_s`. A lease that is renewed at the last moment still ends
 * within `cancel_s`, as its whole length is subtracted here.
 */
export function commandLeaseDuration({ cancelS, leaseS }: Pick<Settings, 'cancelS' | 'leaseS'>): Millis {
  const driftAllowanceMs = cancelS * DRIFT_ALLOWANCE_MS_PER_S;
  return millis((cancelS - leaseS) * 1000 - 2 * TIMING_MARGIN_MS - driftAllowanceMs);
}

/** How long after a heartbeat was last answered its worker may still run tasks, by this controller's clock. */
export function workerLeaseDuration({ leaseS }: Pick<Settings, 'leaseS'>): Millis {
  return millis(leaseS * 1000 * CLOCK_DRIFT_FACTOR + TIMING_MARGIN_MS);
}
