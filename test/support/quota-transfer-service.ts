/** The desk for shares of one team's limit, of a controller that owns some of the parts; each write succeeds at once. */
import type { Core } from '../../src/core.js';
import type { Resources } from '../../src/model/resources.js';
import type { Shard } from '../../src/shards/model.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import { encodeQuotas, quotaKey } from '../../src/quota/shard-quota.js';
import type { Team } from '../../src/settings/settings.js';
import { StoreCache } from '../../src/store/cache.js';

export function createQuotaTransferService(
  team: Team,
  shards: readonly Shard[],
  shardCount: number,
  now: () => number,
  /** Left out: even shares. */
  shardQuotas?: readonly Resources[],
): QuotaTransferService {
  const storeCache = new StoreCache(() => undefined);
  const key = quotaKey(team.name);
  if (shardQuotas) storeCache.apply(key, encodeQuotas(team, shardQuotas), 1 as never);
  return new QuotaTransferService({
    settings: {
      teams: new Map([[team.name, team]]),
      shards: Array.from({ length: shardCount }, (_, shard) => ({ shard })),
    },
    storeCache,
    shards: new Map(shards.map((shard) => [shard.id, shard])),
    shardAnnouncements: new Map(),
    clock: { now },
    shardRecord: () => null,
    leaderCondition: () => ({}),
    compareAndSwapUntilCertain: () =>
      Promise.resolve({ kind: 'done', revision: (storeCache.version(key) + 1) as never }),
    exclusive: (work: () => unknown) => Promise.resolve(work()),
    log: { debug: () => undefined },
    requestCycle: () => undefined,
  } as unknown as Core);
}
