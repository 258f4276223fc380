/**
 * Encodes and decodes a team's shard quotas as the record in the store, and defines its key. During an upgrade,
 * different versions of the software read each other's records, so the key and the field names must not change even if
 * the code uses other names.
 */
import * as v from 'valibot';
import type { Team } from '../settings/settings.js';
import type { StoreKey, TeamId } from '../model/units.js';
import { evenQuotas, shardQuotasFrom, type ShardQuotas } from './shard-quota.js';

/** Prefix of the keys of all teams' quota records. */
export const QUOTA_PREFIX = 'c/quota/';

/** Key of the record that holds the quotas of all shards for a team. */
export const quotaKey = (team: TeamId): StoreKey => `${QUOTA_PREFIX}${encodeURIComponent(team)}` as StoreKey;

const quotaRecordSchema = v.object({
  /** The team's quota of CPUs and GPUs at the time when the record was written. */
  max: v.tuple([v.number(), v.number()]),
  /** By shard. */
  cpus: v.array(v.number()),
  gpus: v.array(v.number()),
});

/** JSON has no infinity, so an unlimited amount is written as 0, as in the settings. */
const encodeAmount = (amount: number): number => (amount === Infinity ? 0 : amount);

/** Encodes the value of `quotaKey`. */
export function encodeQuotas(team: Team, quotas: ShardQuotas): unknown {
  return {
    max: [encodeAmount(team.quota.cpus), encodeAmount(team.quota.gpus)],
    cpus: quotas.map((quota) => encodeAmount(quota.cpus)),
    gpus: quotas.map((quota) => encodeAmount(quota.gpus)),
  };
}

/**
 * Decodes the value of `quotaKey`. Returns even quotas if there is no readable record, or if the record was written for
 * another quota of the team or another number of shards.
 */
export function decodeQuotas(value: unknown, team: Team, shardCount: number): ShardQuotas {
  const result = v.safeParse(quotaRecordSchema, value);
  if (!result.success) return evenQuotas(team, shardCount);
  const { max, cpus, gpus } = result.output;
  const sameQuota = max[0] === encodeAmount(team.quota.cpus) && max[1] === encodeAmount(team.quota.gpus);
  if (!sameQuota || cpus.length !== shardCount || gpus.length !== shardCount)
    return evenQuotas(team, shardCount);
  return shardQuotasFrom(team, shardCount, (kind) => (kind === 'cpus' ? cpus : gpus));
}
