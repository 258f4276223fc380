/**
 * Client of the consensus-backed key-value store. It sends each request within this controller's rate limits and
 * reports what the caller may conclude from the outcome; no method rejects. It caches no data: `StoreCache` does.
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
import { QUEUE_TIMEOUT, RateLimitedSender, type HttpTransport } from './rate-limited-sender.js';
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
export type { HttpTransport } from './rate-limited-sender.js';
export type { StoreUsage } from './rate-limits.js';

/** Timeout for the response to one attempt of a request. */
const REQUEST_TIMEOUT = millis(1500);
/** How much longer than its blocking time a watch may take to be answered. */
const WATCH_RESPONSE_MARGIN_MS = 1500;
/** Entries per page of a list; the store has the same limit. */
const LIST_PAGE_SIZE = 1000;

/** Sends requests to the store, returns their outcomes, and exposes its rate limits to other modules. */
export class KeyValueClient {
  private readonly limits: StoreRateLimits;
  private readonly sender: RateLimitedSender;

  /**
   * `watchTransport` has separate connections, because a blocking watch must not delay other requests.
   * `random` is uniformly distributed in [0, 1).
   */
  constructor(
    transport: HttpTransport,
    private readonly watchTransport: HttpTransport,
    clock: Clock,
    settings: Settings,
    random: () => number,
  ) {
    this.limits = new StoreRateLimits(clock, settings);
    this.sender = new RateLimitedSender(transport, this.limits, clock, random);
  }

  /** How long a submission would currently be queued by the rate limiters. */
  get submitWait(): Millis {
    return this.limits.submitWait;
  }

  /** This controller's current use of the store's limits, for announcements to its peers. */
  get usage(): StoreUsage {
    return this.limits.usage;
  }

  /** This controller's own share of the write limit, in changes per second. */
  get writeRate(): number {
    return this.limits.writeRate;
  }

  /** This controller's own share of the request limit, in requests per second. */
  get requestRate(): number {
    return this.limits.requestRate;
  }

  /** Borrows the part of the limits that the peers, according to their announcements, do not use. */
  borrowUnusedLimits(peerUsages: readonly StoreUsage[]): void {
    this.limits.borrowUnused(peerUsages);
  }

  /** Sets how many controllers share the limits now, at least 1. */
  setControllerCount(controllers: number): void {
    this.limits.setControllerCount(controllers);
  }

  /**
   * Applies all changes atomically if every condition holds, and otherwise none. After `unknown` the request may still
   * be applied late, so a retry answered with `conflict` may conflict with its own first attempt.
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
   * Reads every entry below a prefix, page by page. The result has the revision of the first page: changes made while
   * the other pages are read may be missing from the list, and a watch from that revision returns them.
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
      if (!page.hasMore && revision !== null && lastRevision !== null)
        return { kind: 'listed', entries, revision, lastRevision, pages };
    }
  }

  /**
   * Waits until a key below the prefix changes after the given revision, at most for `blockFor`. A rate-limited request
   * is not retried here: the watcher retries after its own backoff.
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

  /** Requests a lease that expires `ttl` after its last renewal, on the store's clock. */
  async grantLease(ttl: Millis): Promise<LeaseGrantResult> {
    const body = encodeTtl(ttl);
    const call: Call = { method: 'POST', path: GRANT_LEASE_PATH, body, timeout: REQUEST_TIMEOUT };
    return toLeaseGrantResult(await this.sender.send(call, RequestPriority.leadership, 0));
  }

  /** Renews a lease: its TTL starts again. */
  async renewLease(lease: LeaseId): Promise<LeaseRenewalResult> {
    const path = renewLeasePath(lease);
    const call: Call = { method: 'POST', path, body: {}, timeout: REQUEST_TIMEOUT };
    return toLeaseRenewalResult(await this.sender.send(call, RequestPriority.leadership, 0));
  }
}
