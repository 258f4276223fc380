/**
 * The transactions that acquire and release leadership of a shard. Each is logged with its result and the state of the
 * watch cache. Safety relies on the store: a new leader and its fencing token are written together, on condition of the
 * versions that the decision was based on.
 */
import type { Log } from '../logging/log.js';
import { fencingToken, type Clock, type Incarnation, type Revision, type ShardId } from '../model/units.js';
import type { Settings } from '../settings/settings.js';
import {
  decodeFencingToken,
  encodeFencingToken,
  encodeShardRecord,
  isUnreadableToken,
  shardKey,
  TOKEN_KEY,
} from '../shards/codec.js';
import { lastTokenOfRange } from '../shards/leadership-tokens.js';
import type { Shard } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { CompareAndSwapResult } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition } from '../store/wire.js';
import type { AcquisitionReason } from './acquisition-reason.js';

/** The part of the controller that `cacheState` reads. */
export interface CacheStateContext {
  readonly clock: Clock;
  readonly storeCache: Pick<StoreCache, 'revision' | 'confirmedAt'>;
}

/** The part of the controller that the transactions use. */
export interface LeadershipTransactionContext extends CacheStateContext {
  readonly log: Pick<Log, 'error' | 'info'>;
  readonly settings: Pick<Settings, 'node'>;
  readonly incarnation: Incarnation;
  readonly storeCache: Pick<StoreCache, 'revision' | 'confirmedAt' | 'get' | 'version'>;
  /** Returns the condition that the shard's record is still the version that this leader knows. */
  leaderCondition(shard: Shard): Condition;
  compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>>;
}

/** Returns up to which revision the watch cache is complete and how old it is, as log fields. */
export function cacheState({ clock, storeCache }: CacheStateContext): {
  readonly completeUpTo: Revision;
  readonly cacheAgeMs: number;
} {
  return { completeUpTo: storeCache.revision, cacheAgeMs: clock.now() - storeCache.confirmedAt };
}

/** Acquires and releases leadership in the store. */
export class LeadershipTransactions {
  /** Version of the unreadable fencing token record that was logged last. */
  private reportedTokenVersion: Revision | null = null;

  constructor(private readonly context: LeadershipTransactionContext) {}

  /** Makes this process the leader under the next range of fencing tokens. Returns whether it certainly succeeded. */
  async acquire(shard: ShardId, reason: AcquisitionReason): Promise<boolean> {
    const { context } = this;
    const { settings, storeCache, incarnation } = context;
    const lastToken = storeCache.get(TOKEN_KEY)?.value;
    // Prevents: a fencing token is issued twice, and workers accept commands of an earlier leader with the same token.
    if (isUnreadableToken(lastToken)) {
      this.reportUnreadableToken(shard);
      return false;
    }
    const nextToken = fencingToken(decodeFencingToken(lastToken) + 1);
    const record = { leader: settings.node, incarnation, fencingToken: nextToken };
    const result = await context.compareAndSwapUntilCertain(
      [
        { key: TOKEN_KEY, version: storeCache.version(TOKEN_KEY) },
        { key: shardKey(shard), version: storeCache.version(shardKey(shard)) },
      ],
      [
        { op: 'put', key: TOKEN_KEY, value: encodeFencingToken(lastTokenOfRange(nextToken)) },
        { op: 'put', key: shardKey(shard), value: encodeShardRecord(record) },
      ],
      RequestPriority.leadership,
    );
    const revision = result.kind === 'done' ? result.revision : null;
    const outcome = { shard, fencingToken: nextToken, result: result.kind, revision };
    context.log.info({ ...outcome, ...reason, ...cacheState(context) }, 'acquire leadership');
    return result.kind === 'done';
  }

  /** Logs each version of the record once: acquisition is attempted several times a second. */
  private reportUnreadableToken(shard: ShardId): void {
    const { log, storeCache } = this.context;
    const version = storeCache.version(TOKEN_KEY);
    if (version === this.reportedTokenVersion) return;
    this.reportedTokenVersion = version;
    log.error({ shard, version }, 'fencing token cannot be read, leadership is not acquired');
  }

  /** Releases the shard, so that any controller may acquire it. Returns whether it certainly succeeded. */
  async release(shard: Shard): Promise<boolean> {
    const { context } = this;
    const value = encodeShardRecord({ leader: null, incarnation: null, fencingToken: shard.fencingToken });
    const result = await context.compareAndSwapUntilCertain(
      [context.leaderCondition(shard)],
      [{ op: 'put', key: shardKey(shard.id), value }],
      RequestPriority.leadership,
    );
    context.log.info({ shard: shard.id, result: result.kind, ...cacheState(context) }, 'release leadership');
    return result.kind === 'done';
  }
}
