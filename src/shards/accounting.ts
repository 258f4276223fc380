/**
 * After a claim a task that was not seen may be on any machine of the part that has not spoken since. Once none is left
 * on which its job allows it, it is on none: the rules say where it could have been started, and a pin changes
 * only while its task is certainly on no machine (`flock/repin.ts`).
 */
import { RangeSet } from '../ranges.js';
import type { ZoneId } from '../units.js';
import { requiredZone, type ShardJob } from './job.js';
import type { Shard } from './shard.js';

/** Frees what is certainly on no machine; true: with this the whole part is accounted for. */
export function accountFor(shard: Shard): boolean {
  if (shard.reconciled || !shard.unreconciled.changed) return false;
  shard.unreconciled.changed = false;
  if (shard.unreconciled.none) shard.reconciled = true;
  for (const job of shard.jobs.values()) if (!job.unaccounted.isEmpty) freeOf(shard, job);
  return shard.reconciled;
}

function freeOf(shard: Shard, job: ShardJob): void {
  const held = new Map<ZoneId | null, boolean>();
  const free: [number, number][] = [];
  for (const index of job.unaccounted) {
    const pin = requiredZone(job, index);
    let mayBe = held.get(pin);
    if (mayBe === undefined) held.set(pin, (mayBe = shard.unreconciled.mayHold(job, pin)));
    if (!mayBe) free.push([index, index + 1]);
  }
  if (free.length === 0) return;
  const tasks = RangeSet.of(free);
  job.waiting.addAll(tasks);
  job.unaccounted.removeAll(tasks);
  shard.queue.add(job);
}
