/** This controller's share of a limit that all controllers draw on: a token bucket with ranks. */
import type { Clock, Millis, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';

/** Lower goes first. */
export const RequestPriority = {
  leadership: 0,
  cancellation: 1,
  submission: 2,
  finalState: 3,
  handOver: 4,
  progress: 5,
} as const;
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

interface QueuedRequest {
  readonly cost: number;
  readonly priority: RequestPriority;
  readonly resolve: (granted: boolean) => void;
  readonly deadline: SteadyMs;
}

const MAX_QUEUED_REQUESTS = 2000;
const RESERVED_BURST_SHARES = [0, 0, 0, 0.35, 0.45, 0.55];
/** Over which time its use is averaged. */
const USAGE_AVERAGING_MS = 2000;

export class RateLimiter {
  private tokens: number;
  private refilledAt: SteadyMs;
  private recentCost = 0;
  private recentCostAt: SteadyMs;
  private readonly queue: QueuedRequest[] = [];
  private timer: { cancel(): void } | null = null;

  constructor(
    private readonly clock: Clock,
    private rate: number,
    private readonly minBurst: number,
  ) {
    this.tokens = this.burst;
    this.refilledAt = clock.now();
    this.recentCostAt = this.refilledAt;
  }

  /** One second's worth: the bursts of all controllers together are what the other side allows. */
  private get burst(): number {
    return Math.max(this.minBurst, this.rate);
  }

  /** The share changes when controllers come and go: what silent ones leave is borrowed. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** What is spent a second, lately; and as if more was when something waits for its turn. */
  get usagePerSecond(): number {
    const waiting = this.queue.reduce((sum, w) => sum + w.cost, 0);
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

  /** Resolves true once the cost may be spent, false when `patience` ran out first. */
  acquire(cost: number, priority: RequestPriority, queueTimeout: Millis): Promise<boolean> {
    this.refill();
    if (this.queue.length === 0 && this.affordable(cost, priority)) {
      this.spend(cost);
      return Promise.resolve(true);
    }
    // Judged on arrival: what cannot have its turn in time is told so at once, not after waiting.
    if (this.queue.length >= MAX_QUEUED_REQUESTS || this.estimateWait(cost, priority) > queueTimeout)
      return Promise.resolve(false);
    return new Promise((resolve) => {
      const request: QueuedRequest = {
        cost,
        priority,
        resolve,
        deadline: (this.clock.now() + queueTimeout) as SteadyMs,
      };
      const position = this.queue.findIndex((w) => w.priority > priority);
      this.queue.splice(position < 0 ? this.queue.length : position, 0, request);
      this.scheduleDispatch();
    });
  }

  /** How long something of this cost and rank would wait for its turn, by the queue before it. */
  estimateWait(cost: number, priority: RequestPriority): Millis {
    this.refill();
    let ahead = Math.min(cost + this.reserveFor(priority), this.burst) - this.tokens;
    for (const w of this.queue) if (w.priority <= priority) ahead += w.cost;
    return millis(Math.max(0, (ahead / this.rate) * 1000));
  }

  /** The other side refused for its limit: spend nothing for a moment. */
  penalize(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0) - this.rate * 0.1;
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1000) * this.rate);
    this.refilledAt = now;
  }

  /** Progress may not eat the reserve that ownership and users need at once. */
  private affordable(cost: number, priority: RequestPriority): boolean {
    return this.tokens >= Math.min(cost + this.reserveFor(priority), this.burst);
  }

  /** What must be left, so that users and owners need not wait for the next drop. */
  private reserveFor(priority: RequestPriority): number {
    return this.burst * (RESERVED_BURST_SHARES[priority] ?? 0);
  }

  private scheduleDispatch(): void {
    this.timer ??= this.clock.after(millis(10), () => {
      this.timer = null;
      this.dispatch();
      if (this.queue.length > 0) this.scheduleDispatch();
    });
  }

  private dispatch(): void {
    this.refill();
    const now = this.clock.now();
    for (let i = 0; i < this.queue.length;) {
      const request = this.queue[i] as QueuedRequest;
      const affordable = this.affordable(request.cost, request.priority);
      if (!affordable && now < request.deadline) {
        i += 1;
        continue;
      }
      this.queue.splice(i, 1);
      if (affordable) this.spend(request.cost);
      request.resolve(affordable);
    }
  }
}
