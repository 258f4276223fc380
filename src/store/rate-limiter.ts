/** This controller's share of a limit that all controllers draw on: a token bucket with ranks. */
import type { Clock, Millis, SteadyMs } from '../units.js';
import { millis } from '../units.js';

/** Lower goes first. */
export const RequestPriority = {
  ownership: 0,
  abort: 1,
  submit: 2,
  final: 3,
  handover: 4,
  progress: 5,
} as const;
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

interface Waiter {
  readonly cost: number;
  readonly rank: RequestPriority;
  readonly go: (granted: boolean) => void;
  readonly deadline: SteadyMs;
}

const MAX_WAITING = 2000;
const RESERVES = [0, 0, 0, 0.35, 0.45, 0.55];
/** Over which time its use is averaged. */
const USE_MS = 2000;

export class RateLimiter {
  private level: number;
  private last: SteadyMs;
  private spent = 0;
  private spentAt: SteadyMs;
  private readonly waiting: Waiter[] = [];
  private timer: { cancel(): void } | null = null;

  constructor(
    private readonly clock: Clock,
    private rate: number,
    private readonly leastBurst: number,
  ) {
    this.level = this.burst;
    this.last = clock.now();
    this.spentAt = this.last;
  }

  /** One second's worth: the bursts of all controllers together are what the other side allows. */
  private get burst(): number {
    return Math.max(this.leastBurst, this.rate);
  }

  /** The share changes when controllers come and go: what silent ones leave is borrowed. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** What is spent a second, lately; and as if more was when something waits for its turn. */
  get use(): number {
    const waiting = this.waiting.reduce((sum, w) => sum + w.cost, 0);
    return this.decayed() / (USE_MS / 1000) + waiting;
  }

  private spend(cost: number): void {
    this.level -= cost;
    this.spent = this.decayed() + cost;
    this.spentAt = this.clock.now();
  }

  private decayed(): number {
    return this.spent * Math.exp((this.spentAt - this.clock.now()) / USE_MS);
  }

  /** Resolves true once the cost may be spent, false when `patience` ran out first. */
  take(cost: number, rank: RequestPriority, patience: Millis): Promise<boolean> {
    this.refill();
    if (this.waiting.length === 0 && this.affordable(cost, rank)) {
      this.spend(cost);
      return Promise.resolve(true);
    }
    // Judged on arrival: what cannot have its turn in time is told so at once, not after waiting.
    if (this.waiting.length >= MAX_WAITING || this.waitFor(cost, rank) > patience)
      return Promise.resolve(false);
    return new Promise((resolve) => {
      const waiter: Waiter = { cost, rank, go: resolve, deadline: (this.clock.now() + patience) as SteadyMs };
      const at = this.waiting.findIndex((w) => w.rank > rank);
      this.waiting.splice(at < 0 ? this.waiting.length : at, 0, waiter);
      this.arm();
    });
  }

  /** How long something of this cost and rank would wait for its turn, by the queue before it. */
  waitFor(cost: number, rank: RequestPriority): Millis {
    this.refill();
    let ahead = Math.min(cost + this.reserveFor(rank), this.burst) - this.level;
    for (const w of this.waiting) if (w.rank <= rank) ahead += w.cost;
    return millis(Math.max(0, (ahead / this.rate) * 1000));
  }

  /** The other side refused for its limit: spend nothing for a moment. */
  punish(): void {
    this.refill();
    this.level = Math.min(this.level, 0) - this.rate * 0.1;
  }

  private refill(): void {
    const now = this.clock.now();
    this.level = Math.min(this.burst, this.level + ((now - this.last) / 1000) * this.rate);
    this.last = now;
  }

  /** Progress may not eat the reserve that ownership and users need at once. */
  private affordable(cost: number, rank: RequestPriority): boolean {
    return this.level >= Math.min(cost + this.reserveFor(rank), this.burst);
  }

  /** What must be left, so that users and owners need not wait for the next drop. */
  private reserveFor(rank: RequestPriority): number {
    return this.burst * (RESERVES[rank] ?? 0);
  }

  private arm(): void {
    this.timer ??= this.clock.after(millis(10), () => {
      this.timer = null;
      this.pump();
      if (this.waiting.length > 0) this.arm();
    });
  }

  private pump(): void {
    this.refill();
    const now = this.clock.now();
    for (let i = 0; i < this.waiting.length;) {
      const waiter = this.waiting[i] as Waiter;
      const affordable = this.affordable(waiter.cost, waiter.rank);
      if (!affordable && now < waiter.deadline) {
        i += 1;
        continue;
      }
      this.waiting.splice(i, 1);
      if (affordable) this.spend(waiter.cost);
      waiter.go(affordable);
    }
  }
}
