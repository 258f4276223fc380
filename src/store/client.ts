/**
 * Client of the consensus-backed key-value store. It sends each request within this controller's rate limits and says
 * of each what its caller may conclude; no method rejects. It keeps no data of the store: `StoreCache` does.
 */
import type { Call } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import type { Clock, LeaseId, Millis, Revision, StoreKey } from '../model/units.js';
import { millis } from '../model/units.js';
import {
  isRateLimited,
  toCompareAndSwapResult,
  toEntryPage,
  toLeaseGrantResult,
  toLeaseRenewalResult,
  toReadResult,
  toWatchResult,
  type CompareAndSwapResult,
  type LeaseGrantResult,
  type LeaseRenewalResult,
  type ListResult,
  type ReadResult,
  type WatchResult,
} from './outcomes.js';
import { Listing } from './listing.js';
import { QUEUE_TIMEOUT, RateLimitedSender, type Caller } from './rate-limited-sender.js';
import { RequestPriority } from './rate-limiter.js';
import { StoreRateLimits, type StoreUsage } from './rate-limits.js';
import {
  COMPARE_AND_SWAP_PATH,
  encodeCompareAndSwap,
  encodeTtl,
  GRANT_LEASE_PATH,
  keyPath,
  listPath,
  renewLeasePath,
  watchPath,
  type Change,
  type Condition,
} from './wire.js';

export type { CompareAndSwapResult, ReadResult } from './outcomes.js';
export type { Caller } from './rate-limited-sender.js';
export type { StoreUsage } from './rate-limits.js';

/** How long the answer to one attempt of a request may take. */
const REQUEST_TIMEOUT = millis(1500);
/** How much longer than it may block a watch's answer may take, in milliseconds. */
const WATCH_RESPONSE_MARGIN_MS = 1500;
/** Entries a page of a list; the store's own limit is the same. */
const LIST_PAGE_SIZE = 1000;

/** The requests to the store and their outcomes, and what other modules need to know of its rate limits. */
export class KeyValueClient {
  private readonly limits: StoreRateLimits;
  private readonly sender: RateLimitedSender;

  /**
   * `watchTransport` has connections of its own: a watch that blocks must not keep other requests from being sent.
   * `random` is evenly distributed from 0 to below 1.
   */
  constructor(
    transport: Caller,
    private readonly watchTransport: Caller,
    clock: Clock,
    settings: Settings,
    random: () => number,
  ) {
    this.limits = new StoreRateLimits(clock, settings);
    this.sender = new RateLimitedSender(transport, this.limits, clock, random);
  }

  /** How long a submission would be queued for the rate limits. */
  get submitWait(): Millis {
    return this.limits.submitWait;
  }

  /** What this controller draws of the store's limits at present, for its peers. */
  get usage(): StoreUsage {
    return this.limits.usage;
  }

  /** Changes a second that are this controller's own share. */
  get writeRate(): number {
    return this.limits.writeRate;
  }

  /** Requests a second that are this controller's own share. */
  get requestRate(): number {
    return this.limits.requestRate;
  }

  /** Borrows what the peers, by their own word, leave of the limits. */
  borrowUnusedLimits(peerUsages: readonly StoreUsage[]): void {
    this.limits.borrowUnused(peerUsages);
  }

  /** Sets how many controllers draw on the limits now, at least 1. */
  setControllerCount(controllers: number): void {
    this.limits.setControllerCount(controllers);
  }

  /**
   * Applies all changes at once if every condition holds, and otherwise none. After `unknown` the request may be carried
   * out late: a repetition answered with `conflict` may have met its own first copy.
   */
  async compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
  ): Promise<CompareAndSwapResult> {
    const body = encodeCompareAndSwap(conditions, changes);
    const call: Call = { method: 'POST', path: COMPARE_AND_SWAP_PATH, body, timeout: REQUEST_TIMEOUT };
    return toCompareAndSwapResult(await this.sender.send(call, priority, changes.length));
  }

  /** Reads one key from the store. */
  async get(key: StoreKey, priority: RequestPriority): Promise<ReadResult> {
    const call: Call = { method: 'GET', path: keyPath(key), timeout: REQUEST_TIMEOUT };
    return toReadResult(await this.sender.send(call, priority, 0), key);
  }

  /**
   * Reads every entry below a prefix, page by page. The revision is the first page's: what changes while the others are
   * read may be missing from the list, and a watch from the first page's revision shows it.
   */
  async list(prefix: string): Promise<ListResult> {
    const listing = new Listing();
    for (;;) {
      const path = listPath(prefix, listing.after, LIST_PAGE_SIZE);
      const call: Call = { method: 'GET', path, timeout: REQUEST_TIMEOUT };
      const page = toEntryPage(await this.sender.send(call, RequestPriority.leadership, 0));
      if (!page) return { kind: 'failed' };
      const defect = listing.addPage(page);
      if (defect) return { kind: 'inconsistent', defect };
      const { entries, revision, lastRevision, pages } = listing;
      if (!page.more && revision !== null && lastRevision !== null)
        return { kind: 'listed', entries, revision, lastRevision, pages };
    }
  }

  /**
   * Waits until something below the prefix changes after the given revision, at most for `blockFor`. A refusal for the
   * rate limit is not retried here: the watcher does so after its own pause.
   */
  async watch(prefix: string, after: Revision, blockFor: Millis): Promise<WatchResult> {
    const { requests } = this.limits;
    if (!(await requests.acquire(1, RequestPriority.leadership, QUEUE_TIMEOUT))) return { kind: 'failed' };
    const path = watchPath(prefix, after, blockFor);
    const timeout = millis(blockFor + WATCH_RESPONSE_MARGIN_MS);
    const outcome = await this.watchTransport.call({ method: 'GET', path, timeout });
    if (isRateLimited(outcome)) requests.penalize();
    return toWatchResult(outcome);
  }

  /** Asks for a lease that expires `ttl` after its last renewal, by the store's clock. */
  async grantLease(ttl: Millis): Promise<LeaseGrantResult> {
    const body = encodeTtl(ttl);
    const call: Call = { method: 'POST', path: GRANT_LEASE_PATH, body, timeout: REQUEST_TIMEOUT };
    return toLeaseGrantResult(await this.sender.send(call, RequestPriority.leadership, 0));
  }

  /** Starts a lease's time again. */
  async renewLease(lease: LeaseId): Promise<LeaseRenewalResult> {
    const path = renewLeasePath(lease);
    const call: Call = { method: 'POST', path, body: {}, timeout: REQUEST_TIMEOUT };
    return toLeaseRenewalResult(await this.sender.send(call, RequestPriority.leadership, 0));
  }
}
