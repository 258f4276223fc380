/**
 * Plans one scheduling cycle of a shard in stages: filter the queue, apply reservations, stop broken gangs,
 * order the jobs, and place each job. Apart from the plan that it returns, it only updates scheduling state
 * in the memory of the shard, such as the queue and the reservations of jobs.
 */
import type { Reservation, Shard, ShardJob } from '../shards/model.js';
import type { ReservationOutcome, SchedulingContext, SchedulingPlan } from './cycle.js';
import { scheduleGang, stopBrokenGangs } from './gangs.js';
import { orderJobs } from './job-order.js';
import { scheduleJob } from './job-placement.js';
import { endReservation, endReservations } from './reservation-ends.js';
import { recordUnusedPreemption } from './reservation-terms.js';
import { SchedulingCycle, takeResources } from './scheduling-cycle.js';

/**
 * Decides which waiting tasks start on which machines, which tasks are stopped for them, and which stay
 * unplaced.
 */
export function planCycle(shard: Shard, context: SchedulingContext): SchedulingPlan {
  const cycle = new SchedulingCycle(shard, context);
  const waiting = filterQueue(cycle);
  applyReservations(cycle, waiting);
  stopBrokenGangs(cycle);
  const eligible = waiting.filter((job) => context.now >= job.backoffUntil);
  for (const { job } of orderJobs(cycle, eligible)) {
    if (job.gangHistory) scheduleGang(cycle, job);
    else scheduleJob(cycle, job);
  }
  return cycle.plan;
}

/** Returns the queued jobs with waiting tasks, and removes the others from the queue. */
function filterQueue(cycle: SchedulingCycle): ShardJob[] {
  const { shard } = cycle;
  const jobs: ShardJob[] = [];
  for (const job of shard.queue) {
    if (!job.waiting.isEmpty && shard.jobs.get(job.id) === job) jobs.push(job);
    else {
      endReservations(cycle, job, 'task no longer waits');
      shard.queue.delete(job);
    }
  }
  return jobs;
}

/** Subtracts reserved resources from the free resources, and ends reservations that no longer hold. */
function applyReservations(cycle: SchedulingCycle, waiting: readonly ShardJob[]): void {
  const { shard } = cycle;
  for (const job of waiting) {
    for (const [index, reservation] of [...job.reservations]) {
      const outcome = reservationOutcome(cycle, job, index, reservation);
      if (outcome) {
        endReservation(cycle, job, index, outcome);
        if (outcome === 'expired' && !reservation.withoutPreemption)
          recordUnusedPreemption(job, reservation.machine, cycle.context.now);
        continue;
      }
      const machine = shard.machines.get(reservation.machine);
      takeResources(machine && cycle.freeResourcesOn(machine), job.spec);
      if (!reservation.withoutPreemption) continue;
      cycle.nonPreemptiveReservationCount += 1;
      cycle.nonPreemptiveReservations.add(reservation.machine, job);
    }
  }
}

/** Returns why the reservation no longer holds; null if it still holds. */
function reservationOutcome(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  { machine: machineId, reservedUntil, withoutPreemption }: Reservation,
): ReservationOutcome | null {
  const machine = cycle.shard.machines.get(machineId);
  if (!machine) return 'machine gone';
  if (!job.waiting.has(index)) return 'task no longer waits';
  if (cycle.context.now >= reservedUntil) return 'expired';
  return withoutPreemption && !cycle.freeResourcesOn(machine) ? 'machine not schedulable' : null;
}
