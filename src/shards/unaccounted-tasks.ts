/**
 * After a claim a task that was not seen may be on any machine of the part that has not spoken since. Once none is left
 * on which its job allows it, it is on none: the rules say where it could have been started, and a pin changes
 * only while its task is certainly on no machine (`flock/repin.ts`).
 */
import { RangeSet } from '../model/ranges.js';
import type { ZoneId } from '../model/units.js';
import { requiredZone, type ShardJob } from './job.js';
import type { Shard } from './shard.js';

/** Frees what is certainly on no machine; true: with this the whole part is accounted for. */
export function requeueAccountedTasks(shard: Shard): boolean {
  if (shard.reconciled || !shard.unreconciled.changed) return false;
  shard.unreconciled.changed = false;
  if (shard.unreconciled.isEmpty) shard.reconciled = true;
  for (const job of shard.jobs.values()) if (!job.unaccounted.isEmpty) requeueTasksOnNoMachine(shard, job);
  return shard.reconciled;
}

function requeueTasksOnNoMachine(shard: Shard, job: ShardJob): void {
  const mayHoldByZone = new Map<ZoneId | null, boolean>();
  const clearedRanges: [number, number][] = [];
  for (const index of job.unaccounted) {
    const zone = requiredZone(job, index);
    let mayBeRunning = mayHoldByZone.get(zone);
    if (mayBeRunning === undefined)
      mayHoldByZone.set(zone, (mayBeRunning = shard.unreconciled.mayHoldTaskOf(job, zone)));
    if (!mayBeRunning) clearedRanges.push([index, index + 1]);
  }
  if (clearedRanges.length === 0) return;
  const tasks = RangeSet.of(clearedRanges);
  job.waiting.addAll(tasks);
  job.unaccounted.removeAll(tasks);
  shard.queue.add(job);
}
