/**
 * This controller's copy of what the key-value store holds below one prefix. It may be behind the store, and never goes
 * back: every key has the version it was read at, and facts of an older version change nothing. It sends no requests;
 * `StoreWatcher` updates it, and so does whoever reads or writes a key.
 */
import type { Revision, StoreKey, SteadyMs } from '../model/units.js';
import { NO_REVISION, steady } from '../model/units.js';
import type { Entry, WatchEvent } from './wire.js';

/** Called when the cache has become complete up to a later revision, after the changes up to there. */
export type OnComplete = (revision: Revision) => void;

/** Called for every change of the cache, once it is made; a `value` of undefined: the key was deleted. */
export type OnChange = (key: StoreKey, value: unknown, version: Revision) => void;

/** Earlier than every time of the clock: whatever asks how old the cache is finds it too old. */
const NEVER_CONFIRMED = steady(-Infinity);

/** The first two segments of a key with their slashes, like `c/live/`; an empty string for a key without them. */
const groupPrefix = (key: StoreKey): string => key.slice(0, key.indexOf('/', key.indexOf('/') + 1) + 1);

/** The latest known entry of every key below one prefix. */
export class StoreCache {
  private readonly entries = new Map<StoreKey, Entry>();
  /** The same entries by group: one group is read without looking at all others. */
  private readonly groups = new Map<string, Map<StoreKey, Entry>>();
  /**
   * Versions of deletions that are newer than `revision`: without them, a read answered late with an older version would
   * bring the key back.
   */
  private readonly deletedVersions = new Map<StoreKey, Revision>();
  private completeUpTo: Revision = NO_REVISION;
  private lastConfirmedAt: SteadyMs = NEVER_CONFIRMED;
  private hasSnapshot = false;

  constructor(
    private readonly onChange: OnChange,
    private readonly onComplete: OnComplete = () => undefined,
  ) {}

  /** Up to this revision the cache lacks no change; it may know some later ones. */
  get revision(): Revision {
    return this.completeUpTo;
  }

  /** A time of this process's clock at which the store held nothing newer than `revision`. */
  get confirmedAt(): SteadyMs {
    return this.lastConfirmedAt;
  }

  /** Whether a complete list has been loaded and watches can continue from `revision`. */
  get loaded(): boolean {
    return this.hasSnapshot;
  }

  /** The store no longer keeps the changes since `revision`: only another list completes the cache. */
  invalidate(): void {
    this.hasSnapshot = false;
  }

  /** The latest known entry; undefined when the key is not known to exist. */
  get(key: StoreKey): Entry | undefined {
    return this.entries.get(key);
  }

  /** The version of the latest known entry; `NO_REVISION` when the key is not known to exist. */
  version(key: StoreKey): Revision {
    return this.entries.get(key)?.version ?? NO_REVISION;
  }

  /** Entries of one group; `prefix` is its two segments with the closing slash, like `c/live/`. */
  *entriesUnder(prefix: string): Generator<Entry> {
    yield* this.groups.get(prefix)?.values() ?? [];
  }

  /**
   * Takes in one fact, from a watch, a read, or a committed write; a `value` of undefined: the key was deleted. Facts up to
   * `revision` change nothing, as the cache is complete up to there. This prevents: a read is sent, the key is deleted and
   * the watch shows it, and then the read is answered and would bring the key back.
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
   * Takes in the events of a watch that was sent at `requestedAt` and is complete up to `revision`. Two watches may
   * cross: events of the one answered late, up to the revision that the other has reached, are known already, also those
   * of keys that have been deleted since.
   */
  applyEvents(events: readonly WatchEvent[], revision: Revision, requestedAt: SteadyMs): void {
    const reachedRevision = this.completeUpTo;
    for (const event of events)
      if (event.version > reachedRevision) this.apply(event.key, event.value, event.version);
    this.advance(revision, requestedAt);
  }

  /**
   * Takes in a complete list that was requested at `requestedAt`. Keys that it lacks, and that are not newer than its
   * revision, have been deleted.
   */
  loadSnapshot(entries: readonly Entry[], revision: Revision, requestedAt: SteadyMs): void {
    const present = new Set(entries.map((entry) => entry.key));
    for (const entry of [...this.entries.values()]) {
      if (!present.has(entry.key) && entry.version <= revision) this.apply(entry.key, undefined, revision);
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
