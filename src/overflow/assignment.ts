/** Which part a new job's tasks are entrusted to, and in which zone those of a constrained job must be. */
import type { MachineType } from '../cloud/wire.js';
import type { Assignment } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { covers, scale, fittingRatio, TOLERANCE, ZERO, type Resources } from '../model/resources.js';
import type { ImageId, ShardId, SteadyMs, ZoneId } from '../model/units.js';
import { mayRunOn } from '../model/constraints.js';
import { fits } from '../model/resources.js';
import { capacityFor, reserve, rankPeers, type FreeCapacity, type Random } from './peer-ranking.js';

export interface AssignContext {
  readonly now: SteadyMs;
  readonly home: ShardId;
  readonly homeZone: ZoneId;
  readonly parts: readonly { part: ShardId; zone: ZoneId }[];
  readonly zones: readonly ZoneId[];
  readonly types: readonly MachineType[];
  /** Announced room of every part, our own included. */
  readonly freeCapacity: ReadonlyMap<ShardId, FreeCapacity>;
  /** By part and image: what critical work could have at once where the image is. */
  readonly ready: ReadonlyMap<ShardId, ReadonlyMap<ImageId, Resources>>;
  readonly random: Random;
}

/** A zone that no machine is in: tasks of a spread job that no zone may take wait there. */
const NOWHERE = '' as ZoneId;

function capacityInZone(ctx: AssignContext, spec: JobSpec, zone: ZoneId): number {
  let n = 0;
  for (const o of ctx.freeCapacity.values()) if (o.expires > ctx.now) n += capacityFor(o, spec, zone);
  return n;
}

const readyFor = (ctx: AssignContext, spec: JobSpec, shard: ShardId): Resources =>
  ctx.ready.get(shard)?.get(spec.image) ?? ZERO;

/**
 * Critical work should start at once: where its image is, home if it is there, else nearest zone first, then most
 * room. null: nowhere, or not critical.
 */
function readyPart(ctx: AssignContext, spec: JobSpec, zone: ZoneId | null, count: number): ShardId | null {
  if (spec.priority !== Priority.critical) return null;
  const all = scale(spec, count);
  const able = ctx.parts.filter(
    (p) => (zone === null || p.zone === zone) && covers(readyFor(ctx, spec, p.part), all),
  );
  if (able.some((p) => p.part === ctx.home)) return ctx.home;
  const far = (z: ZoneId): number => (z === ctx.homeZone ? 0 : 1);
  const ready = (p: ShardId): number => fittingRatio(readyFor(ctx, spec, p), spec);
  able.sort((a, b) => far(a.zone) - far(b.zone) || ready(b.part) - ready(a.part));
  return able[0]?.part ?? null;
}

/** Critical tasks go where their image is, to one part if it can take all, else split by what each could start. */
function whereReady(ctx: AssignContext, spec: JobSpec): Assignment[] {
  const one = readyPart(ctx, spec, null, spec.tasks);
  if (one !== null) return [{ from: 0, to: spec.tasks, shard: one, zone: null }];
  if (spec.priority !== Priority.critical) return [];
  const slots = (p: ShardId): number =>
    Math.floor(Math.min(Number.MAX_SAFE_INTEGER, fittingRatio(readyFor(ctx, spec, p), spec)) + TOLERANCE);
  const far = (p: { part: ShardId; zone: ZoneId }): number =>
    p.part === ctx.home ? 0 : p.zone === ctx.homeZone ? 1 : 2;
  const order = [...ctx.parts].sort((a, b) => far(a) - far(b) || slots(b.part) - slots(a.part));
  const out: Assignment[] = [];
  let at = 0;
  for (const { part: shard } of order) {
    const to = Math.min(spec.tasks, at + slots(shard));
    if (to > at) out.push({ from: at, to, shard: shard, zone: null });
    at = to;
  }
  return out;
}

/** The part that should place tasks in a zone: ours if it is there, else the one with most room there. */
function partFor(ctx: AssignContext, spec: JobSpec, zone: ZoneId, count: number): ShardId {
  const ready = readyPart(ctx, spec, zone, count);
  if (ready !== null) return ready;
  const own = ctx.freeCapacity.get(ctx.home);
  if (ctx.homeZone === zone && own && capacityFor(own, spec, zone) >= count) return ctx.home;
  const best = rankPeers(ctx.freeCapacity.values(), zone, spec, zone, ctx.now, ctx.random)[0];
  if (best) return best.offer.part;
  if (ctx.homeZone === zone) return ctx.home;
  return ctx.parts.find((p) => p.zone === zone)?.part ?? ctx.home;
}

