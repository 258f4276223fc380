/**
 * Whether the assignments of a job's record make sense. Every version writes sound ones; what is not sound is the work of a
 * fault, and nothing may be moved by it: which tasks run where is not known.
 */
import type { ShardId, ZoneId } from '../model/units.js';
import { NO_ZONE, type Assignment, type JobRecord } from './record.js';

/** What is wrong with the assignments of a record, in the words of the log. */
export type AssignmentProblem =
  | 'a task is assigned twice'
  | 'a task is assigned to no shard'
  | 'a task does not exist'
  | 'a shard does not exist'
  | 'a zone does not exist'
  | 'one zone is asked for, and there are several'
  | 'too many tasks are in one zone';

/** The shards and zones of the deployment. */
export interface KnownPlaces {
  readonly shards: readonly { readonly shard: ShardId }[];
  readonly zones: readonly ZoneId[];
}

/** null: the assignments make sense. */
export function assignmentProblem(record: JobRecord, places: KnownPlaces): AssignmentProblem | null {
  return coverageProblem(record) ?? placeProblem(record.assignments, places) ?? constraintProblem(record);
}

/** Each task is assigned once; the assignments stand in the order of the tasks. */
function coverageProblem({ spec, assignments }: JobRecord): AssignmentProblem | null {
  let next = 0;
  for (const { from, to } of assignments) {
    if (from < next) return 'a task is assigned twice';
    if (from > next) return 'a task is assigned to no shard';
    next = to;
  }
  if (next > spec.tasks) return 'a task does not exist';
  return next < spec.tasks ? 'a task is assigned to no shard' : null;
}

function placeProblem(
  assignments: readonly Assignment[],
  { shards, zones }: KnownPlaces,
): AssignmentProblem | null {
  const isConfigured = (id: ShardId): boolean => shards.some(({ shard }) => shard === id);
  if (!assignments.every(({ shard }) => isConfigured(shard))) return 'a shard does not exist';
  const isKnown = (zone: ZoneId | null): boolean => zone === null || zone === NO_ZONE || zones.includes(zone);
  return assignments.every(({ zone }) => isKnown(zone)) ? null : 'a zone does not exist';
}

/** Tasks in no zone only wait: they violate no constraint. */
function constraintProblem({ spec, assignments }: JobRecord): AssignmentProblem | null {
  const tasksByZone = new Map<ZoneId | null, number>();
  for (const { from, to, zone } of assignments)
    if (zone !== NO_ZONE) tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + to - from);
  if (spec.oneZone && tasksByZone.size > 1) return 'one zone is asked for, and there are several';
  const maxPerZone = Math.ceil(spec.tasks / 2);
  const isCrowded = spec.spread && [...tasksByZone.values()].some((tasks) => tasks > maxPerZone);
  return isCrowded ? 'too many tasks are in one zone' : null;
}
