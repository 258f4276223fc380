/** Machines of a part that have not spoken since its claim: each may hold what its job allows there. */
import { allowed } from '../model/constraints.js';
import type { TypeId, ZoneId } from '../units.js';
import type { ShardJob } from './job.js';
import type { Machine } from './machine.js';

interface Kind {
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  machines: number;
}

/** Machines that have not spoken since the claim, counted by kind. */
export class UnreconciledMachines {
  private readonly kinds = new Map<string, Kind>();
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

  get none(): boolean {
    return this.kinds.size === 0;
  }

  mayHold({ spec }: ShardJob, pin: ZoneId | null): boolean {
    for (const k of this.kinds.values()) if (allowed(spec, k.type, k.zone, k.spot, pin)) return true;
    return false;
  }
}
