/** Adds jitter to delays, so that controllers and retries do not stay synchronized. */
import type { Core } from '../core.js';

/** Returns the delay, changed randomly by at most `fraction` (0 to 1) of it. Draws one random number. */
export function withJitter({ random }: Pick<Core, 'random'>, delayMs: number, fraction: number): number {
  return delayMs * (1 - fraction + random(Math.round(2000 * fraction)) / 1000);
}
