/** A simulated steady clock: events in time order, everything else settled in between. */
import type { Clock, Millis, SteadyMs } from '../../src/model/units.js';

interface TimerEvent {
  readonly dueAt: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

export class SimulatedClock implements Clock {
  private currentTime = 1_000_000;
  private lastSequence = 0;
  private readonly events: TimerEvent[] = [];

  now(): SteadyMs {
    return this.currentTime as SteadyMs;
  }

  after(delay: Millis | number, run: () => void): { cancel(): void } {
    this.lastSequence += 1;
    const event: TimerEvent = {
      dueAt: this.currentTime + Math.max(0, delay),
      sequence: this.lastSequence,
      run,
      cancelled: false,
    };
    this.insert(event);
    return { cancel: () => (event.cancelled = true) };
  }

  sleep(delay: number): Promise<void> {
    return new Promise((resolve) => this.after(delay, resolve));
  }

  /** Seconds since the start, as traces show them. */
  formatElapsed(): string {
    return ((this.currentTime - 1_000_000) / 1000).toFixed(1).padStart(6);
  }

  async advance(ms: number): Promise<void> {
    const end = this.currentTime + ms;
    for (;;) {
      await flushPromises();
      const next = this.popDueEvent(end);
      if (!next) break;
      this.currentTime = Math.max(this.currentTime, next.dueAt);
      next.run();
    }
    this.currentTime = end;
  }

  private popDueEvent(end: number): TimerEvent | null {
    for (let first = this.events[0]; first && first.dueAt <= end; first = this.events[0]) {
      this.removeFirst();
      if (!first.cancelled) return first;
    }
    return null;
  }

  /** A binary heap: hundreds of machines have thousands of timers. */
  private insert(event: TimerEvent): void {
    const { events } = this;
    let at = events.push(event) - 1;
    while (at > 0) {
      const above = (at - 1) >> 1;
      if (!isEarlier(event, events[above] as TimerEvent)) break;
      events[at] = events[above] as TimerEvent;
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
      if (right && isEarlier(right, events[below] as TimerEvent)) below += 1;
      const next = events[below];
      if (!next || !isEarlier(next, last)) break;
      events[at] = next;
      at = below;
    }
    events[at] = last;
  }
}

const isEarlier = (first: TimerEvent, second: TimerEvent): boolean =>
  first.dueAt < second.dueAt || (first.dueAt === second.dueAt && first.sequence < second.sequence);

/** The steady clock of one machine, which runs at `rate` times the speed of `clock`; its timers too. */
export function clockRunningAt(clock: SimulatedClock, rate: number): SimulatedClock {
  const from = clock.now();
  const own = Object.create(clock) as SimulatedClock;
  own.now = () => (from + (clock.now() - from) * rate) as SteadyMs;
  own.after = (delay, run) => clock.after(delay / rate, run);
  return own;
}

/** Lets every promise that can go on do so. */
export const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
