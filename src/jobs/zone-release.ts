/**
 * Releases the zones of finished tasks. The record of a job with a zone constraint assigns every task to a zone, and
 * any subset of the tasks assigned to real zones may run. A finished task keeps its zone until its shard's leader
 * assigns it to `NO_ZONE`; only then may a waiting task take its place (`overflow/zone-reassignment.ts`).
 */
import type { Shard } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { ShardId } from '../model/units.js';
import { isRealZone, NO_ZONE, reassign, type JobRecord } from './record.js';
import { releasesZones } from './spec.js';
import { largestFirst, storedSizeBytes } from './stored-size.js';

/**
 * A record may grow by releases up to this fraction of the largest value: the rest is left for the ranges of finished
 * tasks, without which the job could not end.
 */
const MAX_RELEASED_SIZE_FRACTION = 0.5;

/** Whether an unfinished task of the job is assigned to no zone, so that it waits for the place of another task. */
export function awaitsPlace({ assignments, done }: JobRecord): boolean {
  const waiting = RangeSet.of(
    assignments.filter(({ zone }) => zone === NO_ZONE).map(({ from, to }) => [from, to] as const),
  );
  waiting.removeAll(done);
  return !waiting.isEmpty;
}

/** Returns the finished tasks of a shard that the record still assigns to a zone. */
function finishedInZones({ assignments, done }: JobRecord, shard: ShardId): RangeSet {
  const inZones = assignments.filter(
    (assignment) => assignment.shard === shard && isRealZone(assignment.zone),
  );
  return RangeSet.of(inZones.map(({ from, to }) => [from, to] as const)).intersect(done);
}

/**
 * Returns the finished tasks of a shard led by this controller whose zone may be released: no machine holds the task,
 * and no command can start it again.
 *
 * Prevents: a waiting task is started in the zone while the finished one still runs there, because it was started
 * again before its result was known, or by a command of an earlier leader, which machines that are not reconciled
 * still execute.
 */
export function releasableTasks(shard: Shard, record: JobRecord): RangeSet {
  if (!shard.reconciled || !releasesZones(record.spec) || record.done.isEmpty) return RangeSet.empty();
  const tasks = finishedInZones(record, shard.id);
  for (const { index } of shard.allocationsByJob.get(record.spec.id) ?? []) tasks.remove(index);
  return tasks;
}

/**
 * Returns the record with the zones of finished tasks released, as far as its size allows: the largest ranges first.
 * @param tasks finished tasks of the shard
 * @param maxBytes size limit of the store for a value
 */
export function withReleasedZones(
  record: JobRecord,
  shard: ShardId,
  tasks: RangeSet,
  maxBytes: number,
): JobRecord {
  const limit = Math.max(MAX_RELEASED_SIZE_FRACTION * maxBytes, storedSizeBytes(record));
  const ranges = largestFirst(tasks);
  const releaseLargest = (count: number): JobRecord =>
    reassign(record, RangeSet.of(ranges.slice(0, count)), shard, () => NO_ZONE);
  let count = ranges.length;
  let released = releaseLargest(count);
  while (count > 0 && storedSizeBytes(released) > limit) {
    count = Math.floor(count / 2);
    released = count > 0 ? releaseLargest(count) : record;
  }
  return released;
}
