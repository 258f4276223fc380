import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RangeSet } from '../../src/model/ranges.js';

test('a range set joins neighbours, splits on removal and counts', () => {
  const set = RangeSet.of([
    [0, 3],
    [5, 7],
  ]);
  set.addRange(3, 5);
  assert.deepEqual(set.ranges(), [[0, 7]]);
  set.remove(2);
  assert.deepEqual(set.ranges(), [
    [0, 2],
    [3, 7],
  ]);
  assert.equal(set.size, 6);
  assert.deepEqual(set.first(3).ranges(), [
    [0, 2],
    [3, 4],
  ]);
  assert.equal(set.has(2), false);
  assert.equal(set.has(6), true);
});
