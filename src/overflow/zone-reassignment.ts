/**
 * Moves waiting tasks of a constrained job to another zone when theirs has had no capacity for a while, as after the
 * loss of a zone. Pure. Only tasks that are certainly on no machine move, in one compare-and-swap of the job's record,
 * so that the tasks that run satisfy the constraints of the job at any time.
 */
import type { JobSpec } from '../jobs/spec.js';
import { NO_ZONE, type Assignment, type JobRecord } from '../jobs/record.js';
import { waitingRuns, type ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { ShardId, SteadyMs, ZoneId } from '../model/units.js';
import { eligibleZones, type AssignmentContext } from './assignment.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { rankPeers } from './peer-ranking.js';

/** How long the tasks of a job wait for capacity in their zone before they may move to another. */
export const ZONE_REASSIGNMENT_DELAY_MS = 5000;

/** What the decision reads beside the job. */
export type ZoneReassignmentContext = Pick<
  AssignmentContext,
  'now' | 'homeZone' | 'zones' | 'types' | 'freeCapacity' | 'random'
>;

/** Decision: these tasks are assigned to the zone and the shard. */
export interface ZoneReassignment {
  readonly tasks: RangeSet;
  readonly shard: ShardId;
  readonly zone: ZoneId;
  /** The announced capacity that they will use; null: the tasks only join the others of their job. */
  readonly freeCapacity: FreeCapacity | null;
}

/** Tasks that the record assigns to the zone, finished ones included: the strictest reading of the constraint. */
function tasksInZone(record: JobRecord, zone: ZoneId): number {
  let count = 0;
  for (const assignment of record.assignments)
    if (assignment.zone === zone) count += assignment.to - assignment.from;
  return count;
}

/** The assignments of tasks that may run: those in no zone only wait. */
const runnableAssignments = ({ assignments }: JobRecord): Assignment[] =>
  assignments.filter((assignment) => assignment.zone !== NO_ZONE);

/**
 * How many tasks of a job that must be in one zone may leave `fromZone`: all that may run, which is half of them where
 * the job must be spread too. They move together or not at all, so none of them may be or have been on a machine.
 */
function movableGroup({ record, waiting }: ShardJob, fromZone: ZoneId): number {
  const group = runnableAssignments(record);
  if (!record.done.isEmpty || group.some((assignment) => assignment.zone !== fromZone)) return 0;
  const tasks = RangeSet.of(group.map(({ from, to }) => [from, to] as const));
  for (const index of tasks) if (!waiting.has(index)) return 0;
  return tasks.size;
}

/** How many more tasks the job may have in the zone, of those that wait for `fromZone`. */
function remainingZoneAllowance(job: ShardJob, fromZone: ZoneId, zone: ZoneId): number {
  const { spec, record } = job;
  if (spec.oneZone) return movableGroup(job, fromZone);
  return Math.ceil(spec.tasks / 2) - tasksInZone(record, zone);
}

/**
 * Tasks that must be in one zone can only move together, and only the leader of a task's shard knows that the task is on
 * no machine. While they are split among shards, the waiting ones are collected on the one with the lowest number. null:
 * some task has ended, so that the others must stay in its zone.
 */
function collectingShard({ record }: ShardJob): ShardId | null {
  if (!record.done.isEmpty) return null;
  return Math.min(...runnableAssignments(record).map((assignment) => assignment.shard)) as ShardId;
}

/**
 * Which jobs may change their zone. Of one that must be both in one zone and spread, the tasks in no zone stay there. A
 * gang that is spread stays where it was assigned: its members would come to different shards.
 */
const mayChangeZone = (spec: JobSpec, fromZone: ZoneId): boolean =>
  spec.zone === null &&
  (spec.oneZone ? fromZone !== NO_ZONE : spec.spread) &&
  !(spec.kind === 'gang' && spec.spread);

/** Has the job waited long enough, and is it known of all its tasks whether they are on a machine? */
function isReassignmentDue(job: ShardJob, fromZone: ZoneId, now: SteadyMs): boolean {
  const { spec, waitingSince } = job;
  if (!mayChangeZone(spec, fromZone) || waitingSince === null) return false;
  if (now - waitingSince < ZONE_REASSIGNMENT_DELAY_MS) return false;
  return [job.handingOver, job.unaccounted, job.unconfirmed].every((tasks) => tasks.isEmpty);
}

function tasksWaitingFor(zone: ZoneId, job: ShardJob): RangeSet {
  const runs = waitingRuns(job).filter((run) => run.zone === zone);
  return RangeSet.of(runs.map((run) => [run.from, run.to] as const));
}

/** The best move for the tasks that wait for `fromZone`; null: no other zone has capacity that the job may use. */
export function chooseZoneReassignment(
  shard: ShardId,
  job: ShardJob,
  fromZone: ZoneId,
  context: ZoneReassignmentContext,
): ZoneReassignment | null {
  if (!isReassignmentDue(job, fromZone, context.now)) return null;
  const waiting = tasksWaitingFor(fromZone, job);
  const collector = job.spec.oneZone ? collectingShard(job) : null;
  if (collector !== null && collector !== shard)
    return { tasks: waiting, shard: collector, zone: fromZone, freeCapacity: null };
  const best = bestOtherZone(job, fromZone, waiting.size, context);
  if (!best) return null;
  const { zone, freeCapacity, count } = best;
  return { tasks: waiting.first(count), shard: freeCapacity.shard, zone, freeCapacity };
}

interface ZoneOption {
  readonly zone: ZoneId;
  readonly freeCapacity: FreeCapacity;
  /** Tasks that may move there. */
  readonly count: number;
}

/** The zone that takes most of the waiting tasks. */
function bestOtherZone(
  job: ShardJob,
  fromZone: ZoneId,
  waitingTasks: number,
  { zones, types, freeCapacity, homeZone, now, random }: ZoneReassignmentContext,
): ZoneOption | null {
  const { spec } = job;
  let best: ZoneOption | null = null;
  for (const zone of eligibleZones(spec, zones, types)) {
    if (zone === fromZone) continue;
    const bestPeer = rankPeers(freeCapacity.values(), homeZone, spec, zone, now, random)[0];
    if (!bestPeer) continue;
    const allowed = remainingZoneAllowance(job, fromZone, zone);
    const count = Math.min(waitingTasks, allowed, spec.oneZone ? allowed : bestPeer.capacity);
    if (count > (best?.count ?? 0)) best = { zone, freeCapacity: bestPeer.freeCapacity, count };
  }
  return best;
}
