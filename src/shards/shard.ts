/**
 * The in-memory state of a shard at its leader: its machines, the allocations on them, and copies of the jobs with
 * tasks assigned to the shard. It is created when the shard is acquired and dropped when the leadership ends.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { Resources } from '../model/resources.js';
import type { RangeSet } from '../model/ranges.js';
import { ImageAnnouncements } from './image-announcements.js';
import type { ShardJob } from './job.js';
import type { Allocation } from './allocation.js';
import { LeadershipTokens } from './leadership-tokens.js';
import type { Machine } from './machine.js';
import { RecordConfirmation } from './record-confirmation.js';
import { ShardTotals } from './totals.js';
import { UnreconciledMachines } from './unreconciled-machines.js';
import type {
  ImageId,
  JobId,
  MachineId,
  ShardId,
  Revision,
  SteadyMs,
  TaskId,
  TeamId,
  FencingToken,
  InstanceTypeId,
} from '../model/units.js';

/** A search for preemption victims that found none. */
export interface FailedPreemptionSearch {
  /** The capacity that preemption was to free. */
  readonly need: Resources;
  /** The search need not be repeated before this time. */
  readonly until: SteadyMs;
}

/** A shard under the leadership of this controller. */
export class Shard {
  /** Changed only by `addMachine` and `removeMachine`. */
  readonly machines = new Map<MachineId, Machine>();
  /** Changed by `syncJob`, and by the scheduler when a job has ended. */
  readonly jobs = new Map<JobId, ShardJob>();
  /** Where each started task is. Changed only by `allocate`, `addToMachine` and `release`, like all totals below. */
  readonly allocations = new Map<TaskId, Allocation>();
  /** Includes allocations of tasks that are seen on a machine and should not be there. */
  readonly allocationsByJob = new Map<JobId, Set<Allocation>>();
  /** Jobs that may have waiting tasks; readers remove jobs that have none. */
  readonly queue = new Set<ShardJob>();
  /** Jobs with finished tasks that are not yet recorded as done; a job is removed when these are recorded. */
  readonly jobsWithUnrecordedResults = new Set<ShardJob>();
  /** Gangs that are assigned to the shard; readers remove gangs that have ended. */
  readonly gangs = new Set<ShardJob>();
  /** Teams whose tasks found no free capacity in the last scheduling cycle. */
  teamsBlockedByCapacity: ReadonlySet<TeamId> = new Set();
  /** Teams whose tasks exceeded their shard quota in the last scheduling cycle. */
  teamsBlockedByQuota: ReadonlySet<TeamId> = new Set();
  /** Quota that is reserved for a team until one large task, or a gang, fits into it. */
  quotaReservations: ReadonlyMap<TeamId, Resources> = new Map();
  /** By a key for the tasks that the search could have preempted; the preemption code builds and reads the keys. */
  readonly failedPreemptionSearches = new Map<string, FailedPreemptionSearch>();
  /** Machines to which a direct command may have to be sent. */
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Allocations that were requested to stop and may still exist. Changed with the allocations. */
  readonly stopping = new Set<Allocation>();
  /** Spot machines with an interruption notice. Changed by `setInterruption`. */
  readonly interruptedMachines = new Set<Machine>();
  readonly totals = new ShardTotals();
  /** Whether all machines are reconciled, and no task that an earlier leader may have started is unaccounted. */
  reconciled = false;
  /** Machines that may hold tasks of an earlier leader. */
  readonly unreconciled = new UnreconciledMachines();
  /** Tracks which records this leader may act on. */
  private readonly confirmation = new RecordConfirmation();
  /** Issues the fencing tokens of commands and the numbers of attempts. */
  readonly tokens: LeadershipTokens;
  /** Revision at which the shard was acquired: an earlier leader may have acted on all records up to it. */
  readonly acquiredVersion: Revision;
  private readonly imageAnnouncements = new ImageAnnouncements(this.machines);

  /**
   * @param fencingToken fencing token under which the shard was acquired
   * @param version revision of the shard's record, on which the leader's writes are conditional
   * @param types the catalog, kept up to date by its owner
   */
  constructor(
    readonly id: ShardId,
    fencingToken: FencingToken,
    public version: Revision,
    readonly acquiredAt: SteadyMs,
    readonly types: ReadonlyMap<InstanceTypeId, InstanceType>,
  ) {
    this.tokens = new LeadershipTokens(fencingToken);
    this.acquiredVersion = version;
  }