function pinned(ctx: AssignContext, spec: JobSpec, from: number, to: number, zone: ZoneId): Assignment {
  const shard = partFor(ctx, spec, zone, to - from);
  const offer = ctx.freeCapacity.get(shard);
  if (offer) reserve(offer, spec, zone, to - from);
  return { from, to, shard: shard, zone };
}

const byRoom = (ctx: AssignContext, spec: JobSpec, zones: readonly ZoneId[]): ZoneId[] =>
  [...zones].sort((a, b) => capacityInZone(ctx, spec, b) - capacityInZone(ctx, spec, a));

/** At most half of the tasks, rounded up, in one zone: fixed per task, so that any subset that runs is legal. */
function spread(ctx: AssignContext, spec: JobSpec, zones: readonly ZoneId[]): Assignment[] {
  const cap = Math.ceil(spec.tasks / 2);
  const order = byRoom(ctx, spec, zones);
  const each = Math.min(cap, Math.ceil(spec.tasks / Math.max(1, order.length)));
  const out: Assignment[] = [];
  let at = 0;
  for (const zone of order) {
    const to = Math.min(spec.tasks, at + each);
    if (to > at) out.push(pinned(ctx, spec, at, to, zone));
    at = to;
  }
  if (at < spec.tasks) out.push({ from: at, to: spec.tasks, shard: ctx.home, zone: NOWHERE });
  return out;
}

/** Home first; what exceeds its free room goes to peers that announced some, nearest zone first. */
function overflow(ctx: AssignContext, spec: JobSpec): Assignment[] {
  const out = whereReady(ctx, spec);
  let at = out.at(-1)?.to ?? 0;
  const own = ctx.freeCapacity.get(ctx.home);
  const here = own ? Math.min(spec.tasks - at, capacityFor(own, spec, null)) : spec.tasks - at;
  if (own) reserve(own, spec, null, here);
  if (here > 0) out.push({ from: at, to: at + here, shard: ctx.home, zone: null });
  at += here;
  const others = [...ctx.freeCapacity.values()].filter((o) => o.part !== ctx.home);
  for (const { offer, capacity } of rankPeers(others, ctx.homeZone, spec, null, ctx.now, ctx.random)) {
    if (at >= spec.tasks) break;
    const to = Math.min(spec.tasks, at + capacity);
    reserve(offer, spec, null, to - at);
    out.push({ from: at, to, shard: offer.part, zone: null });
    at = to;
  }
  if (at < spec.tasks) out.push({ from: at, to: spec.tasks, shard: ctx.home, zone: null });
  return out;
}

/** A gang stays in one part: home if it has room for all, else the nearest that announced room for all. */
function whole(ctx: AssignContext, spec: JobSpec): Assignment {
  const own = ctx.freeCapacity.get(ctx.home);
  const list = rankPeers(ctx.freeCapacity.values(), ctx.homeZone, spec, spec.zone, ctx.now, ctx.random);
  const fitting = list.find((o) => o.capacity >= spec.tasks);
  const home = !own || capacityFor(own, spec, spec.zone) >= spec.tasks || !fitting;
  return { from: 0, to: spec.tasks, shard: home ? ctx.home : fitting.offer.part, zone: spec.zone };
}

/** Zones in which the cloud has machines that can take a task; all zones while no type is known to. */
export function eligibleZones(
  spec: JobSpec,
  zones: readonly ZoneId[],
  types: readonly MachineType[],
): readonly ZoneId[] {
  const eligible = zones.filter((zone) =>
    types.some((t) => t.zones.includes(zone) && fits(spec, t) && mayRunOn(spec, t.name, zone, false, null)),
  );
  return eligible.length > 0 ? eligible : zones;
}

export function assignJob(spec: JobSpec, ctx: AssignContext): Assignment[] {
  const zones = eligibleZones(spec, spec.zone === null ? ctx.zones : [spec.zone], ctx.types);
  // A job that asks for one zone and to be spread never runs whole: half of it in one zone breaks neither promise.
  if (spec.spread && spec.tasks > 1) {
    const placed = spread(ctx, spec, spec.oneZone ? byRoom(ctx, spec, zones).slice(0, 1) : zones);
    // A gang has one owner, also where its tasks are in several zones.
    return spec.kind === 'gang' ? placed.map((a) => ({ ...a, shard: ctx.home })) : placed;
  }
  if (spec.oneZone) return [pinned(ctx, spec, 0, spec.tasks, byRoom(ctx, spec, zones)[0] ?? ctx.homeZone)];
  if (spec.kind === 'gang') return [whole(ctx, spec)];
  if (spec.zone !== null) return [pinned(ctx, spec, 0, spec.tasks, spec.zone)];
  return overflow(ctx, spec);
}
