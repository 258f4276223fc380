/** Keeps job records within the size that the store allows for a value. */
import type { RangeSet } from '../model/ranges.js';
import { encodeRecord } from './codec.js';
import type { JobRecord } from './record.js';

/** Size of a record's value in bytes, as the state service counts it. */
export const recordBytes = (r: JobRecord): number => Buffer.byteLength(JSON.stringify(encodeRecord(r)));

/**
 * The record with more tasks done, within the store's value limit. Scattered ranges that would not fit are
 * left for later: their results stay with the workers.
 */
export function withDone(r: JobRecord, more: RangeSet, limit: number): JobRecord {
  const all = r.done.clone();
  all.addAll(more);
  const full = { ...r, done: all };
  if (recordBytes(full) <= limit) return full;
  const done = r.done.clone();
  const bySize = [...more.ranges()].sort((a, b) => b[1] - b[0] - (a[1] - a[0]));
  for (const [from, to] of bySize) {
    const tried = done.clone();
    tried.addRange(from, to);
    if (recordBytes({ ...r, done: tried }) <= limit) done.addRange(from, to);
  }
  return { ...r, done };
}