  /** Adds a machine that is registered for the shard and has no known allocations. */
  addMachine(machine: Machine): void {
    this.machines.set(machine.id, machine);
    this.confirmation.addMachine(machine);
    for (const image of machine.images.keys()) this.totals.setImageHolder(image, machine, true);
    this.totals.countIfUsageUnknown(machine, 1);
    this.totals.updateFreeCapacity(machine, this.types);
    if (!machine.reconciled) this.addUnreconciled(machine);
    this.machinesWithPendingCommands.add(machine);
  }

  private addUnreconciled(machine: Machine): void {
    this.unreconciled.add(machine, 1);
    this.reconciled = false;
  }

  /**
   * Adds tasks of a record that is older than the acquisition and was read after it: an earlier leader may have
   * started them.
   */
  addUnaccounted(job: ShardJob, tasks: RangeSet): void {
    job.unaccounted.addAll(tasks);
    this.reconciled = false;
    this.unreconciled.requestRecheck();
  }

  /** Adds tasks of a record that may be ahead of the watch: they may start once `confirmUpTo` has covered it. */
  addUnconfirmed(job: ShardJob, tasks: RangeSet): void {
    job.unconfirmed.addAll(tasks);
    this.confirmation.addJob(job);
  }

  /** Revision up to which this leader knows all changes and has led the shard. */
  get confirmedUpTo(): Revision {
    return this.confirmation.revision;
  }

  /**
   * Records that the watch cache is complete up to `revision` and still shows this leader. Returns the jobs whose
   * unconfirmed tasks may now be started.
   */
  confirmUpTo(revision: Revision): { readonly jobs: readonly ShardJob[]; readonly changed: boolean } {
    const confirmed = this.confirmation.confirmUpTo(revision);
    for (const job of confirmed.jobs) {
      if (this.jobs.get(job.id) !== job) continue;
      job.waiting.addAll(job.unconfirmed);
      job.unconfirmed.removeAll(job.unconfirmed.clone());
      this.queue.add(job);
    }
    return confirmed;
  }

  /** Removes a machine that is no longer registered for the shard. Its allocations must have been released before. */
  removeMachine(machine: Machine): void {
    this.machines.delete(machine.id);
    this.confirmation.removeMachine(machine);
    for (const image of machine.images.keys()) this.totals.setImageHolder(image, machine, false);
    this.totals.countIfUsageUnknown(machine, -1);
    this.totals.removeMachine(machine);
    if (!machine.reconciled) this.unreconciled.add(machine, -1);
    this.machinesWithPendingCommands.delete(machine);
    this.interruptedMachines.delete(machine);
  }

  /** Marks a machine that has shown this leader's fencing token, or cannot hold any task of an earlier leader. */
  markReconciled(machine: Machine): void {
    if (machine.reconciled) return;
    this.totals.countIfUsageUnknown(machine, -1);
    machine.reconciled = true;
    this.unreconciled.add(machine, -1);
    this.totals.countIfUsageUnknown(machine, 1);
  }

  /** Sets when the cloud will take the machine back, by its notice; null: no notice is in force. */
  setInterruption(machine: Machine, at: SteadyMs | null): void {
    machine.interruptedAt = at;
    if (at === null) this.interruptedMachines.delete(machine);
    else this.interruptedMachines.add(machine);
  }

  /** Recomputes the free capacity of all machines; must be called when the catalog has changed. */
  refreshFreeCapacity(): void {
    for (const machine of this.machines.values()) this.totals.updateFreeCapacity(machine, this.types);
  }

  /** Returns the machines whose images are to be announced next, at most `count`. */
  nextImageAnnouncements(count: number): Set<Machine> {
    return this.imageAnnouncements.next(count);
  }

  /** Records that the machine has fetched or used an image. */
  recordImage(machine: Machine, image: ImageId, sizeGb: number): void {
    const alreadyHeld = machine.images.delete(image);
    machine.images.set(image, sizeGb);
    if (alreadyHeld) return;
    this.imageAnnouncements.markChanged(machine);
    this.totals.setImageHolder(image, machine, true);
    this.evictImages(machine);
  }

  /** Removes the least recently used images that exceed the machine's cache, except images that its tasks require. */
  private evictImages(machine: Machine): void {
    const cacheGb = this.types.get(machine.type)?.cacheGb ?? Infinity;
    let totalGb = 0;
    for (const sizeGb of machine.images.values()) totalGb += sizeGb;
    for (const [evicted, sizeGb] of machine.images) {
      if (totalGb <= cacheGb) return;
      if (machine.requiredImages.has(evicted)) continue;
      machine.images.delete(evicted);
      this.totals.setImageHolder(evicted, machine, false);
      totalGb -= sizeGb;
    }
  }

  /** The token under which this leader acquired the shard last; `tokens` knows the token of each machine. */
  get fencingToken(): FencingToken {
    return this.tokens.current;
  }
}
