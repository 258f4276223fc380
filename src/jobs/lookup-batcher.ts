/**
 * Answers queries for the current state of jobs in batches: the queries of a short interval share one request to the
 * store. No answer is based on cached state that is older than the query; otherwise a user could be answered `pending`
 * after another controller has answered `cancelled`.
 */
import { RequestPriority } from '../store/rate-limiter.js';
import type { Condition } from '../store/wire.js';
import type { JobId, Millis, StoreKey, SteadyMs } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import type { ActiveJobs, StoreAccess, Timers } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import type { JobLookup, JobReader } from './lookup.js';
import { finalStateKey, activeJobKey } from './codec.js';

/** Queries that arrive within this interval share a transaction; the interval is longer at a low request rate. */
const BATCH_INTERVAL_MS = 60;
const MAX_BATCH_INTERVAL_MS = 400;
/** Maximum fraction of this controller's request rate that batches use. */
const REQUEST_FRACTION = 0.25;
/** Users wait 2 s for an answer: a query that would take longer than this is answered `unknown` at once. */
const MAX_QUERY_WAIT_MS = 1500;
/** A job that is not active needs two conditions, and a transaction may have four conditions per change. */
const JOBS_PER_TRANSACTION_OP = 2;
/** A job whose record keeps changing while batches are checked is read individually after this many batches. */
const MAX_BATCH_TRIES = 4;

/** All waiting requests for the state of one job. */
interface Query {
  readonly id: JobId;
  readonly resolvers: ((lookup: JobLookup) => void)[];
  /** Arrival time of the latest request. */
  askedAt: SteadyMs;
  /** Number of batches that could not answer the query. */
  tries: number;
}

/**
 * Adds a query to the queue, or merges it into the queued query for the same job. The merged query gets the later
 * arrival time, so that its answer is fresh enough for both.
 */
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

/** Collects queries about jobs and answers them in batches. */
export class LookupBatcher {
  /** Queries for jobs that were active in the watch cache. */
  private readonly activeQueries = new Map<JobId, Query>();
  /** Queries for all other jobs. */
  private readonly otherQueries = new Map<JobId, Query>();
  private isBatchLoopRunning = false;

  constructor(
    private readonly context: StoreAccess & Timers,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly reader: JobReader,
    /** Maximum number of changes per transaction. */
    private readonly maxTransactionOps: number,
    /** Brings the watch cache up to date; resolves to false if the store did not answer. */
    private readonly refresh: () => Promise<boolean>,
  ) {}

  /**
   * Returns the current state of a job. One refresh of the watch cache answers all earlier queries for active jobs.
   * Queries for other jobs share a transaction that only has conditions: if no record was created, the cache is
   * correct.
   */
  lookUp(id: JobId): Promise<JobLookup> {
    const state = this.finalStates.get(id);
    if (state) return Promise.resolve({ kind: 'ended', state });
    if (!this.context.storeHealthy()) return Promise.resolve({ kind: 'unknown' });
    const queue = this.activeJobs.has(id) ? this.activeQueries : this.otherQueries;
    // Decided on arrival: otherwise a queue of queries whose users have timed out would delay every later answer too.
    if (queue === this.otherQueries && !queue.has(id) && this.expectedWait() > MAX_QUERY_WAIT_MS)
      return Promise.resolve({ kind: 'unknown' });
    return new Promise((resolve) => {
      enqueue(queue, { id, resolvers: [resolve], askedAt: this.context.clock.now(), tries: 0 });
      // Not awaited: the answer is passed to `resolve`, and the loop ends after the last query.
      void this.runBatches();
    });
  }

  private get batchInterval(): Millis {
    const interval = Math.min(
      MAX_BATCH_INTERVAL_MS,
      1000 / (this.context.store.requestRate * REQUEST_FRACTION),
    );
    return millis(Math.max(BATCH_INTERVAL_MS, interval));
  }

  /** Maximum number of jobs per batch. */
  private get batchSize(): number {
    return this.maxTransactionOps * JOBS_PER_TRANSACTION_OP;
  }

  private expectedWait(): Millis {
    return millis(Math.ceil((this.otherQueries.size + 1) / this.batchSize) * this.batchInterval);
  }

  private async runBatches(): Promise<void> {
    if (this.isBatchLoopRunning) return;
    this.isBatchLoopRunning = true;
    try {
      while (this.otherQueries.size + this.activeQueries.size > 0) await this.runBatch();
    } finally {
      // After a failed batch, the next query must be able to restart the loop.
      this.isBatchLoopRunning = false;
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
      // The store was slow: the user has stopped waiting for this answer.
      if (this.context.clock.now() - query.askedAt > MAX_QUERY_WAIT_MS) respond(query, { kind: 'unknown' });
      else batch.push(query);
    }
    return batch;
  }

  /** Needs no request if the watch has meanwhile confirmed that the cache was current when the queries arrived. */
  private async answerActive(batch: readonly Query[]): Promise<void> {
    if (batch.length === 0) return;
    this.activeQueries.clear();
    const lastAskedAt = Math.max(...batch.map((query) => query.askedAt));
    const { storeCache } = this.context;
    const isFresh = (): boolean => storeCache.loaded && storeCache.confirmedAt >= lastAskedAt;
    const certain = isFresh() || ((await this.refresh()) && isFresh());
    for (const query of batch) {
      const record = this.activeJobs.get(query.id);
      if (!certain) respond(query, { kind: 'unknown' });
      else if (record) respond(query, { kind: 'active', record });
      else enqueue(this.otherQueries, query);
    }
  }

  /** Returns `unknown` if the cached record cannot be read. */
  private lookupFromCache(id: JobId): JobLookup {
    const record = this.activeJobs.get(id);
    if (record) return { kind: 'active', record };
    return { kind: this.context.storeCache.version(activeJobKey(id)) === NO_REVISION ? 'absent' : 'unknown' };
  }

  /** Returns conditions that hold in the store as long as the cached state of the job is current. */
  private conditionsFor(id: JobId): Condition[] {
    const activeCondition = {
      key: activeJobKey(id),
      version: this.context.storeCache.version(activeJobKey(id)),
    };
    return activeCondition.version === NO_REVISION
      ? [activeCondition, { key: finalStateKey(id), version: NO_REVISION }]
      : [activeCondition];
  }

  /** Sends a transaction without changes: if its conditions hold, the cache was current when the store checked them. */
  private async checkBatch(batch: readonly Query[]): Promise<void> {
    const lookups = new Map(batch.map((query) => [query.id, this.lookupFromCache(query.id)] as const));
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

  /** Reads the jobs whose keys have changed; queries for the others are added to the next batch. */
  private async retryBatch(batch: readonly Query[], failed: ReadonlySet<StoreKey>): Promise<void> {
    const reads: Promise<void>[] = [];
    const answer = (query: Query, lookup: Promise<JobLookup>): void => {
      reads.push(lookup.then((result) => respond(query, result)));
    };
    for (const query of batch) {
      const { id } = query;
      query.tries += 1;
      // A final state is permanent: the job's record need not be read.
      if (failed.has(finalStateKey(id))) answer(query, this.reader.readFinal(id));
      else if (failed.has(activeJobKey(id)) || query.tries >= MAX_BATCH_TRIES)
        answer(query, this.reader.read(id));
      else enqueue(this.otherQueries, query);
    }
    await Promise.all(reads);
  }
}
