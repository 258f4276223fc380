/** Groups the machines of a shard that may hold tasks of an earlier leader by the properties that constraints use. */
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

/** Machines that are equivalent for the constraints of every job. */
interface MachineGroup {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  machines: number;
}

/**
 * The machines that are not reconciled, in groups: the check whether one of them may hold a task visits each group, not
 * each machine.
 */
export class UnreconciledMachines {
  private readonly groups = new Map<string, MachineGroup>();
  private recheckRequested = true;

  /** Adds (1) or removes (-1) a machine. */
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

  /** Requests a recheck: a group became empty or a task unaccounted, so there may be tasks that are on no machine. */
  requestRecheck(): void {
    this.recheckRequested = true;
  }

  /** Returns whether a recheck has been requested since the last call. */
  takeRecheckRequest(): boolean {
    const requested = this.recheckRequested;
    this.recheckRequested = false;
    return requested;
  }

  /** Whether all machines of the shard are reconciled. */
  get isEmpty(): boolean {
    return this.groups.size === 0;
  }

  /** Whether a task of the job that must run in this zone (null: in any zone) may be on one of the machines. */
  mayHaveTask({ spec }: ShardJob, requiredZone: ZoneId | null): boolean {
    for (const { type, zone, spot } of this.groups.values())
      if (mayRunOn(spec, type, zone, spot, requiredZone)) return true;
    return false;
  }
}
