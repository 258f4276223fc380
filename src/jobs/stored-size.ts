/** Keeps job records within the size that the store allows for a value. */
import type { RangeSet } from '../model/ranges.js';
import { encodeRecord } from './codec.js';
import type { JobRecord } from './record.js';

/** Size of a record's value in bytes, as the state service counts it. */
export const storedSizeBytes = (record: JobRecord): number =>
  Buffer.byteLength(JSON.stringify(encodeRecord(record)));

/**
 * The record with more tasks done, within the store's value limit. Scattered ranges that would not fit are
 * left for later: their results stay with the workers.
 */
export function withFinishedTasks(record: JobRecord, finished: RangeSet, limit: number): JobRecord {
  const all = record.done.clone();
  all.addAll(finished);
  const full = { ...record, done: all };
  if (storedSizeBytes(full) <= limit) return full;
  const done = record.done.clone();
  const bySize = [...finished.ranges()].sort((a, b) => b[1] - b[0] - (a[1] - a[0]));
  for (const [from, to] of bySize) {
    const candidate = done.clone();
    candidate.addRange(from, to);
    if (storedSizeBytes({ ...record, done: candidate }) <= limit) done.addRange(from, to);
  }
  return { ...record, done };
}
