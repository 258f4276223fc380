/**
 * Tracks which records a shard's leader may act on. Single keys enter the watch cache ahead of the watch: from this
 * controller's own commits and from reads of one key. A leader that acts on such a record must also know everything
 * written before it: the record may be newer than an acquisition by another controller that the watch has not shown
 * yet. Tasks may therefore be started only if this process leads the shard and its cache is complete up to the
 * revision of every record that the start is based on. Only this module grants that permission.
 */
import type { Revision } from '../model/units.js';
import { NO_REVISION } from '../model/units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

/** Holds the jobs and machines of one shard whose records are ahead of the watch. */
export class RecordConfirmation {
  private completeUpTo: Revision = NO_REVISION;
  private readonly jobs = new Set<ShardJob>();
  private readonly machines = new Set<Machine>();

  /** Revision up to which the cache was complete and showed this leader. */
  get revision(): Revision {
    return this.completeUpTo;
  }

  /** Whether the cache was complete up to a record of this version and showed this leader. */
  covers(version: Revision): boolean {
    return version <= this.completeUpTo;
  }

  /** Adds a job with unconfirmed tasks, which wait for `confirmUpTo`. */
  addJob(job: ShardJob): void {
    this.jobs.add(job);
  }

  /** Adds a machine; no task is started on it before its registration is confirmed. */
  addMachine(machine: Machine): void {
    machine.confirmed = this.covers(machine.registeredVersion);
    if (!machine.confirmed) this.machines.add(machine);
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine);
  }

  /**
   * Records that the cache is complete up to `revision` and still shows this leader. Returns the jobs whose unconfirmed
   * tasks may now be started, and whether any job or machine was waiting for this confirmation.
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
