/**
 * Answers what a job's state is now, for many askers at once. No answer rests on a view that is older than the
 * question: the questions of a short interval share one request to the state service.
 */
import { RequestPriority } from '../store/rate-limiter.js';
import type { Condition } from '../store/wire.js';
import type { JobId, Millis, StoreKey, SteadyMs } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import type { ActiveJobs, StoreAccess, Timers } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import type { JobLookup, JobReader } from './lookup.js';
import { finalStateKey, activeJobKey } from './codec.js';

/** Queries that come within this time share one transaction; at a small request budget more of them do. */
const BATCH_INTERVAL_MS = 60;
const MAX_BATCH_INTERVAL_MS = 400;
/** Share of this controller's request budget that batches may take. */
const REQUEST_SHARE = 0.25;
/** A user waits 2 s for his answer: whoever's turn comes later than this is told at once. */
const MAX_QUERY_WAIT = millis(1500);
/** A job whose records keep changing under the batches is read by itself after this many. */
const MAX_BATCH_TRIES = 4;

/** Everybody who asks about one job, until a transaction goes out that answers them all. */
interface Query {
  readonly id: JobId;
  readonly resolvers: ((lookup: JobLookup) => void)[];
  /** When the last of them asked. */
  askedAt: SteadyMs;
  tries: number;
}

function enqueue(queue: Map<JobId, Query>, query: Query): void {
  const queued = queue.get(query.id);
  if (!queued) queue.set(query.id, query);
  else {
    queued.resolvers.push(...query.resolvers);
    queued.askedAt = query.askedAt;
  }
}

function respond(query: Query, lookup: JobLookup): void {
  for (const resolve of query.resolvers) resolve(lookup);
}

/** Collects queries and answers them in batches. */
export class LookupBatcher {
  /** Queries about jobs that our view shows as active, and about all others. */
  private readonly activeQueries = new Map<JobId, Query>();
  private readonly otherQueries = new Map<JobId, Query>();
  private running = false;

  /** `transactionLimit`: changes that one transaction may hold. */
  constructor(
    private readonly context: StoreAccess & Timers,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly reader: JobReader,
    private readonly transactionLimit: number,
    /** Brings the view up to date; false: the state service did not answer. */
    private readonly refresh: () => Promise<boolean>,
  ) {}

  /**
   * What holds now. One look at what has changed since makes the view fresh for all active jobs asked about before
   * it; other jobs share a transaction that only compares: if no key has come, our view of them still stands.
   */
  lookUp(id: JobId): Promise<JobLookup> {
    const final = this.finalStates.get(id);
    if (final) return Promise.resolve({ kind: 'ended', state: final });
    if (!this.context.storeHealthy()) return Promise.resolve({ kind: 'unknown' });
    const queue = this.activeJobs.has(id) ? this.activeQueries : this.otherQueries;
    // Judged on arrival: a queue of questions whose users have gone would keep everybody's answer away for good.
    if (queue === this.otherQueries && !queue.has(id) && this.expectedWait() > MAX_QUERY_WAIT)
      return Promise.resolve({ kind: 'unknown' });
    return new Promise((resolve) => {
      enqueue(queue, { id, resolvers: [resolve], askedAt: this.context.clock.now(), tries: 0 });
      void this.runBatches();
    });
  }

  private get batchInterval(): Millis {
    const interval = Math.min(MAX_BATCH_INTERVAL_MS, 1000 / (this.context.store.requestRate * REQUEST_SHARE));
    return millis(Math.max(BATCH_INTERVAL_MS, interval));
  }

  /** A job that is not active needs two conditions, of which a transaction takes four for each change. */
  private get batchSize(): number {
    return this.transactionLimit * 2;
  }

  private expectedWait(): Millis {
    return millis(Math.ceil((this.otherQueries.size + 1) / this.batchSize) * this.batchInterval);
  }

