/** Which part a new job's tasks are entrusted to, and in which zone those of a constrained job must be. */
import type { InstanceType } from '../cloud/wire.js';
import type { Assignment } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { covers, scale, fittingRatio, TOLERANCE, ZERO, type Resources } from '../model/resources.js';
import type { ImageId, ShardId, SteadyMs, ZoneId } from '../model/units.js';
import { mayRunOn } from '../model/constraints.js';
import { fits } from '../model/resources.js';
import type { Random } from '../model/random.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { taskCapacity, reserveCapacity, rankPeers } from './peer-ranking.js';

export interface AssignmentContext {
  readonly now: SteadyMs;
  readonly homeShard: ShardId;
  readonly homeZone: ZoneId;
  readonly shards: readonly { shard: ShardId; zone: ZoneId }[];
  readonly zones: readonly ZoneId[];
  readonly types: readonly InstanceType[];
  /** Announced room of every part, our own included. */
  readonly freeCapacity: ReadonlyMap<ShardId, FreeCapacity>;
  /** By part and image: what critical work could have at once where the image is. */
  readonly imageCapacity: ReadonlyMap<ShardId, ReadonlyMap<ImageId, Resources>>;
  readonly random: Random;
}

/** A zone that no machine is in: tasks of a spread job that no zone may take wait there. */
const NO_ZONE = '' as ZoneId;

function capacityInZone(context: AssignmentContext, spec: JobSpec, zone: ZoneId): number {
  let tasks = 0;
  for (const peer of context.freeCapacity.values())
    if (peer.expiresAt > context.now) tasks += taskCapacity(peer, spec, zone);
  return tasks;
}

const capacityWithImage = (context: AssignmentContext, spec: JobSpec, shard: ShardId): Resources =>
  context.imageCapacity.get(shard)?.get(spec.image) ?? ZERO;

/**
 * Critical work should start at once: where its image is, home if it is there, else nearest zone first, then most
 * room. null: nowhere, or not critical.
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
    (p) => (zone === null || p.zone === zone) && covers(capacityWithImage(context, spec, p.shard), needed),
  );
  if (candidates.some((p) => p.shard === context.homeShard)) return context.homeShard;
  const zoneDistance = (z: ZoneId): number => (z === context.homeZone ? 0 : 1);
  const taskSlots = (p: ShardId): number => fittingRatio(capacityWithImage(context, spec, p), spec);
  candidates.sort(
    (a, b) => zoneDistance(a.zone) - zoneDistance(b.zone) || taskSlots(b.shard) - taskSlots(a.shard),
  );
  return candidates[0]?.shard ?? null;
}

/** Critical tasks go where their image is, to one part if it can take all, else split by what each could start. */
function assignByImage(context: AssignmentContext, spec: JobSpec): Assignment[] {
  const singleShard = shardWithImage(context, spec, null, spec.tasks);
  if (singleShard !== null) return [{ from: 0, to: spec.tasks, shard: singleShard, zone: null }];
  if (spec.priority !== Priority.critical) return [];
  const taskSlots = (p: ShardId): number =>
    Math.floor(
      Math.min(Number.MAX_SAFE_INTEGER, fittingRatio(capacityWithImage(context, spec, p), spec)) + TOLERANCE,
    );
  const zoneDistance = (p: { shard: ShardId; zone: ZoneId }): number =>
    p.shard === context.homeShard ? 0 : p.zone === context.homeZone ? 1 : 2;
  const order = [...context.shards].sort(
    (a, b) => zoneDistance(a) - zoneDistance(b) || taskSlots(b.shard) - taskSlots(a.shard),
  );
  const assignments: Assignment[] = [];
  let nextTask = 0;
  for (const { shard } of order) {
    const to = Math.min(spec.tasks, nextTask + taskSlots(shard));
    if (to > nextTask) assignments.push({ from: nextTask, to, shard, zone: null });
    nextTask = to;
  }
  return assignments;
}

/** The part that should place tasks in a zone: ours if it is there, else the one with most room there. */
function shardForZone(context: AssignmentContext, spec: JobSpec, zone: ZoneId, count: number): ShardId {
  const withImage = shardWithImage(context, spec, zone, count);
  if (withImage !== null) return withImage;
  const homeCapacity = context.freeCapacity.get(context.homeShard);
  if (context.homeZone === zone && homeCapacity && taskCapacity(homeCapacity, spec, zone) >= count)
    return context.homeShard;
  const best = rankPeers(context.freeCapacity.values(), zone, spec, zone, context.now, context.random)[0];
  if (best) return best.freeCapacity.shard;
  if (context.homeZone === zone) return context.homeShard;
  return context.shards.find((p) => p.zone === zone)?.shard ?? context.homeShard;
}

