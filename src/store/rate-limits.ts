/**
 * This controller's use of the store's two rate limits, for requests and for changes. The limits hold for all
 * controllers together: each has an equal share, borrows what its peers say they leave unused, and lowers its shares
 * once the store's refusals show that lower limits, announced in the settings, have come into force.
 */
import type { Settings } from '../settings/settings.js';
import type { Clock, Millis, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import { RateLimiter, RequestPriority } from './rate-limiter.js';

/** What a controller draws of the store's limits: requests and changes a second. */
export interface StoreUsage {
  readonly requests: number;
  readonly writes: number;
}

/** The store counts its limits by another clock than this one: not all of them is used. */
const USABLE_LIMIT_SHARE = 0.9;
/** The largest share of a whole limit that one controller may borrow up to. */
const MAX_BORROWED_SHARE = 0.5;
/** Peers' use is told late and may have grown since: it is counted with this factor. */
const PEER_USAGE_FACTOR = 1.2;
/** Requests or changes that may always be sent at once: enough for a failover or the end of a job. */
const MIN_BURST = 3;

/** So many refusals for a limit, each within this time of the one before, show that the lower limits are in force. */
const REFUSALS_SHOWING_LOWER_LIMITS = 3;
const MAX_REFUSAL_INTERVAL_MS = 3000;

/** The rate limiters for requests and for changes, and the rates at which they are refilled. */
export class StoreRateLimits {
  /** Each request costs one, whatever it does. */
  readonly requests: RateLimiter;
  /** Each key put or deleted costs one, beside its request. */
  readonly writes: RateLimiter;
  private controllers: number;
  private lowerLimitsInForce = false;
  private recentRefusals = 0;
  private lastRefusalAt: SteadyMs | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly settings: Settings,
  ) {
    this.controllers = settings.shards.length;
    this.requests = new RateLimiter(clock, this.requestRate, MIN_BURST);
    this.writes = new RateLimiter(clock, this.writeRate, MIN_BURST);
  }

  /** Requests a second that are this controller's own share. */
  get requestRate(): number {
    return (this.requestLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** Changes a second that are this controller's own share. */
  get writeRate(): number {
    return (this.writeLimit * USABLE_LIMIT_SHARE) / this.controllers;
  }

  /** What this controller draws of the limits at present, for its peers. */
  get usage(): StoreUsage {
    return { requests: this.requests.usagePerSecond, writes: this.writes.usagePerSecond };
  }

  /** How long a submission, which is one request with one change, would be queued. */
  get submitWait(): Millis {
    return millis(
      Math.max(
        this.writes.estimateWait(1, RequestPriority.submission),
        this.requests.estimateWait(1, RequestPriority.submission),
      ),
    );
  }

  /** Sets how many controllers draw on the limits now; what was borrowed is given back. */
  setControllerCount(controllers: number): void {
    this.controllers = controllers;
    this.requests.setRate(this.requestRate);
    this.writes.setRate(this.writeRate);
  }

  /** Borrows what the peers, by their own word, leave of the limits: never less than the own share is used. */
  borrowUnused(peerUsages: readonly StoreUsage[]): void {
    const peerRequests = peerUsages.reduce((total, usage) => total + usage.requests, 0);
    this.requests.setRate(rateWithBorrowing(this.requestLimit, this.requestRate, peerRequests));
    const peerWrites = peerUsages.reduce((total, usage) => total + usage.writes, 0);
    this.writes.setRate(rateWithBorrowing(this.writeLimit, this.writeRate, peerWrites));
  }

  /** The store refused a request for its rate limit, which `limiter` keeps: spends nothing more of it for a moment. */
  recordRefusal(limiter: RateLimiter): void {
    this.countRefusal();
    if (!this.lowerLimitsInForce && this.recentRefusals >= REFUSALS_SHOWING_LOWER_LIMITS) {
      this.lowerLimitsInForce = true;
      this.setControllerCount(this.controllers);
    }
    limiter.penalize();
  }

  private countRefusal(): void {
    const now = this.clock.now();
    const followsAnother = this.lastRefusalAt !== null && now - this.lastRefusalAt < MAX_REFUSAL_INTERVAL_MS;
    this.recentRefusals = followsAnother ? this.recentRefusals + 1 : 1;
    this.lastRefusalAt = now;
  }

  private get requestLimit(): number {
    return this.lowerLimitsInForce ? this.settings.nextStoreRps : this.settings.storeRps;
  }

  private get writeLimit(): number {
    return this.lowerLimitsInForce ? this.settings.nextStoreWriteRps : this.settings.storeWriteRps;
  }
}

/** The rate for one controller when its peers use `usedByPeers` of a limit; all of them a second. */
function rateWithBorrowing(limit: number, ownShare: number, usedByPeers: number): number {
  const unused = limit * USABLE_LIMIT_SHARE - usedByPeers * PEER_USAGE_FACTOR;
  return Math.max(ownShare, Math.min(limit * MAX_BORROWED_SHARE, unused));
}
