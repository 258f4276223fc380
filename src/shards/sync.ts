/** Brings a part's copies of jobs up to their records. */
import { assignedTo, type JobRecord } from '../jobs/record.js';
import type { RangeSet } from '../ranges.js';
import { millis } from '../units.js';
import { newShardJob } from './job.js';
import type { Shard } from './shard.js';
import type { JobId, Millis, Revision, SteadyMs } from '../units.js';

/** Brings a part's copy of a job up to its record; `atClaim` says that its tasks may already be on machines. */
export function syncJob(
  shard: Shard,
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  atClaim: boolean,
  /** Since it was accepted, perhaps by a controller that has ended. */
  age: Millis = millis(0),
): void {
  const known = shard.jobs.get(record.spec.id);
  const open = assignedTo(record, shard.id);
  open.removeAll(record.done);
  if (!known) {
    if (open.isEmpty) return;
    const late = !atClaim && version <= shard.claimedVersion;
    const job = newShardJob(record, version, now, open, atClaim || late, age);
    if (late) shard.freeze(job, open);
    shard.jobs.set(job.id, job);
    shard.queue.add(job);
    if (job.gang) shard.gangs.add(job);
    return;
  }
  if (version <= known.version) return;
  const before = assignedTo(known.record, shard.id);
  const added = open.clone();
  added.removeAll(before);
  known.record = record;
  known.version = version;
  if (!added.isEmpty) known.arrivedAt = now;
  // Handed to us: its giver knew that none of it is on a machine.
  if (version > shard.claimedVersion) known.waiting.addAll(added);
  else if (!added.isEmpty) shard.freeze(known, added);
  for (const set of [known.waiting, known.unaccounted, known.moving]) keepOnly(set, open);
  keepOnly(known.finished, open);
  for (const b of shard.allocationsByJob.get(known.id) ?? []) known.waiting.remove(b.index);
  known.waiting.removeAll(known.finished);
  if (open.isEmpty && !shard.allocationsByJob.has(known.id)) shard.jobs.delete(known.id);
  else shard.queue.add(known);
  if (known.gang) shard.gangs.add(known);
}

function keepOnly(set: RangeSet, allowed: RangeSet): void {
  const gone = set.clone();
  gone.removeAll(allowed);
  set.removeAll(gone);
}

/** Is this task ours to run, by the record we know? */
export function isOurs(shard: Shard, job: JobId, index: number): boolean {
  const known = shard.jobs.get(job);
  if (!known) return false;
  return known.record.assignments.some((a) => a.part === shard.id && a.from <= index && index < a.to);
}
