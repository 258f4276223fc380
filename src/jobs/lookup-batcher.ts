/**
 * Answers what a job's state is now, for many requests at once. No answer rests on a copy of the store that is older than
 * the query: otherwise a user could be told `pending` after another controller has answered `cancelled`. The queries of a
 * short interval share one request to the store.
 */
import { RequestPriority } from '../store/rate-limiter.js';
import type { Condition } from '../store/wire.js';
import type { JobId, Millis, StoreKey, SteadyMs } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import type { ActiveJobs, StoreAccess, Timers } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import type { JobLookup, JobReader } from './lookup.js';
import { finalStateKey, activeJobKey } from './codec.js';

/** Queries that come within this time share one transaction, in milliseconds; at a low request rate more of them do. */
const BATCH_INTERVAL_MS = 60;
const MAX_BATCH_INTERVAL_MS = 400;
/** Fraction of this controller's request rate that batches may take. */
const REQUEST_FRACTION = 0.25;
/** A user waits 2 s for an answer: whoever's turn would come later than this gets `unknown` at once. */
const MAX_QUERY_WAIT_MS = 1500;
/** A job that is not active needs two conditions, and a transaction may hold four conditions for each change. */
const JOBS_PER_TRANSACTION_OP = 2;
/** A job whose records keep changing under the batches is read by itself after this many. */
const MAX_BATCH_TRIES = 4;

/** The requests that ask about one job, until a transaction is sent that answers them all. */
interface Query {
  readonly id: JobId;
  readonly resolvers: ((lookup: JobLookup) => void)[];
  /** When the last of them came. */
  askedAt: SteadyMs;
  /** Batches that could not answer it. */
  tries: number;
}

/** Joins a query for a job that is queued already: the answer must be as fresh as the later one needs. */
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
  /** About jobs that the store cache showed as active. */
  private readonly activeQueries = new Map<JobId, Query>();
  /** About all other jobs. */
  private readonly otherQueries = new Map<JobId, Query>();
  private isBatchLoopRunning = false;

  constructor(
    private readonly context: StoreAccess & Timers,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly reader: JobReader,
    /** Changes that one transaction may hold. */
    private readonly maxTransactionOps: number,
    /** Brings the store cache up to date; false: the store did not answer. */
    private readonly refresh: () => Promise<boolean>,
  ) {}

  /**
   * What holds now. One refresh of the store cache answers all queries about active jobs that came before it; the other
   * jobs share a transaction that only compares: if no record has been created, the cache is right about them.
   */
  lookUp(id: JobId): Promise<JobLookup> {
    const state = this.finalStates.get(id);
    if (state) return Promise.resolve({ kind: 'ended', state });
    if (!this.context.storeHealthy()) return Promise.resolve({ kind: 'unknown' });
    const queue = this.activeJobs.has(id) ? this.activeQueries : this.otherQueries;
    // Decided on arrival: a queue of queries whose users have given up would keep every later answer from its user.
    if (queue === this.otherQueries && !queue.has(id) && this.expectedWait() > MAX_QUERY_WAIT_MS)
      return Promise.resolve({ kind: 'unknown' });
    return new Promise((resolve) => {
      enqueue(queue, { id, resolvers: [resolve], askedAt: this.context.clock.now(), tries: 0 });
      // The answer comes through `resolve`; the loop ends with the last query.
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

  /** In jobs. */
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
      // A failed batch must not keep later queries waiting for ever.
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
      // The store was slow: no user waits for this answer any more.
      if (this.context.clock.now() - query.askedAt > MAX_QUERY_WAIT_MS) respond(query, { kind: 'unknown' });
      else batch.push(query);
    }
    return batch;
  }

  /** Needs no request if the watch has confirmed by now that nothing newer existed when the queries came. */
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

  /** `unknown`: the record is in the cache and cannot be read. */
  private lookupFromCache(id: JobId): JobLookup {
    const record = this.activeJobs.get(id);
    if (record) return { kind: 'active', record };
    return { kind: this.context.storeCache.version(activeJobKey(id)) === NO_REVISION ? 'absent' : 'unknown' };
  }

  /** True in the store as long as the cache is right about the job. */
  private conditionsFor(id: JobId): Condition[] {
    const activeCondition = {
      key: activeJobKey(id),
      version: this.context.storeCache.version(activeJobKey(id)),
    };
    return activeCondition.version === NO_REVISION
      ? [activeCondition, { key: finalStateKey(id), version: NO_REVISION }]
      : [activeCondition];
  }

  /** One transaction without changes: if its conditions hold, the cache was right when the store compared. */
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

  /** Reads the jobs whose keys have changed; the queries about the others join the next batch. */
  private async retryBatch(batch: readonly Query[], failed: ReadonlySet<StoreKey>): Promise<void> {
    const reads: Promise<void>[] = [];
    const answer = (query: Query, lookup: Promise<JobLookup>): void => {
      reads.push(lookup.then((found) => respond(query, found)));
    };
    for (const query of batch) {
      const { id } = query;
      query.tries += 1;
      // A final state stays for good: the job's record need not be read.
      if (failed.has(finalStateKey(id))) answer(query, this.reader.readFinal(id));
      else if (failed.has(activeJobKey(id)) || query.tries >= MAX_BATCH_TRIES)
        answer(query, this.reader.read(id));
      else enqueue(this.otherQueries, query);
    }
    await Promise.all(reads);
  }
}
