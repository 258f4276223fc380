/** Upper bounds of the resources that the tasks of a shard use, for quotas. */
import type { Resources } from '../model/resources.js';
import type { TeamId } from '../model/units.js';
import type { Shard } from './shard.js';

/** Upper bounds of each team's usage: its known allocations, and the capacity of all machines with unknown usage. */
export interface Usage {
  readonly byTeam: ReadonlyMap<TeamId, Resources>;
  /** Capacity of machines with unknown usage: a single team may be using all of it. */
  readonly unattributed: Resources;
}

/** Returns the current usage of the shard; `byTeam` is a live view. */
export const usageOf = (shard: Shard): Usage => ({
  byTeam: shard.totals.usageByTeam,
  unattributed: shard.totals.unknownUsageCapacity(shard.types),
});
