/** Machines of a part that have not spoken since its claim: each may hold what its job allows there. */
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

interface MachineKind {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  machines: number;
}

/** Machines that have not spoken since the claim, counted by kind. */
export class UnreconciledMachines {
  private readonly kinds = new Map<string, MachineKind>();
  /** Some kind has none left, or a task is frozen anew: there may be something to free. */
  changed = true;

  add({ type, zone, spot }: Machine, sign: 1 | -1): void {
    const key = `${type}/${zone}/${spot}`;
    const kind = this.kinds.get(key) ?? { type, zone, spot, machines: 0 };
    kind.machines += sign;
    if (kind.machines > 0) this.kinds.set(key, kind);
    else {
      this.kinds.delete(key);
      this.changed = true;
    }
  }

  get isEmpty(): boolean {
    return this.kinds.size === 0;
  }

  mayHoldTaskOf({ spec }: ShardJob, zone: ZoneId | null): boolean {
    for (const kind of this.kinds.values())
      if (mayRunOn(spec, kind.type, kind.zone, kind.spot, zone)) return true;
    return false;
  }
}
