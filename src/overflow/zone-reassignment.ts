/**
 * Decides when waiting tasks of a constrained job move to another zone: because their zone has had no capacity for some
 * time, for example after the loss of a zone, or out of `NO_ZONE` into the places of finished tasks. Pure. Only tasks
 * that are certainly on no machine move, with one compare-and-swap of the job's record, so that the running tasks
 * satisfy the constraints of the job at any time.
 */
import type { JobSpec } from '../jobs/spec.js';
import { isRealZone, NO_ZONE, type Assignment, type JobRecord } from '../jobs/record.js';
import { waitingRanges, type ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { ShardId, SteadyMs, ZoneId } from '../model/units.js';
import { eligibleZones, shardSitedIn, type AssignmentContext } from './assignment-context.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { rankPeers } from './peer-ranking.js';

/** How long the tasks of a job wait for capacity in their zone before they may move to another. */
export const ZONE_REASSIGNMENT_DELAY_MS = 5000;

/** Inputs of the decision in addition to the job. */
export type ZoneReassignmentContext = Pick<
  AssignmentContext,
  'now' | 'homeZone' | 'shards' | 'zones' | 'types' | 'freeCapacity' | 'random'
>;

/** The decision to assign tasks to another zone and shard. */
export interface ZoneReassignment {
  readonly tasks: RangeSet;
  readonly shard: ShardId;
  readonly zone: ZoneId;
  /**
   * The announced capacity that the tasks will use. Null if they only join the other tasks of their job, or wait for
   * capacity in the zone.
   */
  readonly freeCapacity: FreeCapacity | null;
}

/**
 * Counts the tasks that the record assigns to the zone. Includes finished tasks until their zone is released, since a
 * machine may still hold them (`jobs/zone-release.ts`).
 */
function tasksInZone(record: JobRecord, zone: ZoneId): number {
  let count = 0;
  for (const assignment of record.assignments)
    if (assignment.zone === zone) count += assignment.to - assignment.from;
  return count;
}

/** Returns the assignments of tasks that may run; tasks assigned to no zone only wait. */
const runnableAssignments = ({ assignments }: JobRecord): Assignment[] =>
  assignments.filter((assignment) => assignment.zone !== NO_ZONE);

function assignedTasks(assignments: readonly Assignment[]): RangeSet {
  return RangeSet.of(assignments.map(({ from, to }) => [from, to] as const));
}

/**
 * Returns how many tasks of a job that must be in one zone may leave `fromZone`: all tasks that may run, which is half
 * of the tasks if the job must also be spread. They move together or not at all, so none of them may be on a machine;
 * finished tasks count until their zone is released.
 */
function movableGroupSize({ record, waiting }: ShardJob, fromZone: ZoneId): number {
  const group = runnableAssignments(record);
  if (group.some((assignment) => assignment.zone !== fromZone)) return 0;
  const tasks = assignedTasks(group);
  for (const index of tasks) if (!waiting.has(index)) return 0;
  return tasks.size;
}

/** Whether the record assigns no task to a zone other than this one. */
const isOnlyZone = ({ assignments }: JobRecord, zone: ZoneId): boolean =>
  assignments.every((assignment) => !isRealZone(assignment.zone) || assignment.zone === zone);

/** Returns how many of the tasks that wait for `fromZone` may move to `zone`. */
function remainingZoneAllowance(job: ShardJob, fromZone: ZoneId, zone: ZoneId): number {
  const { spec, record } = job;
  if (spec.oneZone && fromZone !== NO_ZONE) return movableGroupSize(job, fromZone);
  if (spec.oneZone && !isOnlyZone(record, zone)) return 0;
  return Math.ceil(spec.tasks / 2) - tasksInZone(record, zone);
}

/**
 * Returns the shard that collects the tasks of a job that must be in one zone. These tasks can only move together, and
 * only the leader of a task's shard knows that the task is on no machine. While the tasks are split among shards, the
 * waiting ones are collected on the shard with the lowest number. Returns null if the zone of a finished task is not
 * released: the others must stay in it.
 */
function collectingShard({ record }: ShardJob): ShardId | null {
  const group = runnableAssignments(record);
  if (!assignedTasks(group).intersect(record.done).isEmpty) return null;
  return Math.min(...group.map((assignment) => assignment.shard)) as ShardId;
}

/**
 * Whether a job's tasks in `fromZone` may change their zone: out of `NO_ZONE` into any zone that the job allows. A gang
 * that is spread stays where it was assigned: otherwise its members could be moved to different shards.
 */
const mayChangeZone = (spec: JobSpec, fromZone: ZoneId): boolean =>
  (spec.zone === null || fromZone === NO_ZONE) &&
  (spec.oneZone || spec.spread) &&
  !(spec.kind === 'gang' && spec.spread);

/** Whether the tasks have waited long enough for capacity in their zone. In `NO_ZONE` they wait for a place only. */
const hasWaitedInZone = ({ waitingSince }: ShardJob, fromZone: ZoneId, now: SteadyMs): boolean =>
  fromZone === NO_ZONE || (waitingSince !== null && now - waitingSince >= ZONE_REASSIGNMENT_DELAY_MS);

/** Whether the job has waited long enough and it is known for each of its tasks whether the task is on a machine. */
function isReassignmentDue(job: ShardJob, fromZone: ZoneId, now: SteadyMs): boolean {
  if (!mayChangeZone(job.spec, fromZone) || !hasWaitedInZone(job, fromZone, now)) return false;
  return [job.transferring, job.unaccounted, job.unconfirmed].every((tasks) => tasks.isEmpty);
}

function tasksWaitingFor(zone: ZoneId, job: ShardJob): RangeSet {
  const ranges = waitingRanges(job).filter((range) => range.zone === zone);
  return RangeSet.of(ranges.map((range) => [range.start, range.end] as const));
}

/**
 * Returns the best move for the tasks that wait for `fromZone`, or null if no move is due or no other zone has
 * capacity.
 */
export function chooseZoneReassignment(
  shard: ShardId,
  job: ShardJob,
  fromZone: ZoneId,
  context: ZoneReassignmentContext,
): ZoneReassignment | null {
  if (!isReassignmentDue(job, fromZone, context.now)) return null;
  const waiting = tasksWaitingFor(fromZone, job);
  const collector = job.spec.oneZone && fromZone !== NO_ZONE ? collectingShard(job) : null;
  if (collector !== null && collector !== shard)
    return { tasks: waiting, shard: collector, zone: fromZone, freeCapacity: null };
  const bestOption = findBestOtherZone(job, fromZone, waiting.size, context);
  if (!bestOption)
    return fromZone === NO_ZONE ? chooseZoneWithoutCapacity(shard, job, waiting, context) : null;
  const { zone, freeCapacity, count } = bestOption;
  return { tasks: waiting.first(count), shard: freeCapacity.shard, zone, freeCapacity };
}

/**
 * Chooses a zone that may take some of the waiting tasks although no capacity is announced there, so that they are
 * counted as demand for it.
 */
function chooseZoneWithoutCapacity(
  shard: ShardId,
  job: ShardJob,
  waiting: RangeSet,
  context: ZoneReassignmentContext,
): ZoneReassignment | null {
  for (const zone of allowedZones(job.spec, context)) {
    const allowed = remainingZoneAllowance(job, NO_ZONE, zone);
    if (allowed <= 0) continue;
    const receivingShard = shardSitedIn(zone, { ...context, homeShard: shard });
    return { tasks: waiting.first(allowed), shard: receivingShard, zone, freeCapacity: null };
  }
  return null;
}

/** Returns the zones in which some instance type can run a task of the job. */
const allowedZones = (
  spec: JobSpec,
  { zones, types }: Pick<ZoneReassignmentContext, 'zones' | 'types'>,
): readonly ZoneId[] => eligibleZones(spec, spec.zone === null ? zones : [spec.zone], types);

/** A zone that can take some of the waiting tasks. */
interface ZoneOption {
  readonly zone: ZoneId;
  readonly freeCapacity: FreeCapacity;
  /** Number of tasks that may move to the zone. */
  readonly count: number;
}

/** Finds the zone that takes the most of the waiting tasks. */
function findBestOtherZone(
  job: ShardJob,
  fromZone: ZoneId,
  waitingTasks: number,
  context: ZoneReassignmentContext,
): ZoneOption | null {
  const { spec } = job;
  const { freeCapacity, homeZone, now, random } = context;
  let bestOption: ZoneOption | null = null;
  for (const zone of allowedZones(spec, context)) {
    if (zone === fromZone) continue;
    const allowed = remainingZoneAllowance(job, fromZone, zone);
    if (allowed <= 0) continue;
    const bestPeer = rankPeers(freeCapacity.values(), homeZone, spec, zone, now, random)[0];
    if (!bestPeer) continue;
    const movesAsGroup = spec.oneZone && fromZone !== NO_ZONE;
    const count = Math.min(waitingTasks, allowed, movesAsGroup ? allowed : bestPeer.capacity);
    if (count > (bestOption?.count ?? 0)) bestOption = { zone, freeCapacity: bestPeer.freeCapacity, count };
  }
  return bestOption;
}
