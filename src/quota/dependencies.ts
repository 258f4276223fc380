/**
 * What the quota slice uses of the rest of the controller, as narrow interfaces. The controller passes its own objects:
 * nothing in this folder depends on the class that holds them all.
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

/** What the records of quotas are read from: this controller's copy of the store, which may be behind it. */
export interface QuotaRecords {
  readonly settings: QuotaSettings;
  readonly storeCache: Pick<StoreCache, 'get' | 'version'>;
}

/** The shards that this controller leads, and what peers have announced about theirs. */
export interface ShardDirectory {
  /** Shards led by this controller. */
  readonly shards: Pick<ReadonlyMap<ShardId, Shard>, 'get' | 'has'>;
  /** What the leaders of other shards announced last: hints that may be stale or missing. */
  readonly shardAnnouncements: {
    get(
      shard: ShardId,
    ): { readonly expiresAt: SteadyMs; readonly unusedQuota: ReadonlyMap<TeamId, Resources> } | undefined;
  };
  /** What the store is known to hold of a shard: its leader. */
  shardRecord(shard: ShardId): { readonly leader: ControllerId | null } | null;
}

/** What requesting quota from another shard uses of the controller. */
export interface QuotaRequesterContext extends ShardDirectory {
  readonly settings: QuotaSettings;
  readonly clock: Pick<Clock, 'now'>;
  readonly peerTransport: Pick<PeerTransport, 'send'>;
}

/** What answering another shard's request uses of the controller. */
export interface QuotaResponderContext {
  readonly settings: QuotaSettings;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: { debug(details: object, message: string): void };
  readonly shards: ShardDirectory['shards'];
  readonly store: Pick<KeyValueClient, 'get'>;
  readonly storeCache: Pick<StoreCache, 'version' | 'apply'>;
  /** The condition under which a leader's write may apply: it still leads the shard. */
  leaderCondition(shard: Shard): Condition;
  /** Repeats a write until its outcome is certain; a conflict may hide that an earlier copy was applied. */
  compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>>;
  /** Runs a short change of shared state under the lock, without I/O. */
  exclusive<T>(work: () => T): Promise<T>;
  sleep(delay: Millis): Promise<void>;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

/** What the quota service uses of the controller. */
export interface QuotaTransferContext extends QuotaRecords, QuotaRequesterContext, QuotaResponderContext {
  readonly storeCache: Pick<StoreCache, 'get' | 'version' | 'apply'>;
}
