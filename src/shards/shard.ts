/**
 * What the leader of a shard holds in memory: its machines, the allocations on them, and its copies of the jobs of which
 * tasks are assigned to it. It is created when the shard is acquired and dropped when the leadership ends.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { Resources } from '../model/resources.js';
import type { RangeSet } from '../model/ranges.js';
import { ImageAnnouncements } from './image-announcements.js';
import type { ShardJob } from './job.js';
import type { Allocation } from './allocation.js';
import type { Machine } from './machine.js';
import { RecordConfirmation } from './record-confirmation.js';
import { ShardTotals } from './totals.js';
import { UnreconciledMachines } from './unreconciled-machines.js';
import type {
  Attempt,
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

/** Attempts that can be numbered under one fencing token. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
/** A new fencing token is due when this many are left. */
const ATTEMPTS_LEFT_AT_RENEWAL = ATTEMPTS_PER_TOKEN / 4;

/** A search for tasks to preempt that found none. */
export interface FailedSearch {
  /** The capacity that preempting was to free. */
  readonly need: Resources;
  /** The search need not be repeated before this time. */
  readonly until: SteadyMs;
}

/** A shard under the leadership of this controller. */
export class Shard {
  /** Changed by `addMachine` and `removeMachine` alone. */
  readonly machines = new Map<MachineId, Machine>();
  /** Changed by `syncJob`, and by the scheduler when a job is over. */
  readonly jobs = new Map<JobId, ShardJob>();
  /** Where each started task is. Changed by `allocate`, `addToMachine` and `release` alone, like all totals below. */
  readonly allocations = new Map<TaskId, Allocation>();
  /** Also those of tasks that are seen on a machine and should not be there. */
  readonly allocationsByJob = new Map<JobId, Set<Allocation>>();
  /** Jobs that may have waiting tasks; who reads it takes out those that have none. */
  readonly queue = new Set<ShardJob>();
  /** Jobs with finished tasks that are not yet recorded as done; who records them takes the job out. */
  readonly jobsWithUnrecordedEnds = new Set<ShardJob>();
  /** Gangs that are assigned to the shard; who reads it takes out those that are over. */
  readonly gangs = new Set<ShardJob>();
  /** Teams whose tasks found no free capacity in the last scheduling cycle. */
  teamsBlockedByCapacity: ReadonlySet<TeamId> = new Set();
  /** Teams whose tasks exceeded their shard quota in the last scheduling cycle. */
  teamsBlockedByQuota: ReadonlySet<TeamId> = new Set();
  /** Teams for which quota is reserved until one large task, or gang, fits into it, and how much that is. */
  quotaReservations: ReadonlyMap<TeamId, Resources> = new Map();
  /** By the tasks that the search might have preempted, as a text that preemption makes and reads. */
  readonly failedSearches = new Map<string, FailedSearch>();
  /** Machines for which a direct command may be due. */
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Allocations that were told to stop and are not yet certainly gone. Changed with the allocations. */
  readonly stopping = new Set<Allocation>();
  /** Spot instances that the cloud has given notice to interrupt. Changed by `setInterruption`. */
  readonly interruptedMachines = new Set<Machine>();
  readonly totals = new ShardTotals();
  /** Every machine is reconciled, and so is every task that an earlier leader may have started. */
  reconciled = false;
  /** Machines that may hold tasks of an earlier leader. */
  readonly unreconciled = new UnreconciledMachines();
  /** Which records this leader may act on. */
  private readonly confirmation = new RecordConfirmation();
  private attemptCounter = 0;
  private readonly firstFencingToken: FencingToken;
  /** Revision at which the shard was acquired: an earlier leader may have acted on whatever was written up to then. */
  readonly acquiredVersion: Revision;
  private readonly imageAnnouncements = new ImageAnnouncements(this.machines);

  /**
   * @param currentFencingToken fencing token under which the shard was acquired
   * @param version revision of the shard's record, the condition of the leader's writes
   * @param types the catalog, kept up to date by its owner
   */
  constructor(
    readonly id: ShardId,
    private currentFencingToken: FencingToken,
    public version: Revision,
    readonly acquiredAt: SteadyMs,
    readonly types: ReadonlyMap<InstanceTypeId, InstanceType>,
  ) {
    this.firstFencingToken = currentFencingToken;
    this.acquiredVersion = version;
  }

  /** A machine that is registered for the shard; nothing is known to be allocated on it. */
  addMachine(machine: Machine): void {
    this.machines.set(machine.id, machine);
    this.confirmation.addMachine(machine);
    for (const image of machine.images.keys()) this.totals.setImageHolder(image, machine, true);
    this.totals.countIfUnaccounted(machine, 1);
    this.totals.updateFreeCapacity(machine, this.types);
    if (!machine.reconciled) this.addUnreconciled(machine);
    this.machinesWithPendingCommands.add(machine);
  }