function assignToZone(
  context: AssignmentContext,
  spec: JobSpec,
  from: number,
  to: number,
  zone: ZoneId,
): Assignment {
  const shard = shardForZone(context, spec, zone, to - from);
  const freeCapacity = context.freeCapacity.get(shard);
  if (freeCapacity) reserveCapacity(freeCapacity, spec, zone, to - from);
  return { from, to, shard, zone };
}

const zonesByCapacity = (context: AssignmentContext, spec: JobSpec, zones: readonly ZoneId[]): ZoneId[] =>
  [...zones].sort((a, b) => capacityInZone(context, spec, b) - capacityInZone(context, spec, a));

/** At most half of the tasks, rounded up, in one zone: fixed per task, so that any subset that runs is legal. */
function assignAcrossZones(
  context: AssignmentContext,
  spec: JobSpec,
  zones: readonly ZoneId[],
): Assignment[] {
  const maxPerZone = Math.ceil(spec.tasks / 2);
  const order = zonesByCapacity(context, spec, zones);
  const tasksPerZone = Math.min(maxPerZone, Math.ceil(spec.tasks / Math.max(1, order.length)));
  const assignments: Assignment[] = [];
  let nextTask = 0;
  for (const zone of order) {
    const to = Math.min(spec.tasks, nextTask + tasksPerZone);
    if (to > nextTask) assignments.push(assignToZone(context, spec, nextTask, to, zone));
    nextTask = to;
  }
  if (nextTask < spec.tasks)
    assignments.push({ from: nextTask, to: spec.tasks, shard: context.homeShard, zone: NO_ZONE });
  return assignments;
}

/** Home first; what exceeds its free room goes to peers that announced some, nearest zone first. */
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
  const others = [...context.freeCapacity.values()].filter((peer) => peer.shard !== context.homeShard);
  for (const { freeCapacity, capacity } of rankPeers(
    others,
    context.homeZone,
    spec,
    null,
    context.now,
    context.random,
  )) {
    if (nextTask >= spec.tasks) break;
    const to = Math.min(spec.tasks, nextTask + capacity);
    reserveCapacity(freeCapacity, spec, null, to - nextTask);
    assignments.push({ from: nextTask, to, shard: freeCapacity.shard, zone: null });
    nextTask = to;
  }
  if (nextTask < spec.tasks)
    assignments.push({ from: nextTask, to: spec.tasks, shard: context.homeShard, zone: null });
  return assignments;
}

/** A gang stays in one part: home if it has room for all, else the nearest that announced room for all. */
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
  const fitting = rankedPeers.find((peer) => peer.capacity >= spec.tasks);
  const staysHome = !homeCapacity || taskCapacity(homeCapacity, spec, spec.zone) >= spec.tasks || !fitting;
  return {
    from: 0,
    to: spec.tasks,
    shard: staysHome ? context.homeShard : fitting.freeCapacity.shard,
    zone: spec.zone,
  };
}

/** Zones in which the cloud has machines that can take a task; all zones while no type is known to. */
export function eligibleZones(
  spec: JobSpec,
  zones: readonly ZoneId[],
  types: readonly InstanceType[],
): readonly ZoneId[] {
  const eligible = zones.filter((zone) =>
    types.some((t) => t.zones.includes(zone) && fits(spec, t) && mayRunOn(spec, t.name, zone, false, null)),
  );
  return eligible.length > 0 ? eligible : zones;
}

export function assignJob(spec: JobSpec, context: AssignmentContext): Assignment[] {
  const zones = eligibleZones(spec, spec.zone === null ? context.zones : [spec.zone], context.types);
  // A job that asks for one zone and to be spread never runs whole: half of it in one zone breaks neither promise.
  if (spec.spread && spec.tasks > 1) {
    const assignments = assignAcrossZones(
      context,
      spec,
      spec.oneZone ? zonesByCapacity(context, spec, zones).slice(0, 1) : zones,
    );
    // A gang has one owner, also where its tasks are in several zones.
    return spec.kind === 'gang' ? assignments.map((a) => ({ ...a, shard: context.homeShard })) : assignments;
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
