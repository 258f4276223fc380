/** Sets of task indices kept as ranges: the 100,000 tasks of an array cost a few numbers, in memory and as stored. */

/** The indices from the first number up to, and without, the second. */
export type Range = readonly [from: number, to: number];

/** A set of indices, kept as sorted, disjoint ranges between which there are gaps. It is iterated in ascending order. */
export class RangeSet {
  private constructor(private sortedRanges: [number, number][]) {}

  static empty(): RangeSet {
    return new RangeSet([]);
  }

  /** The union of the ranges; they may be unsorted, overlap or be empty. */
  static of(ranges: Iterable<Range>): RangeSet {
    const set = RangeSet.empty();
    for (const [from, to] of ranges) set.addRange(from, to);
    return set;
  }

  clone(): RangeSet {
    return new RangeSet(this.sortedRanges.map(([start, end]) => [start, end]));
  }

  /** How many indices are in the set. */
  get size(): number {
    let total = 0;
    for (const [start, end] of this.sortedRanges) total += end - start;
    return total;
  }

  get isEmpty(): boolean {
    return this.sortedRanges.length === 0;
  }

  /** The ranges in ascending order; the caller owns them. */
  ranges(): Range[] {
    return this.sortedRanges.map(([start, end]) => [start, end]);
  }

  /** Position of the first range that ends after `index`. */
  private locate(index: number): number {
    let low = 0;
    let high = this.sortedRanges.length;
    while (low < high) {
      const mid = (low + high) >> 1;
      if ((this.sortedRanges[mid] as [number, number])[1] > index) high = mid;
      else low = mid + 1;
    }
    return low;
  }

  has(index: number): boolean {
    const range = this.sortedRanges[this.locate(index)];
    return range !== undefined && range[0] <= index;
  }

  add(index: number): void {
    this.addRange(index, index + 1);
  }

  addRange(from: number, to: number): void {
    if (to <= from) return;
    let firstIndex = this.locate(from);
    const before = this.sortedRanges[firstIndex - 1];
    if (before && before[1] === from) firstIndex -= 1;
    let endIndex = firstIndex;
    let low = from;
    let high = to;
    for (; endIndex < this.sortedRanges.length; endIndex += 1) {
      const range = this.sortedRanges[endIndex] as [number, number];
      if (range[0] > high) break;
      low = Math.min(low, range[0]);
      high = Math.max(high, range[1]);
    }
    this.sortedRanges.splice(firstIndex, endIndex - firstIndex, [low, high]);
  }

  remove(index: number): void {
    this.removeRange(index, index + 1);
  }

  removeRange(from: number, to: number): void {
    if (to <= from) return;
    const firstIndex = this.locate(from);
    let endIndex = firstIndex;
    const kept: [number, number][] = [];
    for (; endIndex < this.sortedRanges.length; endIndex += 1) {
      const [start, end] = this.sortedRanges[endIndex] as [number, number];
      if (start >= to) break;
      if (start < from) kept.push([start, from]);
      if (end > to) kept.push([to, end]);
    }
    this.sortedRanges.splice(firstIndex, endIndex - firstIndex, ...kept);
  }

  addAll(other: RangeSet): void {
    for (const [start, end] of other.sortedRanges) this.addRange(start, end);
  }

  removeAll(other: RangeSet): void {
    for (const [start, end] of other.sortedRanges) this.removeRange(start, end);
  }

  /** A new set of what is in both. */
  intersect(other: RangeSet): RangeSet {
    const rest = this.clone();
    rest.removeAll(other);
    const both = this.clone();
    both.removeAll(rest);
    return both;
  }

  /** A new set of the `count` smallest indices, or of all if there are fewer. */
  first(count: number): RangeSet {
    const result = RangeSet.empty();
    let remaining = count;
    for (const [start, end] of this.sortedRanges) {
      if (remaining <= 0) break;
      const length = Math.min(remaining, end - start);
      result.addRange(start, start + length);
      remaining -= length;
    }
    return result;
  }

  /** The indices as they are when the iteration begins: the set may be changed meanwhile. */
  *[Symbol.iterator](): Generator<number> {
    for (const [start, end] of this.ranges()) {
      for (let index = start; index < end; index += 1) yield index;
    }
  }
}
