/**
 * Moves replicas together once nothing waits and half of all room is free: a machine kept for one replica costs as much as a full one. One at a
 * time, from the machine with the fewest to one that holds the image, so that it is away for a moment only. Pure.
 */
import {
  addTo,
  asCpus,
  fits,
  freeAsCpus,
  isZero,
  largestOf,
  scale,
  sizeOf,
  subtract,
  TOLERANCE,
  ZERO,
  type MutableResources,
} from '../model/resources.js';
import type { Allocation, Machine, Shard } from '../shards/model.js';
import { hasUnknownUsage, requiredZone, freeResources } from '../shards/model.js';
import { mayRunOn } from '../model/constraints.js';
import { usable, type PlanContext } from './round.js';

export interface Move {
  readonly binding: Allocation;
  readonly to: Machine;
}

/** A start counts as one only after 30 s without a stop. */
const SETTLED_FOR = 60_000;
type Context = Pick<PlanContext, 'now' | 'types' | 'reportMs'>;

export function chooseMove(shard: Shard, ctx: Context): Move | null {
  if (!isMostlyFree(shard, ctx)) return null;
  const from = emptiest(shard, ctx);
  if (!from) return null;
  const moves: Move[] = [];
  const taken = new Map<Machine, number>();
  for (const allocation of from.allocations.values()) {
    const to = target(shard, from, allocation, taken, ctx);
    // Only what frees the whole machine is worth a move.
    if (!to) return null;
    taken.set(to, (taken.get(to) ?? 0) + 1);
    moves.push({ binding: allocation, to });
  }
  return moves[0] ?? null;
}

/** While there is work, spread replicas lose less with a machine, and holders of an image have work that can make way. */
function isMostlyFree(shard: Shard, ctx: Context): boolean {
  const total: MutableResources = { ...ZERO };
  const used: MutableResources = { ...ZERO };
  for (const m of shard.machines.values()) {
    addTo(total, ctx.types.get(m.type) ?? ZERO);
    addTo(used, m.used);
  }
  return fits(scale(used, 2), total);
}

/** By the dominant resource, as CPUs of the machine. */
const loadOf = (m: Machine, ctx: Context): number => asCpus(m.used, ctx.types.get(m.type) ?? ZERO);

function criticalLoadOf(m: Machine, ctx: Context): number {
  return asCpus(subtract(m.used, m.preemptible), ctx.types.get(m.type) ?? ZERO);
}

/** Of the machines with nothing but settled replicas the one with the least on it. */
function emptiest(shard: Shard, ctx: Context): Machine | null {
  let best: Machine | null = null;
  for (const m of shard.machines.values()) {
    if (m.allocations.size === 0 || !isZero(m.preemptible) || hasUnknownUsage(m) || !usable(m, ctx)) continue;
    if (best && loadOf(m, ctx) >= loadOf(best, ctx)) continue;
    if ([...m.allocations.values()].every((b) => settled(b, ctx))) best = m;
  }
  return best;
}

const settled = (b: Allocation, ctx: Context): boolean =>
  b.spec?.kind === 'service' &&
  b.stop === null &&
  b.runningSince !== null &&
  ctx.now - b.runningSince > SETTLED_FOR;

/** Kept free where an image is, for the next service that comes: as much as the largest machine has, in CPUs. */
const headroomCpus = (ctx: Context): number => largestOf(ctx.types.values()).cpus;

/** The fullest machine that holds the image and has more on it than the one to be freed. */
function target(
  shard: Shard,
  from: Machine,
  b: Allocation,
  taken: ReadonlyMap<Machine, number>,
  ctx: Context,
): Machine | null {
  const job = shard.jobs.get(b.job);
  if (!b.spec || !job) return null;
  const pin = requiredZone(job, b.index);
  let best: Machine | null = null;
  let headroom = 0;
  for (const m of shard.totals.machinesWithImage(b.spec.image)) {
    if (m === from || !usable(m, ctx) || !mayRunOn(b.spec, m.type, m.zone, m.spot, pin)) continue;
    const type = ctx.types.get(m.type) ?? ZERO;
    const left = subtract(freeResources(m, ctx.types.get(m.type)), scale(b.spec, taken.get(m) ?? 0));
    headroom += Math.max(0, freeAsCpus(left, type, b.spec));
    if (criticalLoadOf(m, ctx) <= loadOf(from, ctx) - TOLERANCE || !fits(b.spec, left)) continue;
    if (!best || loadOf(m, ctx) > loadOf(best, ctx)) best = m;
  }
  const needed = headroomCpus(ctx) + sizeOf(b.spec, ctx.types.values());
  return headroom >= needed ? best : null;
}
