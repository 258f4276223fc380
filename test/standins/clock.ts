/** A simulated steady clock: events in time order, everything else settled in between. */
import type { Clock, Millis, SteadyMs } from '../../src/model/units.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

export class SimClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  private readonly events: Event[] = [];

  now(): SteadyMs {
    return this.time as SteadyMs;
  }

  after(delay: Millis | number, run: () => void): { cancel(): void } {
    this.order += 1;
    const event: Event = { at: this.time + Math.max(0, delay), order: this.order, run, cancelled: false };
    this.insert(event);
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
    for (let first = this.events[0]; first && first.at <= end; first = this.events[0]) {
      this.removeFirst();
      if (!first.cancelled) return first;
    }
    return null;
  }

  /** A binary heap: hundreds of machines have thousands of timers. */
  private insert(event: Event): void {
    const { events } = this;
    let at = events.push(event) - 1;
    while (at > 0) {
      const above = (at - 1) >> 1;
      if (!before(event, events[above] as Event)) break;
      events[at] = events[above] as Event;
      at = above;
    }
    events[at] = event;
  }

  private removeFirst(): void {
    const { events } = this;
    const last = events.pop();
    if (!last || events.length === 0) return;
    let at = 0;
    for (;;) {
      let below = 2 * at + 1;
      const right = events[below + 1];
      if (right && before(right, events[below] as Event)) below += 1;
      const next = events[below];
      if (!next || !before(next, last)) break;
      events[at] = next;
      at = below;
    }
    events[at] = last;
  }
}

const before = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** The steady clock of one machine, which runs at `rate` times the speed of `clock`; its timers too. */
export function clockAt(clock: SimClock, rate: number): SimClock {
  const from = clock.now();
  const own = Object.create(clock) as SimClock;
  own.now = () => (from + (clock.now() - from) * rate) as SteadyMs;
  own.after = (delay, run) => clock.after(delay / rate, run);
  return own;
}

/** Lets every promise that can go on do so. */
export const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
