/**
 * Writes finished tasks into the job records, and ends a job with its last task. Relies on the workers to keep a task's
 * result until it is written: a write that fails or waits loses nothing.
 */
import type { Log } from '../logging/log.js';
import type { Shard, ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change } from '../store/wire.js';
import type { Clock, JobId, ShardId, SteadyMs } from '../model/units.js';
import type { JobRecordCache } from './job-record-cache.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import { endJobChanges } from './final-states.js';
import { encodeRecord, activeJobKey } from './codec.js';
import { storedSizeBytes, withFinishedTasks } from './stored-size.js';
import { isComplete, type JobRecord } from './record.js';

/** Between two writes of a job's progress, in milliseconds; a shard's last task of the job is written at once. */
const PROGRESS_INTERVAL_MS = 1500;
/** Fraction of this controller's changes a second that progress may take. */
const PROGRESS_WRITE_FRACTION = 0.3;
/** Writes that may be open at once. */
const MAX_OPEN_WRITES = 4;
/** Times of writes that are kept; all are dropped beyond it, which costs at most one early write a job. */
const MAX_WRITE_TIMES = 5000;

/** What the writer uses of the controller. */
export interface ProgressContext extends StoreAccess {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'maxValueBytes'>;
  /** The shards that this controller leads. */
  readonly shards: ReadonlyMap<ShardId, Shard>;
  readonly activeJobs: ActiveJobs & Pick<JobRecordCache, 'isOutdated'>;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

/** Finished tasks of one job that are to be written. */
interface PendingWrite {
  readonly id: JobId;
  readonly record: JobRecord;
  readonly finished: RangeSet;
  /** Nothing of the job is left to do on this controller's shards. */
  readonly isLast: boolean;
}

/** Collects finished tasks of the shards led here, and writes them job by job. */
export class ProgressWriter {
  private readonly writesInProgress = new Set<JobId>();
  /** By job, when its progress was written last. */
  private readonly writeTimes = new Map<JobId, SteadyMs>();

  constructor(
    private readonly context: ProgressContext,
    /** A job has ended: the store has confirmed it. */
    private readonly onJobEnded: (id: JobId) => void,
  ) {}

  /** Starts the writes that are due, jobs with their last tasks first. */
  tick(): void {
    const now = this.context.clock.now();
    const pendingWrites = [...this.collectPendingWrites(now).values()].sort(
      (a, b) => Number(b.isLast) - Number(a.isLast),
    );
    for (const pending of pendingWrites) {
      if (this.writesInProgress.size >= MAX_OPEN_WRITES) return;
      this.writesInProgress.add(pending.id);
      // Nobody waits for the write: what it leaves unwritten is collected again by a later tick.
      void this.write(pending).finally(() => this.writesInProgress.delete(pending.id));
    }
  }

  private collectPendingWrites(now: SteadyMs): Map<JobId, PendingWrite> {
    const pendingWrites = new Map<JobId, PendingWrite>();
    for (const shard of this.context.shards.values()) {
      for (const job of shard.jobsWithUnrecordedEnds) {
        const record = this.context.activeJobs.get(job.id);
        if (job.finished.isEmpty || !record || shard.jobs.get(job.id) !== job)
          shard.jobsWithUnrecordedEnds.delete(job);
        if (job.finished.isEmpty || !record || this.writesInProgress.has(job.id)) continue;
        if (this.context.activeJobs.isOutdated(job.id)) continue;
        const finished = pendingWrites.get(job.id)?.finished ?? RangeSet.empty();
        finished.addAll(job.finished);
        const isLast = this.isLast(job, finished, record);
        if (!isLast && this.wasJustWritten(job.id, now)) continue;
        pendingWrites.set(job.id, { id: job.id, record, finished, isLast });
      }
    }
    return pendingWrites;
  }

  private wasJustWritten(id: JobId, now: SteadyMs): boolean {
    const writtenAt = this.writeTimes.get(id);
    return writtenAt !== undefined && now - writtenAt < this.writeIntervalMs();
  }

  /** Between two writes of one job, in milliseconds: all jobs share the changes a second meant for progress. */
  private writeIntervalMs(): number {
    let jobs = 0;
    for (const shard of this.context.shards.values()) jobs += shard.jobsWithUnrecordedEnds.size;
    return Math.max(
      PROGRESS_INTERVAL_MS,
      (jobs * 1000) / (PROGRESS_WRITE_FRACTION * this.context.store.writeRate),
    );
  }

  /** Nothing of the job is left to do here: the job may end with this write, or another shard's may end it. */
  private isLast(job: ShardJob, finished: RangeSet, record: JobRecord): boolean {
    const pending = [job.waiting, job.unaccounted, job.unconfirmed, job.handingOver];
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

  /** The job's end is the same transaction that writes its last task. */
  private async write({ id, record: current, finished, isLast }: PendingWrite): Promise<void> {
    const { store, storeCache, settings, clock, log } = this.context;
    const key = activeJobKey(id);
    const version = storeCache.version(key);
    const record = withFinishedTasks(current, finished, settings.maxValueBytes);
    const complete = isComplete(record);
    const value = encodeRecord(record);
    // Stored under a larger limit: the record stays as it is until the ranges of its finished tasks have joined.
    if (!complete && storedSizeBytes(record) > settings.maxValueBytes) {
      this.writeTimes.set(id, clock.now());
      return;
    }
    const changes: Change[] = complete ? endJobChanges(id, 'done') : [{ op: 'put', key, value }];
    const priority = isLast ? RequestPriority.finalState : RequestPriority.progress;
    const result = await store.compareAndSwap([{ key, version }], changes, priority);
    this.rememberWrite(id, clock.now());
    if (result.kind !== 'done') return;
    if (complete) {
      this.onJobEnded(id);
      log.info({ job: id }, 'job done');
    }
    await this.context.exclusive(() => storeCache.apply(key, complete ? undefined : value, result.revision));
    this.context.requestCycle();
  }

  private rememberWrite(id: JobId, now: SteadyMs): void {
    this.writeTimes.set(id, now);
    if (this.writeTimes.size > MAX_WRITE_TIMES) this.writeTimes.clear();
  }
}
