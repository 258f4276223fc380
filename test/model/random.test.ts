import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';

const draws = (seed: number): number[] => {
  const random = seededRandom(seed);
  return Array.from({ length: 200 }, () => random(10));
};

test('the same seed gives the same draws, another seed others', () => {
  assert.deepEqual(draws(1), draws(1));
  assert.notDeepEqual(draws(1), draws(2));
});

test('draws are whole numbers from 0 up to the bound, which is excluded', () => {
  assert.deepEqual([...new Set(draws(1))].sort(), [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
});

test('a bound of one or less is answered without a draw', () => {
  const random = seededRandom(1);
  assert.deepEqual([random(1), random(0)], [0, 0]);
  assert.equal(random(1 << 20), seededRandom(1)(1 << 20));
});
