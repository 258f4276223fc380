/** The simulator's events on the clock of this machine: what it models runs beside real processes. */
import { EventQueue, type ScheduledTimer } from '../../src/simulation/clock.js';

const STALL_CHECK_INTERVAL_MS = 50;

/** Timers in real time; it also measures how late its own timers fire. */
export class RealTimeQueue extends EventQueue {
  private readonly startedAt = performance.now();
  /** The longest time by which a timer fired late: nothing that depends on shorter times can be judged. */
  longestStallMs = 0;

  override get now(): number {
    return performance.now() - this.startedAt;
  }

  override after(delay: number, run: () => void): ScheduledTimer {
    // An event that never comes.
    if (!Number.isFinite(delay)) return { cancel: () => undefined };
    const timer = setTimeout(() => {
      this.count += 1;
      if (!this.stopped) run();
    }, delay);
    return { cancel: () => clearTimeout(timer) };
  }

  override async run(until: number): Promise<void> {
    while (!this.stopped && this.now < until) {
      const before = this.now;
      await new Promise((resolve) => setTimeout(resolve, STALL_CHECK_INTERVAL_MS));
      this.longestStallMs = Math.max(this.longestStallMs, this.now - before - STALL_CHECK_INTERVAL_MS);
    }
    this.stop();
  }
}
