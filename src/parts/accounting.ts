/**
 * After a claim a task that was not seen may be on any machine of the part that has not spoken since. Once none is left
 * on which its job allows it, it is on none: the rules say where it could have been started, and a pin changes
 * only while its task is certainly on no machine (`flock/repin.ts`).
 */
import { RangeSet } from '../ranges.js';
import type { ZoneId } from '../units.js';
import { pinOf, type PartJob } from './job.js';
import type { Part } from './part.js';

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
