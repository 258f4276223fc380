/** What the tasks of a shard may be using at most, for quotas. */
import type { Resources } from '../model/resources.js';
import type { TeamId } from '../model/units.js';
import type { Shard } from './shard.js';

/** What each team's tasks may be using at most: known allocations, and whole machines with unknown usage. */
export interface Usage {
  readonly byTeam: ReadonlyMap<TeamId, Resources>;
  /** Capacity of machines with unknown usage: all of it may be any one team's. */
  readonly unattributed: Resources;
}

/** The present usage of the shard; `byTeam` goes on changing with it. */
export const usageOf = (shard: Shard): Usage => ({
  byTeam: shard.totals.usageByTeam,
  unattributed: shard.totals.unaccountedCapacity(shard.types),
});
