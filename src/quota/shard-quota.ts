/** Each team's limit, split among the parts: a part starts tasks only within its share. */
import * as v from 'valibot';
import { add, mapResources, subtract, UNLIMITED, type Resources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { ShardId, StoreKey, TeamId } from '../model/units.js';

/** Shares by part; they never add up to more than the team's limit. Of what is unlimited every part has no end. */
export type ShardQuotas = readonly Resources[];

export const QUOTA_PREFIX = 'c/quota/';
export const quotaKey = (team: TeamId): StoreKey => `${QUOTA_PREFIX}${encodeURIComponent(team)}` as StoreKey;

const quotaRecordSchema = v.object({
  max: v.tuple([v.number(), v.number()]),
  cpus: v.array(v.number()),
  gpus: v.array(v.number()),
});

/** `total` in whole units as far as they go. */
function splitEvenly(total: number, shardCount: number): number[] {
  const perShard = Math.floor(total / shardCount);
  const remainder = total - perShard * shardCount;
  return Array.from(
    { length: shardCount },
    (_, index) => perShard + Math.max(0, Math.min(1, remainder - index)),
  );
}

/** Shares by kind of resource; the limit alone says what is unlimited. */
function assembleQuotas(
  team: Team,
  shardCount: number,
  amountsOf: (kind: 'cpus' | 'gpus') => readonly number[],
): ShardQuotas {
  const limited = (kind: 'cpus' | 'gpus', shard: number): number =>
    team.quota[kind] === Infinity ? Infinity : (amountsOf(kind)[shard] ?? 0);
  return Array.from({ length: shardCount }, (_, shard) => ({
    ...UNLIMITED,
    cpus: limited('cpus', shard),
    gpus: limited('gpus', shard),
  }));
}

/** Before anybody has moved anything, all parts have the same. */
export const evenQuotas = (team: Team, shardCount: number): ShardQuotas =>
  assembleQuotas(team, shardCount, (kind) => splitEvenly(team.quota[kind], shardCount));

/** JSON has no infinity: what is unlimited is written as 0, as in the settings. Memory has no limit yet. */
const encodeAmount = (amount: number): number => (amount === Infinity ? 0 : amount);

export function encodeQuotas(team: Team, shares: ShardQuotas): unknown {
  return {
    max: [encodeAmount(team.quota.cpus), encodeAmount(team.quota.gpus)],
    cpus: shares.map((share) => encodeAmount(share.cpus)),
    gpus: shares.map((share) => encodeAmount(share.gpus)),
  };
}

/** What the record says, or even shares when there is none for this limit and number of parts. */
export function decodeQuotas(value: unknown, team: Team, shardCount: number): ShardQuotas {
  const result = v.safeParse(quotaRecordSchema, value);
  if (!result.success) return evenQuotas(team, shardCount);
  const { max, cpus, gpus } = result.output;
  const sameLimit = max[0] === encodeAmount(team.quota.cpus) && max[1] === encodeAmount(team.quota.gpus);
  if (!sameLimit || cpus.length !== shardCount || gpus.length !== shardCount)
    return evenQuotas(team, shardCount);
  return assembleQuotas(team, shardCount, (kind) => (kind === 'cpus' ? cpus : gpus));
}

export function moveQuota(shares: ShardQuotas, from: ShardId, to: ShardId, amount: Resources): ShardQuotas {
  return shares.map((share, index) => {
    if (index === from) return subtract(share, amount);
    return index === to ? add(share, amount) : share;
  });
}

/**
 * What a part gives of its share when a peer asks: never what it uses or its own tasks wait for, and nothing of an
 * unlimited resource, of which the peer has no less.
 */
export function transferableQuota(
  share: Resources,
  used: Resources,
  ownDemand: Resources,
  requested: Resources,
): Resources {
  return mapResources((kind) =>
    share[kind] === Infinity
      ? 0
      : Math.max(0, Math.min(requested[kind], share[kind] - used[kind] - ownDemand[kind])),
  );
}
