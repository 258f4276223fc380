/** The reservations without preemption that a scheduling cycle finds on the machines of a shard. */
import type { MachineId } from '../model/units.js';
import type { ShardJob } from '../shards/model.js';

const NO_JOBS: readonly ShardJob[] = [];

/**
 * Reservations without preemption that earlier cycles made for jobs that have waited too long, by machine.
 */
export class NonPreemptiveReservations {
  private readonly jobsByMachine = new Map<MachineId, ShardJob[]>();

  /** Adds a reservation of the machine for one task of the job. */
  add(machine: MachineId, job: ShardJob): void {
    const jobs = this.jobsByMachine.get(machine);
    if (jobs) jobs.push(job);
    else this.jobsByMachine.set(machine, [job]);
  }

  /** Returns the other jobs that have the machine reserved, one entry for each task. */
  otherJobsOn(machine: MachineId, job: ShardJob): readonly ShardJob[] {
    const jobs = this.jobsByMachine.get(machine);
    return jobs ? jobs.filter((other) => other !== job) : NO_JOBS;
  }
}
