/** Writes finished tasks into the job records, and ends a job with its last task. */
import type { Log } from '../log.js';
import type { Shard, ShardJob } from '../shards/model.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change } from '../store/wire.js';
import type { Clock, JobId, ShardId, SteadyMs } from '../model/units.js';
import type { ActiveJobs, StateAccess } from './dependencies.js';
import { endChanges } from './final-states.js';
import { encodeRecord, liveKey } from './codec.js';
import { recordBytes, withDone } from './stored-size.js';
import { isComplete, type JobRecord } from './record.js';

/** Progress of a job is written at most this often; its part's last task at once. */
const PROGRESS_INTERVAL_MS = 1500;
/** Share of this controller's changes a second. Results that are not written yet stay with their workers. */
const PROGRESS_SHARE = 0.3;
/** Writes that may be on their way at once. */
const MAX_WRITES = 4;
/** Times of last writes that are kept; all are dropped beyond it, which costs at most one early write a job. */
const MAX_WRITE_TIMES = 5000;

/** What the writer uses of the controller. */
export interface ProgressContext extends StateAccess {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'valueBytes'>;
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
  readonly last: boolean;
}

/** Collects finished tasks of the pools owned here, and writes them job by job. */
export class ProgressWriter {
  private readonly writing = new Set<JobId>();
  private readonly lastWrite = new Map<JobId, SteadyMs>();

  constructor(
    private readonly context: ProgressContext,
    /** A job has ended: the state service has confirmed it. */
    private readonly onFinal: (id: JobId) => void,
  ) {}

  /** Starts the writes that are due, jobs with their last tasks first. */
  tick(): void {
    const now = this.context.clock.now();
    const due = [...this.collect(now).values()].sort((a, b) => Number(b.last) - Number(a.last));
    for (const pending of due) {
      if (this.writing.size >= MAX_WRITES) return;
      this.writing.add(pending.id);
      void this.write(pending).finally(() => this.writing.delete(pending.id));
    }
  }

  private collect(now: SteadyMs): Map<JobId, PendingWrite> {
    const out = new Map<JobId, PendingWrite>();
    for (const shard of this.context.shards.values()) {
      for (const job of shard.jobsWithUnrecordedEnds) {
        const record = this.context.activeJobs.get(job.id);
        if (job.finished.isEmpty || !record || shard.jobs.get(job.id) !== job)
          shard.jobsWithUnrecordedEnds.delete(job);
        if (job.finished.isEmpty || !record || this.writing.has(job.id)) continue;
        const finished = out.get(job.id)?.finished ?? RangeSet.empty();
        finished.addAll(job.finished);
        const last = this.isLast(job, finished, record);
        if (!last && now - (this.lastWrite.get(job.id) ?? -1e12) < this.interval()) continue;
        out.set(job.id, { id: job.id, record, finished, last });
      }
    }
    return out;
  }

  /** How far apart the writes of one job are, in milliseconds: all jobs share the budget meant for progress. */
  private interval(): number {
    let jobs = 0;
    for (const shard of this.context.shards.values()) jobs += shard.jobsWithUnrecordedEnds.size;
    return Math.max(PROGRESS_INTERVAL_MS, (jobs * 1000) / (PROGRESS_SHARE * this.context.store.writeRate));
  }

  /** Nothing of the job is left to do here: other parts may be waiting for this word to end it. */
  private isLast(job: ShardJob, finished: RangeSet, record: JobRecord): boolean {
    if (!job.waiting.isEmpty || !job.unaccounted.isEmpty || !job.handingOver.isEmpty) return false;
    const open = RangeSet.of(
      record.assignments.filter((a) => this.context.shards.has(a.part)).map((a) => [a.from, a.to] as const),
    );
    open.removeAll(record.done);
    open.removeAll(finished);
    return open.isEmpty;
  }

  /** The job's end is the same transaction that writes its last task. */
  private async write(pending: PendingWrite): Promise<void> {
    const { store: state, storeCache: view, settings, clock, log } = this.context;
    const key = liveKey(pending.id);
    const version = view.version(key);
    const record = withDone(pending.record, pending.finished, settings.valueBytes);
    const complete = isComplete(record);
    const value = encodeRecord(record);
    // Stored by a version with a larger limit: it stays as it is until its tasks' ranges have grown together. Their
    // results stay with the workers.
    if (!complete && recordBytes(record) > settings.valueBytes) {
      this.lastWrite.set(pending.id, clock.now());
      return;
    }
    const changes: Change[] = complete ? endChanges(pending.id, 'done') : [{ op: 'put', key, value }];
    const result = await state.compareAndSwap(
      [{ key, version }],
      changes,
      pending.last ? RequestPriority.finalState : RequestPriority.progress,
    );
    this.lastWrite.set(pending.id, clock.now());
    if (this.lastWrite.size > MAX_WRITE_TIMES) this.lastWrite.clear();
    if (result.kind !== 'done') return;
    if (complete) {
      this.onFinal(pending.id);
      log.info({ job: pending.id }, 'job done');
    }
    await this.context.exclusive(() => view.apply(key, complete ? undefined : value, result.revision));
    this.context.requestCycle();
  }
}
