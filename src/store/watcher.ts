/**
 * Keeps the watch cache current: one list, then one watch after another, and a new list when the store no longer keeps
 * the changes since the cache's revision. It relies on the client for the rate limits and paces itself beyond them.
 */
import type { Log } from '../logging/log.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import type { KeyValueClient } from './client.js';
import type { StoreCache } from './cache.js';
import { applyChanges } from './listing.js';
import type { ListResult } from './outcomes.js';
import { sleep } from './sleep.js';

/** The pause after a failure doubles from the first to the second; each is drawn from half to one and a half times it. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;
const MIN_BACKOFF_JITTER = 0.5;
const NO_DELAY = millis(0);

/** How often the changes between the pages of a list are asked for before the list is read again. */
const MAX_COMPLETION_ATTEMPTS = 10;

type Snapshot = Extract<ListResult, { kind: 'listed' }>;
type CompleteSnapshot = Pick<Snapshot, 'entries' | 'revision'>;

/** Fills one cache from one prefix of the store, for as long as the process runs. */
export class StoreWatcher {
  private backoffMs = 0;
  /** False until the store first answers, and while it does not answer this controller. */
  healthy = false;

  constructor(
    private readonly client: Pick<KeyValueClient, 'list' | 'watch'>,
    private readonly cache: StoreCache,
    private readonly prefix: string,
    /** How long a watch may wait in the store for a change. */
    private readonly blockFor: Millis,
    /** The pause after a watch that brought changes: bounds the requests that a busy store costs. */
    private readonly minInterval: Millis,
    private readonly clock: Clock,
    /** Evenly distributed from 0 to below 1. */
    private readonly random: () => number,
    private readonly log: Log,
  ) {}

  /** Lists and watches without end; every failure is followed by a pause and another attempt. */
  async run(): Promise<never> {
    for (;;) {
      const delay = this.cache.loaded ? await this.watchOnce() : await this.loadOnce();
      if (delay > 0) await sleep(this.clock, delay);
    }
  }

  /**
   * Brings the cache up to now without waiting for a change. False: the store did not show that the cache is current,
   * and the cache is as it was.
   */
  async refresh(): Promise<boolean> {
    if (!this.cache.loaded) return false;
    const requestedAt = this.clock.now();
    const result = await this.client.watch(this.prefix, this.cache.revision, NO_DELAY);
    // The run loop may have found the cache's revision compacted in the meantime: events alone cannot complete it then.
    if (result.kind !== 'watched' || !this.cache.loaded) return false;
    this.cache.applyEvents(result.events, result.revision, requestedAt);
    return true;
  }

  /** Loads the whole list; how long to wait before the next request. */
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
   * The list as of one revision: with the changes made while its pages were read. null: they are not known, and the pages
   * alone do not say what is absent.
   *
   * Prevents: a page shows that this process leads a shard, an earlier one lacks a job of the shard, and the job is taken
   * for one that has ended.
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

  /** Applies one watch; how long to wait before the next request. */
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

  /** How long to wait before the next request. */
  private recordFailure(): Millis {
    if (this.healthy) this.log.info('store does not answer');
    this.healthy = false;
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2 || MIN_BACKOFF_MS);
    return millis(this.backoffMs * (MIN_BACKOFF_JITTER + this.random()));
  }
}
