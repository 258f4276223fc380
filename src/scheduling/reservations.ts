/**
 * Reservations for jobs that have waited too long: of machines whose resources become free one after another,
 * and of quota of the job's team. Without them smaller tasks would take each part of a machine or quota as soon
 * as it becomes free.
 * Performs no I/O: decisions go into the plan of the cycle.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { mayRunOn } from '../model/constraints.js';
import {
  add,
  dominantShare,
  fits,
  freeCpuEquivalent,
  scale,
  subtract,
  type Resources,
} from '../model/resources.js';
import { requiredZone, type Machine, type ShardJob } from '../shards/model.js';
import type { MachineId, TeamId, ZoneId } from '../model/units.js';
import { endReservation } from './reservation-ends.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** A job that has waited this long without any start may reserve machines or quota. */
const RESERVE_AFTER_MS = 60_000;
/** At most one in this many machines of a shard, but at least one, is reserved for tasks that fit nowhere. */
const MACHINES_PER_RESERVATION = 8;
/** A task may reserve a machine if it takes at least this share of one of its resources. */
const MIN_RESERVABLE_SHARE = 0.5;
/** How long a gang may hold reservations in one turn. */
const GANG_RESERVATION_MS = 60_000;
/** Pause between two turns of a gang, in which other jobs may use the machines. */
const GANG_RESERVATION_PAUSE_MS = 30_000;

/** Returns true if the task needs most of a machine of the type. Smaller tasks soon fit on some machine. */
const needsMostResources = (type: InstanceType, spec: JobSpec): boolean =>
  fits(spec, type) && dominantShare(spec, type) >= MIN_RESERVABLE_SHARE;

/**
 * Returns the free CPUs, or the free GPUs converted to CPUs if the task needs GPUs and they are scarcer.
 * Memory does not affect the choice of the machine.
 */
const freeReservableCpus = (freeResources: Resources, type: InstanceType, spec: JobSpec): number =>
  freeCpuEquivalent(freeResources, type, { cpus: 0, gpus: spec.gpus, memoryGb: 0 });

/**
 * Reserves the machine with the most free resources for a task that needs most of a machine and that fits
 * nowhere as long as smaller tasks take each part that becomes free. A job reserves one machine at a time,
 * and a shard has few such reservations. Returns false if no machine is reserved.
 */
export function reserveMachine(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  zone: ZoneId | null,
): boolean {
  if (!mayReserveMachine(cycle, job)) return false;
  const { spec } = job;
  const machine = machineWithMostFree(cycle, spec, zone, {
    mayUse: (_, type) => needsMostResources(type, spec),
    willFit: () => true,
  });
  if (!machine) return false;
  takeResources(cycle.freeResourcesOn(machine), spec);
  cycle.plan.reservations.push({ job, index, machine: machine.id, withoutPreemption: true, graceS: 0 });
  return true;
}

function mayReserveMachine(cycle: SchedulingCycle, job: ShardJob): boolean {
  if (cycle.waitedWithoutStartMs(job) <= RESERVE_AFTER_MS || job.reservations.size > 0) return false;
  const { reservations } = cycle.plan;
  if (reservations.some((reservation) => reservation.job === job)) return false;
  const maxReserved = Math.max(1, Math.floor(cycle.shard.machines.size / MACHINES_PER_RESERVATION));
  const planned = reservations.filter((reservation) => reservation.withoutPreemption).length;
  return cycle.nonPreemptiveReservationCount + planned < maxReserved;
}

/**
 * Reserves quota of the job's team for `count` tasks: one task of an array, or all tasks of a gang. Quota is
 * collected, also from other shards, for one job of a team at a time.
 */
export function reserveQuota(cycle: SchedulingCycle, job: ShardJob, count: number): void {
  const { team } = job.spec;
  const { quotaReservations } = cycle.plan;
  if (quotaReservations.has(team) || cycle.waitedWithoutStartMs(job) <= RESERVE_AFTER_MS) return;
  const needed = scale(job.spec, count);
  if (!canEverFitTeamQuota(cycle, team, needed)) return;
  quotaReservations.set(team, needed);
  cycle.addTeamUsage(team, needed);
}

/**
 * Returns true if the team's quota has room for the amount in addition to the team's services, which do not
 * end. Quota reserved for a job that can never start would keep all smaller jobs of the team waiting with it.
 */
