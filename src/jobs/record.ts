/** What is known of a job that is not over, and how its tasks are divided among the shards. */
import type { ShardId, Revision, ClusterMs, ZoneId } from '../model/units.js';
import { RangeSet } from '../model/ranges.js';
import type { JobSpec } from './spec.js';

/** Tasks [from, to) are entrusted to one part; `zone` is where a constrained job's tasks must be. */
export interface Assignment {
  readonly from: number;
  readonly to: number;
  readonly part: ShardId;
  readonly zone: ZoneId | null;
}

/** What the state service holds of a job that is not over. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** The part that accepted it and hands its tasks to others. */
  readonly home: ShardId;
  /** The store's revision known when it was accepted: the order in which jobs came, near enough. */
  readonly born: Revision;
  /** When it was accepted. null: by an earlier version, which did not say. */
  readonly accepted: ClusterMs | null;
  /** Which part each task is entrusted to. */
  readonly assignments: readonly Assignment[];
  /** Finished tasks. */
  readonly done: RangeSet;
}

/** How a job may end; it never changes again. */
export type FinalState = 'done' | 'cancelled';

/** All tasks are finished; a service never is. */
export const isComplete = (r: JobRecord): boolean =>
  r.spec.shape !== 'service' && r.done.size === r.spec.tasks;

/** Gives the tasks in `moved` to another part (and zone); neighbours that agree are joined. */
export function reassign(
  r: JobRecord,
  moved: RangeSet,
  shard: ShardId,
  zone: (was: ZoneId | null) => ZoneId | null,
): JobRecord {
  const out: Assignment[] = [];
  const push = (from: number, to: number, p: ShardId, z: ZoneId | null): void => {
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
      push(lo, hi, shard, zone(a.zone));
      at = hi;
    }
    if (at < a.to) push(at, a.to, a.part, a.zone);
  }
  return { ...r, assignments: out };
}

/** The tasks entrusted to a part. */
export function assignedTo(r: JobRecord, shard: ShardId): RangeSet {
  return RangeSet.of(r.assignments.filter((a) => a.part === shard).map((a) => [a.from, a.to] as const));
}

/** The zone that a constrained job's task must be in; null: any. */
export function zoneOf(r: JobRecord, index: number): ZoneId | null {
  return r.assignments.find((a) => a.from <= index && index < a.to)?.zone ?? null;
}
