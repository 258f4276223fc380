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

test('adding joins ranges that overlap, and empty ranges add nothing', () => {
  const set = RangeSet.of([
    [8, 10],
    [0, 2],
    [4, 4],
    [1, 9],
  ]);
  assert.deepEqual(set.ranges(), [[0, 10]]);
});

test('an intersection and a clone leave their sources as they were', () => {
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

test('a set may be changed while it is iterated', () => {
  const set = RangeSet.of([[0, 4]]);
  const seen: number[] = [];
  for (const index of set) {
    seen.push(index);
    set.remove(index);
  }
  assert.deepEqual(seen, [0, 1, 2, 3]);
  assert.equal(set.isEmpty, true);
});
