/** The desk for shares of one team's limit, of a controller that owns some of the parts; each write succeeds at once. */
import type { Core } from '../../src/core.js';
import type { Resources } from '../../src/model/resources.js';
import type { Shard } from '../../src/shards/model.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import { encodeQuotas, quotaKey } from '../../src/quota/shard-quota.js';
import type { Team } from '../../src/settings/settings.js';
import { StoreCache } from '../../src/store/cache.js';

export function deskOf(
  team: Team,
  parts: readonly Shard[],
  partCount: number,
  now: () => number,
  /** Left out: even shares. */
  shares?: readonly Resources[],
): QuotaTransferService {
  const view = new StoreCache(() => undefined);
  const key = quotaKey(team.name);
  if (shares) view.apply(key, encodeQuotas(team, shares), 1 as never);
  return new QuotaTransferService({
    settings: {
      teams: new Map([[team.name, team]]),
      shards: Array.from({ length: partCount }, (_, shard) => ({ shard })),
    },
    storeCache: view,
    shards: new Map(parts.map((shard) => [shard.id, shard])),
    shardAnnouncements: new Map(),
    clock: { now },
    shardRecord: () => null,
    leaderCondition: () => ({}),
    compareAndSwapUntilCertain: () =>
      Promise.resolve({ kind: 'done', revision: (view.version(key) + 1) as never }),
    exclusive: (work: () => unknown) => Promise.resolve(work()),
    log: { debug: () => undefined },
    requestCycle: () => undefined,
  } as unknown as Core);
}
