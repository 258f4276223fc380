/**
 * Whom a reservation without preemption holds off. It keeps a machine for a job that has waited too long, from jobs that
 * could not stop its task there; for the others it must not count, or they wait for room that they would take back as
 * soon as the task has started. And it never holds off a task for which others were stopped on the machine.
 */
import { add, fits, ZERO, type Resources } from '../model/resources.js';
import type { Machine, ShardJob } from '../shards/model.js';
import { anyMachine } from './candidates.js';
import { wouldBePreemptible, type Preemptor } from './preemption-eligibility.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** Kept on the machine for jobs whose tasks could be stopped for the preemptor anyway: for it this is as good as free. */
export function yieldedTo(cycle: SchedulingCycle, machine: Machine, preemptor: Preemptor): Resources {
  let yielded = ZERO;
  for (const other of cycle.keptMachines.othersOn(machine.id, preemptor.job))
    if (wouldBePreemptible(cycle, other, preemptor)) yielded = add(yielded, other.spec);
  return yielded;
}

/**
 * The machine that is reserved for the task, if others were stopped there for it and they are gone: what is kept on it
 * for jobs that have waited too long is what the stops have left, not what they were made for. The job's own reservation
 * must have been returned to what is free.
 */
export function machineMadeFree(
  cycle: SchedulingCycle,
  job: ShardJob,
  index: number,
  mayUse: (machine: Machine) => boolean = anyMachine,
): Machine | null {
  const reservation = job.reservations.get(index);
  if (!reservation || reservation.withoutPreemption) return null;
  const machine = cycle.shard.machines.get(reservation.machine);
  const free = machine && mayUse(machine) ? cycle.freeResourcesOn(machine) : null;
  if (!machine || !free) return null;
  let available: Resources = free;
  for (const other of cycle.keptMachines.othersOn(machine.id, job)) available = add(available, other.spec);
  return fits(job.spec, available) ? machine : null;
}
