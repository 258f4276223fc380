/**
 * Narrow interfaces for the parts of the controller that the quota modules use. The controller passes its own objects,
 * so that nothing in this folder depends on the class that holds them.
 */
import type { Resources } from '../model/resources.js';
import type { Clock, ControllerId, Millis, ShardId, SteadyMs, TeamId } from '../model/units.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings/settings.js';
import type { Shard } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { CompareAndSwapResult, KeyValueClient } from '../store/client.js';
import type { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition } from '../store/wire.js';

/** The teams with their quotas, and the configured shards. */
export interface QuotaSettings extends Pick<Settings, 'teams'> {
  readonly shards: readonly { readonly shard: ShardId }[];
}

/** The source of quota records: the settings and this controller's cache, which may lag behind the store. */
export interface QuotaRecords {
  readonly settings: QuotaSettings;
  readonly storeCache: Pick<StoreCache, 'get' | 'version'>;
}

/** The shards that this controller leads, and the announcements of peers for theirs. */
export interface ShardDirectory {
  /** Shards led by this controller. */
  readonly shards: Pick<ReadonlyMap<ShardId, Shard>, 'get' | 'has'>;
  /** The latest announcements of the leaders of other shards: hints that may be stale or missing. */
  readonly shardAnnouncements: {
    get(
      shard: ShardId,
    ): { readonly expiresAt: SteadyMs; readonly unusedQuota: ReadonlyMap<TeamId, Resources> } | undefined;
  };
  /** The shard's record as known from the store, with its leader. */
  shardRecord(shard: ShardId): { readonly leader: ControllerId | null } | null;
}

/** Dependencies for requesting quota from another shard. */
export interface QuotaRequesterContext extends ShardDirectory {
  readonly settings: QuotaSettings;
  readonly clock: Pick<Clock, 'now'>;
  readonly peerTransport: Pick<PeerTransport, 'send'>;
}

/** Dependencies for answering another shard's request. */
export interface QuotaResponderContext {
  readonly settings: QuotaSettings;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: { debug(details: object, message: string): void };
  readonly shards: ShardDirectory['shards'];
  readonly store: Pick<KeyValueClient, 'get'>;
  readonly storeCache: Pick<StoreCache, 'version' | 'apply'>;
  /** Returns the condition for a leader's writes, which holds while this controller leads the shard. */
  leaderCondition(shard: Shard): Condition;
  /** Retries a write until its outcome is certain. After a conflict, an earlier attempt may have been applied. */
  compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>>;
  /** Runs a short change of shared state, without I/O, under the lock. */
  exclusive<T>(work: () => T): Promise<T>;
  sleep(delay: Millis): Promise<void>;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

/** Dependencies of the quota service. */
export interface QuotaTransferContext extends QuotaRecords, QuotaRequesterContext, QuotaResponderContext {
  readonly storeCache: Pick<StoreCache, 'get' | 'version' | 'apply'>;
}
