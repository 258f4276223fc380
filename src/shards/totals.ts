/**
 * Running totals of one shard: the usage of its teams, the number of machines with unknown usage, the machines with
 * free capacity, and the machines that hold an image. The functions of this folder update them with every change, so
 * that no decision has to visit all machines.
 */
import type { InstanceType } from '../cloud/wire.js';
import {
  addTo,
  resetToZero,
  dominantKind,
  largestPerResource,
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

/** Level of a machine that has nothing free of a resource; it is in no set of `levels`. */
const NO_LEVEL = -1;

/** Indexes machines by their free amount of one resource, rounded down. */
class FreeCapacityIndex {
  /** Sets of machines by level: the free amount, rounded down. */
  private readonly levels: (Set<Machine> | undefined)[] = [];
  private readonly levelByMachine = new Map<Machine, number>();

  update(machine: Machine, free: number): void {
    const level = free <= TOLERANCE ? NO_LEVEL : Math.floor(free + TOLERANCE);
    const previous = this.levelByMachine.get(machine);
    if (previous === level) return;
    if (previous !== undefined) this.levels[previous]?.delete(machine);
    this.levelByMachine.set(machine, level);
    if (level !== NO_LEVEL) (this.levels[level] ??= new Set()).add(machine);
  }

  remove(machine: Machine): void {
    const level = this.levelByMachine.get(machine);
    if (level !== undefined) this.levels[level]?.delete(machine);
    this.levelByMachine.delete(machine);
  }

  /** Yields the machines with at least this amount free; both amounts are rounded down. */
  *atLeast(amount: number): Generator<Machine> {
    for (let level = Math.floor(amount); level < this.levels.length; level += 1)
      yield* this.levels[level] ?? NO_MACHINES;
  }
}

/** Total resources of a number of tasks. */
interface TaskTotal extends MutableResources {
  tasks: number;
}

/** Adds or removes a task. Without tasks the total is set to exactly 0, so that rounding errors do not add up. */
function countIn(total: TaskTotal, spec: JobSpec, sign: 1 | -1): void {
  total.tasks += sign;
  if (total.tasks === 0) resetToZero(total);
  else addTo(total, spec, sign);
}

/** The totals of one shard. Changed only by the functions of this folder. */
export class ShardTotals {
  private readonly teams = new Map<TeamId, TaskTotal>();
  /** Resources of each team's allocations on all machines of the shard. */
  readonly usageByTeam: ReadonlyMap<TeamId, Resources> = this.teams;
  private readonly preemptible: TaskTotal = { ...ZERO, tasks: 0 };
  /** Resources of all allocations below critical priority. */
  readonly preemptibleUsage: Resources = this.preemptible;
  private readonly unknownUsageByType = new Map<InstanceTypeId, number>();
  private readonly machinesByImage = new Map<ImageId, Set<Machine>>();
  private readonly free: Readonly<Record<ResourceKind, FreeCapacityIndex>> = {
    cpus: new FreeCapacityIndex(),
    gpus: new FreeCapacityIndex(),
    memoryGb: new FreeCapacityIndex(),
  };

  /**
   * Adds (1) or removes (-1) the machine if its usage is unknown now. Must be called with -1 before every change that
   * may affect this, and with 1 after it.
   */
  countIfUsageUnknown(machine: Machine, sign: 1 | -1): void {
    if (!hasUnknownUsage(machine)) return;
    this.unknownUsageByType.set(machine.type, (this.unknownUsageByType.get(machine.type) ?? 0) + sign);
  }

  /**
   * Returns the capacity of the machines with unknown usage. After a failover a machine that has not sent a message yet
   * may be full of one team's tasks: if it counted as free, the team would exceed its quota.
   */
  unknownUsageCapacity(types: ReadonlyMap<InstanceTypeId, InstanceType>): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const [name, count] of this.unknownUsageByType) {
      if (count > 0) addTo(sum, types.get(name) ?? UNLIMITED, count);
    }
    return sum;
  }

  /** Adds (1) a task of this size to the usage of its team, or removes it (-1). */
  countTask(spec: JobSpec, sign: 1 | -1): void {
    const team = this.teams.get(spec.team) ?? { ...ZERO, tasks: 0 };
    countIn(team, spec, sign);
    this.teams.set(spec.team, team);
    if (spec.priority !== Priority.critical) countIn(this.preemptible, spec, sign);
  }

  /** Records whether the machine holds the image. */
  setImageHolder(image: ImageId, machine: Machine, present: boolean): void {
    const holders = this.machinesByImage.get(image) ?? new Set();
    if (present) holders.add(machine);
    else holders.delete(machine);
    if (holders.size > 0) this.machinesByImage.set(image, holders);
    else this.machinesByImage.delete(image);
  }

  /** Returns the machines that should hold the image. */
  machinesWithImage(image: ImageId): ReadonlySet<Machine> {
    return this.machinesByImage.get(image) ?? NO_MACHINES;
  }

  /** Returns every image that is on a machine, with the machines that hold it. */
  imageHolders(): Iterable<[ImageId, ReadonlySet<Machine>]> {
    return this.machinesByImage;
  }

  /** Updates the free capacity of a machine. */
  updateFreeCapacity(machine: Machine, types: ReadonlyMap<InstanceTypeId, InstanceType>): void {
    const free = freeResources(machine, types.get(machine.type));
    for (const kind of RESOURCE_KINDS) this.free[kind].update(machine, free[kind]);
  }

  /** Removes a machine that has left the shard. */
  removeMachine(machine: Machine): void {
    for (const kind of RESOURCE_KINDS) this.free[kind].remove(machine);
  }

  /**
   * Returns the machines with enough free of the dominant resource of the need, up to rounding: every machine on which
   * the need fits, and few others.
   */
  machinesWithFree(need: Resources, types: ReadonlyMap<InstanceTypeId, InstanceType>): Iterable<Machine> {
    const kind = dominantKind(need, largestPerResource(types.values()));
    return this.free[kind].atLeast(need[kind]);
  }

  /** Returns the machines with any free CPU capacity, which every task needs. */
  machinesWithFreeCpu(): Iterable<Machine> {
    return this.free.cpus.atLeast(0);
  }
}
