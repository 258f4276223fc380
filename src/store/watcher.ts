/** Keeps the view current: one list, then one watch after another; starts over when the watch is too old. */
import type { Log } from '../logging/log.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import type { KeyValueClient } from './client.js';
import type { StoreCache } from './cache.js';

const MAX_BACKOFF_MS = 1000;

export class StoreWatcher {
  private backoffMs = 0;
  /** False while the state service does not answer us. */
  healthy = false;

  constructor(
    private readonly client: KeyValueClient,
    private readonly cache: StoreCache,
    private readonly prefix: string,
    private readonly blockFor: Millis,
    /** Least time between two watches that bring news: bounds the requests a busy store costs. */
    private readonly minInterval: Millis,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly log: Log,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      const delay = this.cache.loaded ? await this.watchOnce() : await this.loadOnce();
      if (delay > 0) await new Promise<void>((resolve) => this.clock.after(delay, resolve));
    }
  }

  private async loadOnce(): Promise<Millis> {
    const requestedAt = this.clock.now();
    const snapshot = await this.client.list(this.prefix);
    if (!snapshot) return this.failed();
    this.cache.loadSnapshot(snapshot.entries, snapshot.revision, requestedAt);
    this.succeeded();
    this.log.info({ keys: snapshot.entries.length, revision: snapshot.revision }, 'view loaded');
    return millis(0);
  }

  private async watchOnce(): Promise<Millis> {
    const requestedAt = this.clock.now();
    const answer = await this.client.watch(this.prefix, this.cache.revision, this.blockFor);
    if (answer === 'too-old') {
      this.cache.loaded = false;
      return millis(0);
    }
    if (!answer) return this.failed();
    this.cache.applyEvents(answer.events, answer.revision, requestedAt);
    this.succeeded();
    return answer.events.length > 0 ? this.minInterval : millis(0);
  }

  /** What has changed up to now, without waiting for a change; false: no answer, and the view is as it was. */
  async refresh(): Promise<boolean> {
    if (!this.cache.loaded) return false;
    const requestedAt = this.clock.now();
    const answer = await this.client.watch(this.prefix, this.cache.revision, millis(0));
    if (!answer || answer === 'too-old' || !this.cache.loaded) return false;
    this.cache.applyEvents(answer.events, answer.revision, requestedAt);
    return true;
  }

  private succeeded(): void {
    this.backoffMs = 0;
    if (!this.healthy) this.log.info('state service answers');
    this.healthy = true;
  }

  private failed(): Millis {
    if (this.healthy) this.log.info('state service does not answer');
    this.healthy = false;
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2 || 100);
    return millis(this.backoffMs * (0.5 + this.random()));
  }
}
