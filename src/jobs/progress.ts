/**
 * Records finished tasks in the job records, and ends a job with its last task. Workers keep a task's result until it
 * is recorded, so no result is lost if a write fails or is delayed.
 */
import type { Log } from '../logging/log.js';
import type { Shard, ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition } from '../store/wire.js';
import type { Clock, JobId, ShardId, SteadyMs } from '../model/units.js';
import type { JobRecordCache } from './job-record-cache.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import { endJobChanges } from './final-states.js';
import { encodeRecord, activeJobKey } from './codec.js';
import { storedSizeBytes, withFinishedTasks } from './stored-size.js';
import { isComplete, type JobRecord } from './record.js';
import { awaitsPlace, releasableTasks, withReleasedZones } from './zone-release.js';

/**
 * Minimum interval between two writes of a job's progress. A shard's last task of the job is written at once, and the
 * tasks of a job of which others wait for the place of a finished one are written as the write rate allows.
 */
const PROGRESS_INTERVAL_MS = 1500;
/** Maximum fraction of this controller's write rate that progress uses. */
const PROGRESS_WRITE_FRACTION = 0.3;
/** Maximum number of concurrent writes. */
const MAX_OPEN_WRITES = 4;
/** Maximum number of recorded write times; above it, all are dropped, which costs at most one early write per job. */
const MAX_WRITE_TIMES = 5000;

/** The parts of the controller that the writer uses. */
export interface ProgressContext extends StoreAccess {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'maxValueBytes'>;
  /** The shards that this controller leads. */
  readonly shards: ReadonlyMap<ShardId, Shard>;
  readonly activeJobs: ActiveJobs & Pick<JobRecordCache, 'isOutdated' | 'jobsReleasingZones'>;
  /** Returns the condition that this controller still leads the shard. */
  leaderCondition(shard: Shard): Condition;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

/** The finished tasks of one job that have to be written; none if only zones of finished tasks are to be released. */
interface PendingWrite {
  readonly id: JobId;
  readonly record: JobRecord;
  readonly finished: RangeSet;
  /** Whether no task of the job remains on this controller's shards after the write. */
  readonly isLastLocalWrite: boolean;
}

/** Collects the finished tasks of the shards led here, and writes them to the job records. */
export class ProgressWriter {
  private readonly writesInProgress = new Set<JobId>();
  /** Time of the last write of each job's progress. */
  private readonly writeTimes = new Map<JobId, SteadyMs>();

  constructor(
    private readonly context: ProgressContext,
    /** Called after the store has confirmed that a job has ended. */
    private readonly onJobEnded: (id: JobId) => void,
  ) {}

  /** Starts the writes that are due; jobs without remaining local tasks come first. */
  tick(): void {
    const now = this.context.clock.now();
    const pendingWrites = [...this.collectPendingWrites(now).values()].sort(
      (a, b) => Number(b.isLastLocalWrite) - Number(a.isLastLocalWrite),
    );
    for (const pending of pendingWrites) {
      if (this.writesInProgress.size >= MAX_OPEN_WRITES) return;
      this.writesInProgress.add(pending.id);
      // Not awaited: tasks that the write does not record are collected again by a later tick.
      void this.write(pending).finally(() => this.writesInProgress.delete(pending.id));
    }
  }

  private collectPendingWrites(now: SteadyMs): Map<JobId, PendingWrite> {
    const pendingWrites = new Map<JobId, PendingWrite>();
    for (const shard of this.context.shards.values()) {
      for (const job of shard.jobsWithUnrecordedResults) {
        const record = this.context.activeJobs.get(job.id);
        if (job.finished.isEmpty || !record || shard.jobs.get(job.id) !== job)
          shard.jobsWithUnrecordedResults.delete(job);
        if (job.finished.isEmpty || !record || this.writesInProgress.has(job.id)) continue;
        if (this.context.activeJobs.isOutdated(job.id)) continue;
        const finished = pendingWrites.get(job.id)?.finished ?? RangeSet.empty();
        finished.addAll(job.finished);
        const isLastLocalWrite = this.isLastLocalWrite(job, finished, record);
        if (!isLastLocalWrite && this.wasJustWritten(record, now)) continue;
        pendingWrites.set(job.id, { id: job.id, record, finished, isLastLocalWrite });
      }
    }
    this.collectReleases(pendingWrites, now);
    return pendingWrites;
  }

