/** Sets of task indices, kept as ranges: the 100,000 tasks of an array take a few numbers in memory and in the store. */

/** The indices from `start` (inclusive) to `end` (exclusive). */
export type Range = readonly [start: number, end: number];

/** A set of indices, kept as sorted, disjoint, non-adjacent ranges. Iteration is in ascending order. */
export class RangeSet {
  private constructor(private sortedRanges: [number, number][]) {}

  static empty(): RangeSet {
    return new RangeSet([]);
  }

  /** Returns the union of the ranges, which may be unsorted, overlap or be empty. */
  static of(ranges: Iterable<Range>): RangeSet {
    const set = RangeSet.empty();
    for (const [start, end] of ranges) set.addRange(start, end);
    return set;
  }

  clone(): RangeSet {
    return new RangeSet(this.sortedRanges.map(([start, end]) => [start, end]));
  }

  /** The number of indices in the set. */
  get size(): number {
    let total = 0;
    for (const [start, end] of this.sortedRanges) total += end - start;
    return total;
  }

  get isEmpty(): boolean {
    return this.sortedRanges.length === 0;
  }

  /** Returns a copy of the ranges in ascending order. */
  ranges(): Range[] {
    return this.sortedRanges.map(([start, end]) => [start, end]);
  }

  /** Returns the position in `sortedRanges` of the first range that ends after `index`. */
  private findPosition(index: number): number {
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
    const range = this.sortedRanges[this.findPosition(index)];
    return range !== undefined && range[0] <= index;
  }

  add(index: number): void {
    this.addRange(index, index + 1);
  }

  addRange(start: number, end: number): void {
    if (end <= start) return;
    let firstPosition = this.findPosition(start);
    const previousRange = this.sortedRanges[firstPosition - 1];
    if (previousRange && previousRange[1] === start) firstPosition -= 1;
    let endPosition = firstPosition;
    let mergedStart = start;
    let mergedEnd = end;
    for (; endPosition < this.sortedRanges.length; endPosition += 1) {
      const range = this.sortedRanges[endPosition] as [number, number];
      if (range[0] > mergedEnd) break;
      mergedStart = Math.min(mergedStart, range[0]);
      mergedEnd = Math.max(mergedEnd, range[1]);
    }
    this.sortedRanges.splice(firstPosition, endPosition - firstPosition, [mergedStart, mergedEnd]);
  }

  remove(index: number): void {
    this.removeRange(index, index + 1);
  }

  removeRange(start: number, end: number): void {
    if (end <= start) return;
    const firstPosition = this.findPosition(start);
    let endPosition = firstPosition;
    const remainders: [number, number][] = [];
    for (; endPosition < this.sortedRanges.length; endPosition += 1) {
      const [rangeStart, rangeEnd] = this.sortedRanges[endPosition] as [number, number];
      if (rangeStart >= end) break;
      if (rangeStart < start) remainders.push([rangeStart, start]);
      if (rangeEnd > end) remainders.push([end, rangeEnd]);
    }
    this.sortedRanges.splice(firstPosition, endPosition - firstPosition, ...remainders);
  }

  addAll(other: RangeSet): void {
    for (const [start, end] of other.sortedRanges) this.addRange(start, end);
  }

  removeAll(other: RangeSet): void {
    for (const [start, end] of other.sortedRanges) this.removeRange(start, end);
  }

  /** Returns the intersection of both sets as a new set. */
  intersect(other: RangeSet): RangeSet {
    const difference = this.clone();
    difference.removeAll(other);
    const intersection = this.clone();
    intersection.removeAll(difference);
    return intersection;
  }

  /** Returns a new set with the `count` smallest indices, or with all indices if there are fewer. */
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

  /** Yields the indices that are in the set when the iteration begins; the set may be changed during the iteration. */
  *[Symbol.iterator](): Generator<number> {
    for (const [start, end] of this.ranges()) {
      for (let index = start; index < end; index += 1) yield index;
    }
  }
}
