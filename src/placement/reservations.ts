/**
 * What is kept for jobs that have waited too long: machines that empty for them, and a share of their team's limit.
 * Without it smaller tasks would take each piece of a machine or of a limit as soon as it comes free. Pure.
 */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { mayRunOn } from '../model/constraints.js';
import {
  add,
  dominantShare,
  fits,
  freeAsCpus,
  scale,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import { requiredZone, type Machine, type Shard, type ShardJob } from '../shards/model.js';
import type { MachineId, ZoneId } from '../model/units.js';
import { chargeAll, scratchRoom, take, type Plan, type PlanContext, type Scratch } from './round.js';

/** What finds no room, or no share of its team's limit, has some reserved after this time, in milliseconds. */
const RESERVE_AFTER = 60_000;
/** Of a part's machines, one in this many at most empties for jobs whose tasks fit nowhere. */
const RESERVED_SHARE = 8;
/** A task that takes at least this share of some resource of a machine may have one reserved. */
const MOST_OF_MACHINE = 0.5;

/** How long the job has waited without any start; 0: it has begun. */
export function unbegunFor(shard: Shard, job: ShardJob, ctx: PlanContext): number {
  const begun = !job.record.done.isEmpty || !job.finished.isEmpty || shard.allocationsByJob.has(job.id);
  return begun ? 0 : ctx.now - job.acceptedAt;
}

/** Smaller tasks find a piece of some machine soon. */
const needsMost = (type: MachineType, spec: JobSpec): boolean =>
  fits(spec, type) && dominantShare(spec, type) >= MOST_OF_MACHINE;

/** Free CPUs, or GPUs as CPUs where the task needs them and they are scarcer. Memory does not choose the machine. */
const freeForReserve = (room: Resources, type: MachineType, spec: JobSpec): number =>
  freeAsCpus(room, type, { cpus: 0, gpus: spec.gpus, memoryGb: 0 });

/**
 * A task that needs most of a machine fits nowhere as long as smaller ones take each piece that comes free. After a
 * while one machine is kept for it and empties. One for each job, and few of a part's machines at a time.
 */
export function reservePlace(
  shard: Shard,
  job: ShardJob,
  index: number,
  pin: ZoneId | null,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): boolean {
  const { spec } = job;
  if (unbegunFor(shard, job, ctx) <= RESERVE_AFTER || job.reservations.size > 0) return false;
  if (plan.holds.some((h) => h.job === job)) return false;
  const most = Math.max(1, Math.floor(shard.machines.size / RESERVED_SHARE));
  if (s.reserved + plan.holds.filter((h) => h.reserved).length >= most) return false;
  let best: { machine: Machine; room: MutableResources; free: number } | null = null;
  for (const machine of shard.machines.values()) {
    const type = ctx.types.get(machine.type);
    if (!type || !needsMost(type, spec) || !mayRunOn(spec, machine.type, machine.zone, machine.spot, pin))
      continue;
    const room = scratchRoom(machine, s, ctx);
    if (!room) continue;
    const free = freeForReserve(room, type, spec);
    if (!best || free > best.free) best = { machine, room, free };
  }
  if (!best) return false;
  take(best.room, spec, 1);
  plan.holds.push({ job, index, machine: best.machine.id, reserved: true });
  return true;
}

/**
 * The same for its team's limit: what `count` tasks need gathers, also from other parts, for one job of a team at a time.
 * Of an array that is one task, of a gang all of them.
 */
export function reserveShare(
  shard: Shard,
  job: ShardJob,
  count: number,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): void {
  const { spec } = job;
  if (plan.gathering.has(spec.team) || unbegunFor(shard, job, ctx) <= RESERVE_AFTER) return;
  const needed = scale(spec, count);
  plan.gathering.set(spec.team, needed);
  chargeAll(s, spec.team, needed);
}

/** Places are kept for a gang for so long, and then others have their turn for so long, in milliseconds. */
const GANG_KEEPS = 60_000;
const GANG_PAUSES = 30_000;

/** Nobody else may wait beside room that is kept free for as long as a minute and a half. */
function mayKeepPlaces(shard: Shard, job: ShardJob, ctx: PlanContext): boolean {
  const waited = unbegunFor(shard, job, ctx) - RESERVE_AFTER;
  return waited > 0 && waited % (GANG_KEEPS + GANG_PAUSES) < GANG_KEEPS;
}

/** At the end of its turn a gang gives up the places that were kept for it. */
export function endGangTurn(shard: Shard, job: ShardJob, s: Scratch, ctx: PlanContext): void {
  if (mayKeepPlaces(shard, job, ctx)) return;
  for (const [index, { machine, withoutPreemption: reserved }] of job.reservations) {
    if (!reserved) continue;
    take(s.room.get(machine), job.spec, -1);
    job.reservations.delete(index);
  }
}

interface ReservedPlace {
  readonly index: number;
  readonly machine: MachineId;
}

/**
 * For a gang whose tasks find no room together: a place for each, on machines that lesser work will leave. One gang of
 * a part at a time, and only where that makes room for all of it.
 */
export function reserveGangPlaces(
  shard: Shard,
  job: ShardJob,
  mayTake: (machine: Machine) => boolean,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): boolean {
  if (!mayKeepPlaces(shard, job, ctx) || job.reservations.size > 0) return false;
  if (s.reserved > 0 || plan.holds.some((h) => h.reserved)) return false;
  const places: ReservedPlace[] = [];
  for (const index of job.waiting) {
    const machine = roomiest(shard, job.spec, requiredZone(job, index), mayTake, s, ctx);
    if (!machine) break;
    take(scratchRoom(machine, s, ctx), job.spec, 1);
    places.push({ index, machine: machine.id });
  }
  if (places.length === job.waiting.size) {
    for (const { index, machine } of places) plan.holds.push({ job, index, machine, reserved: true });
    return true;
  }
  for (const { machine } of places) take(s.room.get(machine), job.spec, -1);
  plan.oversized ??= { job, tasks: job.waiting.size - places.length };
  return false;
}

/** The machine with most free that has room for the task once lesser work has left it. */
function roomiest(
  shard: Shard,
  spec: JobSpec,
  pin: ZoneId | null,
  mayTake: (machine: Machine) => boolean,
  s: Scratch,
  ctx: PlanContext,
): Machine | null {
  let best: { readonly machine: Machine; readonly free: number } | null = null;
  for (const machine of shard.machines.values()) {
    const type = ctx.types.get(machine.type);
    if (!type || !mayRunOn(spec, machine.type, machine.zone, machine.spot, pin) || !mayTake(machine))
      continue;
    const room = scratchRoom(machine, s, ctx);
    if (!room || !fits(spec, add(room, machine.preemptible))) continue;
    const free = freeForReserve(room, type, spec);
    if (!best || free > best.free) best = { machine, free };
  }
  return best?.machine ?? null;
}
