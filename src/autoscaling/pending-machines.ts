/**
 * Machines that this controller has requested and that are not registered in the store yet. They count as capacity that
 * is about to arrive, and the listing review does not treat them as unused.
 */
import type { Core } from '../core.js';
import type { MachineId, Millis, ShardId, SteadyMs } from '../model/units.js';
import { elapsed } from '../model/units.js';
import { zoneForShard } from '../overflow/announcement.js';
import type { MachineKind } from './scale-out-plan.js';

/** A machine that is not registered after this many boot times is no longer expected. */
const EXPIRY_BOOT_TIMES = 6;
/** Boot time that is assumed for an instance type that is not in the catalog. */
const DEFAULT_BOOT_S = 60;

interface PendingMachine extends MachineKind {
  readonly shard: ShardId;
  readonly requestedAt: SteadyMs;
}

/** Returns how long a machine of this type takes to boot, in milliseconds. */
export const bootTimeMs = (core: Pick<Core, 'types'>, type: MachineKind['type']): number =>
  (core.types.get(type)?.bootS ?? DEFAULT_BOOT_S) * 1000;

/** The pending machines of all shards that this controller leads or led before. */
export class PendingMachines {
  private readonly machines = new Map<MachineId, PendingMachine>();

  constructor(private readonly core: Core) {}

  /** Records machines that the cloud has granted for the shard. */
  add(shard: ShardId, ids: readonly MachineId[], { type, zone, spot }: MachineKind, now: SteadyMs): void {
    const { core } = this;
    for (const id of ids) {
      this.machines.set(id, { shard, requestedAt: now, type, zone, spot });
      // A machine in another zone joins a shard of that zone, so that a partition between zones does not separate a
      // leader from its machines.
      if (zone !== zoneForShard(core, shard)) continue;
      core.intendedShards.set(id, shard);
      core.unregisteredOwnMachines.set(id, shard);
    }
  }

  /** Removes a machine that is registered in the store, or is no longer expected. */
  forget(id: MachineId): void {
    this.machines.delete(id);
    this.core.intendedShards.delete(id);
    this.core.unregisteredOwnMachines.delete(id);
  }

  /** Returns whether this controller has requested the machine and it is not registered yet. */
  has(id: MachineId): boolean {
    return this.machines.has(id);
  }

  /** Returns the kinds of the shard's pending machines. */
  ofShard(shard: ShardId): MachineKind[] {
    return [...this.machines.values()].filter((pending) => pending.shard === shard);
  }

  /** Removes machines that were requested too long ago. */
  expire(now: SteadyMs): void {
    for (const [id, { type, requestedAt }] of this.machines) {
      const age: Millis = elapsed(now, requestedAt);
      if (age > EXPIRY_BOOT_TIMES * bootTimeMs(this.core, type)) this.forget(id);
    }
  }
}
