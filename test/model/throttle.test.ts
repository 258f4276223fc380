import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Throttle } from '../../src/model/throttle.js';
import { millis, steady } from '../../src/model/units.js';

test('a throttle allows the first attempt, even at time zero', () => {
  assert.equal(new Throttle(millis(100)).tryAcquire(steady(0)), true);
});

test('a throttle refuses until a whole interval has passed since the last success', () => {
  const throttle = new Throttle(millis(100));
  throttle.tryAcquire(steady(50));
  const attempts = [50, 149, 150, 249, 250].map((now) => throttle.tryAcquire(steady(now)));
  assert.deepEqual(attempts, [false, false, true, false, true]);
});
