/** For how long the reservations of a plan hold. */
import { millis, plus, type SteadyMs } from '../model/units.js';
import type { Reservation } from '../shards/model.js';
import type { PlannedReservation } from './cycle.js';

/** How long a machine stays reserved on which others were stopped for a task. */
const RESERVATION_TTL_MS = 6000;
/** How long a machine may take to become empty for a task that has waited too long. */
const LONG_RESERVATION_TTL_MS = 120_000;

/** The reservation that a decision of a cycle makes. */
export function newReservation(
  { machine, withoutPreemption }: Pick<PlannedReservation, 'machine' | 'withoutPreemption'>,
  now: SteadyMs,
): Reservation {
  const ttl = millis(withoutPreemption ? LONG_RESERVATION_TTL_MS : RESERVATION_TTL_MS);
  return { machine, withoutPreemption, reservedUntil: plus(now, ttl), lastObstacle: 'not looked at' };
}
