/** Event counters by name, counted since the start of the process, for the statistics in the log. */

/** Counters for a fixed set of names. The snapshot omits counters that were never incremented. */
export class CounterSet<Name extends string> {
  private readonly counts = new Map<Name, number>();

  increment(name: Name): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Returns the current counts by name. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
