/**
 * Divides a team's quota among the shards. Each shard starts the team's tasks within its own quota only, so that the
 * team's quota is enforced without any shard knowing what the others run. Pure; `codec.ts` encodes and decodes the
 * record.
 */
import { add, mapResources, subtract, UNLIMITED, type Resources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { ShardId } from '../model/units.js';

/**
 * One team's quota by shard. The amounts never add up to more than the team's quota. For an unlimited resource, every
 * shard has an infinite amount.
 */
export type ShardQuotas = readonly Resources[];

/** The resources that a team's quota can limit. Memory has no quota yet. */
export type LimitedKind = 'cpus' | 'gpus';

/** Splits `total` into `shardCount` amounts of whole units; a fractional part of `total` goes to one of them. */
function splitEvenly(total: number, shardCount: number): number[] {
  const perShard = Math.floor(total / shardCount);
  const remainder = total - perShard * shardCount;
  return Array.from(
    { length: shardCount },
    (_, index) => perShard + Math.max(0, Math.min(1, remainder - index)),
  );
}

/** Builds quotas by shard from amounts by resource. The team's quota, not the amounts, determines what is unlimited. */
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

/** Returns the initial division, in which all shards have equal quotas. */
export const evenQuotas = (team: Team, shardCount: number): ShardQuotas =>
  shardQuotasFrom(team, shardCount, (kind) => splitEvenly(team.quota[kind], shardCount));

/** Returns the quotas after `amount` has been moved from one shard to another. The sum stays the same. */
export function moveQuota(quotas: ShardQuotas, from: ShardId, to: ShardId, amount: Resources): ShardQuotas {
  return quotas.map((quota, shard) => {
    if (shard === from) return subtract(quota, amount);
    return shard === to ? add(quota, amount) : quota;
  });
}

/**
 * Returns how much of the requested quota a shard can give: never quota that it uses or that its own tasks wait for,
 * and nothing of an unlimited resource, which the requesting shard has without limit as well.
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
