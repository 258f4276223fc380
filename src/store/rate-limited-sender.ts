/**
 * Sends requests to the store within this controller's rate limits, and retries requests that the store rejects for a
 * limit nevertheless. Relies on the store's guarantee that a request answered with 429 was not applied. Any other
 * outcome, in particular that of a request that may have been applied, is returned to the caller, who decides whether
 * to retry.
 */
import type { Call, CallOutcome } from '../http/client.js';
import type { Clock, Millis } from '../model/units.js';
import { millis } from '../model/units.js';
import { isRateLimited } from './outcomes.js';
import type { RequestPriority } from './rate-limiter.js';
import type { StoreRateLimits } from './rate-limits.js';
import { sleep } from './sleep.js';

/** A transport that sends one HTTP call. The promise never rejects: failures are outcomes. */
export interface HttpTransport {
  call(call: Call): Promise<CallOutcome>;
}

/** How long a request may wait for the rate limiters in total, over all its attempts. */
export const QUEUE_TIMEOUT = millis(1200);
const MAX_RETRIES = 4;
/** The delay before a retry is the minimum plus a random part of the jitter. */
const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 150;

/** Queues and sends the requests of one client, and retries them after a 429. */
export class RateLimitedSender {
  constructor(
    private readonly transport: HttpTransport,
    private readonly limits: StoreRateLimits,
    private readonly clock: Clock,
    /** Uniformly distributed in [0, 1). */
    private readonly random: () => number,
  ) {}

  /**
   * Sends the request and returns the outcome of the last attempt. `writes` is the number of keys that the request
   * changes, 0 for a read. The outcome is `unsent` if the rate limiters did not admit the request in time or no
   * connection was made.
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
      this.limits.recordRejection(writes > 0 ? writeLimiter : requests);
      if (retries >= MAX_RETRIES) return outcome;
      await sleep(this.clock, millis(MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * this.random()));
    }
  }
}