function canEverFitTeamQuota(cycle: SchedulingCycle, team: TeamId, needed: Resources): boolean {
  const quota = cycle.context.teams.get(team)?.quota;
  if (!quota) return true;
  const services = add(cycle.servicesUsage(team), cycle.context.maxServiceUsageOnOtherShards(team));
  return fits(needed, subtract(quota, services));
}

/**
 * Returns true if the gang may hold reservations now. Gangs reserve in turns with pauses, so that no other
 * job waits for long while capacity is kept free.
 */
function hasReservationTurn(cycle: SchedulingCycle, job: ShardJob): boolean {
  const waitedMs = cycle.waitedWithoutStartMs(job) - RESERVE_AFTER_MS;
  return waitedMs > 0 && waitedMs % (GANG_RESERVATION_MS + GANG_RESERVATION_PAUSE_MS) < GANG_RESERVATION_MS;
}

/** Ends the gang's reservations without preemption when its turn is over. */
export function expireGangReservations(cycle: SchedulingCycle, job: ShardJob): void {
  if (hasReservationTurn(cycle, job)) return;
  for (const [index, { machine, withoutPreemption }] of [...job.reservations]) {
    if (!withoutPreemption) continue;
    returnResources(cycle.freeResources.get(machine), job.spec);
    endReservation(cycle, job, index, 'turn over');
  }
}

interface ReservedMachine {
  readonly index: number;
  readonly machine: MachineId;
}

/**
 * Reserves a machine for each waiting member of a gang that does not fit on the shard now, on machines with
 * enough free and preemptible resources. Only one gang of a shard does so at a time, and only if there are
 * machines for all members; otherwise the plan names it as an oversized gang.
 */
export function reserveGangMachines(
  cycle: SchedulingCycle,
  job: ShardJob,
  mayUse: (machine: Machine) => boolean,
): void {
  const { plan } = cycle;
  if (!hasReservationTurn(cycle, job) || job.reservations.size > 0) return;
  if (
    cycle.nonPreemptiveReservationCount > 0 ||
    plan.reservations.some((reservation) => reservation.withoutPreemption)
  )
    return;
  const reserved = reserveForMembers(cycle, job, mayUse);
  if (reserved.length === job.waiting.size) {
    for (const { index, machine } of reserved)
      plan.reservations.push({ job, index, machine, withoutPreemption: true, graceS: 0 });
    return;
  }
  for (const { machine } of reserved) returnResources(cycle.freeResources.get(machine), job.spec);
  plan.oversizedGang ??= { job, missingTasks: job.waiting.size - reserved.length };
}

/** Takes resources for the members in order, up to the first for which there is no machine. */
function reserveForMembers(
  cycle: SchedulingCycle,
  job: ShardJob,
  mayUse: (machine: Machine) => boolean,
): ReservedMachine[] {
  const { spec } = job;
  const willFit = (machine: Machine, free: Resources): boolean => fits(spec, add(free, machine.preemptible));
  const reserved: ReservedMachine[] = [];
  for (const index of job.waiting) {
    const machine = machineWithMostFree(cycle, spec, requiredZone(job, index), { mayUse, willFit });
    if (!machine) break;
    takeResources(cycle.freeResourcesOn(machine), spec);
    reserved.push({ index, machine: machine.id });
  }
  return reserved;
}

/** Selects the machines that may be reserved. */
interface MachineFilter {
  readonly mayUse: (machine: Machine, type: InstanceType) => boolean;
  /** Returns true if the task will fit on the machine, given the resources that are free there now. */
  readonly willFit: (machine: Machine, free: Resources) => boolean;
}

/**
 * Returns the machine with the most free resources of those on which the task may run and that pass the
 * filter.
 */
function machineWithMostFree(
  cycle: SchedulingCycle,
  spec: JobSpec,
  zone: ZoneId | null,
  { mayUse, willFit }: MachineFilter,
): Machine | null {
  let best: { readonly machine: Machine; readonly free: number } | null = null;
  for (const machine of cycle.shard.machines.values()) {
    const type = cycle.context.types.get(machine.type);
    if (!type || !mayRunOn(spec, machine.type, machine.zone, machine.spot, zone) || !mayUse(machine, type))
      continue;
    const freeResources = cycle.freeResourcesOn(machine);
    if (!freeResources || !willFit(machine, freeResources)) continue;
    const free = freeReservableCpus(freeResources, type, spec);
    if (!best || free > best.free) best = { machine, free };
  }
  return best?.machine ?? null;
}
