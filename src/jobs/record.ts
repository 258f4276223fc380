/** What is known of an active job, and how its tasks are divided among the shards. Pure; `codec.ts` maps the record. */
import type { ShardId, Revision, ClusterMs, ZoneId } from '../model/units.js';
import { RangeSet } from '../model/ranges.js';
import type { JobSpec } from './spec.js';

/** Tasks [from, to) are assigned to one shard; `zone` is where a constrained job's tasks must be, null: anywhere. */
export interface Assignment {
  readonly from: number;
  readonly to: number;
  readonly shard: ShardId;
  readonly zone: ZoneId | null;
}

/** A zone without machines: tasks of a spread job that no zone may take wait in it. */
export const NO_ZONE = '' as ZoneId;

/** What the store holds of an active job. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** The shard whose leader accepted the job and hands its tasks to other shards. */
  readonly homeShard: ShardId;
  /** The store's revision known when it was accepted: the order in which jobs came, near enough. */
  readonly acceptedRevision: Revision;
  /** When it was accepted. null: by an earlier version, which did not record it. */
  readonly acceptedAt: ClusterMs | null;
  /** Which shard each task is assigned to. */
  readonly assignments: readonly Assignment[];
  /** Finished tasks. */
  readonly done: RangeSet;
}

/** How a job may end; it never changes again. */
export type FinalState = 'done' | 'cancelled';

/** All tasks are finished; a service never is. */
export const isComplete = (record: JobRecord): boolean =>
  record.spec.kind !== 'service' && record.done.size === record.spec.tasks;

/** Assigns the tasks in `moved` to another shard (and zone); neighbouring ranges that agree are joined. */
export function reassign(
  record: JobRecord,
  moved: RangeSet,
  shard: ShardId,
  zoneFor: (currentZone: ZoneId | null) => ZoneId | null,
): JobRecord {
  const reassigned: Assignment[] = [];
  const push = (from: number, to: number, shardId: ShardId, zone: ZoneId | null): void => {
    const last = reassigned.at(-1);
    if (last && last.to === from && last.shard === shardId && last.zone === zone) {
      reassigned[reassigned.length - 1] = { ...last, to };
    } else reassigned.push({ from, to, shard: shardId, zone });
  };
  for (const assignment of record.assignments) {
    let position = assignment.from;
    for (const [from, to] of moved.ranges()) {
      const start = Math.max(from, assignment.from);
      const end = Math.min(to, assignment.to);
      if (start >= end) continue;
      if (position < start) push(position, start, assignment.shard, assignment.zone);
      push(start, end, shard, zoneFor(assignment.zone));
      position = end;
    }
    if (position < assignment.to) push(position, assignment.to, assignment.shard, assignment.zone);
  }
  return { ...record, assignments: reassigned };
}

/** The tasks assigned to a shard. */
export function assignedTo(record: JobRecord, shard: ShardId): RangeSet {
  return RangeSet.of(record.assignments.filter((a) => a.shard === shard).map((a) => [a.from, a.to] as const));
}

/** The zone that a constrained job's task must be in; null: any. */
export function requiredZoneOf(record: JobRecord, index: number): ZoneId | null {
  return record.assignments.find((a) => a.from <= index && index < a.to)?.zone ?? null;
}
