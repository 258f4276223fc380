/** A set of task numbers kept as sorted, disjoint, half-open ranges: 100,000 tasks cost a few numbers. */
export type Range = readonly [from: number, to: number];

export class RangeSet {
  private constructor(private sortedRanges: [number, number][]) {}

  static empty(): RangeSet {
    return new RangeSet([]);
  }

  static of(ranges: Iterable<Range>): RangeSet {
    const set = RangeSet.empty();
    for (const [from, to] of ranges) set.addRange(from, to);
    return set;
  }

  clone(): RangeSet {
    return new RangeSet(this.sortedRanges.map(([start, end]) => [start, end]));
  }

  get size(): number {
    let total = 0;
    for (const [start, end] of this.sortedRanges) total += end - start;
    return total;
  }

  get isEmpty(): boolean {
    return this.sortedRanges.length === 0;
  }

  ranges(): Range[] {
    return this.sortedRanges.map(([start, end]) => [start, end]);
  }

  /** Place of the first range that ends after `n`. */
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
    const result = RangeSet.empty();
    let left = count;
    for (const [start, end] of this.sortedRanges) {
      if (left <= 0) break;
      const taken = Math.min(left, end - start);
      result.addRange(start, start + taken);
      left -= taken;
    }
    return result;
  }

  *[Symbol.iterator](): Generator<number> {
    for (const [start, end] of this.ranges()) for (let index = start; index < end; index += 1) yield index;
  }
}
