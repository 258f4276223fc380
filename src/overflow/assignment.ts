/**
 * Assigns the tasks of a new job to shards, and the tasks of a constrained job to zones. The only side effect is that
 * assigned capacity is subtracted from the announced free capacity.
 */
import { NO_ZONE, type Assignment } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { covers, scale, fittingRatio, TOLERANCE, ZERO, type Resources } from '../model/resources.js';
import type { ShardId, ZoneId } from '../model/units.js';
import { eligibleZones, shardSitedIn, type AssignmentContext } from './assignment-context.js';
import { taskCapacity, reserveCapacity, rankPeers } from './peer-ranking.js';

function capacityInZone(context: AssignmentContext, spec: JobSpec, zone: ZoneId): number {
  let tasks = 0;
  for (const peer of context.freeCapacity.values())
    if (peer.expiresAt > context.now) tasks += taskCapacity(peer, spec, zone);
  return tasks;
}

const capacityWithImage = (context: AssignmentContext, spec: JobSpec, shard: ShardId): Resources =>
  context.imageCapacity.get(shard)?.get(spec.image) ?? ZERO;

/**
 * Finds a shard where `count` critical tasks can start at once on machines that hold their image: the home shard if
 * possible, else by zone, then by capacity. Returns null if there is none or the job is not critical.
 */
function shardWithImage(
  context: AssignmentContext,
  spec: JobSpec,
  zone: ZoneId | null,
  count: number,
): ShardId | null {
  if (spec.priority !== Priority.critical) return null;
  const needed = scale(spec, count);
  const candidates = context.shards.filter(
    (candidate) =>
      (zone === null || candidate.zone === zone) &&
      covers(capacityWithImage(context, spec, candidate.shard), needed),
  );
  if (candidates.some((candidate) => candidate.shard === context.homeShard)) return context.homeShard;
  const zoneDistance = (candidateZone: ZoneId): number => (candidateZone === context.homeZone ? 0 : 1);
  const taskRatio = (shard: ShardId): number => fittingRatio(capacityWithImage(context, spec, shard), spec);
  candidates.sort(
    (first, second) =>
      zoneDistance(first.zone) - zoneDistance(second.zone) ||
      taskRatio(second.shard) - taskRatio(first.shard),
  );
  return candidates[0]?.shard ?? null;
}

/** Assigns critical tasks to one shard whose machines hold their image, or to several by what each can start. */
function assignByImage(context: AssignmentContext, spec: JobSpec): Assignment[] {
  const singleShard = shardWithImage(context, spec, null, spec.tasks);
  if (singleShard !== null) return [{ from: 0, to: spec.tasks, shard: singleShard, zone: null }];
  if (spec.priority !== Priority.critical) return [];
  const taskSlots = (shard: ShardId): number => {
    const ratio = fittingRatio(capacityWithImage(context, spec, shard), spec);
    return Math.floor(Math.min(Number.MAX_SAFE_INTEGER, ratio) + TOLERANCE);
  };
  const distance = ({ shard, zone }: AssignmentContext['shards'][number]): number => {
    if (shard === context.homeShard) return 0;
    return zone === context.homeZone ? 1 : 2;
  };
  const nearestFirst = [...context.shards].sort(
    (first, second) => distance(first) - distance(second) || taskSlots(second.shard) - taskSlots(first.shard),
  );
  const assignments: Assignment[] = [];
  let nextTask = 0;
  for (const { shard } of nearestFirst) {
    const end = Math.min(spec.tasks, nextTask + taskSlots(shard));
    if (end > nextTask) assignments.push({ from: nextTask, to: end, shard, zone: null });
    nextTask = end;
  }
  return assignments;
}

/** Chooses the shard for tasks in a zone: one with the image, else the home shard if it fits, else the best peer. */
function shardForZone(context: AssignmentContext, spec: JobSpec, zone: ZoneId, count: number): ShardId {
  const withImage = shardWithImage(context, spec, zone, count);
  if (withImage !== null) return withImage;
  const homeCapacity = context.freeCapacity.get(context.homeShard);
  if (context.homeZone === zone && homeCapacity && taskCapacity(homeCapacity, spec, zone) >= count)
    return context.homeShard;
  const bestPeer = rankPeers(context.freeCapacity.values(), zone, spec, zone, context.now, context.random)[0];
  if (bestPeer) return bestPeer.freeCapacity.shard;
  return shardSitedIn(zone, context);
}

/** Assigns the tasks from `start` to before `end` to a zone, and reserves capacity on the chosen shard. */
function assignToZone(
  context: AssignmentContext,
  spec: JobSpec,
  start: number,
  end: number,
  zone: ZoneId,
): Assignment {
  const shard = shardForZone(context, spec, zone, end - start);
  const freeCapacity = context.freeCapacity.get(shard);
  if (freeCapacity) reserveCapacity(freeCapacity, spec, zone, end - start);
  return { from: start, to: end, shard, zone };
}