  private addUnreconciled(machine: Machine): void {
    this.unreconciled.add(machine, 1);
    this.reconciled = false;
  }

  /** Tasks read after the acquisition from a record that is older: an earlier leader may have started them. */
  addUnaccounted(job: ShardJob, tasks: RangeSet): void {
    job.unaccounted.addAll(tasks);
    this.reconciled = false;
    this.unreconciled.requestRecheck();
  }

  /** Tasks of a record that may be ahead of the watch: they are started once `confirmUpTo` has covered it. */
  addUnconfirmed(job: ShardJob, tasks: RangeSet): void {
    job.unconfirmed.addAll(tasks);
    this.confirmation.addJob(job);
  }

  /** Up to here this leader knows everything that was written, and led the shard. */
  get confirmedUpTo(): Revision {
    return this.confirmation.revision;
  }

  /** The watch cache is complete up to `revision` and shows this leader still. Returns what may be started with this. */
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

  /** The machine is not registered for the shard any more. What was allocated on it has been released before. */
  removeMachine(machine: Machine): void {
    this.machines.delete(machine.id);
    this.confirmation.removeMachine(machine);
    for (const image of machine.images.keys()) this.totals.setImageHolder(image, machine, false);
    this.totals.countIfUnaccounted(machine, -1);
    this.totals.removeMachine(machine);
    if (!machine.reconciled) this.unreconciled.add(machine, -1);
    this.machinesWithPendingCommands.delete(machine);
    this.interruptedMachines.delete(machine);
  }

  /** It has shown this leader's fencing token, or cannot hold any task of an earlier leader. */
  markReconciled(machine: Machine): void {
    if (machine.reconciled) return;
    this.totals.countIfUnaccounted(machine, -1);
    machine.reconciled = true;
    this.unreconciled.add(machine, -1);
    this.totals.countIfUnaccounted(machine, 1);
  }

  /** When the cloud takes the machine, by its notice; null: no notice is in force. */
  setInterruption(machine: Machine, at: SteadyMs | null): void {
    machine.interruptedAt = at;
    if (at === null) this.interruptedMachines.delete(machine);
    else this.interruptedMachines.add(machine);
  }

  /** To be called when the catalog has changed. */
  refreshFreeCapacity(): void {
    for (const machine of this.machines.values()) this.totals.updateFreeCapacity(machine, this.types);
  }

  /** Machines whose images are to be announced now, `count` at most. */
  nextImageAnnouncements(count: number): Set<Machine> {
    return this.imageAnnouncements.next(count);
  }

  /** The machine has fetched or used this image. */
  recordImage(machine: Machine, image: ImageId, sizeGb: number): void {
    const alreadyHeld = machine.images.delete(image);
    machine.images.set(image, sizeGb);
    if (alreadyHeld) return;
    this.imageAnnouncements.markChanged(machine);
    this.totals.setImageHolder(image, machine, true);
    this.evictImages(machine);
  }

  /** Forgets images that do not fit into the machine's cache: those used longest ago, except those that tasks need. */
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

  /** Sent with every command: a worker obeys the leader with the highest one that it has seen. */
  get fencingToken(): FencingToken {
    return this.currentFencingToken;
  }

  /** Goes on under a higher fencing token of this leader: its attempts are larger than all before. */
  adoptFencingToken(fencingToken: FencingToken): void {
    if (fencingToken <= this.currentFencingToken) return;
    this.currentFencingToken = fencingToken;
    this.attemptCounter = 0;
  }

  /** Few attempts are left: beyond them the numbers are those of the next fencing token, another leader's perhaps. */
  get needsNewFencingToken(): boolean {
    return this.attemptCounter >= ATTEMPTS_PER_TOKEN - ATTEMPTS_LEFT_AT_RENEWAL;
  }

  /**
   * A number that no other start of a task has, on any controller: the fencing token is this leader's alone, and the
   * counter never goes back. Throws when all numbers of the token have been used.
   */
  nextAttempt(): Attempt {
    if (this.attemptCounter >= ATTEMPTS_PER_TOKEN - 1)
      throw new Error(`shard ${this.id} has used all attempts of its fencing token`);
    this.attemptCounter += 1;
    return (this.fencingToken * ATTEMPTS_PER_TOKEN + this.attemptCounter) as Attempt;
  }

  /** Was the attempt started by this leader, since it acquired the shard? */
  issuedAttempt(attempt: Attempt): boolean {
    return attempt >= this.firstFencingToken * ATTEMPTS_PER_TOKEN;
  }
}
