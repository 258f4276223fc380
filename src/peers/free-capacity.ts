/** The free capacity of one shard, as its leader announced it or as the leader itself counts it. */
import type { ShardId, SteadyMs, ZoneId } from '../model/units.js';
import type { FreeMachines } from './messages.js';

/** What a shard has free until `expiresAt`. */
export interface FreeCapacity {
  readonly shard: ShardId;
  readonly zone: ZoneId;
  readonly expiresAt: SteadyMs;
  /** As far as this controller knows: what it assigns to the shard is subtracted until the next announcement. */
  readonly machines: FreeMachines[];
}