const zonesByCapacity = (context: AssignmentContext, spec: JobSpec, zones: readonly ZoneId[]): ZoneId[] =>
  [...zones].sort(
    (first, second) => capacityInZone(context, spec, second) - capacityInZone(context, spec, first),
  );

/**
 * Assigns at most half of the tasks, rounded up, to a zone, so that any subset of them may run. Tasks that no zone may
 * take yet wait for others to finish.
 */
function assignAcrossZones(
  context: AssignmentContext,
  spec: JobSpec,
  zones: readonly ZoneId[],
): Assignment[] {
  const maxPerZone = Math.ceil(spec.tasks / 2);
  const zonesInOrder = zonesByCapacity(context, spec, zones);
  const tasksPerZone = Math.min(maxPerZone, Math.ceil(spec.tasks / Math.max(1, zonesInOrder.length)));
  const assignments: Assignment[] = [];
  let nextTask = 0;
  for (const zone of zonesInOrder) {
    const end = Math.min(spec.tasks, nextTask + tasksPerZone);
    if (end > nextTask) assignments.push(assignToZone(context, spec, nextTask, end, zone));
    nextTask = end;
  }
  if (nextTask < spec.tasks)
    assignments.push({ from: nextTask, to: spec.tasks, shard: context.homeShard, zone: NO_ZONE });
  return assignments;
}

/** Fills the home shard, then peers by rank, up to their free capacity. Other tasks stay on the home shard. */
function assignWithOverflow(context: AssignmentContext, spec: JobSpec): Assignment[] {
  const assignments = assignByImage(context, spec);
  let nextTask = assignments.at(-1)?.to ?? 0;
  const homeCapacity = context.freeCapacity.get(context.homeShard);
  const homeTasks = homeCapacity
    ? Math.min(spec.tasks - nextTask, taskCapacity(homeCapacity, spec, null))
    : spec.tasks - nextTask;
  if (homeCapacity) reserveCapacity(homeCapacity, spec, null, homeTasks);
  if (homeTasks > 0)
    assignments.push({ from: nextTask, to: nextTask + homeTasks, shard: context.homeShard, zone: null });
  nextTask += homeTasks;
  const peers = [...context.freeCapacity.values()].filter((peer) => peer.shard !== context.homeShard);
  for (const { freeCapacity, capacity } of rankPeers(
    peers,
    context.homeZone,
    spec,
    null,
    context.now,
    context.random,
  )) {
    if (nextTask >= spec.tasks) break;
    const end = Math.min(spec.tasks, nextTask + capacity);
    reserveCapacity(freeCapacity, spec, null, end - nextTask);
    assignments.push({ from: nextTask, to: end, shard: freeCapacity.shard, zone: null });
    nextTask = end;
  }
  if (nextTask < spec.tasks)
    assignments.push({ from: nextTask, to: spec.tasks, shard: context.homeShard, zone: null });
  return assignments;
}

/** Assigns a gang to one shard: the home shard if it has capacity for all members, else the best peer that has. */
function assignGang(context: AssignmentContext, spec: JobSpec): Assignment {
  const homeCapacity = context.freeCapacity.get(context.homeShard);
  const rankedPeers = rankPeers(
    context.freeCapacity.values(),
    context.homeZone,
    spec,
    spec.zone,
    context.now,
    context.random,
  );
  const fittingPeer = rankedPeers.find((peer) => peer.capacity >= spec.tasks);
  const useHomeShard =
    !homeCapacity || taskCapacity(homeCapacity, spec, spec.zone) >= spec.tasks || !fittingPeer;
  return {
    from: 0,
    to: spec.tasks,
    shard: useHomeShard ? context.homeShard : fittingPeer.freeCapacity.shard,
    zone: spec.zone,
  };
}

/** Assigns each task of a new job to a shard, and to a zone if the job is constrained. Covers all tasks in order. */
export function assignJob(spec: JobSpec, context: AssignmentContext): Assignment[] {
  const zones = eligibleZones(spec, spec.zone === null ? context.zones : [spec.zone], context.types);
  // Half of a job that must be both in one zone and spread may run at a time; the other half of an array follows.
  if (spec.spread && spec.tasks > 1) {
    const assignments = assignAcrossZones(
      context,
      spec,
      spec.oneZone ? zonesByCapacity(context, spec, zones).slice(0, 1) : zones,
    );
    // A gang belongs to one shard, also if its members are in several zones.
    return spec.kind === 'gang'
      ? assignments.map((assignment) => ({ ...assignment, shard: context.homeShard }))
      : assignments;
  }
  if (spec.oneZone)
    return [
      assignToZone(
        context,
        spec,
        0,
        spec.tasks,
        zonesByCapacity(context, spec, zones)[0] ?? context.homeZone,
      ),
    ];
  if (spec.kind === 'gang') return [assignGang(context, spec)];
  if (spec.zone !== null) return [assignToZone(context, spec, 0, spec.tasks, spec.zone)];
  return assignWithOverflow(context, spec);
}
