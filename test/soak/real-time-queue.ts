/** Runs the simulator's events in real time, so that simulated services can interact with real processes. */
import { EventQueue, type ScheduledTimer } from '../../src/simulation/clock.js';

const STALL_CHECK_INTERVAL_MS = 50;

/** An event queue on real timers, which also measures how late timers fire. */
export class RealTimeQueue extends EventQueue {
  private readonly startedAt = performance.now();
  /** The largest measured delay of a timer. Rules with time limits cannot be judged if it is too large. */
  longestStallMs = 0;

  override get now(): number {
    return performance.now() - this.startedAt;
  }

  override after(delay: number, run: () => void): ScheduledTimer {
    // An infinite delay: the event never occurs.
    if (!Number.isFinite(delay)) return { cancel: () => undefined };
    const timer = setTimeout(() => {
      this.processedEvents += 1;
      if (!this.stopped) run();
    }, delay);
    return { cancel: () => clearTimeout(timer) };
  }

  override async run(until: number): Promise<void> {
    while (!this.stopped && this.now < until) {
      const sleepStartedAt = this.now;
      await new Promise((resolve) => setTimeout(resolve, STALL_CHECK_INTERVAL_MS));
      this.longestStallMs = Math.max(
        this.longestStallMs,
        this.now - sleepStartedAt - STALL_CHECK_INTERVAL_MS,
      );
    }
    this.stop();
  }
}
