/** What the owner of a part holds in memory: its machines, what is bound to them, and the tasks entrusted to it. */
import type { MachineType } from '../cloud/wire.js';
import { type Resources } from '../model/resources.js';
import type { RangeSet } from '../ranges.js';
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
  TypeId,
} from '../units.js';

/** Attempts that one token has room for, and how many of them are left when a new token is due. */
const ATTEMPTS = 2 ** 20;
const ATTEMPTS_LEFT = ATTEMPTS / 4;

export class Shard {
  /** Change only through `add` and `drop`. */
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, ShardJob>();
  /** Where each started task is. Changed only by `bind`, `attach` and `unbind`, like all sums below. */
  readonly allocations = new Map<TaskId, Allocation>();
  readonly allocationsByJob = new Map<JobId, Set<Allocation>>();
  /** Jobs that may have waiting tasks, and jobs with ends that are not in their record; cleaned when read. */
  readonly queue = new Set<ShardJob>();
  readonly ended = new Set<ShardJob>();
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
  readonly due = new Set<Machine>();
  /** Told to stop and not yet seen gone. */
  readonly stopping = new Set<Allocation>();
  /** Machines that the cloud has said it will take. */
  readonly interruptionNoticed = new Set<Machine>();
  readonly totals = new ShardTotals();
  /** Every task of the claim has been seen, or cannot be on a machine. */
  reconciled = false;
  readonly unreconciled = new UnreconciledMachines();
  private counter = 0;
  private readonly firstToken: FencingToken;
  /** Revision of our claim: whatever was entrusted to the part up to then, an owner before us may have acted on. */
  readonly claimedVersion: Revision;
  private readonly imageNews = new Set<Machine>();
  private turns = this.machines.values();

  constructor(
    readonly id: ShardId,
    private currentToken: FencingToken,
    public version: Revision,
    readonly claimedAt: SteadyMs,
    readonly types: ReadonlyMap<TypeId, MachineType>,
  ) {
    this.firstToken = currentToken;
    this.claimedVersion = version;
  }

  add(machine: Machine): void {
    this.machines.set(machine.id, machine);
    for (const image of machine.images.keys()) this.totals.holds(image, machine, true);
    this.totals.count(machine, 1);
    this.totals.level(machine, this.types);
    if (!machine.reconciled) this.reopen(machine);
    this.due.add(machine);
  }

  private reopen(machine: Machine): void {
    this.unreconciled.add(machine, 1);
    this.reconciled = false;
  }

  /** Learnt of after the claim, and older than it: an owner before us may have started these tasks. */
  freeze(job: ShardJob, tasks: RangeSet): void {
    job.unaccounted.addAll(tasks);
    this.reconciled = false;
    this.unreconciled.changed = true;
  }

  /** Its bindings have been ended before. */
  drop(machine: Machine): void {
    this.machines.delete(machine.id);
    for (const image of machine.images.keys()) this.totals.holds(image, machine, false);
    this.totals.count(machine, -1);
    this.totals.forget(machine);
    if (!machine.reconciled) this.unreconciled.add(machine, -1);
    this.due.delete(machine);
    this.interruptionNoticed.delete(machine);
  }

  /** It has reported under our token, or cannot hold anything from before. */
  settle(machine: Machine): void {
    if (machine.reconciled) return;
    this.totals.count(machine, -1);
    machine.reconciled = true;
    this.unreconciled.add(machine, -1);
    this.totals.count(machine, 1);
  }

  /** The catalog has changed. */
  resize(): void {
    for (const m of this.machines.values()) this.totals.level(m, this.types);
  }

  /** Machines whose images are to be told now: the changed ones, then the next few, so that all are told again. */
  imageTurns(count: number): Set<Machine> {
    const out = new Set<Machine>();
    for (const m of this.imageNews) {
      if (out.size >= count) return out;
      this.imageNews.delete(m);
      if (this.machines.has(m.id)) out.add(m);
    }
    for (let left = Math.min(count - out.size, this.machines.size); left > 0; left -= 1) {
      let next = this.turns.next();
      if (next.done) next = (this.turns = this.machines.values()).next();
      if (!next.done && next.value.images.size > 0) out.add(next.value);
    }
    return out;
  }

  /** The machine has this image now; what its cache has no room for any more is what it used longest ago. */
  sawImage(machine: Machine, image: ImageId, gb: number): void {
    const known = machine.images.delete(image);
    machine.images.set(image, gb);
    if (known) return;
    this.imageNews.add(machine);
    this.totals.holds(image, machine, true);
    const cache = this.types.get(machine.type)?.cacheGb ?? Infinity;
    let total = 0;
    for (const size of machine.images.values()) total += size;
    for (const [old, size] of machine.images) {
      if (total <= cache) return;
      if (machine.wanted.has(old)) continue;
      machine.images.delete(old);
      this.totals.holds(old, machine, false);
      total -= size;
    }
  }

  /** Says to machines who may command them. */
  get token(): FencingToken {
    return this.currentToken;
  }

  /** A higher token of ours: its attempts are larger than all of the one before. */
  raiseTo(token: FencingToken): void {
    if (token <= this.currentToken) return;
    this.currentToken = token;
    this.counter = 0;
  }

  /** The present token has few attempts left: the next ones would be those of somebody else's token. */
  get needsNewToken(): boolean {
    return this.counter >= ATTEMPTS - ATTEMPTS_LEFT;
  }

  /** Never repeated: the token is ours alone, and the counter goes on. Throws when the token has none left. */
  nextAttempt(): Attempt {
    if (this.counter >= ATTEMPTS - 1) throw new Error(`pool ${this.id} has used all attempts of its token`);
    this.counter += 1;
    return (this.token * ATTEMPTS + this.counter) as Attempt;
  }

  /** Did this owner start it, since its claim? */
  issued(attempt: Attempt): boolean {
    return attempt >= this.firstToken * ATTEMPTS;
  }
}

/** What each team's tasks may be using at most: bound tasks, and whole machines that we cannot account for. */
export interface Usage {
  readonly teams: ReadonlyMap<TeamId, Resources>;
  /** May be any one team's. */
  readonly anybody: Resources;
}

export const usageOf = (shard: Shard): Usage => ({
  teams: shard.totals.teams,
  anybody: shard.totals.unclear(shard.types),
});
