/** The images of one machine: fetches that share a rate, and a cache of the most recently used ones. */
import type { EventQueue, ScheduledTimer } from './clock.js';

interface Fetch {
  readonly gb: number;
  leftGb: number;
  readonly waiting: Map<string, () => void>;
}

/** One machine's images; concurrent fetches share `gbPerS` evenly. */
export class ImageCache {
  /** Size by image, least recently used first. */
  private readonly sizeByImage = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private timer: ScheduledTimer | null = null;
  private updatedAt = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly gbPerS: number,
    private readonly capacityGb: number,
  ) {}

  /** Calls back once the image is here, maybe at once; `waiter` names who waits. */
  request(image: string, gb: number, waiter: string, ready: () => void): void {
    const size = this.sizeByImage.get(image);
    if (size !== undefined) {
      this.sizeByImage.delete(image);
      this.sizeByImage.set(image, size);
      return ready();
    }
    this.advanceFetches();
    const fetch = this.fetches.get(image) ?? { gb, leftGb: gb, waiting: new Map<string, () => void>() };
    fetch.waiting.set(waiter, ready);
    this.fetches.set(image, fetch);
    this.scheduleCompletion();
  }

  /** The waiter has ended; a fetch that nobody waits for is given up. */
  abandon(image: string, waiter: string): void {
    const fetch = this.fetches.get(image);
    if (!fetch?.waiting.delete(waiter) || fetch.waiting.size > 0) return;
    this.advanceFetches();
    this.fetches.delete(image);
    this.scheduleCompletion();
  }

  private advanceFetches(): void {
    const elapsed = (this.queue.now - this.updatedAt) / 1000;
    this.updatedAt = this.queue.now;
    const each = (elapsed * this.gbPerS) / Math.max(1, this.fetches.size);
    for (const fetch of this.fetches.values()) fetch.leftGb -= each;
  }

  private scheduleCompletion(): void {
    this.timer?.cancel();
    if (this.fetches.size === 0) return;
    const least = Math.min(...[...this.fetches.values()].map((f) => f.leftGb));
    const wait = (Math.max(0, least) * this.fetches.size * 1000) / this.gbPerS;
    this.timer = this.queue.after(wait + 0.001, () => this.completeFetches());
  }

  private completeFetches(): void {
    this.advanceFetches();
    const ready: (() => void)[] = [];
    for (const [image, fetch] of this.fetches) {
      if (fetch.leftGb > 1e-6) continue;
      this.fetches.delete(image);
      this.store(image, fetch.gb);
      ready.push(...fetch.waiting.values());
    }
    this.scheduleCompletion();
    for (const run of ready) run();
  }

  private store(image: string, gb: number): void {
    this.sizeByImage.set(image, gb);
    let total = [...this.sizeByImage.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of this.sizeByImage) {
      if (total <= this.capacityGb || oldest === image) break;
      this.sizeByImage.delete(oldest);
      total -= size;
    }
  }
}
