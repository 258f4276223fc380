/** Seeded random numbers. Each component draws from its own stream, so that draws of one do not affect the others. */
import { createHash } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RESOLUTION = 1 << 30;

/** Range of random numbers: `low` included, `high` excluded. */
export interface Bounds {
  readonly low: number;
  readonly high: number;
}

/** A reproducible stream of random numbers. */
export class RandomStream {
  private readonly generator;

  constructor(private readonly seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a stream that depends only on this stream's seed and the label, not on the draws so far. */
  fork(label: string): RandomStream {
    const digest = createHash('sha256').update(`${this.seed}/${label}`).digest();
    return new RandomStream(digest.readInt32BE(0));
  }

  /** Returns an integer from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return high <= low ? low : uniformInt(this.generator, low, high);
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  unit(): number {
    return uniformInt(this.generator, 0, RESOLUTION - 1) / RESOLUTION;
  }

  /** Returns a number from `low` (included) to `high` (excluded). */
  between(low: number, high: number): number {
    return low + (high - low) * this.unit();
  }

  within({ low, high }: Bounds): number {
    return this.between(low, high);
  }

  /** Returns true with the probability `share`. */
  chance(share: number): boolean {
    return this.unit() < share;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)] as T;
  }

  /** Returns up to `count` distinct items, in random order. */
  sample<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const sampled: T[] = [];
    while (sampled.length < count && remaining.length > 0)
      sampled.push(...remaining.splice(this.integer(0, remaining.length - 1), 1));
    return sampled;
  }
}
