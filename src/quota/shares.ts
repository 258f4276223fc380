/** Each team's limit, split among the parts: a part starts tasks only within its share. */
import * as v from 'valibot';
import { add, mapResources, subtract, UNLIMITED, type Resources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { ShardId, StoreKey, TeamId } from '../model/units.js';

/** Shares by part; they never add up to more than the team's limit. Of what is unlimited every part has no end. */
export type Shares = readonly Resources[];

export const QUOTA = 'c/quota/';
export const quotaKey = (team: TeamId): StoreKey => `${QUOTA}${encodeURIComponent(team)}` as StoreKey;

const record = v.object({
  max: v.tuple([v.number(), v.number()]),
  cpus: v.array(v.number()),
  gpus: v.array(v.number()),
});

/** `total` in whole units as far as they go. */
function splitEvenly(total: number, parts: number): number[] {
  const each = Math.floor(total / parts);
  const rest = total - each * parts;
  return Array.from({ length: parts }, (_, i) => each + Math.max(0, Math.min(1, rest - i)));
}

/** Shares by kind of resource; the limit alone says what is unlimited. */
function assembled(team: Team, parts: number, of: (kind: 'cpus' | 'gpus') => readonly number[]): Shares {
  const limited = (kind: 'cpus' | 'gpus', shard: number): number =>
    team.limit[kind] === Infinity ? Infinity : (of(kind)[shard] ?? 0);
  return Array.from({ length: parts }, (_, shard) => ({
    ...UNLIMITED,
    cpus: limited('cpus', shard),
    gpus: limited('gpus', shard),
  }));
}

/** Before anybody has moved anything, all parts have the same. */
export const evenShares = (team: Team, parts: number): Shares =>
  assembled(team, parts, (kind) => splitEvenly(team.limit[kind], parts));

/** JSON has no infinity: what is unlimited is written as 0, as in the settings. Memory has no limit yet. */
const written = (amount: number): number => (amount === Infinity ? 0 : amount);

export function encodeShares(team: Team, shares: Shares): unknown {
  return {
    max: [written(team.limit.cpus), written(team.limit.gpus)],
    cpus: shares.map((s) => written(s.cpus)),
    gpus: shares.map((s) => written(s.gpus)),
  };
}

/** What the record says, or even shares when there is none for this limit and number of parts. */
export function decodeShares(value: unknown, team: Team, parts: number): Shares {
  const result = v.safeParse(record, value);
  if (!result.success) return evenShares(team, parts);
  const { max, cpus, gpus } = result.output;
  const sameLimit = max[0] === written(team.limit.cpus) && max[1] === written(team.limit.gpus);
  if (!sameLimit || cpus.length !== parts || gpus.length !== parts) return evenShares(team, parts);
  return assembled(team, parts, (kind) => (kind === 'cpus' ? cpus : gpus));
}

export function moveShare(shares: Shares, from: ShardId, to: ShardId, amount: Resources): Shares {
  return shares.map((share, i) => {
    if (i === from) return subtract(share, amount);
    return i === to ? add(share, amount) : share;
  });
}

/**
 * What a part gives of its share when a peer asks: never what it uses or its own tasks wait for, and nothing of an
 * unlimited resource, of which the peer has no less.
 */
export function transferableQuota(
  share: Resources,
  used: Resources,
  ownNeed: Resources,
  asked: Resources,
): Resources {
  return mapResources((kind) =>
    share[kind] === Infinity
      ? 0
      : Math.max(0, Math.min(asked[kind], share[kind] - used[kind] - ownNeed[kind])),
  );
}
