/**
 * The two transactions by which leadership of a shard changes hands, each logged with what this controller knew of the
 * store when it sent them. Relies on the store for safety: fencing token and leadership change together, on condition of
 * the versions that the decision was based on.
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
import type { Shard } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { CompareAndSwapResult } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change, Condition } from '../store/wire.js';

/** What describing the watch cache uses of the controller. */
export interface CacheStateContext {
  readonly clock: Clock;
  readonly storeCache: Pick<StoreCache, 'revision' | 'confirmedAt'>;
}

/** What the transactions use of the controller. */
export interface LeadershipTransactionContext extends CacheStateContext {
  readonly log: Pick<Log, 'error' | 'info'>;
  readonly settings: Pick<Settings, 'node'>;
  readonly incarnation: Incarnation;
  readonly storeCache: Pick<StoreCache, 'revision' | 'confirmedAt' | 'get' | 'version'>;
  /** Holds as long as the shard's record is the one that this leader knows. */
  leaderCondition(shard: Shard): Condition;
  compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>>;
}

/** What this controller knows of the store, for the log. */
export function cacheState({ clock, storeCache }: CacheStateContext): {
  readonly completeUpTo: Revision;
  readonly cacheAgeMs: number;
} {
  return { completeUpTo: storeCache.revision, cacheAgeMs: clock.now() - storeCache.confirmedAt };
}

/** Acquires and releases leadership in the store. */
export class LeadershipTransactions {
  /** The version of the token's record that was reported. */
  private reportedTokenVersion: Revision | null = null;

  constructor(private readonly context: LeadershipTransactionContext) {}

  /** Makes this process the leader under the next fencing token; whether it certainly is. */
  async acquire(shard: ShardId): Promise<boolean> {
    const { context } = this;
    const { settings, storeCache, incarnation } = context;
    const lastToken = storeCache.get(TOKEN_KEY)?.value;
    // Prevents: a leader under a token that was given out before, whose commands pass for those of an earlier leader.
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
        { op: 'put', key: TOKEN_KEY, value: encodeFencingToken(nextToken) },
        { op: 'put', key: shardKey(shard), value: encodeShardRecord(record) },
      ],
      RequestPriority.leadership,
    );
    const revision = result.kind === 'done' ? result.revision : null;
    const outcome = { shard, fencingToken: nextToken, result: result.kind, revision };
    context.log.info({ ...outcome, ...cacheState(context) }, 'acquire leadership');
    return result.kind === 'done';
  }

  /** Once for each record: the shards are looked at several times a second. */
  private reportUnreadableToken(shard: ShardId): void {
    const { log, storeCache } = this.context;
    const version = storeCache.version(TOKEN_KEY);
    if (version === this.reportedTokenVersion) return;
    this.reportedTokenVersion = version;
    log.error({ shard, version }, 'fencing token cannot be read, leadership is not acquired');
  }

  /** Gives the shard up, for any controller to acquire; whether it certainly has been. */
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
