/** What the owner of a part holds in memory: its machines, what is bound to them, and the tasks entrusted to it. */
import type { InstanceType } from '../cloud/wire.js';
import { type Resources } from '../model/resources.js';
import type { RangeSet } from '../model/ranges.js';
import type { ShardJob } from './job.js';
import type { Allocation, Machine } from './machine.js';
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

/** Attempts that one token has room for, and how many of them are left when a new token is due. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
const ATTEMPTS_LEFT_AT_RENEWAL = ATTEMPTS_PER_TOKEN / 4;

export class Shard {
  /** Change only through `add` and `drop`. */
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, ShardJob>();
  /** Where each started task is. Changed only by `bind`, `attach` and `unbind`, like all sums below. */
  readonly allocations = new Map<TaskId, Allocation>();
  readonly allocationsByJob = new Map<JobId, Set<Allocation>>();
  /** Jobs that may have waiting tasks, and jobs with ends that are not in their record; cleaned when read. */
  readonly queue = new Set<ShardJob>();
  readonly jobsWithUnrecordedEnds = new Set<ShardJob>();
  /** Gangs entrusted to the pool; those that are over are dropped when it is read. */
  readonly gangs = new Set<ShardJob>();
  /** Teams whose tasks found no room in the last round, and those that were at this part's share of their limit. */
  teamsBlockedByCapacity: ReadonlySet<TeamId> = new Set();
  teamsBlockedByQuota: ReadonlySet<TeamId> = new Set();
  /** Teams for one task of which this part gathers a share that is large enough, and how much that is. */
  quotaReservations: ReadonlyMap<TeamId, Resources> = new Map();
  /** By who may be stopped: a search that found nobody, for how much room, and until when it need not be repeated. */
  readonly failedSearches = new Map<string, { readonly need: Resources; readonly until: SteadyMs }>();
  /** Machines that may have something to be told directly. */
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Told to stop and not yet seen gone. */
  readonly stopping = new Set<Allocation>();
  /** Machines that the cloud has said it will take. */
  readonly interruptionNoticed = new Set<Machine>();
  readonly totals = new ShardTotals();
  /** Every task of the claim has been seen, or cannot be on a machine. */
  reconciled = false;
  readonly unreconciled = new UnreconciledMachines();
  private attemptCounter = 0;
  private readonly firstFencingToken: FencingToken;
  /** Revision of our claim: whatever was entrusted to the part up to then, an owner before us may have acted on. */
  readonly acquiredVersion: Revision;
  private readonly machinesWithImageChanges = new Set<Machine>();
  private imageAnnouncementCursor = this.machines.values();

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

  addMachine(machine: Machine): void {
    this.machines.set(machine.id, machine);
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

  /** Learnt of after the claim, and older than it: an owner before us may have started these tasks. */
  addUnaccounted(job: ShardJob, tasks: RangeSet): void {
    job.unaccounted.addAll(tasks);
    this.reconciled = false;
    this.unreconciled.changed = true;
  }

  /** Its bindings have been ended before. */
  removeMachine(machine: Machine): void {
    this.machines.delete(machine.id);
    for (const image of machine.images.keys()) this.totals.setImageHolder(image, machine, false);
    this.totals.countIfUnaccounted(machine, -1);
    this.totals.removeMachine(machine);
    if (!machine.reconciled) this.unreconciled.add(machine, -1);
    this.machinesWithPendingCommands.delete(machine);
    this.interruptionNoticed.delete(machine);
  }

  /** It has reported under our token, or cannot hold anything from before. */
  markReconciled(machine: Machine): void {
    if (machine.reconciled) return;
    this.totals.countIfUnaccounted(machine, -1);
    machine.reconciled = true;
    this.unreconciled.add(machine, -1);
    this.totals.countIfUnaccounted(machine, 1);
  }

  /** The catalog has changed. */
  refreshFreeCapacity(): void {
    for (const machine of this.machines.values()) this.totals.updateFreeCapacity(machine, this.types);
  }

  /** Machines whose images are to be told now: the changed ones, then the next few, so that all are told again. */
  nextImageAnnouncements(count: number): Set<Machine> {
    const chosen = new Set<Machine>();
    for (const machine of this.machinesWithImageChanges) {
      if (chosen.size >= count) return chosen;
      this.machinesWithImageChanges.delete(machine);
      if (this.machines.has(machine.id)) chosen.add(machine);
    }
    for (let left = Math.min(count - chosen.size, this.machines.size); left > 0; left -= 1) {
      let next = this.imageAnnouncementCursor.next();
      if (next.done) next = (this.imageAnnouncementCursor = this.machines.values()).next();
      if (!next.done && next.value.images.size > 0) chosen.add(next.value);
    }
    return chosen;
  }

  /** The machine has this image now; what its cache has no room for any more is what it used longest ago. */
  recordImage(machine: Machine, image: ImageId, sizeGb: number): void {
    const alreadyHeld = machine.images.delete(image);
    machine.images.set(image, sizeGb);
    if (alreadyHeld) return;
    this.machinesWithImageChanges.add(machine);
    this.totals.setImageHolder(image, machine, true);
    const cache = this.types.get(machine.type)?.cacheGb ?? Infinity;
    let total = 0;
    for (const size of machine.images.values()) total += size;
    for (const [evicted, size] of machine.images) {
      if (total <= cache) return;
      if (machine.requiredImages.has(evicted)) continue;
      machine.images.delete(evicted);
      this.totals.setImageHolder(evicted, machine, false);
      total -= size;
    }
  }

  /** Says to machines who may command them. */
  get fencingToken(): FencingToken {
    return this.currentFencingToken;
  }

  /** A higher token of ours: its attempts are larger than all of the one before. */
  adoptFencingToken(fencingToken: FencingToken): void {
    if (fencingToken <= this.currentFencingToken) return;
    this.currentFencingToken = fencingToken;
    this.attemptCounter = 0;
  }

  /** The present token has few attempts left: the next ones would be those of somebody else's token. */
  get needsNewFencingToken(): boolean {
    return this.attemptCounter >= ATTEMPTS_PER_TOKEN - ATTEMPTS_LEFT_AT_RENEWAL;
  }

  /** Never repeated: the token is ours alone, and the counter goes on. Throws when the token has none left. */
  nextAttempt(): Attempt {
    if (this.attemptCounter >= ATTEMPTS_PER_TOKEN - 1)
      throw new Error(`pool ${this.id} has used all attempts of its token`);
    this.attemptCounter += 1;
    return (this.fencingToken * ATTEMPTS_PER_TOKEN + this.attemptCounter) as Attempt;
  }

  /** Did this owner start it, since its claim? */
  issuedAttempt(attempt: Attempt): boolean {
    return attempt >= this.firstFencingToken * ATTEMPTS_PER_TOKEN;
  }
}

/** What each team's tasks may be using at most: bound tasks, and whole machines that we cannot account for. */
export interface Usage {
  readonly byTeam: ReadonlyMap<TeamId, Resources>;
  /** May be any one team's. */
  readonly unattributed: Resources;
}

export const usageOf = (shard: Shard): Usage => ({
  byTeam: shard.totals.usageByTeam,
  unattributed: shard.totals.unaccountedCapacity(shard.types),
});
