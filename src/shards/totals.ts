/**
 * Running totals of one part: what its teams use, which machines cannot be accounted for, which have free room,
 * and which hold an image. Kept up to date with every binding, so that no decision walks over all machines.
 */
import type { MachineType } from '../cloud/wire.js';
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
import type { ImageId, TeamId, TypeId } from '../units.js';
import { isUnclear, roomOn, type Machine } from './machine.js';

/** A machine without anything free of a resource is in no level of it. */
const FULL = -1;

/** Machines by how much they have free of one resource, rounded down. */
class FreeLevels {
  private readonly levels: (Set<Machine> | undefined)[] = [];
  private readonly levelOf = new Map<Machine, number>();

  file(machine: Machine, free: number): void {
    const level = free <= TOLERANCE ? FULL : Math.floor(free + TOLERANCE);
    const before = this.levelOf.get(machine);
    if (before === level) return;
    if (before !== undefined) this.levels[before]?.delete(machine);
    this.levelOf.set(machine, level);
    if (level !== FULL) (this.levels[level] ??= new Set()).add(machine);
  }

  forget(machine: Machine): void {
    const level = this.levelOf.get(machine);
    if (level !== undefined) this.levels[level]?.delete(machine);
    this.levelOf.delete(machine);
  }

  *from(amount: number): Generator<Machine> {
    for (let i = Math.floor(amount); i < this.levels.length; i += 1) yield* this.levels[i] ?? NOBODY;
  }
}

interface TeamUse extends MutableResources {
  tasks: number;
}

export class ShardTotals {
  readonly teams = new Map<TeamId, TeamUse>();
  private readonly unclearByType = new Map<TypeId, number>();
  private readonly holders = new Map<ImageId, Set<Machine>>();
  private readonly free: Readonly<Record<ResourceKind, FreeLevels>> = {
    cpus: new FreeLevels(),
    gpus: new FreeLevels(),
    memoryGb: new FreeLevels(),
  };

  /** Adds or removes a machine that we cannot account for; called around every change that could make it one. */
  count(machine: Machine, sign: 1 | -1): void {
    if (!isUnclear(machine)) return;
    this.unclearByType.set(machine.type, (this.unclearByType.get(machine.type) ?? 0) + sign);
  }

  /** Guards the limit after a takeover: a machine not heard from may be full of any one team's tasks. */
  unclear(types: ReadonlyMap<TypeId, MachineType>): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const [name, count] of this.unclearByType) {
      if (count > 0) addTo(sum, types.get(name) ?? UNLIMITED, count);
    }
    return sum;
  }

  use(spec: JobSpec, sign: 1 | -1): void {
    const team = this.teams.get(spec.team) ?? { ...ZERO, tasks: 0 };
    team.tasks += sign;
    if (team.tasks === 0) clear(team);
    else addTo(team, spec, sign);
    this.teams.set(spec.team, team);
  }

  holds(image: ImageId, machine: Machine, yes: boolean): void {
    const set = this.holders.get(image) ?? new Set();
    if (yes) set.add(machine);
    else set.delete(machine);
    if (set.size > 0) this.holders.set(image, set);
    else this.holders.delete(image);
  }

  holdersOf(image: ImageId): ReadonlySet<Machine> {
    return this.holders.get(image) ?? NOBODY;
  }

  images(): Iterable<[ImageId, ReadonlySet<Machine>]> {
    return this.holders;
  }

  /** Files the machine under what it has free now. */
  level(machine: Machine, types: ReadonlyMap<TypeId, MachineType>): void {
    const room = roomOn(machine, types.get(machine.type));
    for (const kind of RESOURCE_KINDS) this.free[kind].file(machine, room[kind]);
  }

  forget(machine: Machine): void {
    for (const kind of RESOURCE_KINDS) this.free[kind].forget(machine);
  }

  /**
   * Machines with at least as much free of the resource of which the need takes most: every machine that has room is
   * among them, and the fewest others.
   */
  withFree(need: Resources, types: ReadonlyMap<TypeId, MachineType>): Iterable<Machine> {
    const kind = dominantKind(need, largestOf(types.values()));
    return this.free[kind].from(need[kind]);
  }

  /** Machines on which any CPU is free: without one nothing starts. */
  notFull(): Iterable<Machine> {
    return this.free.cpus.from(0);
  }
}

const NOBODY: ReadonlySet<Machine> = new Set();
