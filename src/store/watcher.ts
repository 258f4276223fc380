/**
 * Keeps the watch cache current: one list, then one watch after another, and a new list when the store no longer keeps
 * the changes since the cache's revision. It relies on the client for the rate limits and paces itself beyond them.
 */
import type { Log } from '../logging/log.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import type { KeyValueClient } from './client.js';
import type { StoreCache } from './cache.js';
import { sleep } from './sleep.js';

/** The pause after a failure doubles from the first to the second; each is drawn from half to one and a half times it. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;
const MIN_BACKOFF_JITTER = 0.5;
const NO_DELAY = millis(0);

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
    if (snapshot.kind === 'failed') return this.recordFailure();
    this.cache.loadSnapshot(snapshot.entries, snapshot.revision, requestedAt);
    this.recordSuccess();
    const { entries, pages, revision, lastRevision } = snapshot;
    const durationMs = this.clock.now() - requestedAt;
    this.log.info({ keys: entries.length, pages, revision, lastRevision, durationMs }, 'watch cache loaded');
    return NO_DELAY;
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
