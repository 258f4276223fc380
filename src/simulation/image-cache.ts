/** Images of one machine: concurrent fetches that share the bandwidth, and an LRU cache. */
import type { EventQueue, ScheduledTimer } from './clock.js';

/** Added to the wait for a fetch, so that rounding never leaves a remainder to fetch. */
const COMPLETION_MARGIN_MS = 0.001;
/** An image with less than this left to fetch counts as fetched. */
const EPSILON_GB = 1e-6;

interface Fetch {
  readonly gb: number;
  remainingGb: number;
  readonly callbackByRequester: Map<string, () => void>;
}

/** Image cache of one machine; concurrent fetches share `gbPerS` evenly. */
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

  /** Calls `onReady` once the image is available, immediately if it is cached; `requester` identifies the request. */
  request(image: string, gb: number, requester: string, onReady: () => void): void {
    const size = this.sizeByImage.get(image);
    if (size !== undefined) {
      this.sizeByImage.delete(image);
      this.sizeByImage.set(image, size);
      onReady();
      return;
    }
    this.advanceFetches();
    const fetch = this.fetches.get(image) ?? {
      gb,
      remainingGb: gb,
      callbackByRequester: new Map<string, () => void>(),
    };
    fetch.callbackByRequester.set(requester, onReady);
    this.fetches.set(image, fetch);
    this.scheduleCompletion();
  }

  /** Withdraws the request of `requester`; aborts the fetch if no other request needs the image. */
  cancelRequest(image: string, requester: string): void {
    const fetch = this.fetches.get(image);
    if (!fetch?.callbackByRequester.delete(requester) || fetch.callbackByRequester.size > 0) return;
    this.advanceFetches();
    this.fetches.delete(image);
    this.scheduleCompletion();
  }

  private advanceFetches(): void {
    const elapsedS = (this.queue.now - this.updatedAt) / 1000;
    this.updatedAt = this.queue.now;
    const fetchedGb = (elapsedS * this.gbPerS) / Math.max(1, this.fetches.size);
    for (const fetch of this.fetches.values()) fetch.remainingGb -= fetchedGb;
  }

  private scheduleCompletion(): void {
    this.timer?.cancel();
    if (this.fetches.size === 0) return;
    const minRemainingGb = Math.min(...[...this.fetches.values()].map((f) => f.remainingGb));
    const waitMs = (Math.max(0, minRemainingGb) * this.fetches.size * 1000) / this.gbPerS;
    this.timer = this.queue.after(waitMs + COMPLETION_MARGIN_MS, () => this.completeFetches());
  }

  private completeFetches(): void {
    this.advanceFetches();
    const callbacks: (() => void)[] = [];
    for (const [image, fetch] of this.fetches) {
      if (fetch.remainingGb > EPSILON_GB) continue;
      this.fetches.delete(image);
      this.store(image, fetch.gb);
      callbacks.push(...fetch.callbackByRequester.values());
    }
    this.scheduleCompletion();
    for (const callback of callbacks) callback();
  }

  private store(image: string, gb: number): void {
    this.sizeByImage.set(image, gb);
    let totalGb = [...this.sizeByImage.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of this.sizeByImage) {
      if (totalGb <= this.capacityGb || oldest === image) break;
      this.sizeByImage.delete(oldest);
      totalGb -= size;
    }
  }
}
