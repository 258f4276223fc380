/** Priorities and queue timeout of the store’s rate limiter. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, RequestPriority } from '../../src/store/rate-limiter.js';
import { millis } from '../../src/model/units.js';
import { SimulatedClock, flushPromises } from '../support/simulated-clock.js';

test('the rate limiter serves leadership before progress, and gives up at the queue timeout', async () => {
  const clock = new SimulatedClock();
  const budget = new RateLimiter(clock, 2, 2);
  const order: string[] = [];
  const take = (name: string, priority: RequestPriority, patience = 1000): void =>
    void budget
      .acquire(1, priority, millis(patience))
      .then((ok) => order.push(ok ? name : `${name} refused`));
  take('first', RequestPriority.submission);
  take('second', RequestPriority.submission);
  take('progress', RequestPriority.progress, 3000);
  take('short', RequestPriority.submission, 50);
  take('owner', RequestPriority.leadership);
  await flushPromises();
  assert.deepEqual(order, ['first', 'second', 'short refused'], 'its turn cannot come: told at once');
  await clock.advance(3000);
  await flushPromises();
  assert.deepEqual(order, ['first', 'second', 'short refused', 'owner', 'progress']);
});
