/**
 * Ends reservations of machines, and records why the task of a reservation that still holds has not started.
 * Each outcome goes into the plan of the cycle, from where it is logged and counted.
 */
import type { MachineId } from '../model/units.js';
import type { ReservationObstacle, ShardJob } from '../shards/model.js';
import type { ReservationOutcome } from './cycle.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** Ends the reservation of one task; does nothing if the task has none. */
export function endReservation(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  outcome: ReservationOutcome,
): void {
  const reservation = job.reservations.get(index);
  if (!reservation) return;
  job.reservations.delete(index);
  cycle.plan.endedReservations.push({ job: job.id, index, reservation, outcome });
}

/** Ends all reservations of a job. */
export function endReservations(cycle: SchedulingCycle, job: ShardJob, outcome: ReservationOutcome): void {
  for (const index of [...job.reservations.keys()]) endReservation(cycle, job, index, outcome);
}

/** Ends the reservation of a task that starts on the machine, whether or not that is the reserved machine. */
export function endReservationByStart(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  machine: MachineId,
): void {
  const isReserved = job.reservations.get(index)?.machine === machine;
  endReservation(cycle, job, index, isReserved ? 'used' : 'started elsewhere');
}

/** Records on all reservations of the job why its tasks do not start. */
export function recordObstacle(job: ShardJob, obstacle: ReservationObstacle): void {
  for (const reservation of job.reservations.values()) reservation.lastObstacle = obstacle;
}
