/** A throttle that limits how often an action is carried out. */
import type { Millis, SteadyMs } from './units.js';

/** Allows an action at most once per interval; the first attempt always succeeds. */
export class Throttle {
  private lastAcquiredAt: SteadyMs | null = null;

  constructor(private readonly interval: Millis) {}

  /** Returns whether the action may be carried out now. A success starts the next interval. */
  tryAcquire(now: SteadyMs): boolean {
    if (this.lastAcquiredAt !== null && now - this.lastAcquiredAt < this.interval) return false;
    this.lastAcquiredAt = now;
    return true;
  }
}
