import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RangeSet } from '../../src/model/ranges.js';

test('a range set merges adjacent ranges, splits them on removal and counts its indices', () => {
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

test('overlapping ranges are merged, and empty ranges add nothing', () => {
  const set = RangeSet.of([
    [8, 10],
    [0, 2],
    [4, 4],
    [1, 9],
  ]);
  assert.deepEqual(set.ranges(), [[0, 10]]);
});

test('intersecting and cloning do not change the original sets', () => {
  const set = RangeSet.of([[0, 6]]);
  const other = RangeSet.of([
    [2, 3],
    [5, 9],
  ]);
  assert.deepEqual([...set.intersect(other)], [2, 5]);
  const copy = set.clone();
  copy.removeAll(other);
  assert.deepEqual(copy.ranges(), [
    [0, 2],
    [3, 5],
  ]);
  assert.deepEqual(set.ranges(), [[0, 6]]);
});

test('a set may be changed during iteration', () => {
  const set = RangeSet.of([[0, 4]]);
  const seen: number[] = [];
  for (const index of set) {
    seen.push(index);
    set.remove(index);
  }
  assert.deepEqual(seen, [0, 1, 2, 3]);
  assert.equal(set.isEmpty, true);
});
