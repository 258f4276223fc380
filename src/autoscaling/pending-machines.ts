/**
 * Machines that this controller has requested and that are not registered in the store yet: they count as capacity to
 * come, and the listing does not take them for unused.
 */
import type { Core } from '../core.js';
import type { MachineId, Millis, ShardId, SteadyMs } from '../model/units.js';
import { elapsed } from '../model/units.js';
import { zoneForShard } from '../overflow/announcement.js';
import type { MachineKind } from './scale-out-plan.js';

/** A machine that is not registered after so many times its boot time will not come. */
const EXPIRY_BOOT_TIMES = 6;
/** Assumed for an instance type that is not in the catalog. */
const DEFAULT_BOOT_S = 60;

interface PendingMachine extends MachineKind {
  readonly shard: ShardId;
  readonly requestedAt: SteadyMs;
}

/** How long a machine of this type takes to boot, in milliseconds. */
export const bootTimeMs = (core: Pick<Core, 'types'>, type: MachineKind['type']): number =>
  (core.types.get(type)?.bootS ?? DEFAULT_BOOT_S) * 1000;

/** The pending machines of all shards that this controller leads or has led. */
export class PendingMachines {
  private readonly machines = new Map<MachineId, PendingMachine>();

  constructor(private readonly core: Core) {}

  /** The cloud has granted these machines for the shard. */
  add(shard: ShardId, ids: readonly MachineId[], { type, zone, spot }: MachineKind, now: SteadyMs): void {
    const { core } = this;
    for (const id of ids) {
      this.machines.set(id, { shard, requestedAt: now, type, zone, spot });
      // In another zone it joins a shard there: then a partition between zones cuts no leader off from its machines.
      if (zone !== zoneForShard(core, shard)) continue;
      core.intendedShards.set(id, shard);
      core.unregisteredOwnMachines.set(id, shard);
    }
  }

  /** The machine is registered in the store, or will not come. */
  forget(id: MachineId): void {
    this.machines.delete(id);
    this.core.intendedShards.delete(id);
    this.core.unregisteredOwnMachines.delete(id);
  }

  /** Was the machine requested here and is not registered yet? */
  has(id: MachineId): boolean {
    return this.machines.has(id);
  }

  /** The kinds of the shard's pending machines. */
  ofShard(shard: ShardId): MachineKind[] {
    return [...this.machines.values()].filter((pending) => pending.shard === shard);
  }

  /** Forgets machines that were requested too long ago. */
  expire(now: SteadyMs): void {
    for (const [id, { type, requestedAt }] of this.machines) {
      const age: Millis = elapsed(now, requestedAt);
      if (age > EXPIRY_BOOT_TIMES * bootTimeMs(this.core, type)) this.forget(id);
    }
  }
}
