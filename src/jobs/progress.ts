/** Writes finished tasks into the job records, and ends a job with its last task. */
import type { Log } from '../logging/log.js';
import type { Shard, ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change } from '../store/wire.js';
import type { Clock, JobId, ShardId, SteadyMs } from '../model/units.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import { endJobChanges } from './final-states.js';
import { encodeRecord, activeJobKey } from './codec.js';
import { storedSizeBytes, withFinishedTasks } from './stored-size.js';
import { isComplete, type JobRecord } from './record.js';

/** Progress of a job is written at most this often; its part's last task at once. */
const PROGRESS_INTERVAL_MS = 1500;
/** Share of this controller's changes a second. Results that are not written yet stay with their workers. */
const PROGRESS_WRITE_FRACTION = 0.3;
/** Writes that may be on their way at once. */
const MAX_WRITES = 4;
/** Times of last writes that are kept; all are dropped beyond it, which costs at most one early write a job. */
const MAX_WRITE_TIMES = 5000;

/** What the writer uses of the controller. */
export interface ProgressContext extends StoreAccess {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'maxValueBytes'>;
  /** The pools that this controller owns. */
  readonly shards: ReadonlyMap<ShardId, Shard>;
  readonly activeJobs: ActiveJobs;
  /** Asks for a placement round soon. */
  readonly requestCycle: () => void;
}

/** Finished tasks of one job that are to be written. */
interface PendingWrite {
  readonly id: JobId;
  readonly record: JobRecord;
  readonly finished: RangeSet;
  /** Nothing of the job is left to do here. */
  readonly lastOfShard: boolean;
}

/** Collects finished tasks of the pools owned here, and writes them job by job. */
export class ProgressWriter {
  private readonly writesInProgress = new Set<JobId>();
  private readonly lastWriteAt = new Map<JobId, SteadyMs>();

  constructor(
    private readonly context: ProgressContext,
    /** A job has ended: the state service has confirmed it. */
    private readonly onJobEnded: (id: JobId) => void,
  ) {}

  /** Starts the writes that are due, jobs with their last tasks first. */
  tick(): void {
    const now = this.context.clock.now();
    const pendingWrites = [...this.collectPendingWrites(now).values()].sort(
      (a, b) => Number(b.lastOfShard) - Number(a.lastOfShard),
    );
    for (const pending of pendingWrites) {
      if (this.writesInProgress.size >= MAX_WRITES) return;
      this.writesInProgress.add(pending.id);
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
        const finished = pendingWrites.get(job.id)?.finished ?? RangeSet.empty();
        finished.addAll(job.finished);
        const lastOfShard = this.isLast(job, finished, record);
        if (!lastOfShard && now - (this.lastWriteAt.get(job.id) ?? -1e12) < this.writeIntervalMs()) continue;
        pendingWrites.set(job.id, { id: job.id, record, finished, lastOfShard });
      }
    }
    return pendingWrites;
  }

  /** How far apart the writes of one job are, in milliseconds: all jobs share the budget meant for progress. */
  private writeIntervalMs(): number {
    let jobs = 0;
    for (const shard of this.context.shards.values()) jobs += shard.jobsWithUnrecordedEnds.size;
    return Math.max(
      PROGRESS_INTERVAL_MS,
      (jobs * 1000) / (PROGRESS_WRITE_FRACTION * this.context.store.writeRate),
    );
  }

  /** Nothing of the job is left to do here: other parts may be waiting for this word to end it. */
  private isLast(job: ShardJob, finished: RangeSet, record: JobRecord): boolean {
    if (!job.waiting.isEmpty || !job.unaccounted.isEmpty || !job.handingOver.isEmpty) return false;
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
  private async write(pending: PendingWrite): Promise<void> {
    const { store: state, storeCache: view, settings, clock, log } = this.context;
    const key = activeJobKey(pending.id);
    const version = view.version(key);
    const record = withFinishedTasks(pending.record, pending.finished, settings.maxValueBytes);
    const complete = isComplete(record);
    const value = encodeRecord(record);
    // Stored by a version with a larger limit: it stays as it is until its tasks' ranges have grown together. Their
    // results stay with the workers.
    if (!complete && storedSizeBytes(record) > settings.maxValueBytes) {
      this.lastWriteAt.set(pending.id, clock.now());
      return;
    }
    const changes: Change[] = complete ? endJobChanges(pending.id, 'done') : [{ op: 'put', key, value }];
    const result = await state.compareAndSwap(
      [{ key, version }],
      changes,
      pending.lastOfShard ? RequestPriority.finalState : RequestPriority.progress,
    );
    this.lastWriteAt.set(pending.id, clock.now());
    if (this.lastWriteAt.size > MAX_WRITE_TIMES) this.lastWriteAt.clear();
    if (result.kind !== 'done') return;
    if (complete) {
      this.onJobEnded(pending.id);
      log.info({ job: pending.id }, 'job done');
    }
    await this.context.exclusive(() => view.apply(key, complete ? undefined : value, result.revision));
    this.context.requestCycle();
  }
}
