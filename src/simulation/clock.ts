/** Discrete events in time order, and steady clocks that drift from true time. Times are in milliseconds. */
import type { Clock, Millis, SteadyMs } from '../model/units.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

export interface Scheduled {
  cancel(): void;
}

const before = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** Lets every promise that can go on do so before the next event. */
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** All events of one simulation. Events of the same time run in the order in which they were scheduled. */
export class EventQueue {
  /** True time since the start of the simulation. */
  now = 0;
  /** Events run so far. */
  count = 0;
  private order = 0;
  private stopped = false;
  private readonly heap: Event[] = [];

  after(delay: number, run: () => void): Scheduled {
    this.order += 1;
    const event: Event = { at: this.now + Math.max(0, delay), order: this.order, run, cancelled: false };
    this.insert(event);
    return { cancel: () => (event.cancelled = true) };
  }

  /** Ends `run` after the present event. */
  stop(): void {
    this.stopped = true;
  }

  async run(until: number): Promise<void> {
    await settle();
    while (!this.stopped) {
      const next = this.heap[0];
      if (!next || next.at > until) break;
      this.removeFirst();
      if (next.cancelled) continue;
      this.now = next.at;
      this.count += 1;
      next.run();
      await settle();
    }
    if (!this.stopped) this.now = until;
  }

  private insert(event: Event): void {
    const { heap } = this;
    let at = heap.push(event) - 1;
    while (at > 0) {
      const above = (at - 1) >> 1;
      if (!before(event, heap[above] as Event)) break;
      heap[at] = heap[above] as Event;
      at = above;
    }
    heap[at] = event;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let at = 0;
    for (;;) {
      let below = 2 * at + 1;
      const right = heap[below + 1];
      if (right && before(right, heap[below] as Event)) below += 1;
      const next = heap[below];
      if (!next || !before(next, last)) break;
      heap[at] = next;
      at = below;
    }
    heap[at] = last;
  }
}

/** Something that computes: a controller's process, a machine's worker, or one of the regional services. */
export class Host {
  /** Counts its starts: what an earlier life has scheduled never runs. */
  life = 1;
  up = true;
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
  }

  end(): void {
    this.life += 1;
    this.up = false;
    this.pausedUntil = 0;
  }

  start(): void {
    this.up = true;
  }

  after(delay: number, run: () => void): Scheduled {
    const { life } = this;
    let cancelled = false;
    const fire = (): void => {
      if (cancelled || this.life !== life) return;
      if (this.paused) this.queue.after(this.pausedUntil - this.queue.now, fire);
      else run();
    };
    this.queue.after(delay, fire);
    return { cancel: () => (cancelled = true) };
  }
}

const CLOCK_START = 1_000_000;

/** The steady clock of one life of a host: runs a little fast or slow, and its timers fire in whole steps. */
export class DriftingClock implements Clock {
  constructor(
    private readonly queue: EventQueue,
    private readonly host: Host,
    /** Relative, like 0.0005 for 0.05% fast. */
    private readonly drift: number,
    private readonly stepMs: number,
  ) {}

  now(): SteadyMs {
    return (CLOCK_START + this.queue.now * (1 + this.drift)) as SteadyMs;
  }

  after(delay: Millis, run: () => void): Scheduled {
    const steps = Math.ceil(Math.max(0, delay) / this.stepMs);
    return this.host.after((steps * this.stepMs) / (1 + this.drift), run);
  }
}
