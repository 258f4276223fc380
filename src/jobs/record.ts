/** The record of an active job, with the assignment of its tasks to shards. `codec.ts` encodes the record. */
import type { ShardId, Revision, ClusterMs, ZoneId } from '../model/units.js';
import { RangeSet, type Range } from '../model/ranges.js';
import type { JobSpec } from './spec.js';

/**
 * Assigns the tasks [from, to) to a shard. `zone` is the zone in which a constrained job's tasks must run; null: any.
 */
export interface Assignment {
  readonly from: number;
  readonly to: number;
  readonly shard: ShardId;
  readonly zone: ZoneId | null;
}

/**
 * A zone without machines. Tasks of a spread job wait in it while no real zone may take them, and a finished task is
 * assigned to it when it no longer counts for a zone.
 */
export const NO_ZONE = '' as ZoneId;

/** Whether the zone of an assignment is a zone of the deployment, in which the tasks count for the job's constraints. */
export const isRealZone = (zone: ZoneId | null): zone is ZoneId => zone !== null && zone !== NO_ZONE;

/** The stored state of an active job. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** The shard whose leader accepted the job and transfers its tasks to other shards. */
  readonly homeShard: ShardId;
  /** The store revision known at acceptance; orders jobs approximately by arrival. */
  readonly acceptedRevision: Revision;
  /** Time of acceptance; null if the job was accepted by an earlier version, which did not record it. */
  readonly acceptedAt: ClusterMs | null;
  /** Assignment of each task to a shard. */
  readonly assignments: readonly Assignment[];
  /** Indices of the finished tasks. */
  readonly done: RangeSet;
}

/** How a job ended; never changes once it is stored. */
export type FinalState = 'done' | 'cancelled';

/** Returns whether all tasks are finished; never true for a service. */
export const isComplete = (record: JobRecord): boolean =>
  record.spec.kind !== 'service' && record.done.size === record.spec.tasks;

/** Behind all ranges of tasks. */
const NO_RANGE: Range = [Infinity, Infinity];

/** Assigns the tasks in `moved` to another shard and zone; adjacent ranges with the same assignment are merged. */
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
  const ranges = moved.ranges();
  let next = 0;
  for (const assignment of record.assignments) {
    let position = assignment.from;
    for (;;) {
      const [from, to] = ranges[next] ?? NO_RANGE;
      const start = Math.max(from, position);
      const end = Math.min(to, assignment.to);
      if (start < end) {
        if (position < start) push(position, start, assignment.shard, assignment.zone);
        push(start, end, shard, zoneFor(assignment.zone));
        position = end;
      }
      // A range that goes on behind the assignment is needed again for the next one.
      if (to > assignment.to) break;
      next += 1;
    }
    if (position < assignment.to) push(position, assignment.to, assignment.shard, assignment.zone);
  }
  return { ...record, assignments: reassigned };
}

/** Returns the tasks assigned to a shard. */
export function assignedTo(record: JobRecord, shard: ShardId): RangeSet {
  return RangeSet.of(record.assignments.filter((a) => a.shard === shard).map((a) => [a.from, a.to] as const));
}

/** Returns the zone in which a constrained job's task must run; null: any. */
export function requiredZoneOf(record: JobRecord, index: number): ZoneId | null {
  return record.assignments.find((a) => a.from <= index && index < a.to)?.zone ?? null;
}
