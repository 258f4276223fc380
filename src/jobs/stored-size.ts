/** Keeps job records within the size that the store allows for a value. */
import type { RangeSet } from '../model/ranges.js';
import { encodeRecord } from './codec.js';
import type { JobRecord } from './record.js';

/** Size of a record's value in bytes, as the store counts it. */
export const storedSizeBytes = (record: JobRecord): number =>
  Buffer.byteLength(JSON.stringify(encodeRecord(record)));

/**
 * The record with more tasks done, within `maxBytes`. Of scattered ranges that do not fit, the largest are taken in; the
 * others are left for later, and their results stay with the workers.
 */
export function withFinishedTasks(record: JobRecord, finished: RangeSet, maxBytes: number): JobRecord {
  const all = record.done.clone();
  all.addAll(finished);
  const withAll = { ...record, done: all };
  if (storedSizeBytes(withAll) <= maxBytes) return withAll;
  const done = record.done.clone();
  const largestFirst = [...finished.ranges()].sort(
    ([fromA, toA], [fromB, toB]) => toB - fromB - (toA - fromA),
  );
  for (const [from, to] of largestFirst) {
    const candidate = done.clone();
    candidate.addRange(from, to);
    if (storedSizeBytes({ ...record, done: candidate }) <= maxBytes) done.addRange(from, to);
  }
  return { ...record, done };
}
