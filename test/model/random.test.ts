import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';

const draws = (seed: number): number[] => {
  const random = seededRandom(seed);
  return Array.from({ length: 200 }, () => random(10));
};

test('the same seed yields the same numbers, and another seed yields different ones', () => {
  assert.deepEqual(draws(1), draws(1));
  assert.notDeepEqual(draws(1), draws(2));
});

test('numbers are integers from 0 (inclusive) to the bound (exclusive)', () => {
  assert.deepEqual([...new Set(draws(1))].sort(), [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
});

test('a bound of 1 or less returns 0 without a draw', () => {
  const random = seededRandom(1);
  assert.deepEqual([random(1), random(0)], [0, 0]);
  assert.equal(random(1 << 20), seededRandom(1)(1 << 20));
});
