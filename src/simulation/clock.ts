/** Discrete-event queue, and monotonic clocks that drift from simulated time. Times are in milliseconds. */
import type { Clock, Millis, SteadyMs } from '../model/units.js';

interface QueuedEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Handle of a scheduled event; `cancel` has no effect once the event has run. */
export interface ScheduledTimer {
  cancel(): void;
}

const isBefore = (a: QueuedEvent, b: QueuedEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Resolves after all promise callbacks that can run before the next event have run. */
const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Event queue of one simulation. Events with the same time run in the order in which they were scheduled. */
export class EventQueue {
  private time = 0;
  /** Number of events that have run. */
  processedEvents = 0;
  private lastSequence = 0;
  protected stopped = false;
  private readonly heap: QueuedEvent[] = [];

  /** Time since the start of the simulation, without clock drift. */
  get now(): number {
    return this.time;
  }

  after(delay: number, run: () => void): ScheduledTimer {
    this.lastSequence += 1;
    const event: QueuedEvent = {
      at: this.now + Math.max(0, delay),
      sequence: this.lastSequence,
      run,
      cancelled: false,
    };
    this.insert(event);
    return { cancel: () => (event.cancelled = true) };
  }

  /** Makes `run` return after the current event. */
  stop(): void {
    this.stopped = true;
  }

  async run(until: number): Promise<void> {
    await flushPromises();
    while (!this.stopped) {
      const next = this.heap[0];
      if (!next || next.at > until) break;
      this.removeFirst();
      if (next.cancelled) continue;
      this.time = next.at;
      this.processedEvents += 1;
      next.run();
      await flushPromises();
    }
    if (!this.stopped) this.time = until;
  }

  private insert(event: QueuedEvent): void {
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent] as QueuedEvent)) break;
      heap[index] = heap[parent] as QueuedEvent;
      index = parent;
    }
    heap[index] = event;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const right = heap[child + 1];
      if (right && isBefore(right, heap[child] as QueuedEvent)) child += 1;
      const next = heap[child];
      if (!next || !isBefore(next, last)) break;
      heap[index] = next;
      index = child;
    }
    heap[index] = last;
  }
}

/** A simulated host: a controller's process, a machine's worker, or one of the regional services. */
export class Host {
  /** Number of the current process lifetime; timers that an earlier lifetime scheduled never fire. */
  lifetime = 1;
  up = true;
  /** Called with the duration when the host is paused. */
  onPause: (duration: number) => void = () => undefined;
  private pausedUntil = 0;

  constructor(
    readonly name: string,
    /** Null for a regional service. */
    readonly zone: string | null,
    private readonly queue: EventQueue,
  ) {}

  get paused(): boolean {
    return this.queue.now < this.pausedUntil;
  }

  /** Pauses the host: its clocks advance, and timers and messages that are due meanwhile run afterwards, in order. */
  pause(duration: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.queue.now + duration);
    this.onPause(duration);
  }

  stop(): void {
    this.lifetime += 1;
    this.up = false;
    this.pausedUntil = 0;
  }

  start(): void {
    this.up = true;
  }

  after(delay: number, run: () => void): ScheduledTimer {
    const { lifetime } = this;
    let cancelled = false;
    const fire = (): void => {
      if (cancelled || this.lifetime !== lifetime) return;
      if (this.paused) this.queue.after(this.pausedUntil - this.queue.now, fire);
      else run();
    };
    this.queue.after(delay, fire);
    return { cancel: () => (cancelled = true) };
  }
}

const CLOCK_START_MS = 1_000_000;

/** The monotonic clock of one process lifetime: slightly fast or slow, with timers that fire after whole steps. */
export class DriftingClock implements Clock {
  constructor(
    private readonly queue: EventQueue,
    private readonly host: Host,
    /** Relative rate error: 0.0005 is 0.05% fast. */
    private readonly drift: number,
    private readonly stepMs: number,
  ) {}

  now(): SteadyMs {
    return (CLOCK_START_MS + this.queue.now * (1 + this.drift)) as SteadyMs;
  }

  after(delay: Millis, run: () => void): ScheduledTimer {
    const steps = Math.ceil(Math.max(0, delay) / this.stepMs);
    return this.host.after((steps * this.stepMs) / (1 + this.drift), run);
  }
}
