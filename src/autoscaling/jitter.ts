/** Spreads delays, so that controllers and retries that began together do not stay together. */
import type { Core } from '../core.js';

/** The delay, more or less by a random share of at most `spread` (0 to 1) of it. Draws one random number. */
export function withJitter({ random }: Pick<Core, 'random'>, delayMs: number, spread: number): number {
  return delayMs * (1 - spread + random(Math.round(2000 * spread)) / 1000);
}
