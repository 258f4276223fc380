/** Keeps job records within the store's size limit for a value. */
import type { Range, RangeSet } from '../model/ranges.js';
import { encodeRecord } from './codec.js';
import type { JobRecord } from './record.js';

/** Returns the size of a record's value in bytes, as the store computes it. */
export const storedSizeBytes = (record: JobRecord): number =>
  Buffer.byteLength(JSON.stringify(encodeRecord(record)));

/** Returns the ranges of a set, the largest first. */
export const largestFirst = (tasks: RangeSet): Range[] =>
  tasks.ranges().sort(([startA, endA], [startB, endB]) => endB - startB - (endA - startA));

/**
 * Returns the record with more tasks marked as done, within `maxBytes`. If the ranges are too scattered to fit, the
 * largest are added first; the others are written later, and until then their results stay on the workers.
 */
export function withFinishedTasks(record: JobRecord, finished: RangeSet, maxBytes: number): JobRecord {
  const allDone = record.done.clone();
  allDone.addAll(finished);
  const fullRecord = { ...record, done: allDone };
  if (storedSizeBytes(fullRecord) <= maxBytes) return fullRecord;
  const done = record.done.clone();
  for (const [start, end] of largestFirst(finished)) {
    const candidate = done.clone();
    candidate.addRange(start, end);
    if (storedSizeBytes({ ...record, done: candidate }) <= maxBytes) done.addRange(start, end);
  }
  return { ...record, done };
}
