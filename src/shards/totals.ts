/**
 * Running totals of one shard: what its teams use, how many machines have unknown usage, which machines have free
 * capacity, and which hold an image. Updated with every change by the functions of this folder, so that no decision walks
 * over all machines.
 */
import type { InstanceType } from '../cloud/wire.js';
import {
  addTo,
  clear,
  dominantKind,
  largestOf,
  RESOURCE_KINDS,
  TOLERANCE,
  UNLIMITED,
  ZERO,
  type MutableResources,
  type ResourceKind,
  type Resources,
} from '../model/resources.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import type { ImageId, TeamId, InstanceTypeId } from '../model/units.js';
import { hasUnknownUsage, freeResources, type Machine } from './machine.js';

const NO_MACHINES: ReadonlySet<Machine> = new Set();

/** Of a machine that has nothing free of a resource: it is in no set of machines. */
const NO_LEVEL = -1;

/** Machines by how much they have free of one resource, rounded down. */
class FreeCapacityIndex {
  /** By level, the whole amount that is free. */
  private readonly levels: (Set<Machine> | undefined)[] = [];
  private readonly levelByMachine = new Map<Machine, number>();

  update(machine: Machine, free: number): void {
    const level = free <= TOLERANCE ? NO_LEVEL : Math.floor(free + TOLERANCE);
    const before = this.levelByMachine.get(machine);
    if (before === level) return;
    if (before !== undefined) this.levels[before]?.delete(machine);
    this.levelByMachine.set(machine, level);
    if (level !== NO_LEVEL) (this.levels[level] ??= new Set()).add(machine);
  }

  remove(machine: Machine): void {
    const level = this.levelByMachine.get(machine);
    if (level !== undefined) this.levels[level]?.delete(machine);
    this.levelByMachine.delete(machine);
  }

  /** Machines with that much free, rounded down, or more. */
  *atLeast(amount: number): Generator<Machine> {
    for (let level = Math.floor(amount); level < this.levels.length; level += 1)
      yield* this.levels[level] ?? NO_MACHINES;
  }
}

/** What some tasks take, and how many there are. */
interface TaskTotal extends MutableResources {
  tasks: number;
}

/** Without any task the total is exactly nothing: sums of fractions drift. */
function countIn(total: TaskTotal, spec: JobSpec, sign: 1 | -1): void {
  total.tasks += sign;
  if (total.tasks === 0) clear(total);
  else addTo(total, spec, sign);
}

/** The totals of one shard. Only the functions of this folder change them. */
export class ShardTotals {
  private readonly teams = new Map<TeamId, TaskTotal>();
  /** What the allocations of each team take, on all machines of the shard. */
  readonly usageByTeam: ReadonlyMap<TeamId, Resources> = this.teams;
  private readonly preemptible: TaskTotal = { ...ZERO, tasks: 0 };
  /** What all allocations take that are not critical. */
  readonly preemptibleUsage: Resources = this.preemptible;
  private readonly unaccountedByType = new Map<InstanceTypeId, number>();
  private readonly machinesByImage = new Map<ImageId, Set<Machine>>();
  private readonly free: Readonly<Record<ResourceKind, FreeCapacityIndex>> = {
    cpus: new FreeCapacityIndex(),
    gpus: new FreeCapacityIndex(),
    memoryGb: new FreeCapacityIndex(),
  };

  /**
   * Counts the machine more (1) or less (-1) if its usage is unknown now. To be called with -1 before every change that
   * may affect this, and with 1 after it.
   */
  countIfUnaccounted(machine: Machine, sign: 1 | -1): void {
    if (!hasUnknownUsage(machine)) return;
    this.unaccountedByType.set(machine.type, (this.unaccountedByType.get(machine.type) ?? 0) + sign);
  }

  /**
   * Capacity of the machines with unknown usage. After a failover a machine that has not been heard of may be full of one
   * team's tasks: counted as free, the team would exceed its quota.
   */
  unaccountedCapacity(types: ReadonlyMap<InstanceTypeId, InstanceType>): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const [name, count] of this.unaccountedByType) {
      if (count > 0) addTo(sum, types.get(name) ?? UNLIMITED, count);
    }
    return sum;
  }

  /** Counts a task of this size for its team, more (1) or less (-1). */
  countTask(spec: JobSpec, sign: 1 | -1): void {
    const team = this.teams.get(spec.team) ?? { ...ZERO, tasks: 0 };
    countIn(team, spec, sign);
    this.teams.set(spec.team, team);
    if (spec.priority !== Priority.critical) countIn(this.preemptible, spec, sign);
  }

  /** The machine holds the image from now on, or does not. */
  setImageHolder(image: ImageId, machine: Machine, present: boolean): void {
    const holders = this.machinesByImage.get(image) ?? new Set();
    if (present) holders.add(machine);
    else holders.delete(machine);
    if (holders.size > 0) this.machinesByImage.set(image, holders);
    else this.machinesByImage.delete(image);
  }

  /** Machines that should hold the image. */
  machinesWithImage(image: ImageId): ReadonlySet<Machine> {
    return this.machinesByImage.get(image) ?? NO_MACHINES;
  }

  /** Every image that is on a machine, with its machines. */
  imageHolders(): Iterable<[ImageId, ReadonlySet<Machine>]> {
    return this.machinesByImage;
  }

  /** Takes in what the machine has free now. */
  updateFreeCapacity(machine: Machine, types: ReadonlyMap<InstanceTypeId, InstanceType>): void {
    const free = freeResources(machine, types.get(machine.type));
    for (const kind of RESOURCE_KINDS) this.free[kind].update(machine, free[kind]);
  }

  /** The machine has left the shard. */
  removeMachine(machine: Machine): void {
    for (const kind of RESOURCE_KINDS) this.free[kind].remove(machine);
  }

  /**
   * Machines with at least as much free of the resource of which the need takes the largest share: every machine on which
   * it fits is among them, and the fewest others.
   */
  machinesWithFree(need: Resources, types: ReadonlyMap<InstanceTypeId, InstanceType>): Iterable<Machine> {
    const kind = dominantKind(need, largestOf(types.values()));
    return this.free[kind].atLeast(need[kind]);
  }

  /** Machines on which any CPU is free: without one nothing starts. */
  machinesWithFreeCpu(): Iterable<Machine> {
    return this.free.cpus.atLeast(0);
  }
}
