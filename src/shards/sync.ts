/** Brings a part's copies of jobs up to their records. */
import { assignedTo, type JobRecord } from '../jobs/record.js';
import type { RangeSet } from '../model/ranges.js';
import { millis } from '../model/units.js';
import { newShardJob } from './job.js';
import type { Shard } from './shard.js';
import type { JobId, Millis, Revision, SteadyMs } from '../model/units.js';

/** Brings a part's copy of a job up to its record; `atClaim` says that its tasks may already be on machines. */
export function syncJob(
  shard: Shard,
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  atAcquisition: boolean,
  /** Since it was accepted, perhaps by a controller that has ended. */
  age: Millis = millis(0),
): void {
  const existing = shard.jobs.get(record.spec.id);
  const unfinished = assignedTo(record, shard.id);
  unfinished.removeAll(record.done);
  if (!existing) {
    if (unfinished.isEmpty) return;
    const predatesAcquisition = !atAcquisition && version <= shard.acquiredVersion;
    const job = newShardJob(record, version, now, unfinished, atAcquisition || predatesAcquisition, age);
    if (predatesAcquisition) shard.addUnaccounted(job, unfinished);
    shard.jobs.set(job.id, job);
    shard.queue.add(job);
    if (job.gangHistory) shard.gangs.add(job);
    return;
  }
  if (version <= existing.version) return;
  const before = assignedTo(existing.record, shard.id);
  const added = unfinished.clone();
  added.removeAll(before);
  existing.record = record;
  existing.version = version;
  if (!added.isEmpty) existing.arrivedAt = now;
  // Handed to us: its giver knew that none of it is on a machine.
  if (version > shard.acquiredVersion) existing.waiting.addAll(added);
  else if (!added.isEmpty) shard.addUnaccounted(existing, added);
  for (const set of [existing.waiting, existing.unaccounted, existing.handingOver])
    retainOnly(set, unfinished);
  retainOnly(existing.finished, unfinished);
  for (const allocation of shard.allocationsByJob.get(existing.id) ?? [])
    existing.waiting.remove(allocation.index);
  existing.waiting.removeAll(existing.finished);
  if (unfinished.isEmpty && !shard.allocationsByJob.has(existing.id)) shard.jobs.delete(existing.id);
  else shard.queue.add(existing);
  if (existing.gangHistory) shard.gangs.add(existing);
}

function retainOnly(set: RangeSet, allowed: RangeSet): void {
  const removed = set.clone();
  removed.removeAll(allowed);
  set.removeAll(removed);
}

/** Is this task ours to run, by the record we know? */
export function isAssignedTo(shard: Shard, job: JobId, index: number): boolean {
  const shardJob = shard.jobs.get(job);
  if (!shardJob) return false;
  return shardJob.record.assignments.some((a) => a.shard === shard.id && a.from <= index && index < a.to);
}