  /**
   * Adds jobs with finished tasks whose zones were not released by the write that recorded the tasks: the shard was not
   * reconciled then, a machine still held the task, or an earlier version wrote the record.
   */
  private collectReleases(pendingWrites: Map<JobId, PendingWrite>, now: SteadyMs): void {
    const { activeJobs, shards } = this.context;
    for (const id of activeJobs.jobsReleasingZones) {
      const record = activeJobs.get(id);
      if (!record || pendingWrites.has(id) || this.writesInProgress.has(id)) continue;
      if (activeJobs.isOutdated(id) || this.wasJustWritten(record, now)) continue;
      if ([...shards.values()].every((shard) => releasableTasks(shard, record).isEmpty)) continue;
      pendingWrites.set(id, { id, record, finished: RangeSet.empty(), isLastLocalWrite: false });
    }
  }

  private wasJustWritten(record: JobRecord, now: SteadyMs): boolean {
    const writtenAt = this.writeTimes.get(record.spec.id);
    return writtenAt !== undefined && now - writtenAt < this.writeIntervalMs(record);
  }

  /** Returns the minimum interval between two writes of a job: all jobs share the write rate for progress. */
  private writeIntervalMs(record: JobRecord): number {
    let jobs = 0;
    for (const shard of this.context.shards.values()) jobs += shard.jobsWithUnrecordedResults.size;
    const shareOfRate = (Math.max(1, jobs) * 1000) / (PROGRESS_WRITE_FRACTION * this.context.store.writeRate);
    return awaitsPlace(record) ? shareOfRate : Math.max(PROGRESS_INTERVAL_MS, shareOfRate);
  }

  /** Returns whether no task of the job remains here: this write, or a later one by another controller, may end it. */
  private isLastLocalWrite(job: ShardJob, finished: RangeSet, record: JobRecord): boolean {
    const pending = [job.waiting, job.unaccounted, job.unconfirmed, job.transferring];
    if (pending.some((tasks) => !tasks.isEmpty)) return false;
    const unfinished = RangeSet.of(
      record.assignments
        .filter((assignment) => this.context.shards.has(assignment.shard))
        .map((assignment) => [assignment.from, assignment.to] as const),
    );
    unfinished.removeAll(record.done);
    unfinished.removeAll(finished);
    return unfinished.isEmpty;
  }

  /** Writes progress. The transaction that records a job's last task also ends the job. */
  private async write({ id, record: current, finished, isLastLocalWrite }: PendingWrite): Promise<void> {
    const { store, storeCache, settings, clock, log } = this.context;
    const key = activeJobKey(id);
    const version = storeCache.version(key);
    const finishedRecord = finished.isEmpty
      ? current
      : withFinishedTasks(current, finished, settings.maxValueBytes);
    const complete = isComplete(finishedRecord);
    const { record, conditions } = complete
      ? { record: finishedRecord, conditions: [] }
      : this.releaseZones(finishedRecord);
    const value = encodeRecord(record);
    // The record was stored under a larger size limit: it is not written until its ranges of finished tasks have
    // merged.
    const isTooLarge = !complete && storedSizeBytes(record) > settings.maxValueBytes;
    const isUnchanged = record === current;
    if (isTooLarge || isUnchanged) {
      this.writeTimes.set(id, clock.now());
      return;
    }
    const changes: Change[] = complete ? endJobChanges(id, 'done') : [{ op: 'put', key, value }];
    const priority = isLastLocalWrite ? RequestPriority.finalState : RequestPriority.progress;
    const result = await store.compareAndSwap([{ key, version }, ...conditions], changes, priority);
    this.rememberWrite(id, clock.now());
    if (result.kind !== 'done') return;
    if (complete) {
      this.onJobEnded(id);
      log.info({ job: id }, 'job done');
    }
    await this.context.exclusive(() => storeCache.apply(key, complete ? undefined : value, result.revision));
    this.context.requestCycle();
  }

  /**
   * Releases the zones of finished tasks. The write is conditional on the leadership of their shards: a later leader
   * may have started a task again whose result it does not know.
   */
  private releaseZones(record: JobRecord): { record: JobRecord; conditions: Condition[] } {
    const { settings, shards } = this.context;
    let released = record;
    const conditions: Condition[] = [];
    for (const shard of shards.values()) {
      const before = released;
      const tasks = releasableTasks(shard, before);
      if (tasks.isEmpty) continue;
      released = withReleasedZones(before, shard.id, tasks, settings.maxValueBytes);
      if (released !== before) conditions.push(this.context.leaderCondition(shard));
    }
    return { record: released, conditions };
  }

  private rememberWrite(id: JobId, now: SteadyMs): void {
    this.writeTimes.set(id, now);
    if (this.writeTimes.size > MAX_WRITE_TIMES) this.writeTimes.clear();
  }
}
