/** Job records as the state service keeps them, and the keys they stand under. */
import * as v from 'valibot';
import type { JobId, PartId, Revision, SharedMs, StateKey, ZoneId } from '../units.js';
import { RangeSet, type Range } from '../ranges.js';
import type { JobSpec } from './spec.js';

/** Tasks [from, to) are entrusted to one part; `zone` is where a constrained job's tasks must be. */
export interface Assignment {
  readonly from: number;
  readonly to: number;
  readonly part: PartId;
  readonly zone: ZoneId | null;
}

/** What the state service holds of a job that is not over. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** The part that accepted it and hands its tasks to others. */
  readonly home: PartId;
  /** The store's revision known when it was accepted: the order in which jobs came, near enough. */
  readonly born: Revision;
  /** When it was accepted. null: by an earlier version, which did not say. */
  readonly accepted: SharedMs | null;
  /** Which part each task is entrusted to. */
  readonly assignments: readonly Assignment[];
  /** Finished tasks. */
  readonly done: RangeSet;
}

/** How a job may end; it never changes again. */
export type FinalState = 'done' | 'cancelled';

/** Prefix of the records of all jobs that are not over. */
export const LIVE = 'c/live/';
/** Where a job's record stands while it is not over. */
export const liveKey = (id: JobId): StateKey => `${LIVE}${id}` as StateKey;
/** Where a job's final state stands: kept for good, outside the prefix that start-up lists. */
export const finalKey = (id: JobId): StateKey => `over/${id}` as StateKey;

const range = v.pipe(
  v.tuple([v.number(), v.number()]),
  v.check(([a, b]) => a < b),
);
const assignment = v.tuple([v.number(), v.number(), v.number(), v.nullable(v.string())]);
const record = v.object({
  // Written by ourselves from a checked submission: its presence is what must hold here.
  spec: v.custom<JobSpec>((s) => typeof s === 'object' && s !== null && 'id' in s && 'tasks' in s),
  home: v.number(),
  // Absent in records of earlier versions.
  born: v.optional(v.number(), 0),
  at: v.optional(v.nullable(v.number()), null),
  parts: v.array(assignment),
  done: v.array(range),
});
const final = v.object({ state: v.picklist(['done', 'cancelled']) });

/** The value of `liveKey`. */
export function encodeRecord(r: JobRecord): unknown {
  return {
    spec: r.spec,
    home: r.home,
    born: r.born,
    at: r.accepted,
    parts: r.assignments.map((a) => [a.from, a.to, a.part, a.zone]),
    done: r.done.ranges(),
  };
}

/** null: the value was written by a version that this one does not understand. */
export function decodeRecord(value: unknown): JobRecord | null {
  const result = v.safeParse(record, value);
  if (!result.success) return null;
  const r = result.output;
  return {
    spec: r.spec,
    home: r.home as PartId,
    born: r.born as Revision,
    accepted: r.at as SharedMs | null,
    assignments: r.parts.map(([from, to, part, zone]) => ({
      from,
      to,
      part: part as PartId,
      zone: zone as ZoneId | null,
    })),
    done: RangeSet.of(r.done as Range[]),
  };
}

/** The value of `finalKey`. */
export const encodeFinal = (state: FinalState): unknown => ({ state });

/** null: the value cannot be read. */
export function decodeFinal(value: unknown): FinalState | null {
  const result = v.safeParse(final, value);
  return result.success ? result.output.state : null;
}

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

/** All tasks are finished; a service never is. */
export const isComplete = (r: JobRecord): boolean =>
  r.spec.shape !== 'service' && r.done.size === r.spec.tasks;

/** Gives the tasks in `moved` to another part (and zone); neighbours that agree are joined. */
export function reassign(
  r: JobRecord,
  moved: RangeSet,
  part: PartId,
  zone: (was: ZoneId | null) => ZoneId | null,
): JobRecord {
  const out: Assignment[] = [];
  const push = (from: number, to: number, p: PartId, z: ZoneId | null): void => {
    const last = out.at(-1);
    if (last && last.to === from && last.part === p && last.zone === z) {
      out[out.length - 1] = { ...last, to };
    } else out.push({ from, to, part: p, zone: z });
  };
  for (const a of r.assignments) {
    let at = a.from;
    for (const [from, to] of moved.ranges()) {
      const lo = Math.max(from, a.from);
      const hi = Math.min(to, a.to);
      if (lo >= hi) continue;
      if (at < lo) push(at, lo, a.part, a.zone);
      push(lo, hi, part, zone(a.zone));
      at = hi;
    }
    if (at < a.to) push(at, a.to, a.part, a.zone);
  }
  return { ...r, assignments: out };
}

/** The tasks entrusted to a part. */
export function assignedTo(r: JobRecord, part: PartId): RangeSet {
  return RangeSet.of(r.assignments.filter((a) => a.part === part).map((a) => [a.from, a.to] as const));
}

/** The zone that a constrained job's task must be in; null: any. */
export function zoneOf(r: JobRecord, index: number): ZoneId | null {
  return r.assignments.find((a) => a.from <= index && index < a.to)?.zone ?? null;
}
