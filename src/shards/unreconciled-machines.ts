/** Machines of a shard that may hold tasks of an earlier leader, counted by what decides which tasks those can be. */
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

/** Machines that no job's constraints tell apart. */
interface MachineGroup {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  machines: number;
}

/**
 * The machines that are not reconciled, in groups: whether one of them may hold a task takes a look at each group, not at
 * each machine.
 */
export class UnreconciledMachines {
  private readonly groups = new Map<string, MachineGroup>();
  private recheckRequested = true;

  /** Counts a machine more (1) or less (-1). */
  add({ type, zone, spot }: Machine, sign: 1 | -1): void {
    const key = `${type}/${zone}/${spot}`;
    const group = this.groups.get(key) ?? { type, zone, spot, machines: 0 };
    group.machines += sign;
    if (group.machines > 0) this.groups.set(key, group);
    else {
      this.groups.delete(key);
      this.requestRecheck();
    }
  }

  /** Some group has no machine left, or a task has become unaccounted: there may be tasks that are on no machine. */
  requestRecheck(): void {
    this.recheckRequested = true;
  }

  /** Has a recheck been requested since the last call? */
  takeRecheckRequest(): boolean {
    const requested = this.recheckRequested;
    this.recheckRequested = false;
    return requested;
  }

  /** Every machine of the shard is reconciled. */
  get isEmpty(): boolean {
    return this.groups.size === 0;
  }

  /** May a task of the job that must run in this zone (null: in any) be on one of the machines? */
  mayHaveTask({ spec }: ShardJob, requiredZone: ZoneId | null): boolean {
    for (const { type, zone, spot } of this.groups.values())
      if (mayRunOn(spec, type, zone, spot, requiredZone)) return true;
    return false;
  }
}
