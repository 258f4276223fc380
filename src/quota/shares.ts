/** Each team's limit, split among the parts: a part starts tasks only within its share. */
import * as v from 'valibot';
import type { Team } from '../settings/settings.js';
import type { PartId, StateKey, TeamId } from '../units.js';

export interface Share {
  readonly cpus: number;
  readonly gpus: number;
}

/** Shares by part; they never add up to more than the team's limit. */
export type Shares = readonly Share[];

export const QUOTA = 'c/quota/';
export const quotaKey = (team: TeamId): StateKey => `${QUOTA}${encodeURIComponent(team)}` as StateKey;

const record = v.object({
  max: v.tuple([v.number(), v.number()]),
  cpus: v.array(v.number()),
  gpus: v.array(v.number()),
});

/** A limit of 0 is none: every part may use as much as it has, and there is nothing to lend. */
const isUnlimited = (limit: number): boolean => limit === 0;

/** Before anybody has moved anything, all parts have the same, in whole CPUs as far as they go. */
export function evenShares(team: Team, parts: number): Shares {
  const split = (total: number): number[] => {
    if (isUnlimited(total)) return Array.from({ length: parts }, () => Infinity);
    const each = Math.floor(total / parts);
    const rest = total - each * parts;
    return Array.from({ length: parts }, (_, i) => each + Math.max(0, Math.min(1, rest - i)));
  };
  const cpus = split(team.cpusMax);
  const gpus = split(team.gpusMax);
  return cpus.map((c, i) => ({ cpus: c, gpus: gpus[i] ?? 0 }));
}

/** JSON has no infinity: an unlimited resource is written as shares of 0, and read by the limit alone. */
export function encodeShares(team: Team, shares: Shares): unknown {
  const written = (share: number): number => (Number.isFinite(share) ? share : 0);
  return {
    max: [team.cpusMax, team.gpusMax],
    cpus: shares.map((s) => written(s.cpus)),
    gpus: shares.map((s) => written(s.gpus)),
  };
}

/** What the record says, or even shares when there is none for this limit and number of parts. */
export function decodeShares(value: unknown, team: Team, parts: number): Shares {
  const result = v.safeParse(record, value);
  if (!result.success) return evenShares(team, parts);
  const { max, cpus, gpus } = result.output;
  if (max[0] !== team.cpusMax || max[1] !== team.gpusMax || cpus.length !== parts || gpus.length !== parts) {
    return evenShares(team, parts);
  }
  return cpus.map((c, i) => ({
    cpus: isUnlimited(team.cpusMax) ? Infinity : c,
    gpus: isUnlimited(team.gpusMax) ? Infinity : (gpus[i] ?? 0),
  }));
}

export function moveShare(shares: Shares, from: PartId, to: PartId, amount: Share): Shares {
  return shares.map((s, i) => {
    const sign = i === from ? -1 : i === to ? 1 : 0;
    return { cpus: s.cpus + sign * amount.cpus, gpus: s.gpus + sign * amount.gpus };
  });
}

/**
 * What a part gives of its share when a peer asks: never what it uses or its own tasks wait for, and nothing of an
 * unlimited resource, of which the peer has no less.
 */
export function gift(share: Share, used: Share, ownNeed: Share, asked: Share): Share {
  const free = (has: number, uses: number, needs: number, wants: number): number =>
    has === Infinity ? 0 : Math.max(0, Math.min(wants, has - uses - needs));
  return {
    cpus: free(share.cpus, used.cpus, ownNeed.cpus, asked.cpus),
    gpus: free(share.gpus, used.gpus, ownNeed.gpus, asked.gpus),
  };
}
