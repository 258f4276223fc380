/**
 * Moves waiting tasks of a constrained job to another zone when theirs has had no room for a while, as after the loss
 * of a zone. Pure. Only tasks that are certainly on no machine move, in one write on condition of the record that was
 * read, so that any subset of the job's tasks that runs stays legal.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { JobRecord } from '../jobs/record.js';
import { waitingRuns, type ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { ShardId, ZoneId } from '../model/units.js';
import { eligibleZones, type AssignmentContext } from './assignment.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { rankPeers } from './peer-ranking.js';

/** How long the tasks of a job wait for room in their zone before they may move to another, in milliseconds. */
export const ZONE_REASSIGNMENT_DELAY_MS = 5000;

export type ZoneReassignmentContext = Pick<
  AssignmentContext,
  'now' | 'homeZone' | 'zones' | 'types' | 'freeCapacity' | 'random'
>;

export interface ZoneReassignment {
  readonly tasks: RangeSet;
  readonly shard: ShardId;
  readonly zone: ZoneId;
  /** The offer whose room is taken; null: the tasks only join the others of their job. */
  readonly freeCapacity: FreeCapacity | null;
}

/** Tasks that the record entrusts to each zone, the finished ones included: the strictest reading of the limit. */
function tasksInZone(record: JobRecord, zone: ZoneId): number {
  let count = 0;
  for (const assignment of record.assignments)
    if (assignment.zone === zone) count += assignment.to - assignment.from;
  return count;
}

/** How many more tasks the job may have in a zone. */
function remainingZoneAllowance(job: ShardJob, zone: ZoneId): number {
  const { spec, record } = job;
  if (spec.spread) return Math.ceil(spec.tasks / 2) - tasksInZone(record, zone);
  // All tasks move together or none does: none of them may be on a machine, or have been.
  return job.waiting.size === spec.tasks ? spec.tasks : 0;
}

/**
 * Tasks that must be together can only change their zone together, and only the owner of a task knows that it is on no
 * machine: while they are split among parts, the waiting ones gather at the part with the lowest number.
 */
function collectingShard({ record }: ShardJob): ShardId | null {
  if (!record.done.isEmpty) return null;
  return Math.min(...record.assignments.map((assignment) => assignment.shard)) as ShardId;
}

/**
 * A job that asks both for one zone and to be spread stays where it was put: half of it, in one zone. So does a gang
 * that is spread: its tasks would come to different pools.
 */
const mayChangeZone = (spec: JobSpec): boolean =>
  spec.zone === null && spec.spread !== spec.oneZone && !(spec.kind === 'gang' && spec.spread);

/** The best move for the tasks that wait in `fromZone`, or null: nowhere else is room that the job may use. */
export function chooseZoneReassignment(
  shard: ShardId,
  job: ShardJob,
  fromZone: ZoneId,
  context: ZoneReassignmentContext,
): ZoneReassignment | null {
  const { spec, waitingSince } = job;
  if (
    !mayChangeZone(spec) ||
    waitingSince === null ||
    context.now - waitingSince < ZONE_REASSIGNMENT_DELAY_MS
  )
    return null;
  if (!job.handingOver.isEmpty || !job.unaccounted.isEmpty) return null;
  const waiting = RangeSet.of(
    waitingRuns(job)
      .filter((run) => run.zone === fromZone)
      .map((run) => [run.from, run.to] as const),
  );
  const collector = spec.oneZone ? collectingShard(job) : null;
  if (collector !== null && collector !== shard)
    return { tasks: waiting, shard: collector, zone: fromZone, freeCapacity: null };
  let best: { zone: ZoneId; freeCapacity: FreeCapacity; count: number } | null = null;
  for (const zone of eligibleZones(spec, context.zones, context.types)) {
    if (zone === fromZone) continue;
    const bestPeer = rankPeers(
      context.freeCapacity.values(),
      context.homeZone,
      spec,
      zone,
      context.now,
      context.random,
    )[0];
    if (!bestPeer) continue;
    const allowed = remainingZoneAllowance(job, zone);
    const count = Math.min(waiting.size, allowed, spec.spread ? bestPeer.capacity : allowed);
    if (count > (best?.count ?? 0)) best = { zone, freeCapacity: bestPeer.freeCapacity, count };
  }
  if (!best) return null;
  return {
    tasks: waiting.first(best.count),
    shard: best.freeCapacity.shard,
    zone: best.zone,
    freeCapacity: best.freeCapacity,
  };
}
