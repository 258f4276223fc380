/**
 * After a claim a task that was not seen may be on any machine of the part that has not spoken since. Once none is left
 * on which its job allows it, it is on none: the rules say where it could have been started, and a pin changes
 * only while its task is certainly on no machine (`flock/repin.ts`).
 */
import { allowed } from '../placement/round.js';
import { RangeSet } from '../ranges.js';
import type { TypeId, ZoneId } from '../units.js';
import { pinOf, type Machine, type Part, type PartJob } from './model.js';

interface Kind {
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  machines: number;
}

/** Machines that have not spoken since the claim, counted by kind. */
export class Unsettled {
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

  mayHold({ spec }: PartJob, pin: ZoneId | null): boolean {
    for (const k of this.kinds.values()) if (allowed(spec, k.type, k.zone, k.spot, pin)) return true;
    return false;
  }
}

/** Frees what is certainly on no machine; true: with this the whole part is accounted for. */
export function accountFor(part: Part): boolean {
  if (part.accounted || !part.unsettled.changed) return false;
  part.unsettled.changed = false;
  if (part.unsettled.none) part.accounted = true;
  for (const job of part.jobs.values()) if (!job.frozen.isEmpty) freeOf(part, job);
  return part.accounted;
}

function freeOf(part: Part, job: PartJob): void {
  const held = new Map<ZoneId | null, boolean>();
  const free: [number, number][] = [];
  for (const index of job.frozen) {
    const pin = pinOf(job, index);
    let mayBe = held.get(pin);
    if (mayBe === undefined) held.set(pin, (mayBe = part.unsettled.mayHold(job, pin)));
    if (!mayBe) free.push([index, index + 1]);
  }
  if (free.length === 0) return;
  const tasks = RangeSet.of(free);
  job.waiting.addAll(tasks);
  job.frozen.removeAll(tasks);
  part.queue.add(job);
}
