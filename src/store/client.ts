/** Client of the state service: says for every request whether it was carried out, was not, or may have been. */
import type { Call, CallOutcome } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import type { Clock, LeaseId, Millis, Revision, StoreKey } from '../model/units.js';
import { millis, steady } from '../model/units.js';
import { RateLimiter, RequestPriority } from './rate-limiter.js';
import {
  decodeConflict,
  decodeEntry,
  decodeLease,
  decodeWatchResponse,
  decodePage,
  decodeRevision,
  encodeTtl,
  encodeCompareAndSwap,
  watchPath,
  keyPath,
  listPath,
  type Change,
  type Condition,
  type Entry,
  type WatchEvent,
} from './wire.js';

export type CompareAndSwapResult =
  | { readonly kind: 'done'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly failed: readonly StoreKey[] }
  /** Certainly not carried out: refused, over a limit, or never sent. */
  | { readonly kind: 'refused' }
  /** May have been carried out, or may be later. */
  | { readonly kind: 'unknown' };

export type ReadResult =
  | { readonly kind: 'found'; readonly entry: Entry }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed' };

/** Requests and changes a second. */
export interface StoreUsage {
  readonly requests: number;
  readonly writes: number;
}

export interface Caller {
  call(call: Call): Promise<CallOutcome>;
}

const REQUEST_TIMEOUT = millis(1500);
/** How long a request may wait for its turn in all, and how often it is sent again after a 429. */
const QUEUE_TIMEOUT = millis(1200);
const MAX_RETRIES = 4;
/** The limits are counted by another clock than ours: not all of them is used. */
const USABLE_LIMIT_SHARE = 0.9;
const MAX_BORROWED_SHARE = 0.5;
/** Enough for a claim or the end of a job. */
const MIN_BURST = 3;

/** So many refusals for a limit, each within this time of the one before, show that the limits to come hold by now. */
const REFUSALS_OF_LOWER_LIMITS = 3;
const REFUSALS_WITHIN_MS = 3000;

export class KeyValueClient {
  private readonly requestLimiter: RateLimiter;
  private readonly writeLimiter: RateLimiter;
  private controllers: number;
  /** The limits to come hold by now. */
  private limitsLowered = false;
  private refusals = 0;
  private lastRefusal = steady(-Infinity);

  constructor(
    private readonly http: Caller,
    private readonly watchHttp: Caller,
    private readonly clock: Clock,
    private readonly settings: Settings,
    private readonly random: () => number,
  ) {
    this.controllers = settings.shards.length;
    this.requestLimiter = new RateLimiter(clock, this.requestRate, MIN_BURST);
    this.writeLimiter = new RateLimiter(clock, this.writeRate, MIN_BURST);
  }

  /** How long a submission would wait for its turn. */
  get submitWait(): Millis {
    return millis(
      Math.max(
        this.writeLimiter.estimateWait(1, RequestPriority.submission),
        this.requestLimiter.estimateWait(1, RequestPriority.submission),
      ),
    );
  }

  /** What this controller draws of the limits, for its peers. */
  get usage(): StoreUsage {
    return { requests: this.requestLimiter.usagePerSecond, writes: this.writeLimiter.usagePerSecond };
  }

  /** What the others said they draw: what they leave may be borrowed, up to a half of everything. */
  borrowUnusedLimits(usages: readonly StoreUsage[]): void {
    const borrow = (limit: number, ownShare: number, used: number): number =>
      Math.max(ownShare, Math.min(limit * MAX_BORROWED_SHARE, limit * USABLE_LIMIT_SHARE - used * 1.2));
    const sum = (of: (u: StoreUsage) => number): number => usages.reduce((total, u) => total + of(u), 0);
    this.requestLimiter.setRate(
      borrow(
        this.requestLimit,
        this.requestRate,
        sum((u) => u.requests),
      ),
    );
    this.writeLimiter.setRate(
      borrow(
        this.writeLimit,
        this.writeRate,
        sum((u) => u.writes),
      ),
    );
  }

  private get writeLimit(): number {
    return this.limitsLowered ? this.settings.nextStoreWriteRps : this.settings.storeWriteRps;
  }

  private get requestLimit(): number {
    return this.limitsLowered ? this.settings.nextStoreRps : this.settings.storeRps;
  }

