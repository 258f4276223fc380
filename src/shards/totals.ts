/**
 * Running totals of one part: what its teams use, which machines cannot be accounted for, which have free room,
 * and which hold an image. Kept up to date with every binding, so that no decision walks over all machines.
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
import type { JobSpec } from '../jobs/spec.js';
import type { ImageId, TeamId, InstanceTypeId } from '../model/units.js';
import { hasUnknownUsage, freeResources, type Machine } from './machine.js';

/** A machine without anything free of a resource is in no level of it. */
const NO_LEVEL = -1;

/** Machines by how much they have free of one resource, rounded down. */
class FreeCapacityIndex {
  private readonly levels: (Set<Machine> | undefined)[] = [];
  private readonly levelOf = new Map<Machine, number>();

  update(machine: Machine, free: number): void {
    const level = free <= TOLERANCE ? NO_LEVEL : Math.floor(free + TOLERANCE);
    const before = this.levelOf.get(machine);
    if (before === level) return;
    if (before !== undefined) this.levels[before]?.delete(machine);
    this.levelOf.set(machine, level);
    if (level !== NO_LEVEL) (this.levels[level] ??= new Set()).add(machine);
  }

  remove(machine: Machine): void {
    const level = this.levelOf.get(machine);
    if (level !== undefined) this.levels[level]?.delete(machine);
    this.levelOf.delete(machine);
  }

  *atLeast(amount: number): Generator<Machine> {
    for (let i = Math.floor(amount); i < this.levels.length; i += 1) yield* this.levels[i] ?? NO_MACHINES;
  }
}

interface TeamUsage extends MutableResources {
  tasks: number;
}

export class ShardTotals {
  readonly usageByTeam = new Map<TeamId, TeamUsage>();
  private readonly unaccountedByType = new Map<InstanceTypeId, number>();
  private readonly machinesByImage = new Map<ImageId, Set<Machine>>();
  private readonly free: Readonly<Record<ResourceKind, FreeCapacityIndex>> = {
    cpus: new FreeCapacityIndex(),
    gpus: new FreeCapacityIndex(),
    memoryGb: new FreeCapacityIndex(),
  };

  /** Adds or removes a machine that we cannot account for; called around every change that could make it one. */
  countIfUnaccounted(machine: Machine, sign: 1 | -1): void {
    if (!hasUnknownUsage(machine)) return;
    this.unaccountedByType.set(machine.type, (this.unaccountedByType.get(machine.type) ?? 0) + sign);
  }

  /** Guards the limit after a takeover: a machine not heard from may be full of any one team's tasks. */
  unaccountedCapacity(types: ReadonlyMap<InstanceTypeId, InstanceType>): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const [name, count] of this.unaccountedByType) {
      if (count > 0) addTo(sum, types.get(name) ?? UNLIMITED, count);
    }
    return sum;
  }

  countTask(spec: JobSpec, sign: 1 | -1): void {
    const team = this.usageByTeam.get(spec.team) ?? { ...ZERO, tasks: 0 };
    team.tasks += sign;
    if (team.tasks === 0) clear(team);
    else addTo(team, spec, sign);
    this.usageByTeam.set(spec.team, team);
  }

  setImageHolder(image: ImageId, machine: Machine, present: boolean): void {
    const set = this.machinesByImage.get(image) ?? new Set();
    if (present) set.add(machine);
    else set.delete(machine);
    if (set.size > 0) this.machinesByImage.set(image, set);
    else this.machinesByImage.delete(image);
  }

  machinesWithImage(image: ImageId): ReadonlySet<Machine> {
    return this.machinesByImage.get(image) ?? NO_MACHINES;
  }

  imageHolders(): Iterable<[ImageId, ReadonlySet<Machine>]> {
    return this.machinesByImage;
  }

  /** Files the machine under what it has free now. */
  updateFreeCapacity(machine: Machine, types: ReadonlyMap<InstanceTypeId, InstanceType>): void {
    const free = freeResources(machine, types.get(machine.type));
    for (const kind of RESOURCE_KINDS) this.free[kind].update(machine, free[kind]);
  }

  removeMachine(machine: Machine): void {
    for (const kind of RESOURCE_KINDS) this.free[kind].remove(machine);
  }

  /**
   * Machines with at least as much free of the resource of which the need takes most: every machine that has room is
   * among them, and the fewest others.
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

const NO_MACHINES: ReadonlySet<Machine> = new Set();
