/**
 * Updates a shard's copies of jobs from their records in the store. The record holds which tasks are assigned to the
 * shard and which are done; the copy adds what the leader knows of unfinished tasks.
 */
import { assignedTo, requiredZoneOf, type JobRecord } from '../jobs/record.js';
import { RangeSet } from '../model/ranges.js';
import { millis } from '../model/units.js';
import type { JobId, Millis, Revision, SteadyMs } from '../model/units.js';
import { newShardJob, withdrawFromQueue, type ShardJob } from './job.js';
import type { Shard } from './shard.js';

/** A record as it was read, and the shard's tasks in it. */
interface JobRevision {
  readonly record: JobRecord;
  readonly version: Revision;
  readonly readAt: SteadyMs;
  /** Tasks that are assigned to the shard and not recorded as done. */
  readonly unfinished: RangeSet;
}

/**
 * Updates a shard's copy of a job from its record, or creates the copy if an unfinished task is assigned to the shard.
 * @param version revision of the record; a record that is not newer than the copy is ignored
 * @param atAcquisition the shard is being acquired: an earlier leader may have started the tasks
 * @param age time since the job was accepted, possibly by a controller that has ended
 */
export function syncJob(
  shard: Shard,
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  atAcquisition: boolean,
  age: Millis = millis(0),
): void {
  const unfinished = assignedTo(record, shard.id);
  unfinished.removeAll(record.done);
  const revision: JobRevision = { record, version, readAt: now, unfinished };
  const existing = shard.jobs.get(record.spec.id);
  if (existing) updateJob(shard, existing, revision);
  else if (!unfinished.isEmpty) addJob(shard, revision, atAcquisition, age);
}

function addJob(shard: Shard, revision: JobRevision, atAcquisition: boolean, age: Millis): void {
  const { unfinished } = revision;
  // A record written before the acquisition but read after it: an earlier leader may have started these tasks too.
  const predatesAcquisition = revision.version <= shard.acquiredVersion;
  const mayBeRunning = atAcquisition || predatesAcquisition;
  const job = newShardJob({
    record: revision.record,
    version: revision.version,
    addedAt: revision.readAt,
    unfinished,
    mayBeRunning,
    age,
  });
  if (!mayBeRunning) shard.addUnconfirmed(job, unfinished);
  else if (!atAcquisition) shard.addUnaccounted(job, unfinished);
  shard.jobs.set(job.id, job);
  // These tasks were seen on machines while the record could not be decoded.
  for (const { index } of shard.allocationsByJob.get(job.id) ?? []) withdrawFromQueue(job, index, index + 1);
  shard.queue.add(job);
  if (job.gangHistory) shard.gangs.add(job);
}

function updateJob(shard: Shard, job: ShardJob, revision: JobRevision): void {
  const { record, version, unfinished } = revision;
  if (version <= job.version) return;
  const added = unfinished.clone();
  added.removeAll(assignedTo(job.record, shard.id));
  if (version <= shard.acquiredVersion) addRezonedTasks(shard, job, record);
  job.record = record;
  job.version = version;
  if (!added.isEmpty) {
    job.lastAssignedAt = revision.readAt;
    addAssignedTasks(shard, job, added);
  }
  retainUnfinished(shard, job, unfinished);
  if (unfinished.isEmpty && !shard.allocationsByJob.has(job.id)) shard.jobs.delete(job.id);
  else shard.queue.add(job);
  if (job.gangHistory) shard.gangs.add(job);
}

/**
 * Makes waiting tasks unaccounted that a record written before the acquisition, but read after it, assigns to another
 * zone than the copy: an earlier leader may have started them there.
 */
function addRezonedTasks(shard: Shard, job: ShardJob, record: JobRecord): void {
  const rezoned = RangeSet.empty();
  for (const tasks of [job.waiting, job.unconfirmed])
    for (const index of tasks)
      if (requiredZoneOf(record, index) !== requiredZoneOf(job.record, index)) rezoned.add(index);
  if (rezoned.isEmpty) return;
  for (const index of rezoned) withdrawFromQueue(job, index, index + 1);
  shard.addUnaccounted(job, rezoned);
}

/** Adds tasks that the record newly assigns to the shard. */
function addAssignedTasks(shard: Shard, job: ShardJob, added: RangeSet): void {
  // The tasks were transferred from a shard whose leader knew that none of them was on a machine.
  job.assignedVersion = job.version;
  if (job.version > shard.acquiredVersion) shard.addUnconfirmed(job, added);
  else shard.addUnaccounted(job, added);
}

/**
 * Removes tasks that are done or assigned elsewhere from all sets of the copy, and tasks that are on a machine or have
 * finished from `waiting` and `unconfirmed`.
 */
function retainUnfinished(shard: Shard, job: ShardJob, unfinished: RangeSet): void {
  for (const tasks of [job.waiting, job.unaccounted, job.unconfirmed, job.transferring, job.finished])
    retainOnly(tasks, unfinished);
  for (const { index } of shard.allocationsByJob.get(job.id) ?? []) {
    job.waiting.remove(index);
    job.unconfirmed.remove(index);
  }
  job.waiting.removeAll(job.finished);
  job.unconfirmed.removeAll(job.finished);
}

function retainOnly(tasks: RangeSet, allowed: RangeSet): void {
  const removed = tasks.clone();
  removed.removeAll(allowed);
  tasks.removeAll(removed);
}

/** Whether the task is assigned to this shard by the newest known record. */
export function isAssignedTo(shard: Shard, jobId: JobId, index: number): boolean {
  const job = shard.jobs.get(jobId);
  if (!job) return false;
  return job.record.assignments.some(
    ({ shard: id, from, to }) => id === shard.id && from <= index && index < to,
  );
}
