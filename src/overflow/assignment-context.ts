/** The inputs of assignments of tasks to shards and zones, and the questions about them that do not depend on capacity. */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { mayRunOn } from '../model/constraints.js';
import type { Random } from '../model/random.js';
import { fits, type Resources } from '../model/resources.js';
import type { ImageId, ShardId, SteadyMs, ZoneId } from '../model/units.js';
import type { FreeCapacity } from '../peers/free-capacity.js';

/** Inputs of an assignment. */
export interface AssignmentContext {
  readonly now: SteadyMs;
  /** The shard of the controller that accepted the job. */
  readonly homeShard: ShardId;
  readonly homeZone: ZoneId;
  readonly shards: readonly { shard: ShardId; zone: ZoneId }[];
  readonly zones: readonly ZoneId[];
  readonly types: readonly InstanceType[];
  /** Announced free capacity of every shard; an assignment subtracts the capacity that it uses. */
  readonly freeCapacity: ReadonlyMap<ShardId, FreeCapacity>;
  /** By shard and image: the capacity that critical tasks can use at once on machines that hold the image. */
  readonly imageCapacity: ReadonlyMap<ShardId, ReadonlyMap<ImageId, Resources>>;
  readonly random: Random;
}

/** Returns a shard whose controller is in the zone: the home shard if possible, also if there is no such shard. */
export function shardSitedIn(
  zone: ZoneId,
  { homeShard, homeZone, shards }: Pick<AssignmentContext, 'homeShard' | 'homeZone' | 'shards'>,
): ShardId {
  if (homeZone === zone) return homeShard;
  return shards.find((candidate) => candidate.zone === zone)?.shard ?? homeShard;
}

/** Returns the zones in which some instance type can run a task, or all zones if no such zone is known. */
export function eligibleZones(
  spec: JobSpec,
  zones: readonly ZoneId[],
  types: readonly InstanceType[],
): readonly ZoneId[] {
  const eligible = zones.filter((zone) =>
    types.some(
      (type) => type.zones.includes(zone) && fits(spec, type) && mayRunOn(spec, type.name, zone, false, null),
    ),
  );
  return eligible.length > 0 ? eligible : zones;
}
