/**
 * A token bucket with request priorities, for this controller's share of a rate limit that all controllers draw on. It
 * relies on a clock only: `StoreRateLimits` and the cloud's client decide on the rates.
 */
import type { Clock, Millis, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';

/** How urgent a request is. A lower number is served first; equal ones in the order of their arrival. */
export const RequestPriority = {
  /** Membership, failover, the watch: without these nothing may be commanded. */
  leadership: 0,
  /** Cancellations, which have a deadline for their tasks' end. */
  cancellation: 1,
  /** Submissions and lookups of jobs, for whose answer a user waits; machines to be rented. */
  submission: 2,
  /** Final states of jobs, and the registration of machines. */
  finalState: 3,
  /** Transfers of tasks, machines and quota between shards; the cluster clock; lists of machines. */
  handOver: 4,
  /** Progress of jobs, which the next write of the same job replaces; instance types. */
  progress: 5,
} as const;
/** One of the priorities above. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

interface QueuedRequest {
  readonly cost: number;
  readonly priority: RequestPriority;
  readonly resolve: (granted: boolean) => void;
  readonly deadline: SteadyMs;
}

const MAX_QUEUED_REQUESTS = 2000;
/**
 * The share of a full bucket that a request must leave. This prevents: background writes empty the bucket, and a
 * cancellation or a failover that comes then waits for the next tokens.
 */
const RESERVED_BURST_SHARES: Readonly<Record<RequestPriority, number>> = {
  [RequestPriority.leadership]: 0,
  [RequestPriority.cancellation]: 0,
  [RequestPriority.submission]: 0,
  [RequestPriority.finalState]: 0.35,
  [RequestPriority.handOver]: 0.45,
  [RequestPriority.progress]: 0.55,
};
/** The time constant of the exponential average of what is spent. */
const USAGE_AVERAGING_MS = 2000;
/** How often the queue is looked through while anything waits in it. */
const DISPATCH_INTERVAL = millis(10);
/** After a refusal by the other side: how many seconds' worth of tokens must come in before anything is spent. */
const PENALTY_S = 0.1;

/** Grants costs at a given rate, the most urgent first, and refuses at once what could not have its turn in time. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: SteadyMs;
  private recentCost = 0;
  private recentCostAt: SteadyMs;
  private readonly queue: QueuedRequest[] = [];
  private timer: { cancel(): void } | null = null;

  constructor(
    private readonly clock: Clock,
    /** Costs a second. */
    private rate: number,
    /** What a full bucket holds at least, however low the rate. */
    private readonly minBurst: number,
  ) {
    this.tokens = this.burst;
    this.refilledAt = clock.now();
    this.recentCostAt = this.refilledAt;
  }

  /** What a full bucket holds, one second's worth: all controllers' bursts together are what the other side allows. */
  private get burst(): number {
    return Math.max(this.minBurst, this.rate);
  }

  /** Sets the rate, in costs a second; what came in so far did so at the earlier rate. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** Costs a second of late; what is queued counts in full, so that peers do not borrow what is needed here. */
  get usagePerSecond(): number {
    const waiting = this.queue.reduce((sum, request) => sum + request.cost, 0);
    return this.decayedCost() / (USAGE_AVERAGING_MS / 1000) + waiting;
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
   * Resolves true once the cost is spent, false when the queue timeout passes first, which is foreseen where it can be: a
   * request that cannot have its turn in time is refused at once, not after waiting. Nothing is spent when false.
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

  /** How long a request of this cost and priority would be queued, if nothing more urgent came in the meantime. */
  estimateWait(cost: number, priority: RequestPriority): Millis {
    this.refill();
    let ahead = Math.min(cost + this.reserveFor(priority), this.burst) - this.tokens;
    for (const queued of this.queue) if (queued.priority <= priority) ahead += queued.cost;
    return millis(Math.max(0, (ahead / this.rate) * 1000));
  }

  /** The other side refused a request for its rate limit: spends nothing for a moment. */
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

  /** What a request of this priority must leave in the bucket. */
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

  /** Grants what can be afforded, the most urgent first, and refuses what has reached its deadline. */
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
