/**
 * This controller's use of the store's two rate limits, for requests and for changes. The limits apply to all
 * controllers together: each controller has an equal share, borrows what its peers announce as unused, and lowers its
 * share once the store's rejections show that the lower limits from the settings have come into force.
 */
import type { Settings } from '../settings/settings.js';
import type { Clock, Millis, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import { RateLimiter, RequestPriority } from './rate-limiter.js';

/** A controller's use of the store's limits, in requests and changes per second. */
export interface StoreUsage {
  readonly requests: number;
  readonly writes: number;
}

/** Usable fraction of each limit; the rest is a margin because the store measures its limits on another clock. */
const USABLE_LIMIT_SHARE = 0.9;
/** The largest fraction of a whole limit that one controller may use through borrowing. */
const MAX_BORROWED_SHARE = 0.5;
/** Factor applied to the announced use of peers, which is out of date and may have grown since. */
const PEER_USAGE_FACTOR = 1.2;
/** Minimum burst in requests or changes: enough for a failover or the end of a job. */
const MIN_BURST = 3;

/**
 * The lower limits are in force after this many rate-limit rejections, each within the interval of the previous one.
 */
const REJECTIONS_SHOWING_LOWER_LIMITS = 3;
const MAX_REJECTION_INTERVAL_MS = 3000;

/** Holds the rate limiters for requests and for changes, and sets their rates. */
export class StoreRateLimits {
  /** Every request costs one token. */
  readonly requests: RateLimiter;
  /** Every key put or deleted costs one token, in addition to the token of its request. */
  readonly writes: RateLimiter;
  private controllers: number;
  private lowerLimitsInForce = false;
  private recentRejections = 0;
  private lastRejectionAt: SteadyMs | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly settings: Settings,
  ) {
    this.controllers = settings.shards.length;
    this.requests = new RateLimiter(clock, this.requestRate, MIN_BURST);
    this.writes = new RateLimiter(clock, this.writeRate, MIN_BURST);
  }

  /** This controller's own share of the request limit, in requests per second. */
  get requestRate(): number {
    return (this.requestLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** This controller's own share of the write limit, in changes per second. */
  get writeRate(): number {
    return (this.writeLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** This controller's current use of the limits, for announcements to its peers. */
  get usage(): StoreUsage {
    return { requests: this.requests.usagePerSecond, writes: this.writes.usagePerSecond };
  }

  /** How long a submission, which is one request with one change, would currently be queued. */
  get submitWait(): Millis {
    return millis(
      Math.max(
        this.writes.estimateWait(1, RequestPriority.submission),
        this.requests.estimateWait(1, RequestPriority.submission),
      ),
    );
  }

  /** Sets how many controllers share the limits now, and ends borrowing. */
  setControllerCount(controllers: number): void {
    this.controllers = controllers;
    this.requests.setRate(this.requestRate);
    this.writes.setRate(this.writeRate);
  }

  /**
   * Borrows the part of the limits that the peers do not use. The rates never fall below this controller's own share.
   */
  borrowUnused(peerUsages: readonly StoreUsage[]): void {
    const peerRequests = peerUsages.reduce((total, usage) => total + usage.requests, 0);
    this.requests.setRate(rateWithBorrowing(this.requestLimit, this.requestRate, peerRequests));
    const peerWrites = peerUsages.reduce((total, usage) => total + usage.writes, 0);
    this.writes.setRate(rateWithBorrowing(this.writeLimit, this.writeRate, peerWrites));
  }

  /**
   * Records that the store rejected a request for the limit that `limiter` enforces, and pauses that limiter briefly.
   */
  recordRejection(limiter: RateLimiter): void {
    this.countRejection();
    if (!this.lowerLimitsInForce && this.recentRejections >= REJECTIONS_SHOWING_LOWER_LIMITS) {
      this.lowerLimitsInForce = true;
      this.setControllerCount(this.controllers);
    }
    limiter.penalize();
  }

  private countRejection(): void {
    const now = this.clock.now();
    const isRepeated =
      this.lastRejectionAt !== null && now - this.lastRejectionAt < MAX_REJECTION_INTERVAL_MS;
    this.recentRejections = isRepeated ? this.recentRejections + 1 : 1;
    this.lastRejectionAt = now;
  }

  private get requestLimit(): number {
    return this.lowerLimitsInForce ? this.settings.nextStoreRps : this.settings.storeRps;
  }

  private get writeLimit(): number {
    return this.lowerLimitsInForce ? this.settings.nextStoreWriteRps : this.settings.storeWriteRps;
  }
}

/** Returns one controller's rate when its peers use `usedByPeers` of a limit. All amounts are per second. */
function rateWithBorrowing(limit: number, ownShare: number, usedByPeers: number): number {
  const unused = limit * USABLE_LIMIT_SHARE - usedByPeers * PEER_USAGE_FACTOR;
  return Math.max(ownShare, Math.min(limit * MAX_BORROWED_SHARE, unused));
}
