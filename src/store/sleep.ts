/** Sleeping on a clock that tests and the simulator replace. */
import type { Clock, Millis } from '../model/units.js';

/**
 * Resolves after `delay` on the clock. It cannot be cancelled, so callers must check afterwards that their state is
 * current.
 */
export function sleep(clock: Clock, delay: Millis): Promise<void> {
  return new Promise((resolve) => clock.after(delay, resolve));
}
