/** Request rate limits of the simulated services. */
import type { EventQueue } from './clock.js';

/** A token bucket that holds `burstS` seconds' worth of requests. */
export class TokenBucket {
  private level: number;
  private updatedAt = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly rate: number,
    private readonly burstS = 1,
  ) {
    this.level = rate * burstS;
  }

  take(count: number): boolean {
    const { now } = this.queue;
    this.level = Math.min(this.rate * this.burstS, this.level + ((now - this.updatedAt) / 1000) * this.rate);
    this.updatedAt = now;
    if (this.level < count) return false;
    this.level -= count;
    return true;
  }
}
