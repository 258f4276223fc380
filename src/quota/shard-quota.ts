/**
 * How a team's quota is divided among the shards. Each shard starts the team's tasks within its own share only, so the
 * quota holds without any shard knowing what the others run. Pure: the record of the shares is mapped in `codec.ts`.
 */
import { add, mapResources, subtract, UNLIMITED, type Resources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { ShardId } from '../model/units.js';

/**
 * One team's quota by shard. The amounts never add up to more than the team's quota; of an unlimited resource every
 * shard has an infinite amount.
 */
export type ShardQuotas = readonly Resources[];

/** The resources that a team's quota can limit. Memory has no quota yet. */
export type LimitedKind = 'cpus' | 'gpus';

/** `total` in `shardCount` amounts that are whole units, but for a fraction of one unit in `total` itself. */
function splitEvenly(total: number, shardCount: number): number[] {
  const perShard = Math.floor(total / shardCount);
  const remainder = total - perShard * shardCount;
  return Array.from(
    { length: shardCount },
    (_, index) => perShard + Math.max(0, Math.min(1, remainder - index)),
  );
}

/** Quotas by shard from amounts by resource. What is unlimited follows from the team's quota, not from the amounts. */
export function shardQuotasFrom(
  team: Team,
  shardCount: number,
  amountsByShard: (kind: LimitedKind) => readonly number[],
): ShardQuotas {
  const limited = (kind: LimitedKind, shard: number): number =>
    team.quota[kind] === Infinity ? Infinity : (amountsByShard(kind)[shard] ?? 0);
  return Array.from({ length: shardCount }, (_, shard) => ({
    ...UNLIMITED,
    cpus: limited('cpus', shard),
    gpus: limited('gpus', shard),
  }));
}

/** The division before any transfer: all shards have the same. */
export const evenQuotas = (team: Team, shardCount: number): ShardQuotas =>
  shardQuotasFrom(team, shardCount, (kind) => splitEvenly(team.quota[kind], shardCount));

/** The quotas after `amount` has gone from one shard to another; their sum stays the same. */
export function moveQuota(quotas: ShardQuotas, from: ShardId, to: ShardId, amount: Resources): ShardQuotas {
  return quotas.map((quota, shard) => {
    if (shard === from) return subtract(quota, amount);
    return shard === to ? add(quota, amount) : quota;
  });
}

/**
 * What a shard can give of its quota when another requests some: never what it uses or what its own tasks wait for, and
 * nothing of an unlimited resource, of which the other has no less.
 */
export function transferableQuota(
  quota: Resources,
  used: Resources,
  ownDemand: Resources,
  requested: Resources,
): Resources {
  return mapResources((kind) =>
    quota[kind] === Infinity
      ? 0
      : Math.max(0, Math.min(requested[kind], quota[kind] - used[kind] - ownDemand[kind])),
  );
}
