/** Priorities and queue timeout of the store’s rate limiter. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, RequestPriority } from '../../src/store/rate-limiter.js';
import { millis } from '../../src/model/units.js';
import { SimulatedClock, flushPromises } from '../support/simulated-clock.js';

test('leadership requests are admitted before progress requests, and requests are refused at the queue timeout', async () => {
  const clock = new SimulatedClock();
  const limiter = new RateLimiter(clock, 2, 2);
  const outcomes: string[] = [];
  const acquire = (name: string, priority: RequestPriority, queueTimeoutMs = 1000): void =>
    void limiter
      .acquire(1, priority, millis(queueTimeoutMs))
      .then((admitted) => outcomes.push(admitted ? name : `${name} refused`));
  acquire('first', RequestPriority.submission);
  acquire('second', RequestPriority.submission);
  acquire('progress', RequestPriority.progress, 3000);
  acquire('short', RequestPriority.submission, 50);
  acquire('leadership', RequestPriority.leadership);
  await flushPromises();
  assert.deepEqual(
    outcomes,
    ['first', 'second', 'short refused'],
    'refused immediately: cannot be admitted in time',
  );
  await clock.advance(3000);
  await flushPromises();
  assert.deepEqual(outcomes, ['first', 'second', 'short refused', 'leadership', 'progress']);
});
