/** Discrete events in time order, and steady clocks that drift from true time. Times are in milliseconds. */
import type { Clock, Millis, SteadyMs } from '../model/units.js';

interface QueuedEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** An event that is still to come; once it has run, `cancel` has no effect. */
export interface ScheduledTimer {
  cancel(): void;
}

const isBefore = (a: QueuedEvent, b: QueuedEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Lets every promise that can go on do so before the next event. */
const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** All events of one simulation. Events of the same time run in the order in which they were scheduled. */
export class EventQueue {
  private time = 0;
  /** Events run so far. */
  count = 0;
  private lastSequence = 0;
  protected stopped = false;
  private readonly heap: QueuedEvent[] = [];

  /** True time since the start of the simulation. */
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

  /** Ends `run` after the present event. */
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
      this.count += 1;
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

/** Something that computes: a controller's process, a machine's worker, or one of the regional services. */
export class Host {
  /** Counts its process lifetimes: what an earlier one has scheduled never runs. */
  lifetime = 1;
  up = true;
  /** Called when it begins to stand still, with the duration. */
  onPause: (duration: number) => void = () => undefined;
  private pausedUntil = 0;

  constructor(
    readonly name: string,
    /** null: a regional service. */
    readonly zone: string | null,
    private readonly queue: EventQueue,
  ) {}

  get paused(): boolean {
    return this.queue.now < this.pausedUntil;
  }

  /** It stands still for a while; its clocks run on, and what arrives meanwhile is handled afterwards, in order. */
  pause(duration: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.queue.now + duration);
    this.onPause(duration);
  }

  end(): void {
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

/** The steady clock of one process lifetime: runs a little fast or slow, and its timers fire in whole steps. */
export class DriftingClock implements Clock {
  constructor(
    private readonly queue: EventQueue,
    private readonly host: Host,
    /** Relative, like 0.0005 for 0.05% fast. */
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
