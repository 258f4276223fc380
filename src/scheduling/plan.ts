/**
 * Plans one scheduling cycle of a shard in stages: filter the queue, apply reservations, stop broken gangs, order the
 * jobs, and place each. Pure but for the queue and the reservations of the jobs, which it keeps up to date; everything
 * else that it decides is in the plan that it returns.
 */
import type { Shard, ShardJob } from '../shards/model.js';
import type { SchedulingContext, SchedulingPlan } from './cycle.js';
import { scheduleGang, stopBrokenGangs } from './gangs.js';
import { orderJobs } from './job-order.js';
import { scheduleJob } from './job-placement.js';
import { SchedulingCycle, takeResources } from './scheduling-cycle.js';

/** Which waiting tasks start where, which tasks stop for them, and which stay unplaced. */
export function planCycle(shard: Shard, context: SchedulingContext): SchedulingPlan {
  const cycle = new SchedulingCycle(shard, context);
  const waiting = filterQueue(shard);
  applyReservations(cycle, waiting);
  stopBrokenGangs(cycle);
  const eligible = waiting.filter((job) => context.now >= job.backoffUntil);
  for (const { job } of orderJobs(cycle, eligible)) {
    if (job.gangHistory) scheduleGang(cycle, job);
    else scheduleJob(cycle, job);
  }
  return cycle.plan;
}

/** Jobs with waiting tasks; the others leave the queue. */
function filterQueue(shard: Shard): ShardJob[] {
  const jobs: ShardJob[] = [];
  for (const job of shard.queue) {
    if (!job.waiting.isEmpty && shard.jobs.get(job.id) === job) jobs.push(job);
    else {
      job.reservations.clear();
      shard.queue.delete(job);
    }
  }
  return jobs;
}

/** Takes reserved resources off what is free, and drops reservations that have ended. */
function applyReservations(cycle: SchedulingCycle, waiting: readonly ShardJob[]): void {
  const { shard, context } = cycle;
  for (const job of waiting) {
    for (const [index, reservation] of job.reservations) {
      const machine = shard.machines.get(reservation.machine);
      const free = machine ? cycle.freeResourcesOn(machine) : null;
      const ended = !machine || context.now >= reservation.reservedUntil || !job.waiting.has(index);
      if (ended || (reservation.withoutPreemption && !free)) job.reservations.delete(index);
      else {
        takeResources(free, job.spec);
        if (reservation.withoutPreemption) cycle.reservedMachines += 1;
      }
    }
  }
}
