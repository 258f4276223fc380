/**
 * Reservations for jobs that have waited too long: machines that become free for them, and quota that their team leaves
 * unused. Without them smaller tasks would take each piece of a machine or of a quota as soon as it comes free. Pure.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { mayRunOn } from '../model/constraints.js';
import { add, dominantShare, fits, freeAsCpus, scale, subtract, type Resources } from '../model/resources.js';
import { requiredZone, type Machine, type ShardJob } from '../shards/model.js';
import type { MachineId, TeamId, ZoneId } from '../model/units.js';
import { endReservation } from './reservation-ends.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** A job that has waited this long without any start may have machines or quota reserved. */
const RESERVE_AFTER_MS = 60_000;
/** At most one in this many machines of a shard is reserved for tasks that fit nowhere. */
const MACHINES_PER_RESERVATION = 8;
/** A task may have a machine reserved if it takes at least this share of some resource there. */
const MIN_RESERVABLE_SHARE = 0.5;
/** Machines are reserved for a gang for this long. */
const GANG_RESERVATION_MS = 60_000;
/** After its reservation a gang leaves this long to others. */
const GANG_RESERVATION_PAUSE_MS = 30_000;

/** Smaller tasks find a piece of some machine soon. */
const needsMostResources = (type: InstanceType, spec: JobSpec): boolean =>
  fits(spec, type) && dominantShare(spec, type) >= MIN_RESERVABLE_SHARE;

/** Free CPUs, or GPUs as CPUs where the task needs them and they are scarcer. Memory does not choose the machine. */
const freeReservableCpus = (freeResources: Resources, type: InstanceType, spec: JobSpec): number =>
  freeAsCpus(freeResources, type, { cpus: 0, gpus: spec.gpus, memoryGb: 0 });

/**
 * Reserves the machine with most free for a task that needs most of one: it fits nowhere as long as smaller tasks take
 * each piece that comes free. One machine for each job, and few of a shard at a time; false: none.
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
  return cycle.reservedMachines + planned < maxReserved;
}

/**
 * Reserves quota of the job's team for `count` tasks, one of an array or all of a gang: it is collected, also from other
 * shards, for one job of a team at a time.
 */
export function reserveQuota(cycle: SchedulingCycle, job: ShardJob, count: number): void {
  const { team } = job.spec;
  const { quotaReservations } = cycle.plan;
  if (quotaReservations.has(team) || cycle.waitedWithoutStartMs(job) <= RESERVE_AFTER_MS) return;
  const needed = scale(job.spec, count);
  if (!canComeTogether(cycle, team, needed)) return;
  quotaReservations.set(team, needed);
  cycle.addTeamUsage(team, needed);
}

/**
 * Can the team have so much at once? Not beside its services, which do not end: quota kept for a job that can never start
 * would keep all smaller ones of the team waiting with it.
 */
function canComeTogether(cycle: SchedulingCycle, team: TeamId, needed: Resources): boolean {
  const quota = cycle.context.teams.get(team)?.quota;
  if (!quota) return true;
  const services = add(cycle.servicesUsage(team), cycle.context.servicesOnOtherShards(team));
  return fits(needed, subtract(quota, services));
}

/** Reservations for gangs come and go in turns: no other job may wait for long beside capacity that is kept free. */
function hasReservationTurn(cycle: SchedulingCycle, job: ShardJob): boolean {
  const waitedMs = cycle.waitedWithoutStartMs(job) - RESERVE_AFTER_MS;
  return waitedMs > 0 && waitedMs % (GANG_RESERVATION_MS + GANG_RESERVATION_PAUSE_MS) < GANG_RESERVATION_MS;
}

/** At the end of its turn a gang gives up the machines that were reserved for it without preemption. */
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
 * Reserves a machine for each waiting member of a gang that does not fit on the shard now, where preemptible work will
 * leave enough. One gang of a shard at a time, and only if there is a machine for all members.
 */
export function reserveGangMachines(
  cycle: SchedulingCycle,
  job: ShardJob,
  mayUse: (machine: Machine) => boolean,
): void {
  const { plan } = cycle;
  if (!hasReservationTurn(cycle, job) || job.reservations.size > 0) return;
  if (cycle.reservedMachines > 0 || plan.reservations.some((reservation) => reservation.withoutPreemption))
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

/** Takes resources for one member after the other, up to the first that finds no machine. */
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

/** Which machines come into question for a reservation. */
interface MachineFilter {
  readonly mayUse: (machine: Machine, type: InstanceType) => boolean;
  /** Will the task fit there, with so much free now? */
  readonly willFit: (machine: Machine, free: Resources) => boolean;
}

/** Of the machines on which the task may run and that pass the filter, the one with most free. */
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
