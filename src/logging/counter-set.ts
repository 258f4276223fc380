/** Counts events by name since the process began, for the statistics in the log. */

/** Counters for a fixed set of names; one that was never incremented is left out of the snapshot. */
export class CounterSet<Name extends string> {
  private readonly counts = new Map<Name, number>();

  increment(name: Name): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** The counts now, by name. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
