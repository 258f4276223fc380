/** The free capacity of one shard, as announced by its leader or as computed by the leader itself. */
import type { ShardId, SteadyMs, ZoneId } from '../model/units.js';
import type { FreeMachines } from './messages.js';

/** The free capacity of a shard, valid until `expiresAt`. */
export interface FreeCapacity {
  readonly shard: ShardId;
  readonly zone: ZoneId;
  readonly expiresAt: SteadyMs;
  /** Free machines as known to this controller, minus the capacity that it has assigned since the last announcement. */
  readonly machines: FreeMachines[];
}
