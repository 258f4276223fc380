/**
 * What the job slice uses of the rest of the controller, as narrow interfaces. The controller passes its own objects:
 * nothing in this folder depends on the class that holds them all.
 */
import type { ReadResult, CompareAndSwapResult } from '../store/client.js';
import type { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition, Entry } from '../store/wire.js';
import type { Clock, JobId, Millis, Revision, StoreKey, SteadyMs } from '../model/units.js';
import type { JobRecord } from './record.js';

/** Active jobs, by this controller's latest copy of the store. */
export type ActiveJobs = Pick<ReadonlyMap<JobId, JobRecord>, 'get' | 'has'>;

/** The client of the store, as far as jobs need it. */
export interface JobStore {
  /** This controller's share of the request limit, in requests a second. */
  readonly requestRate: number;
  /** This controller's share of the limit of changes, in changes a second. */
  readonly writeRate: number;
  /** How long a submission would wait for its turn within the rate limits. */
  readonly submitWait: Millis;
  /** Reads one key from the store, not from the store cache. */
  get(key: StoreKey, priority: RequestPriority): Promise<ReadResult>;
  /** Applies the changes if every condition holds, and otherwise nothing. */
  compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
  ): Promise<CompareAndSwapResult>;
}

/** This controller's copy of what the store holds. It may be behind the store. */
export interface JobStoreCache {
  /** The first complete list has been read. */
  readonly loaded: boolean;
  /** A time at which the store held nothing newer than the copy shows. */
  readonly confirmedAt: SteadyMs;
  /** The store's revision that the copy has reached. */
  readonly revision: Revision;
  /** What a key was last seen to hold; `undefined` when it is absent. */
  get(key: StoreKey): Entry | undefined;
  /** The version a key was last seen at; `NO_REVISION` when it is absent. */
  version(key: StoreKey): Revision;
  /** Takes in a fact from a read or a committed write; `undefined` when the key was dropped. */
  apply(key: StoreKey, value: unknown, version: Revision): void;
}

/** Access to the store, and to the state that all slices of the controller share. */
export interface StoreAccess {
  readonly store: JobStore;
  readonly storeCache: JobStoreCache;
  /** False while the store does not answer this controller. */
  readonly storeHealthy: () => boolean;
  /** Runs a short change of shared state under the lock, without I/O. */
  exclusive<T>(work: () => T): Promise<T>;
}

/** Whether this controller may still act for the shards that it leads. */
export interface LeadershipView {
  /** False once the store cache was last confirmed too long ago. */
  mayCommand(now: SteadyMs): boolean;
}

/** The steady clock and its timers. */
export interface Timers {
  readonly clock: Clock;
  sleep(delay: Millis): Promise<void>;
}
