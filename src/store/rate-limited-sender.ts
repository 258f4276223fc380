/**
 * Sends requests to the store within this controller's rate limits, and again when the store refuses them for a limit
 * all the same. Relies on the store's word that a request answered with 429 was not carried out; every other outcome,
 * above all one that may have been carried out, is left to the caller to repeat or not.
 */
import type { Call, CallOutcome } from '../http/client.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import { isRateLimited } from './outcomes.js';
import type { RequestPriority } from './rate-limiter.js';
import type { StoreRateLimits } from './rate-limits.js';
import { sleep } from './sleep.js';

/** A transport that carries out one call. It never rejects: failures are outcomes. */
export interface Caller {
  call(call: Call): Promise<CallOutcome>;
}

/** How long a request may be queued for the rate limits, over all its attempts. */
export const QUEUE_TIMEOUT = millis(1200);
const MAX_RETRIES = 4;
/** The pause before a retry: at least the first, and at random up to the second longer. */
const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 150;

/** Queues, sends and after a 429 sends again the requests of one client. */
export class RateLimitedSender {
  constructor(
    private readonly transport: Caller,
    private readonly limits: StoreRateLimits,
    private readonly clock: Clock,
    /** Evenly distributed from 0 to below 1. */
    private readonly random: () => number,
  ) {}

  /**
   * The outcome of the last attempt. `writes` is the number of keys that the request changes; 0 for one that changes
   * none. `unsent`: it had no turn in time, or no connection came about.
   */
  async send(call: Call, priority: RequestPriority, writes: number): Promise<CallOutcome> {
    const { requests, writes: writeLimiter } = this.limits;
    const deadline = this.clock.now() + QUEUE_TIMEOUT;
    const remaining = (): Millis => millis(Math.max(0, deadline - this.clock.now()));
    for (let retries = 0; ; retries += 1) {
      if (writes > 0 && !(await writeLimiter.acquire(writes, priority, remaining())))
        return { kind: 'unsent' };
      if (!(await requests.acquire(1, priority, remaining()))) return { kind: 'unsent' };
      const outcome = await this.transport.call(call);
      if (!isRateLimited(outcome)) return outcome;
      this.limits.recordRefusal(writes > 0 ? writeLimiter : requests);
      if (retries >= MAX_RETRIES) return outcome;
      await sleep(this.clock, millis(MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * this.random()));
    }
  }
}
