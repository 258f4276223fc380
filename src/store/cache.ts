/**
 * This controller's copy of what the state service holds below one prefix. It may be behind, never wrong:
 * every key has the version it was read at, and `confirmed` is a time at which nothing newer existed.
 */
import type { Revision, StoreKey, SteadyMs } from '../model/units.js';
import { NO_REVISION, steady } from '../model/units.js';
import type { Entry, WatchEvent } from './wire.js';

export type OnChange = (key: StoreKey, value: unknown, version: Revision) => void;

const groupOf = (key: StoreKey): string => key.slice(0, key.indexOf('/', key.indexOf('/') + 1) + 1);

export class StoreCache {
  private readonly entries = new Map<StoreKey, Entry>();
  /** The same, by the first two words of the key: a list is read without looking at all others. */
  private readonly groups = new Map<string, Map<StoreKey, Entry>>();
  /** Versions of drops that the feed has not reached: an older put must not bring the key back. */
  private readonly deletedVersions = new Map<StoreKey, Revision>();
  revision: Revision = NO_REVISION;
  confirmedAt: SteadyMs = steady(-1e12);
  loaded = false;

  constructor(private readonly onChange: OnChange) {}

  get(key: StoreKey): Entry | undefined {
    return this.entries.get(key);
  }

  version(key: StoreKey): Revision {
    return this.entries.get(key)?.version ?? NO_REVISION;
  }

  /** Entries of one group, named with its closing slash, like `c/live/`. */
  *entriesUnder(prefix: string): Generator<Entry> {
    yield* this.groups.get(prefix)?.values() ?? [];
  }

  /**
   * One fact, from the feed, a read, or our own committed write. Older facts change nothing: up to `revision` the view
   * is complete, so a read or a write that is answered late must not bring back a key that was dropped since.
   */
  apply(key: StoreKey, value: unknown, version: Revision): void {
    if (version <= this.revision) return;
    const knownVersion = Math.max(this.version(key), this.deletedVersions.get(key) ?? 0);
    if (version <= knownVersion) return;
    if (value === undefined) {
      if (version > this.revision) this.deletedVersions.set(key, version);
      if (!this.entries.delete(key)) return;
      this.groups.get(groupOf(key))?.delete(key);
    } else {
      this.deletedVersions.delete(key);
      const entry = { key, value, version };
      this.entries.set(key, entry);
      const group = this.groups.get(groupOf(key)) ?? new Map<StoreKey, Entry>();
      this.groups.set(groupOf(key), group.set(key, entry));
    }
    this.onChange(key, value, version);
  }

  applyEvents(events: readonly WatchEvent[], revision: Revision, requestedAt: SteadyMs): void {
    // Two looks at the feed may cross: what an older one says up to our revision is known, also of keys dropped since.
    const reachedRevision = this.revision;
    for (const event of events)
      if (event.version > reachedRevision) this.apply(event.key, event.value, event.version);
    this.advance(revision, requestedAt);
  }

  /** A complete list read from `asked` on: keys it lacks, and that are not newer than it, are gone. */
  loadSnapshot(entries: readonly Entry[], revision: Revision, requestedAt: SteadyMs): void {
    const present = new Set(entries.map((entry) => entry.key));
    for (const entry of [...this.entries.values()]) {
      if (!present.has(entry.key) && entry.version <= revision) this.apply(entry.key, undefined, revision);
    }
    for (const entry of entries) this.apply(entry.key, entry.value, entry.version);
    this.loaded = true;
    this.advance(revision, requestedAt);
  }

  private advance(revision: Revision, requestedAt: SteadyMs): void {
    if (revision > this.revision) this.revision = revision;
    if (requestedAt > this.confirmedAt) this.confirmedAt = requestedAt;
    for (const [key, version] of this.deletedVersions)
      if (version <= this.revision) this.deletedVersions.delete(key);
  }
}
