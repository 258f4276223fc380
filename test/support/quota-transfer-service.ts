/**
 * Creates the quota transfer service of a controller that leads some of the shards, for one team; all writes succeed.
 */
import { revision, steady, shardId } from '../../src/model/units.js';
import type { Resources } from '../../src/model/resources.js';
import type { Shard } from '../../src/shards/model.js';
import { shardKey } from '../../src/shards/codec.js';
import { encodeQuotas, quotaKey } from '../../src/quota/codec.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import type { Team } from '../../src/settings/settings.js';
import { StoreCache } from '../../src/store/cache.js';

export function createQuotaTransferService(
  team: Team,
  shards: readonly Shard[],
  shardCount: number,
  now: () => number,
  /** The quota of each shard; if omitted, the team's quota is divided evenly among the shards. */
  shardQuotas?: readonly Resources[],
): QuotaTransferService {
  const storeCache = new StoreCache(() => undefined);
  const key = quotaKey(team.name);
  if (shardQuotas) storeCache.apply(key, encodeQuotas(team, shardQuotas), revision(1));
  return new QuotaTransferService({
    settings: {
      teams: new Map([[team.name, team]]),
      shards: Array.from({ length: shardCount }, (_, shard) => ({ shard: shardId(shard) })),
    },
    storeCache,
    store: { get: () => Promise.resolve({ kind: 'failed' }) },
    shards: new Map(shards.map((shard) => [shard.id, shard])),
    shardAnnouncements: new Map(),
    peerTransport: { send: () => undefined },
    clock: { now: () => steady(now()) },
    shardRecord: () => null,
    leaderCondition: (shard) => ({ key: shardKey(shard.id), version: shard.version }),
    compareAndSwapUntilCertain: () =>
      Promise.resolve({ kind: 'done', revision: revision(storeCache.version(key) + 1) }),
    exclusive: (work) => Promise.resolve(work()),
    sleep: () => Promise.resolve(),
    log: { debug: () => undefined },
    requestCycle: () => undefined,
  });
}