  private async runBatches(): Promise<void> {
    if (this.running) return;
    this.running = true;
    try {
      while (this.otherQueries.size + this.activeQueries.size > 0) await this.runBatch();
    } finally {
      // Whatever fails here must not keep later questions waiting for ever.
      this.running = false;
    }
  }

  private async runBatch(): Promise<void> {
    await this.context.sleep(this.batchInterval);
    await this.answerActive([...this.activeQueries.values()]);
    const batch = this.nextBatch();
    if (batch.length > 0) await this.checkBatch(batch);
  }

  private nextBatch(): Query[] {
    const batch: Query[] = [];
    for (const query of this.otherQueries.values()) {
      if (batch.length >= this.batchSize) break;
      this.otherQueries.delete(query.id);
      // The store was slow: nobody waits for this answer any more.
      if (this.context.clock.now() - query.askedAt > MAX_QUERY_WAIT) respond(query, { kind: 'unknown' });
      else batch.push(query);
    }
    return batch;
  }

  /** The watch may have shown by now that nothing newer existed when they asked: then it costs nothing. */
  private async answerActive(batch: readonly Query[]): Promise<void> {
    if (batch.length === 0) return;
    this.activeQueries.clear();
    const lastAskedAt = Math.max(...batch.map((query) => query.askedAt));
    const { storeCache: view } = this.context;
    const fresh = (): boolean => view.loaded && view.confirmedAt >= lastAskedAt;
    const certain = fresh() || ((await this.refresh()) && fresh());
    for (const query of batch) {
      const record = this.activeJobs.get(query.id);
      if (!certain) respond(query, { kind: 'unknown' });
      else if (record) respond(query, { kind: 'active', record });
      else enqueue(this.otherQueries, query);
    }
  }

  private lookupFromView(id: JobId): JobLookup {
    const record = this.activeJobs.get(id);
    if (record) return { kind: 'active', record };
    return { kind: this.context.storeCache.version(activeJobKey(id)) === NO_REVISION ? 'absent' : 'unknown' };
  }

  private conditionsFor(id: JobId): Condition[] {
    const activeCondition = {
      key: activeJobKey(id),
      version: this.context.storeCache.version(activeJobKey(id)),
    };
    return activeCondition.version === NO_REVISION
      ? [activeCondition, { key: finalStateKey(id), version: NO_REVISION }]
      : [activeCondition];
  }

  /** One transaction without changes: where its conditions hold, the view was right when the store compared. */
  private async checkBatch(batch: readonly Query[]): Promise<void> {
    const lookups = new Map(batch.map((query) => [query.id, this.lookupFromView(query.id)] as const));
    const conditions = new Map<StoreKey, Condition>();
    for (const query of batch)
      for (const condition of this.conditionsFor(query.id)) conditions.set(condition.key, condition);
    const result = await this.context.store.compareAndSwap(
      [...conditions.values()],
      [],
      RequestPriority.submission,
    );
    if (result.kind === 'done') {
      for (const query of batch) respond(query, lookups.get(query.id) as JobLookup);
      return;
    }
    if (result.kind !== 'conflict') {
      for (const query of batch) respond(query, { kind: 'unknown' });
      return;
    }
    await this.retryBatch(batch, new Set(result.failed));
  }

  /** Jobs whose keys have changed are read; the others are asked about again, with the next batch. */
  private async retryBatch(batch: readonly Query[], failed: ReadonlySet<StoreKey>): Promise<void> {
    const reads: Promise<void>[] = [];
    const answer = (query: Query, lookup: Promise<JobLookup>): void => {
      reads.push(lookup.then((found) => respond(query, found)));
    };
    for (const query of batch) {
      const { id } = query;
      query.tries += 1;
      // A final state stands for good: it need not be asked whether the job is active.
      if (failed.has(finalStateKey(id))) answer(query, this.reader.readFinal(id));
      else if (failed.has(activeJobKey(id)) || query.tries >= MAX_BATCH_TRIES)
        answer(query, this.reader.read(id));
      else enqueue(this.otherQueries, query);
    }
    await Promise.all(reads);
  }
}
