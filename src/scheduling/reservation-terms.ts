/** How long reservations hold, and when a preemption that no start followed may be repeated. */
import { millis, plus, type MachineId, type SteadyMs } from '../model/units.js';
import type { Reservation, ShardJob } from '../shards/model.js';
import type { PlannedReservation } from './cycle.js';

/** How long a machine stays reserved after the grace period of the tasks that were stopped there. */
const RESERVATION_TTL_MS = 6000;
/** How long a reservation without preemption holds, while tasks on the machine end by themselves. */
const LONG_RESERVATION_TTL_MS = 120_000;
/**
 * After a reservation has expired unused, nothing is stopped on its machine for the same job for this long.
 */
const UNUSED_PREEMPTION_BACKOFF_MS = 30_000;

/** Creates the reservation for a decision of a cycle. */
export function newReservation(
  {
    machine,
    withoutPreemption,
    graceS,
  }: Pick<PlannedReservation, 'machine' | 'withoutPreemption' | 'graceS'>,
  now: SteadyMs,
): Reservation {
  const ttlMs = withoutPreemption ? LONG_RESERVATION_TTL_MS : RESERVATION_TTL_MS + graceS * 1000;
  return {
    machine,
    withoutPreemption,
    reservedUntil: plus(now, millis(ttlMs)),
    lastObstacle: 'not looked at',
  };
}

/** Records that others were stopped on the machine for a task of the job that did not start there. */
export function recordUnusedPreemption(job: ShardJob, machine: MachineId, now: SteadyMs): void {
  job.unusedPreemptions.set(machine, now);
}

/** Returns true if tasks were stopped on the machine for the job, and its reservation there recently expired unused. */
export function hasRecentUnusedPreemption(job: ShardJob, machine: MachineId, now: SteadyMs): boolean {
  const endedAt = job.unusedPreemptions.get(machine);
  return endedAt !== undefined && now - endedAt < UNUSED_PREEMPTION_BACKOFF_MS;
}
