/**
 * Logs the outcome of reservations, and counts what should be rare: preemption that is not followed by a
 * start, and tasks that are stopped shortly after their start. The cost of logging depends only on the number
 * of decisions of a cycle.
 */
import { CounterSet } from '../logging/counter-set.js';
import type { Log } from '../logging/log.js';
import type { SteadyMs } from '../model/units.js';
import type { Shard } from '../shards/model.js';
import type { EndedReservation, PlannedReservation, SchedulingPlan, TaskStop } from './cycle.js';

/** A task stopped within this time of its start is counted as an early stop: it has done almost no work. */
const EARLY_STOP_MS = 1000;

/** The events counted since process start. */
export type SchedulingEvent =
  | 'tasks stopped for others'
  | 'tasks stopped for others within a second of their start'
  | 'reservations after preemption'
  | 'reservations after preemption that ended unused';

/** Logs and counts the decisions of scheduling cycles. */
export class SchedulingLog {
  readonly events = new CounterSet<SchedulingEvent>();

  constructor(private readonly log: Pick<Log, 'debug'>) {}

  /** Records the decisions of one cycle of a shard. */
  record(shard: Shard, plan: SchedulingPlan, now: SteadyMs): void {
    for (const ended of plan.endedReservations) this.recordEnd(shard, ended);
    for (const reservation of plan.reservations) this.recordReservation(shard, reservation);
    for (const stop of plan.stops) this.countStop(stop, now);
  }

  private recordEnd(shard: Shard, { job, index, reservation, outcome }: EndedReservation): void {
    const { machine, withoutPreemption, lastObstacle } = reservation;
    if (outcome !== 'used' && !withoutPreemption)
      this.events.increment('reservations after preemption that ended unused');
    this.log.debug(
      { shard: shard.id, job, index, machine, withoutPreemption, outcome, lastObstacle },
      'reservation ended',
    );
  }

  private recordReservation(
    shard: Shard,
    { job, index, machine, withoutPreemption }: PlannedReservation,
  ): void {
    if (!withoutPreemption) this.events.increment('reservations after preemption');
    this.log.debug({ shard: shard.id, job: job.id, index, machine, withoutPreemption }, 'reservation made');
  }

  private countStop({ allocation, cause }: TaskStop, now: SteadyMs): void {
    if (cause.reason === 'broken gang') return;
    this.events.increment('tasks stopped for others');
    if (now - allocation.allocatedAt < EARLY_STOP_MS)
      this.events.increment('tasks stopped for others within a second of their start');
  }
}
