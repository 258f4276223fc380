/**
 * Which records a shard's leader may act on. The watch cache learns single keys ahead of the watch, from own commits and
 * from reads of one key. Whoever acts on such a record must also know everything written before it: the record may be
 * newer than an acquisition by another controller that the watch has not shown yet. A right to start therefore comes from
 * "this process leads the shard, and its cache is complete up to a revision that is not below any record that is used".
 * This module is the one place that grants it.
 */
import type { Revision } from '../model/units.js';
import { NO_REVISION } from '../model/units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

/** Jobs and machines of one shard whose records are ahead of the watch. */
export class RecordConfirmation {
  private completeUpTo: Revision = NO_REVISION;
  private readonly jobs = new Set<ShardJob>();
  private readonly machines = new Set<Machine>();

  /** Up to here the cache lacked no change, and its record of the shard was this leader's. */
  get revision(): Revision {
    return this.completeUpTo;
  }

  /** Whether a record of this version was written under this leadership, as far as anything is known. */
  covers(version: Revision): boolean {
    return version <= this.completeUpTo;
  }

  /** The job has unconfirmed tasks: they wait for `confirmUpTo`. */
  addJob(job: ShardJob): void {
    this.jobs.add(job);
  }

  /** Nothing is started on the machine before its registration is confirmed. */
  addMachine(machine: Machine): void {
    machine.confirmed = this.covers(machine.registeredVersion);
    if (!machine.confirmed) this.machines.add(machine);
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine);
  }

  /**
   * The cache is complete up to `revision` and shows this leader still. Returns the jobs whose unconfirmed tasks may be
   * started from now on, and whether there was anything that waited for this.
   */
  confirmUpTo(revision: Revision): { readonly jobs: readonly ShardJob[]; readonly changed: boolean } {
    if (revision > this.completeUpTo) this.completeUpTo = revision;
    const jobs = [...this.jobs].filter((job) => this.covers(job.assignedVersion));
    for (const job of jobs) this.jobs.delete(job);
    const machines = [...this.machines].filter((machine) => this.covers(machine.registeredVersion));
    for (const machine of machines) {
      machine.confirmed = true;
      this.machines.delete(machine);
    }
    return { jobs, changed: jobs.length + machines.length > 0 };
  }
}
