/** The machines of a shard that a scheduling cycle finds reserved without preemption, and for whom. */
import type { MachineId } from '../model/units.js';
import type { ShardJob } from '../shards/model.js';

const NO_JOBS: readonly ShardJob[] = [];

/** What machines are kept free for, by jobs that have waited too long; as the cycle found it. */
export class KeptMachines {
  private readonly jobsByMachine = new Map<MachineId, ShardJob[]>();

  /** The machine is reserved without preemption for one task of the job. */
  add(machine: MachineId, job: ShardJob): void {
    const jobs = this.jobsByMachine.get(machine);
    if (jobs) jobs.push(job);
    else this.jobsByMachine.set(machine, [job]);
  }

  /** The other jobs that the machine is kept for, one entry for each task. */
  othersOn(machine: MachineId, job: ShardJob): readonly ShardJob[] {
    const jobs = this.jobsByMachine.get(machine);
    return jobs ? jobs.filter((other) => other !== job) : NO_JOBS;
  }
}