  /** Changes a second that are this controller's own. */
  get writeRate(): number {
    return (this.writeLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** Requests a second that are this controller's own. */
  get requestRate(): number {
    return (this.requestLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** Refused for a limit: once it shows that the limits have come down, so do our shares. */
  private recordRefusal(): void {
    const now = this.clock.now();
    this.refusals = now - this.lastRefusal < REFUSALS_WITHIN_MS ? this.refusals + 1 : 1;
    this.lastRefusal = now;
    if (this.limitsLowered || this.refusals < REFUSALS_OF_LOWER_LIMITS) return;
    this.limitsLowered = true;
    this.setControllerCount(this.controllers);
  }

  /** How many controllers draw on the limits now. */
  setControllerCount(controllers: number): void {
    this.controllers = controllers;
    this.requestLimiter.setRate(this.requestRate);
    this.writeLimiter.setRate(this.writeRate);
  }

  private sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => this.clock.after(delay, resolve));
  }

  /** One request within the budget; a 429 is repeated a few times, everything else is the caller's. */
  private async request(call: Call, priority: RequestPriority, writes: number): Promise<CallOutcome> {
    const deadline = this.clock.now() + QUEUE_TIMEOUT;
    const remaining = (): Millis => millis(Math.max(0, deadline - this.clock.now()));
    for (let attempt = 0; ; attempt += 1) {
      if (writes > 0 && !(await this.writeLimiter.acquire(writes, priority, remaining())))
        return { kind: 'unsent' };
      if (!(await this.requestLimiter.acquire(1, priority, remaining()))) return { kind: 'unsent' };
      const outcome = await this.http.call(call);
      if (outcome.kind !== 'answer' || outcome.status !== 429) return outcome;
      this.recordRefusal();
      (writes > 0 ? this.writeLimiter : this.requestLimiter).penalize();
      if (attempt >= MAX_RETRIES) return outcome;
      await this.sleep(millis(50 + 150 * this.random()));
    }
  }

  async compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
  ): Promise<CompareAndSwapResult> {
    const body = encodeCompareAndSwap(conditions, changes);
    const outcome = await this.request(
      { method: 'POST', path: '/txn', body, timeout: REQUEST_TIMEOUT },
      priority,
      changes.length,
    );
    if (outcome.kind === 'unknown') return { kind: 'unknown' };
    if (outcome.kind === 'unsent') return { kind: 'refused' };
    if (outcome.status === 200) {
      const revision = decodeRevision(outcome.body);
      return revision === null ? { kind: 'unknown' } : { kind: 'done', revision };
    }
    if (outcome.status === 409) {
      const failed = decodeConflict(outcome.body);
      return failed === null ? { kind: 'unknown' } : { kind: 'conflict', failed };
    }
    // 503, 429 and 400 are stated not to be carried out; any other status says nothing.
    return [400, 429, 503].includes(outcome.status) ? { kind: 'refused' } : { kind: 'unknown' };
  }

  async get(key: StoreKey, priority: RequestPriority): Promise<ReadResult> {
    const outcome = await this.request(
      { method: 'GET', path: keyPath(key), timeout: REQUEST_TIMEOUT },
      priority,
      0,
    );
    if (outcome.kind !== 'answer') return { kind: 'failed' };
    if (outcome.status === 404 && decodeRevision(outcome.body) !== null) return { kind: 'absent' };
    const entry = outcome.status === 200 ? decodeEntry(outcome.body) : null;
    return entry && entry.key === key ? { kind: 'found', entry } : { kind: 'failed' };
  }

  /** Every entry below a prefix, with the revision from which to follow. */
  async list(prefix: string): Promise<{ entries: Entry[]; revision: Revision } | null> {
    const entries: Entry[] = [];
    let firstRevision: Revision | null = null;
    let after: string | null = null;
    for (;;) {
      const path = listPath(prefix, after, 1000);
      const outcome = await this.request(
        { method: 'GET', path, timeout: REQUEST_TIMEOUT },
        RequestPriority.leadership,
        0,
      );
      if (outcome.kind !== 'answer' || outcome.status !== 200) return null;
      const page = decodePage(outcome.body);
      if (!page) return null;
      firstRevision ??= page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision: firstRevision };
      after = last.key;
    }
  }

  async watch(
    prefix: string,
    after: Revision,
    blockFor: Millis,
  ): Promise<{ events: WatchEvent[]; revision: Revision } | 'too-old' | null> {
    if (!(await this.requestLimiter.acquire(1, RequestPriority.leadership, QUEUE_TIMEOUT))) return null;
    const timeout = millis(blockFor + 1500);
    const outcome = await this.watchHttp.call({
      method: 'GET',
      path: watchPath(prefix, after, blockFor),
      timeout,
    });
    if (outcome.kind !== 'answer') return null;
    if (outcome.status === 410) return 'too-old';
    if (outcome.status === 429) this.requestLimiter.penalize();
    return outcome.status === 200 ? decodeWatchResponse(outcome.body) : null;
  }

  async grantLease(ttl: Millis): Promise<LeaseId | null> {
    const call: Call = { method: 'POST', path: '/leases', body: encodeTtl(ttl), timeout: REQUEST_TIMEOUT };
    const outcome = await this.request(call, RequestPriority.leadership, 0);
    return outcome.kind === 'answer' && outcome.status === 200 ? decodeLease(outcome.body) : null;
  }

  async renewLease(lease: LeaseId): Promise<'renewed' | 'gone' | 'failed'> {
    const call: Call = { method: 'POST', path: `/leases/${lease}/renew`, body: {}, timeout: REQUEST_TIMEOUT };
    const outcome = await this.request(call, RequestPriority.leadership, 0);
    if (outcome.kind !== 'answer') return 'failed';
    if (outcome.status === 200) return 'renewed';
    return outcome.status === 404 ? 'gone' : 'failed';
  }
}
