/** Keeps the view current: one list, then one watch after another; starts over when the watch is too old. */
import type { Log } from '../log.js';
import type { Clock, Millis } from '../units.js';
import { millis } from '../units.js';
import type { KeyValueClient } from './client.js';
import type { StoreCache } from './cache.js';

const MAX_BACKOFF = 1000;

export class StoreWatcher {
  private backoff = 0;
  /** False while the state service does not answer us. */
  healthy = false;

  constructor(
    private readonly client: KeyValueClient,
    private readonly view: StoreCache,
    private readonly prefix: string,
    private readonly block: Millis,
    /** Least time between two watches that bring news: bounds the requests a busy store costs. */
    private readonly gap: Millis,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly log: Log,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      const wait = this.view.loaded ? await this.watchOnce() : await this.loadOnce();
      if (wait > 0) await new Promise<void>((resolve) => this.clock.after(wait, resolve));
    }
  }

  private async loadOnce(): Promise<Millis> {
    const asked = this.clock.now();
    const listed = await this.client.list(this.prefix);
    if (!listed) return this.failed();
    this.view.load(listed.entries, listed.revision, asked);
    this.succeeded();
    this.log.info({ keys: listed.entries.length, revision: listed.revision }, 'view loaded');
    return millis(0);
  }

  private async watchOnce(): Promise<Millis> {
    const asked = this.clock.now();
    const answer = await this.client.follow(this.prefix, this.view.revision, this.block);
    if (answer === 'too-old') {
      this.view.loaded = false;
      return millis(0);
    }
    if (!answer) return this.failed();
    this.view.follow(answer.news, answer.revision, asked);
    this.succeeded();
    return answer.news.length > 0 ? this.gap : millis(0);
  }

  /** What has changed up to now, without waiting for a change; false: no answer, and the view is as it was. */
  async refresh(): Promise<boolean> {
    if (!this.view.loaded) return false;
    const asked = this.clock.now();
    const answer = await this.client.follow(this.prefix, this.view.revision, millis(0));
    if (!answer || answer === 'too-old' || !this.view.loaded) return false;
    this.view.follow(answer.news, answer.revision, asked);
    return true;
  }

  private succeeded(): void {
    this.backoff = 0;
    if (!this.healthy) this.log.info('state service answers');
    this.healthy = true;
  }

  private failed(): Millis {
    if (this.healthy) this.log.info('state service does not answer');
    this.healthy = false;
    this.backoff = Math.min(MAX_BACKOFF, this.backoff * 2 || 100);
    return millis(this.backoff * (0.5 + this.random()));
  }
}
