/**
 * Validates the assignments of a job's record. All versions write valid assignments; invalid ones are the result of a
 * bug, and no task may be moved based on them, because it is not known which tasks run where.
 */
import type { ShardId, ZoneId } from '../model/units.js';
import { NO_ZONE, type Assignment, type JobRecord } from './record.js';

/** The problem with a record's assignments, as it is logged. */
export type AssignmentProblem =
  | 'a task is assigned twice'
  | 'a task is assigned to no shard'
  | 'a task does not exist'
  | 'a shard does not exist'
  | 'a zone does not exist'
  | 'one zone is asked for, and there are several'
  | 'too many tasks are in one zone';

/** The shards and zones of the deployment. */
export interface Topology {
  readonly shards: readonly { readonly shard: ShardId }[];
  readonly zones: readonly ZoneId[];
}

/** Returns the first problem found with the assignments, or null if they are valid. */
export function assignmentProblem(record: JobRecord, topology: Topology): AssignmentProblem | null {
  return coverageProblem(record) ?? targetProblem(record.assignments, topology) ?? constraintProblem(record);
}

/** Checks that each task is assigned exactly once, with the assignments ordered by task index. */
function coverageProblem({ spec, assignments }: JobRecord): AssignmentProblem | null {
  let nextTask = 0;
  for (const { from, to } of assignments) {
    if (from < nextTask) return 'a task is assigned twice';
    if (from > nextTask) return 'a task is assigned to no shard';
    nextTask = to;
  }
  if (nextTask > spec.tasks) return 'a task does not exist';
  return nextTask < spec.tasks ? 'a task is assigned to no shard' : null;
}

/** Checks that all shards and zones exist. */
function targetProblem(
  assignments: readonly Assignment[],
  { shards, zones }: Topology,
): AssignmentProblem | null {
  const isConfigured = (id: ShardId): boolean => shards.some(({ shard }) => shard === id);
  if (!assignments.every(({ shard }) => isConfigured(shard))) return 'a shard does not exist';
  const isKnown = (zone: ZoneId | null): boolean => zone === null || zone === NO_ZONE || zones.includes(zone);
  return assignments.every(({ zone }) => isKnown(zone)) ? null : 'a zone does not exist';
}

/** Checks the zone constraints. Tasks in `NO_ZONE` only wait and violate no constraint. */
function constraintProblem({ spec, assignments }: JobRecord): AssignmentProblem | null {
  const tasksByZone = new Map<ZoneId | null, number>();
  for (const { from, to, zone } of assignments)
    if (zone !== NO_ZONE) tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + to - from);
  if (spec.oneZone && tasksByZone.size > 1) return 'one zone is asked for, and there are several';
  const maxPerZone = Math.ceil(spec.tasks / 2);
  const exceedsZoneLimit = spec.spread && [...tasksByZone.values()].some((tasks) => tasks > maxPerZone);
  return exceedsZoneLimit ? 'too many tasks are in one zone' : null;
}
