/**
 * This controller's cached copy of the keys below one prefix of the key-value store. The cache may lag behind the store
 * but never goes back to an older state: each key is stored with its version, and updates with an older version are
 * ignored. The cache sends no requests; `StoreWatcher` updates it, and so does any code that reads or writes a key.
 */
import type { Revision, StoreKey, SteadyMs } from '../model/units.js';
import { NO_REVISION, steady } from '../model/units.js';
import type { Entry, WatchEvent } from './wire.js';

/** Called when the cache has become complete up to a later revision, after `OnChange` for all changes up to it. */
export type OnComplete = (revision: Revision) => void;

/** Called after every change of the cache. A `value` of undefined means that the key was deleted. */
export type OnChange = (key: StoreKey, value: unknown, version: Revision) => void;

/** Earlier than any time of the clock, so that every check of the cache's age fails until the store has answered. */
const NEVER_CONFIRMED = steady(-Infinity);

/** The first two segments of a key with their slashes, such as `c/live/`; an empty string if the key has none. */
const groupPrefix = (key: StoreKey): string => key.slice(0, key.indexOf('/', key.indexOf('/') + 1) + 1);

/** Holds the latest known entry of every key below one prefix. */
export class StoreCache {
  private readonly entries = new Map<StoreKey, Entry>();
  /** The same entries indexed by `groupPrefix`, so that reading one group does not scan all entries. */
  private readonly groups = new Map<string, Map<StoreKey, Entry>>();
  /**
   * Versions of deletions that are newer than `revision` (tombstones). Without them, a late response with an older
   * version would restore a deleted key.
   */
  private readonly deletedVersions = new Map<StoreKey, Revision>();
  private completeUpTo: Revision = NO_REVISION;
  private lastConfirmedAt: SteadyMs = NEVER_CONFIRMED;
  private hasSnapshot = false;

  constructor(
    private readonly onChange: OnChange,
    private readonly onComplete: OnComplete = () => undefined,
  ) {}

  /** The cache contains every change up to this revision, and possibly some later changes. */
  get revision(): Revision {
    return this.completeUpTo;
  }

  /** A time on this process's clock at which the store held nothing newer than `revision`. */
  get confirmedAt(): SteadyMs {
    return this.lastConfirmedAt;
  }

  /** Whether a complete snapshot has been loaded and watches can continue from `revision`. */
  get loaded(): boolean {
    return this.hasSnapshot;
  }

  /**
   * Marks the cache as not loaded because the store has compacted the changes since `revision`: a new list is needed.
   */
  invalidate(): void {
    this.hasSnapshot = false;
  }

  /** Returns the latest known entry, or undefined if the key is not known to exist. */
  get(key: StoreKey): Entry | undefined {
    return this.entries.get(key);
  }

  /** Returns the version of the latest known entry, or `NO_REVISION` if the key is not known to exist. */
  version(key: StoreKey): Revision {
    return this.entries.get(key)?.version ?? NO_REVISION;
  }

  /** Yields the entries of one group. `prefix` is two key segments with the trailing slash, such as `c/live/`. */
  *entriesUnder(prefix: string): Generator<Entry> {
    yield* this.groups.get(prefix)?.values() ?? [];
  }

  /**
   * Applies one update from a watch, a read or a committed write. A `value` of undefined means that the key was
   * deleted. Updates up to `revision` are ignored because the cache is already complete up to it. This prevents: a read
   * is sent, the key is deleted and the watch reports the deletion, and then the late answer to the read restores the
   * key.
   */
  apply(key: StoreKey, value: unknown, version: Revision): void {
    if (version <= this.completeUpTo) return;
    const knownVersion = Math.max(this.version(key), this.deletedVersions.get(key) ?? 0);
    if (version <= knownVersion) return;
    if (value === undefined) {
      this.deletedVersions.set(key, version);
      if (!this.entries.delete(key)) return;
      this.groups.get(groupPrefix(key))?.delete(key);
    } else {
      this.deletedVersions.delete(key);
      const entry = { key, value, version };
      this.entries.set(key, entry);
      const group = this.groups.get(groupPrefix(key)) ?? new Map<StoreKey, Entry>();
      this.groups.set(groupPrefix(key), group.set(key, entry));
    }
    this.onChange(key, value, version);
  }

  /**
   * Applies the events of a watch that was sent at `requestedAt` and is complete up to `revision`. The responses of two
   * watches may arrive out of order: when the second one arrives, its events up to the revision that the cache has
   * reached are already known, and are skipped, also for keys that have been deleted since.
   */
  applyEvents(events: readonly WatchEvent[], revision: Revision, requestedAt: SteadyMs): void {
    const reachedRevision = this.completeUpTo;
    for (const event of events)
      if (event.version > reachedRevision) this.apply(event.key, event.value, event.version);
    this.advance(revision, requestedAt);
  }

  /**
   * Replaces the contents with a complete list that was requested at `requestedAt`. Keys that the list lacks, and that
   * are not newer than its revision, have been deleted.
   */
  loadSnapshot(entries: readonly Entry[], revision: Revision, requestedAt: SteadyMs): void {
    const listedKeys = new Set(entries.map((entry) => entry.key));
    for (const entry of [...this.entries.values()]) {
      if (!listedKeys.has(entry.key) && entry.version <= revision) this.apply(entry.key, undefined, revision);
    }
    for (const entry of entries) this.apply(entry.key, entry.value, entry.version);
    this.hasSnapshot = true;
    this.advance(revision, requestedAt);
  }

  private advance(revision: Revision, requestedAt: SteadyMs): void {
    const reachedRevision = this.completeUpTo;
    if (revision > this.completeUpTo) this.completeUpTo = revision;
    if (requestedAt > this.lastConfirmedAt) this.lastConfirmedAt = requestedAt;
    for (const [key, version] of this.deletedVersions)
      if (version <= this.completeUpTo) this.deletedVersions.delete(key);
    if (this.completeUpTo > reachedRevision) this.onComplete(this.completeUpTo);
  }
}
