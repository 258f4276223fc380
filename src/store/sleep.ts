/** Waiting by a clock that tests and the simulator replace. */
import type { Clock, Millis } from '../model/units.js';

/** Resolves after `delay` of the clock. It cannot be cancelled: whoever awaits it checks afterwards what still holds. */
export function sleep(clock: Clock, delay: Millis): Promise<void> {
  return new Promise((resolve) => clock.after(delay, resolve));
}
