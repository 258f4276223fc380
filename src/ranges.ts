/** A set of task numbers kept as sorted, disjoint, half-open ranges: 100,000 tasks cost a few numbers. */
export type Range = readonly [from: number, to: number];

export class RangeSet {
  private constructor(private parts: [number, number][]) {}

  static empty(): RangeSet {
    return new RangeSet([]);
  }

  static of(ranges: Iterable<Range>): RangeSet {
    const set = RangeSet.empty();
    for (const [from, to] of ranges) set.addRange(from, to);
    return set;
  }

  clone(): RangeSet {
    return new RangeSet(this.parts.map(([a, b]) => [a, b]));
  }

  get size(): number {
    let n = 0;
    for (const [a, b] of this.parts) n += b - a;
    return n;
  }

  get isEmpty(): boolean {
    return this.parts.length === 0;
  }

  ranges(): Range[] {
    return this.parts.map(([a, b]) => [a, b]);
  }

  /** Place of the first range that ends after `n`. */
  private locate(n: number): number {
    let lo = 0;
    let hi = this.parts.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if ((this.parts[mid] as [number, number])[1] > n) hi = mid;
      else lo = mid + 1;
    }
    return lo;
  }

  has(n: number): boolean {
    const shard = this.parts[this.locate(n)];
    return shard !== undefined && shard[0] <= n;
  }

  add(n: number): void {
    this.addRange(n, n + 1);
  }

  addRange(from: number, to: number): void {
    if (to <= from) return;
    let i = this.locate(from);
    const before = this.parts[i - 1];
    if (before && before[1] === from) i -= 1;
    let j = i;
    let lo = from;
    let hi = to;
    for (; j < this.parts.length; j += 1) {
      const shard = this.parts[j] as [number, number];
      if (shard[0] > hi) break;
      lo = Math.min(lo, shard[0]);
      hi = Math.max(hi, shard[1]);
    }
    this.parts.splice(i, j - i, [lo, hi]);
  }

  remove(n: number): void {
    this.removeRange(n, n + 1);
  }

  removeRange(from: number, to: number): void {
    if (to <= from) return;
    const i = this.locate(from);
    let j = i;
    const kept: [number, number][] = [];
    for (; j < this.parts.length; j += 1) {
      const [a, b] = this.parts[j] as [number, number];
      if (a >= to) break;
      if (a < from) kept.push([a, from]);
      if (b > to) kept.push([to, b]);
    }
    this.parts.splice(i, j - i, ...kept);
  }

  addAll(other: RangeSet): void {
    for (const [a, b] of other.parts) this.addRange(a, b);
  }

  removeAll(other: RangeSet): void {
    for (const [a, b] of other.parts) this.removeRange(a, b);
  }

  /** What is in both. */
  intersect(other: RangeSet): RangeSet {
    const rest = this.clone();
    rest.removeAll(other);
    const both = this.clone();
    both.removeAll(rest);
    return both;
  }

  /** The first `count` numbers. */
  first(count: number): RangeSet {
    const out = RangeSet.empty();
    let left = count;
    for (const [a, b] of this.parts) {
      if (left <= 0) break;
      const n = Math.min(left, b - a);
      out.addRange(a, a + n);
      left -= n;
    }
    return out;
  }

  *[Symbol.iterator](): Generator<number> {
    for (const [a, b] of this.ranges()) for (let n = a; n < b; n += 1) yield n;
  }
}
