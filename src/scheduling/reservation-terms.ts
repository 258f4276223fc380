/** For how long reservations hold, and after which time stops that were of no use are tried again. */
import { millis, plus, type MachineId, type SteadyMs } from '../model/units.js';
import type { Reservation, ShardJob } from '../shards/model.js';
import type { PlannedReservation } from './cycle.js';

/** How long a machine stays reserved after the tasks that were stopped there have had their time to save. */
const RESERVATION_TTL_MS = 6000;
/** How long a machine may take to become empty for a task that has waited too long. */
const LONG_RESERVATION_TTL_MS = 120_000;
/** After a reservation has ended unused, nothing is stopped on its machine for the same job for this long. */
const UNUSED_PREEMPTION_PAUSE_MS = 30_000;

/** The reservation that a decision of a cycle makes. */
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

/** Others were stopped on the machine for a task of the job, and it has not started there. */
export function rememberUnusedPreemption(job: ShardJob, machine: MachineId, now: SteadyMs): void {
  job.unusedPreemptions.set(machine, now);
}

/** Was it a moment ago that stops on the machine were of no use to the job? */
export function hasUnusedPreemption(job: ShardJob, machine: MachineId, now: SteadyMs): boolean {
  const endedAt = job.unusedPreemptions.get(machine);
  return endedAt !== undefined && now - endedAt < UNUSED_PREEMPTION_PAUSE_MS;
}
