/**
 * Narrow interfaces of the parts of the controller that the job module uses, so that it does not depend on the
 * controller's class.
 */
import type { ReadResult, CompareAndSwapResult } from '../store/client.js';
import type { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition, Entry } from '../store/wire.js';
import type { Clock, JobId, Millis, Revision, StoreKey, SteadyMs } from '../model/units.js';
import type { JobRecord } from './record.js';

/** Active jobs in this controller's cache of the store. */
export type ActiveJobs = Pick<ReadonlyMap<JobId, JobRecord>, 'get' | 'has'>;

/** The parts of the store client that the job module uses. */
export interface JobStore {
  /** This controller's share of the request limit, in requests per second. */
  readonly requestRate: number;
  /** This controller's share of the write limit, in changes per second. */
  readonly writeRate: number;
  /** How long a submission would be delayed by the rate limits. */
  readonly submitWait: Millis;
  /** Reads one key from the store, not from the watch cache. */
  get(key: StoreKey, priority: RequestPriority): Promise<ReadResult>;
  /** Applies all changes if every condition holds, and none otherwise. */
  compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
  ): Promise<CompareAndSwapResult>;
}

/** This controller's cache of the store's contents. It may lag behind the store. */
export interface JobStoreCache {
  /** Whether the first complete listing has been read. */
  readonly loaded: boolean;
  /** A time at which the store contained nothing newer than the cache. */
  readonly confirmedAt: SteadyMs;
  /** The store revision up to which the cache is complete. */
  readonly revision: Revision;
  /** Returns the cached entry of a key; `undefined` if the key is absent. */
  get(key: StoreKey): Entry | undefined;
  /** Returns the cached version of a key; `NO_REVISION` if the key is absent. */
  version(key: StoreKey): Revision;
  /** Applies the result of a read or of a committed write; `value` is `undefined` if the key was deleted. */
  apply(key: StoreKey, value: unknown, version: Revision): void;
}

/** Access to the store, and to the state that the controller's modules share. */
export interface StoreAccess {
  readonly store: JobStore;
  readonly storeCache: JobStoreCache;
  /** Returns false while the store does not answer this controller. */
  readonly storeHealthy: () => boolean;
  /** Runs a short change of shared state under the lock; `work` must not do I/O. */
  exclusive<T>(work: () => T): Promise<T>;
}

/** Tells whether this controller may still act as the leader of its shards. */
export interface LeadershipView {
  /** Returns false if the last confirmation of the watch cache is too old. */
  mayCommand(now: SteadyMs): boolean;
}

/** The monotonic clock and its timers. */
export interface Timers {
  readonly clock: Clock;
  sleep(delay: Millis): Promise<void>;
}
