/**
 * Decides when unaccounted tasks may be started again. After a failover a task that has not been seen may be on any
 * machine of the shard that has not sent a message since. Once every machine on which the job's constraints allow the
 * task is reconciled, the task is on no machine and may be started again. This relies on the constraints having been
 * the same when an earlier leader may have started the task: the zone in the record of a job changes only while the
 * task is certainly on no machine (`overflow/zone-reassignment.ts`).
 */
import { RangeSet, type Range } from '../model/ranges.js';
import type { ZoneId } from '../model/units.js';
import { requiredZone, type ShardJob } from './job.js';
import type { Shard } from './shard.js';

/** Called for each job with tasks that wait again. */
export type OnRequeued = (job: ShardJob, tasks: RangeSet) => void;

/** Requeues tasks that are certainly on no machine. Returns whether the shard became reconciled by this call. */
export function requeueAccountedTasks(shard: Shard, onRequeued: OnRequeued = () => undefined): boolean {
  if (shard.reconciled || !shard.unreconciled.takeRecheckRequest()) return false;
  if (shard.unreconciled.isEmpty) shard.reconciled = true;
  for (const job of shard.jobs.values())
    if (!job.unaccounted.isEmpty) requeueTasksOnNoMachine(shard, job, onRequeued);
  return shard.reconciled;
}

function requeueTasksOnNoMachine(shard: Shard, job: ShardJob, onRequeued: OnRequeued): void {
  const ranges = rangesOnNoMachine(shard, job);
  if (ranges.length === 0) return;
  const tasks = RangeSet.of(ranges);
  job.waiting.addAll(tasks);
  job.unaccounted.removeAll(tasks);
  shard.queue.add(job);
  onRequeued(job, tasks);
}

function rangesOnNoMachine(shard: Shard, job: ShardJob): Range[] {
  const mayBeRunningByZone = new Map<ZoneId | null, boolean>();
  const ranges: Range[] = [];
  for (const index of job.unaccounted) {
    const zone = requiredZone(job, index);
    let mayBeRunning = mayBeRunningByZone.get(zone);
    if (mayBeRunning === undefined) {
      mayBeRunning = shard.unreconciled.mayHaveTask(job, zone);
      mayBeRunningByZone.set(zone, mayBeRunning);
    }
    if (!mayBeRunning) ranges.push([index, index + 1]);
  }
  return ranges;
}
