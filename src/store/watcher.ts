/**
 * Keeps the watch cache current: loads a list, then sends one watch after another, and loads a new list when the store
 * has compacted the changes since the cache's revision. The client enforces the rate limits; the watcher adds delays
 * after failures and after watches that returned changes.
 */
import type { Log } from '../logging/log.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import type { KeyValueClient } from './client.js';
import type { StoreCache } from './cache.js';
import { applyChanges } from './listing.js';
import type { ListResult } from './outcomes.js';
import { sleep } from './sleep.js';

/** The backoff doubles after each failure from the minimum to the maximum, with a jitter factor from 0.5 to 1.5. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;
const MIN_BACKOFF_JITTER = 0.5;
const NO_DELAY = millis(0);

/** How many times the changes between the pages of a list are requested before the list is read again. */
const MAX_COMPLETION_ATTEMPTS = 10;

type Snapshot = Extract<ListResult, { kind: 'listed' }>;
type CompleteSnapshot = Pick<Snapshot, 'entries' | 'revision'>;

/** Keeps one cache in sync with one prefix of the store, for as long as the process runs. */
export class StoreWatcher {
  private backoffMs = 0;
  /** Whether the store answers this controller; false until the first response. */
  healthy = false;

  constructor(
    private readonly client: Pick<KeyValueClient, 'list' | 'watch'>,
    private readonly cache: StoreCache,
    private readonly prefix: string,
    /** How long a watch may block in the store until a change occurs. */
    private readonly blockFor: Millis,
    /** The delay after a watch that returned changes; limits the request rate when the store changes often. */
    private readonly minInterval: Millis,
    private readonly clock: Clock,
    /** Uniformly distributed in [0, 1). */
    private readonly random: () => number,
    private readonly log: Log,
  ) {}

  /** Lists and watches in an endless loop; retries failures after a backoff. */
  async run(): Promise<never> {
    for (;;) {
      const delay = this.cache.loaded ? await this.watchOnce() : await this.loadOnce();
      if (delay > 0) await sleep(this.clock, delay);
    }
  }

  /**
   * Brings the cache up to date without waiting for a change. Returns false if the store did not confirm that the cache
   * is current; the cache is unchanged then.
   */
  async refresh(): Promise<boolean> {
    if (!this.cache.loaded) return false;
    const requestedAt = this.clock.now();
    const result = await this.client.watch(this.prefix, this.cache.revision, NO_DELAY);
    // If the run loop has found the cache's revision compacted in the meantime, events alone cannot complete the cache.
    if (result.kind !== 'watched' || !this.cache.loaded) return false;
    this.cache.applyEvents(result.events, result.revision, requestedAt);
    return true;
  }

  /** Loads the whole list. Returns the delay before the next request. */
  private async loadOnce(): Promise<Millis> {
    const requestedAt = this.clock.now();
    const snapshot = await this.client.list(this.prefix);
    if (snapshot.kind === 'inconsistent') this.log.error({ defect: snapshot.defect }, 'list is inconsistent');
    if (snapshot.kind !== 'listed') return this.recordFailure();
    const completed = await this.completeSnapshot(snapshot);
    if (!completed) return this.recordFailure();
    this.cache.loadSnapshot(completed.entries, completed.revision, requestedAt);
    this.recordSuccess();
    const { entries, pages, revision, lastRevision } = snapshot;
    const durationMs = this.clock.now() - requestedAt;
    this.log.info({ keys: entries.length, pages, revision, lastRevision, durationMs }, 'watch cache loaded');
    return NO_DELAY;
  }

  /**
   * Returns the list at one revision, with the changes that were made while its pages were read. Returns null if these
   * changes are not known: the pages alone do not show which keys are absent.
   *
   * Prevents: a page shows that this process leads a shard, an earlier page lacks a job of the shard, and the job is
   * assumed to have ended.
   */
  private async completeSnapshot(snapshot: Snapshot): Promise<CompleteSnapshot | null> {
    const { entries, revision, lastRevision } = snapshot;
    if (revision === lastRevision) return { entries, revision };
    for (let attempt = 0; attempt < MAX_COMPLETION_ATTEMPTS; attempt += 1) {
      const changes = await this.client.watch(this.prefix, revision, NO_DELAY);
      if (changes.kind === 'compacted') return null;
      if (changes.kind === 'watched' && changes.revision >= lastRevision)
        return { entries: applyChanges(entries, changes.events), revision: changes.revision };
      await sleep(this.clock, millis(MIN_BACKOFF_MS));
    }
    return null;
  }

  /** Sends one watch and applies its events. Returns the delay before the next request. */
  private async watchOnce(): Promise<Millis> {
    const requestedAt = this.clock.now();
    const result = await this.client.watch(this.prefix, this.cache.revision, this.blockFor);
    switch (result.kind) {
      case 'compacted':
        this.cache.invalidate();
        return NO_DELAY;
      case 'failed':
        return this.recordFailure();
      case 'watched':
        if (result.revision < this.cache.revision) return this.recordFailure();
        this.cache.applyEvents(result.events, result.revision, requestedAt);
        this.recordSuccess();
        return result.events.length > 0 ? this.minInterval : NO_DELAY;
    }
  }

  private recordSuccess(): void {
    this.backoffMs = 0;
    if (!this.healthy) this.log.info('store answers');
    this.healthy = true;
  }

  /** Records that a request failed. Returns the delay before the next request. */
  private recordFailure(): Millis {
    if (this.healthy) this.log.info('store does not answer');
    this.healthy = false;
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2 || MIN_BACKOFF_MS);
    return millis(this.backoffMs * (MIN_BACKOFF_JITTER + this.random()));
  }
}
