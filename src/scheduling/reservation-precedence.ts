/**
 * Precedence between reservations. A reservation without preemption keeps a machine free for a job that has
 * waited too long. It applies only to jobs that could not preempt the task of that job; other jobs would wait
 * for resources that they would take back as soon as the task had started. It never blocks a task for which
 * others were stopped on the machine.
 */
import { add, fits, ZERO, type Resources } from '../model/resources.js';
import type { Machine, ShardJob } from '../shards/model.js';
import { anyMachine } from './candidates.js';
import { wouldBePreemptible, type Preemptor } from './preemption-eligibility.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/**
 * Returns what is reserved on the machine for jobs whose tasks the preemptor could preempt as soon as they
 * had started. For the preemptor these resources count as free.
 */
export function reservedForPreemptibleJobs(
  cycle: SchedulingCycle,
  machine: Machine,
  preemptor: Preemptor,
): Resources {
  let reserved = ZERO;
  for (const other of cycle.nonPreemptiveReservations.otherJobsOn(machine.id, preemptor.job))
    if (wouldBePreemptible(cycle, other, preemptor)) reserved = add(reserved, other.spec);
  return reserved;
}

/**
 * Returns the machine reserved for the task if tasks were stopped there for it and the task fits by now, else
 * null. Reservations without preemption of other jobs on the machine are ignored, since the tasks were not
 * stopped for those jobs. The caller must have returned the job's own reservation to the free resources.
 */
export function machineFreedByPreemption(
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
  for (const other of cycle.nonPreemptiveReservations.otherJobsOn(machine.id, job))
    available = add(available, other.spec);
  return fits(job.spec, available) ? machine : null;
}
