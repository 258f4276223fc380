/** A simulated steady clock: events in time order, everything else settled in between. */
import type { Clock, Millis, SteadyMs } from '../../src/units.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

export class SimClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  private events: Event[] = [];

  now(): SteadyMs {
    return this.time as SteadyMs;
  }

  after(delay: Millis | number, run: () => void): { cancel(): void } {
    this.order += 1;
    const event: Event = { at: this.time + Math.max(0, delay), order: this.order, run, cancelled: false };
    this.events.push(event);
    return { cancel: () => (event.cancelled = true) };
  }

  sleep(delay: number): Promise<void> {
    return new Promise((resolve) => this.after(delay, resolve));
  }

  /** Seconds since the start, as traces show them. */
  stamp(): string {
    return ((this.time - 1_000_000) / 1000).toFixed(1).padStart(6);
  }

  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    for (;;) {
      await settle();
      const next = this.pop(end);
      if (!next) break;
      this.time = Math.max(this.time, next.at);
      next.run();
    }
    this.time = end;
  }

  private pop(end: number): Event | null {
    let best: Event | null = null;
    this.events = this.events.filter((e) => !e.cancelled);
    for (const e of this.events) {
      if (e.at <= end && (!best || e.at < best.at || (e.at === best.at && e.order < best.order))) best = e;
    }
    if (best) this.events.splice(this.events.indexOf(best), 1);
    return best;
  }
}

/** Lets every promise that can go on do so. */
export const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
