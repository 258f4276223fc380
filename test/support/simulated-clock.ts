/** A simulated steady clock: runs timers in time order and waits for pending promises before each of them. */
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

  /** Formats the seconds since the start for traces. */
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

  /** Inserts into a binary heap, because hundreds of machines have thousands of timers. */
  private insert(event: TimerEvent): void {
    const { events } = this;
    let at = events.push(event) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isEarlier(event, events[parent] as TimerEvent)) break;
      events[at] = events[parent] as TimerEvent;
      at = parent;
    }
    events[at] = event;
  }

  private removeFirst(): void {
    const { events } = this;
    const last = events.pop();
    if (!last || events.length === 0) return;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      const right = events[child + 1];
      if (right && isEarlier(right, events[child] as TimerEvent)) child += 1;
      const next = events[child];
      if (!next || !isEarlier(next, last)) break;
      events[at] = next;
      at = child;
    }
    events[at] = last;
  }
}

const isEarlier = (first: TimerEvent, second: TimerEvent): boolean =>
  first.dueAt < second.dueAt || (first.dueAt === second.dueAt && first.sequence < second.sequence);

/** Returns a view of `clock` for a node or a machine: its time and timers run at `rate` times the speed of `clock`. */
export function clockRunningAt(clock: SimulatedClock, rate: number): SimulatedClock {
  const startedAt = clock.now();
  const scaledClock = Object.create(clock) as SimulatedClock;
  scaledClock.now = () => (startedAt + (clock.now() - startedAt) * rate) as SteadyMs;
  scaledClock.after = (delay, run) => clock.after(delay / rate, run);
  return scaledClock;
}

/** Lets all promises that are ready continue. */
export const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
