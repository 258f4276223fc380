/**
 * A token bucket with request priorities, for this controller's share of a rate limit that all controllers share. The
 * limiter depends only on a clock: `StoreRateLimits` and the cloud client set the rates.
 */
import type { Clock, Millis, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';

/** Request priorities. A lower number is served first; requests of equal priority are served in arrival order. */
export const RequestPriority = {
  /** Membership, failover and the watch: without them the controller may not send commands. */
  leadership: 0,
  /** Cancellations, whose tasks must end before a deadline. */
  cancellation: 1,
  /** Job submissions and lookups, for which a user waits, and machine rentals. */
  submission: 2,
  /** Final states of jobs, and the registration of machines. */
  finalState: 3,
  /** Transfers of tasks, machines and quota between shards; the cluster clock; lists of machines. */
  transfer: 4,
  /** Job progress, which the next write of the same job replaces, and instance types. */
  progress: 5,
} as const;
/** A value of `RequestPriority`. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

interface QueuedRequest {
  readonly cost: number;
  readonly priority: RequestPriority;
  readonly resolve: (admitted: boolean) => void;
  readonly deadline: SteadyMs;
}

const MAX_QUEUED_REQUESTS = 2000;
/**
 * The fraction of a full bucket that a request must leave in it. This prevents: background writes empty the bucket, and
 * a subsequent cancellation or failover has to wait for new tokens.
 */
const RESERVED_BURST_SHARES: Readonly<Record<RequestPriority, number>> = {
  [RequestPriority.leadership]: 0,
  [RequestPriority.cancellation]: 0,
  [RequestPriority.submission]: 0,
  [RequestPriority.finalState]: 0.35,
  [RequestPriority.transfer]: 0.45,
  [RequestPriority.progress]: 0.55,
};
/** Time constant of the exponential moving average of the spent tokens. */
const USAGE_AVERAGING_MS = 2000;
/** How often the queue is processed while it is not empty. */
const DISPATCH_INTERVAL = millis(10);
/** After the server rejected a request: seconds of refill before the next token can be spent. */
const PENALTY_S = 0.1;

/** Admits requests at a given rate, by priority, and refuses immediately those that could not be admitted in time. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: SteadyMs;
  private recentCost = 0;
  private recentCostAt: SteadyMs;
  private readonly queue: QueuedRequest[] = [];
  private timer: { cancel(): void } | null = null;

  constructor(
    private readonly clock: Clock,
    /** Tokens per second. */
    private rate: number,
    /** Minimum capacity of the bucket in tokens, however low the rate. */
    private readonly minBurst: number,
  ) {
    this.tokens = this.burst;
    this.refilledAt = clock.now();
    this.recentCostAt = this.refilledAt;
  }

  /**
   * Capacity of the bucket: the tokens of one second, so that the bursts of all controllers add up to the server's
   * limit.
   */
  private get burst(): number {
    return Math.max(this.minBurst, this.rate);
  }

  /** Sets the rate in tokens per second. The time up to now is refilled at the previous rate. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /**
   * Recent use in tokens per second, plus the cost of all queued requests, so that peers do not borrow what is needed
   * here.
   */
  get usagePerSecond(): number {
    const queuedCost = this.queue.reduce((sum, request) => sum + request.cost, 0);
    return this.decayedCost() / (USAGE_AVERAGING_MS / 1000) + queuedCost;
  }

  private spend(cost: number): void {
    this.tokens -= cost;
    this.recentCost = this.decayedCost() + cost;
    this.recentCostAt = this.clock.now();
  }

  private decayedCost(): number {
    return this.recentCost * Math.exp((this.recentCostAt - this.clock.now()) / USAGE_AVERAGING_MS);
  }

  /**
   * Resolves to true once the tokens are spent, and to false if the queue timeout would pass first. Where this can be
   * predicted, the request is refused immediately and not after waiting. A refused request spends no tokens.
   */
  acquire(cost: number, priority: RequestPriority, queueTimeout: Millis): Promise<boolean> {
    this.refill();
    if (this.queue.length === 0 && this.affordable(cost, priority)) {
      this.spend(cost);
      return Promise.resolve(true);
    }
    if (this.queue.length >= MAX_QUEUED_REQUESTS || this.estimateWait(cost, priority) > queueTimeout)
      return Promise.resolve(false);
    return new Promise((resolve) => {
      const request: QueuedRequest = {
        cost,
        priority,
        resolve,
        deadline: plus(this.clock.now(), queueTimeout),
      };
      const position = this.queue.findIndex((queued) => queued.priority > priority);
      this.queue.splice(position < 0 ? this.queue.length : position, 0, request);
      this.scheduleDispatch();
    });
  }

  /** Estimates how long a request would be queued if no request of a higher priority arrived in the meantime. */
  estimateWait(cost: number, priority: RequestPriority): Millis {
    this.refill();
    let missingTokens = Math.min(cost + this.reserveFor(priority), this.burst) - this.tokens;
    for (const queued of this.queue) if (queued.priority <= priority) missingTokens += queued.cost;
    return millis(Math.max(0, (missingTokens / this.rate) * 1000));
  }

  /** Records that the server rejected a request for its rate limit: admits nothing for a short time. */
  penalize(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0) - this.rate * PENALTY_S;
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1000) * this.rate);
    this.refilledAt = now;
  }

  private affordable(cost: number, priority: RequestPriority): boolean {
    return this.tokens >= Math.min(cost + this.reserveFor(priority), this.burst);
  }

  /** The number of tokens that a request of this priority must leave in the bucket. */
  private reserveFor(priority: RequestPriority): number {
    return this.burst * RESERVED_BURST_SHARES[priority];
  }

  private scheduleDispatch(): void {
    this.timer ??= this.clock.after(DISPATCH_INTERVAL, () => {
      this.timer = null;
      this.dispatch();
      if (this.queue.length > 0) this.scheduleDispatch();
    });
  }

  /**
   * Admits queued requests by priority while there are tokens, and refuses requests that have reached their deadline.
   */
  private dispatch(): void {
    this.refill();
    const now = this.clock.now();
    let index = 0;
    for (let request = this.queue[index]; request; request = this.queue[index]) {
      const affordable = this.affordable(request.cost, request.priority);
      if (!affordable && now < request.deadline) {
        index += 1;
        continue;
      }
      this.queue.splice(index, 1);
      if (affordable) this.spend(request.cost);
      request.resolve(affordable);
    }
  }
}
