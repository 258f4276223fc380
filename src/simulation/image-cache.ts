/** The images of one machine: fetches that share a rate, and a cache of the most recently used ones. */
import type { EventQueue, Scheduled } from './clock.js';

interface Fetch {
  readonly gb: number;
  leftGb: number;
  readonly waiting: Map<string, () => void>;
}

export class ImageCache {
  /** Size by image, least recently used first. */
  private readonly held = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private timer: Scheduled | null = null;
  private updatedAt = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly gbPerS: number,
    private readonly capacityGb: number,
  ) {}

  /** Calls back once the image is here, maybe at once; `waiter` names who waits. */
  want(image: string, gb: number, waiter: string, ready: () => void): void {
    const size = this.held.get(image);
    if (size !== undefined) {
      this.held.delete(image);
      this.held.set(image, size);
      return ready();
    }
    this.progress();
    const fetch = this.fetches.get(image) ?? { gb, leftGb: gb, waiting: new Map<string, () => void>() };
    fetch.waiting.set(waiter, ready);
    this.fetches.set(image, fetch);
    this.arm();
  }

  /** The waiter is gone; a fetch that nobody waits for is given up. */
  abandon(image: string, waiter: string): void {
    const fetch = this.fetches.get(image);
    if (!fetch?.waiting.delete(waiter) || fetch.waiting.size > 0) return;
    this.progress();
    this.fetches.delete(image);
    this.arm();
  }

  private progress(): void {
    const elapsed = (this.queue.now - this.updatedAt) / 1000;
    this.updatedAt = this.queue.now;
    const each = (elapsed * this.gbPerS) / Math.max(1, this.fetches.size);
    for (const fetch of this.fetches.values()) fetch.leftGb -= each;
  }

  private arm(): void {
    this.timer?.cancel();
    if (this.fetches.size === 0) return;
    const least = Math.min(...[...this.fetches.values()].map((f) => f.leftGb));
    const wait = (Math.max(0, least) * this.fetches.size * 1000) / this.gbPerS;
    this.timer = this.queue.after(wait + 0.001, () => this.finish());
  }

  private finish(): void {
    this.progress();
    const ready: (() => void)[] = [];
    for (const [image, fetch] of this.fetches) {
      if (fetch.leftGb > 1e-6) continue;
      this.fetches.delete(image);
      this.keep(image, fetch.gb);
      ready.push(...fetch.waiting.values());
    }
    this.arm();
    for (const run of ready) run();
  }

  private keep(image: string, gb: number): void {
    this.held.set(image, gb);
    let total = [...this.held.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of this.held) {
      if (total <= this.capacityGb || oldest === image) break;
      this.held.delete(oldest);
      total -= size;
    }
  }
}
