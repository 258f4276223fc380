/**
 * What is kept for jobs that have waited too long: machines that empty for them, and a share of their team's limit.
 * Without it smaller tasks would take each piece of a machine or of a limit as soon as it comes free. Pure.
 */
import type { InstanceType } from '../cloud/wire.js';
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
import {
  addTeamUsage,
  freeResourcesOn,
  adjustFreeResources,
  type SchedulingPlan,
  type SchedulingContext,
  type CycleState,
} from './cycle.js';

/** What finds no room, or no share of its team's limit, has some reserved after this time, in milliseconds. */
const RESERVE_AFTER_MS = 60_000;
/** Of a part's machines, one in this many at most empties for jobs whose tasks fit nowhere. */
const MACHINES_PER_RESERVATION = 8;
/** A task that takes at least this share of some resource of a machine may have one reserved. */
const MIN_RESERVABLE_SHARE = 0.5;

/** How long the job has waited without any start; 0: it has begun. */
export function waitedWithoutStartMs(shard: Shard, job: ShardJob, context: SchedulingContext): number {
  const hasStarted = !job.record.done.isEmpty || !job.finished.isEmpty || shard.allocationsByJob.has(job.id);
  return hasStarted ? 0 : context.now - job.acceptedAt;
}

/** Smaller tasks find a piece of some machine soon. */
const needsMostResources = (type: InstanceType, spec: JobSpec): boolean =>
  fits(spec, type) && dominantShare(spec, type) >= MIN_RESERVABLE_SHARE;

/** Free CPUs, or GPUs as CPUs where the task needs them and they are scarcer. Memory does not choose the machine. */
const freeReservableCpus = (freeResources: Resources, type: InstanceType, spec: JobSpec): number =>
  freeAsCpus(freeResources, type, { cpus: 0, gpus: spec.gpus, memoryGb: 0 });

/**
 * A task that needs most of a machine fits nowhere as long as smaller ones take each piece that comes free. After a
 * while one machine is kept for it and empties. One for each job, and few of a part's machines at a time.
 */
export function reserveMachine(
  shard: Shard,
  job: ShardJob,
  index: number,
  zone: ZoneId | null,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): boolean {
  const { spec } = job;
  if (waitedWithoutStartMs(shard, job, context) <= RESERVE_AFTER_MS || job.reservations.size > 0)
    return false;
  if (plan.reservations.some((h) => h.job === job)) return false;
  const maxReserved = Math.max(1, Math.floor(shard.machines.size / MACHINES_PER_RESERVATION));
  if (state.reservedMachines + plan.reservations.filter((h) => h.reserved).length >= maxReserved)
    return false;
  let best: { machine: Machine; room: MutableResources; free: number } | null = null;
  for (const machine of shard.machines.values()) {
    const type = context.types.get(machine.type);
    if (
      !type ||
      !needsMostResources(type, spec) ||
      !mayRunOn(spec, machine.type, machine.zone, machine.spot, zone)
    )
      continue;
    const freeResources = freeResourcesOn(machine, state, context);
    if (!freeResources) continue;
    const free = freeReservableCpus(freeResources, type, spec);
    if (!best || free > best.free) best = { machine, room: freeResources, free };
  }
  if (!best) return false;
  adjustFreeResources(best.room, spec, 1);
  plan.reservations.push({ job, index, machine: best.machine.id, reserved: true });
  return true;
}

/**
 * The same for its team's limit: what `count` tasks need gathers, also from other parts, for one job of a team at a time.
 * Of an array that is one task, of a gang all of them.
 */
export function reserveQuota(
  shard: Shard,
  job: ShardJob,
  count: number,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  const { spec } = job;
  if (plan.quotaReservations.has(spec.team) || waitedWithoutStartMs(shard, job, context) <= RESERVE_AFTER_MS)
    return;
  const needed = scale(spec, count);
  plan.quotaReservations.set(spec.team, needed);
  addTeamUsage(state, spec.team, needed);
}

/** Places are kept for a gang for so long, and then others have their turn for so long, in milliseconds. */
const GANG_RESERVATION_MS = 60_000;
const GANG_RESERVATION_PAUSE_MS = 30_000;

/** Nobody else may wait beside room that is kept free for as long as a minute and a half. */
function hasReservationTurn(shard: Shard, job: ShardJob, context: SchedulingContext): boolean {
  const waitedMs = waitedWithoutStartMs(shard, job, context) - RESERVE_AFTER_MS;
  return waitedMs > 0 && waitedMs % (GANG_RESERVATION_MS + GANG_RESERVATION_PAUSE_MS) < GANG_RESERVATION_MS;
}

/** At the end of its turn a gang gives up the places that were kept for it. */
export function expireGangReservations(
  shard: Shard,
  job: ShardJob,
  state: CycleState,
  context: SchedulingContext,
): void {
  if (hasReservationTurn(shard, job, context)) return;
  for (const [index, { machine, withoutPreemption: reserved }] of job.reservations) {
    if (!reserved) continue;
    adjustFreeResources(state.freeResources.get(machine), job.spec, -1);
    job.reservations.delete(index);
  }
}

interface ReservedMachine {
  readonly index: number;
  readonly machine: MachineId;
}

/**
 * For a gang whose tasks find no room together: a place for each, on machines that lesser work will leave. One gang of
 * a part at a time, and only where that makes room for all of it.
 */
export function reserveGangMachines(
  shard: Shard,
  job: ShardJob,
  mayUse: (machine: Machine) => boolean,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): boolean {
  if (!hasReservationTurn(shard, job, context) || job.reservations.size > 0) return false;
  if (state.reservedMachines > 0 || plan.reservations.some((h) => h.reserved)) return false;
  const reserved: ReservedMachine[] = [];
  for (const index of job.waiting) {
    const machine = machineWithMostFree(shard, job.spec, requiredZone(job, index), mayUse, state, context);
    if (!machine) break;
    adjustFreeResources(freeResourcesOn(machine, state, context), job.spec, 1);
    reserved.push({ index, machine: machine.id });
  }
  if (reserved.length === job.waiting.size) {
    for (const { index, machine } of reserved)
      plan.reservations.push({ job, index, machine, reserved: true });
    return true;
  }
  for (const { machine } of reserved) adjustFreeResources(state.freeResources.get(machine), job.spec, -1);
  plan.oversizedGang ??= { job, missingTasks: job.waiting.size - reserved.length };
  return false;
}

/** The machine with most free that has room for the task once lesser work has left it. */
function machineWithMostFree(
  shard: Shard,
  spec: JobSpec,
  zone: ZoneId | null,
  mayUse: (machine: Machine) => boolean,
  state: CycleState,
  context: SchedulingContext,
): Machine | null {
  let best: { readonly machine: Machine; readonly free: number } | null = null;
  for (const machine of shard.machines.values()) {
    const type = context.types.get(machine.type);
    if (!type || !mayRunOn(spec, machine.type, machine.zone, machine.spot, zone) || !mayUse(machine))
      continue;
    const freeResources = freeResourcesOn(machine, state, context);
    if (!freeResources || !fits(spec, add(freeResources, machine.preemptible))) continue;
    const free = freeReservableCpus(freeResources, type, spec);
    if (!best || free > best.free) best = { machine, free };
  }
  return best?.machine ?? null;
}
