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
import { eligibleZones, type AssignContext } from './assignment.js';
import { rankPeers, type FreeCapacity } from './peer-ranking.js';

/** How long the tasks of a job wait for room in their zone before they may move to another, in milliseconds. */
export const REPIN_AFTER = 5000;

export type RepinContext = Pick<
  AssignContext,
  'now' | 'homeZone' | 'zones' | 'types' | 'freeCapacity' | 'random'
>;

export interface ZoneReassignment {
  readonly tasks: RangeSet;
  readonly part: ShardId;
  readonly zone: ZoneId;
  /** The offer whose room is taken; null: the tasks only join the others of their job. */
  readonly offer: FreeCapacity | null;
}

/** Tasks that the record entrusts to each zone, the finished ones included: the strictest reading of the limit. */
function tasksInZone(record: JobRecord, zone: ZoneId): number {
  let count = 0;
  for (const a of record.assignments) if (a.zone === zone) count += a.to - a.from;
  return count;
}

/** How many more tasks the job may have in a zone. */
function allowance(job: ShardJob, zone: ZoneId): number {
  const { spec, record } = job;
  if (spec.spread) return Math.ceil(spec.tasks / 2) - tasksInZone(record, zone);
  // All tasks move together or none does: none of them may be on a machine, or have been.
  return job.waiting.size === spec.tasks ? spec.tasks : 0;
}

/**
 * Tasks that must be together can only change their zone together, and only the owner of a task knows that it is on no
 * machine: while they are split among parts, the waiting ones gather at the part with the lowest number.
 */
function collectingPart({ record }: ShardJob): ShardId | null {
  if (!record.done.isEmpty) return null;
  return Math.min(...record.assignments.map((a) => a.shard)) as ShardId;
}

/**
 * A job that asks both for one zone and to be spread stays where it was put: half of it, in one zone. So does a gang
 * that is spread: its tasks would come to different pools.
 */
const mayMove = (spec: JobSpec): boolean =>
  spec.zone === null && spec.spread !== spec.oneZone && !(spec.kind === 'gang' && spec.spread);

/** The best move for the tasks that wait in `fromZone`, or null: nowhere else is room that the job may use. */
export function chooseZoneReassignment(
  shard: ShardId,
  job: ShardJob,
  fromZone: ZoneId,
  ctx: RepinContext,
): ZoneReassignment | null {
  const { spec, waitingSince } = job;
  if (!mayMove(spec) || waitingSince === null || ctx.now - waitingSince < REPIN_AFTER) return null;
  if (!job.handingOver.isEmpty || !job.unaccounted.isEmpty) return null;
  const waiting = RangeSet.of(
    waitingRuns(job)
      .filter((run) => run.zone === fromZone)
      .map((run) => [run.from, run.to] as const),
  );
  const collector = spec.oneZone ? collectingPart(job) : null;
  if (collector !== null && collector !== shard)
    return { tasks: waiting, part: collector, zone: fromZone, offer: null };
  let best: { zone: ZoneId; offer: FreeCapacity; count: number } | null = null;
  for (const zone of eligibleZones(spec, ctx.zones, ctx.types)) {
    if (zone === fromZone) continue;
    const willing = rankPeers(ctx.freeCapacity.values(), ctx.homeZone, spec, zone, ctx.now, ctx.random)[0];
    if (!willing) continue;
    const allowed = allowance(job, zone);
    const count = Math.min(waiting.size, allowed, spec.spread ? willing.capacity : allowed);
    if (count > (best?.count ?? 0)) best = { zone, offer: willing.offer, count };
  }
  if (!best) return null;
  return { tasks: waiting.first(best.count), part: best.offer.part, zone: best.zone, offer: best.offer };
}
