/**
 * This controller's copy of what the state service holds below one prefix. It may be behind, never wrong:
 * every key has the version it was read at, and `confirmed` is a time at which nothing newer existed.
 */
import type { Revision, StateKey, SteadyMs } from '../units.js';
import { NO_REVISION, steady } from '../units.js';
import type { Entry, WatchEvent } from './wire.js';

export type OnChange = (key: StateKey, value: unknown, version: Revision) => void;

const groupOf = (key: StateKey): string => key.slice(0, key.indexOf('/', key.indexOf('/') + 1) + 1);

export class StoreCache {
  private readonly entries = new Map<StateKey, Entry>();
  /** The same, by the first two words of the key: a list is read without looking at all others. */
  private readonly groups = new Map<string, Map<StateKey, Entry>>();
  /** Versions of drops that the feed has not reached: an older put must not bring the key back. */
  private readonly dropped = new Map<StateKey, Revision>();
  revision: Revision = NO_REVISION;
  confirmed: SteadyMs = steady(-1e12);
  loaded = false;

  constructor(private readonly onChange: OnChange) {}

  get(key: StateKey): Entry | undefined {
    return this.entries.get(key);
  }

  version(key: StateKey): Revision {
    return this.entries.get(key)?.version ?? NO_REVISION;
  }

  /** Entries of one group, named with its closing slash, like `c/live/`. */
  *under(prefix: string): Generator<Entry> {
    yield* this.groups.get(prefix)?.values() ?? [];
  }

  /**
   * One fact, from the feed, a read, or our own committed write. Older facts change nothing: up to `revision` the view
   * is complete, so a read or a write that is answered late must not bring back a key that was dropped since.
   */
  learn(key: StateKey, value: unknown, version: Revision): void {
    if (version <= this.revision) return;
    const known = Math.max(this.version(key), this.dropped.get(key) ?? 0);
    if (version <= known) return;
    if (value === undefined) {
      if (version > this.revision) this.dropped.set(key, version);
      if (!this.entries.delete(key)) return;
      this.groups.get(groupOf(key))?.delete(key);
    } else {
      this.dropped.delete(key);
      const entry = { key, value, version };
      this.entries.set(key, entry);
      const group = this.groups.get(groupOf(key)) ?? new Map<StateKey, Entry>();
      this.groups.set(groupOf(key), group.set(key, entry));
    }
    this.onChange(key, value, version);
  }

  follow(news: readonly WatchEvent[], revision: Revision, asked: SteadyMs): void {
    // Two looks at the feed may cross: what an older one says up to our revision is known, also of keys dropped since.
    const reached = this.revision;
    for (const n of news) if (n.version > reached) this.learn(n.key, n.value, n.version);
    this.reach(revision, asked);
  }

  /** A complete list read from `asked` on: keys it lacks, and that are not newer than it, are gone. */
  load(entries: readonly Entry[], revision: Revision, asked: SteadyMs): void {
    const present = new Set(entries.map((e) => e.key));
    for (const entry of [...this.entries.values()]) {
      if (!present.has(entry.key) && entry.version <= revision) this.learn(entry.key, undefined, revision);
    }
    for (const e of entries) this.learn(e.key, e.value, e.version);
    this.loaded = true;
    this.reach(revision, asked);
  }

  private reach(revision: Revision, asked: SteadyMs): void {
    if (revision > this.revision) this.revision = revision;
    if (asked > this.confirmed) this.confirmed = asked;
    for (const [key, version] of this.dropped) if (version <= this.revision) this.dropped.delete(key);
  }
}
