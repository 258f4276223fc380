/**
 * Chooses the shard for a machine that no controller has registered yet. Every controller comes to the same choice from
 * the same settings and registrations, without messages between them.
 */
import type { InstanceType } from '../cloud/wire.js';
import { dominantShare, largestOf, ZERO } from '../model/resources.js';
import type { Settings } from '../settings/settings.js';
import type { RegisteredMachines } from '../shards/registered-machines.js';
import type { InstanceTypeId, MachineId, ShardId } from '../model/units.js';
import type { Heartbeat } from './wire.js';

/** How far a shard may be ahead of the smallest before it is passed over, in machines of the largest type. */
const MAX_IMBALANCE = 1.5;
const ONE_CPU = { ...ZERO, cpus: 1 };

/** What the choice of a shard uses of the controller. */
export interface ShardChoiceDependencies {
  readonly settings: Pick<Settings, 'shard' | 'shards'>;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly registeredMachines: Pick<RegisteredMachines, 'capacity'>;
}

/** The number in a machine's id; machines are numbered in the order in which they were rented. */
export const machineNumber = (id: MachineId): number => Number(/\d+$/.exec(id)?.[0] ?? 0);

/**
 * Shards follow zones. Among those whose controller is in the machine's zone they take turns by machine number, on which
 * controllers agree while many machines are registered at once, unless the next in turn is clearly ahead in capacity.
 */
export function chooseShard(
  controller: ShardChoiceDependencies,
  heartbeat: Pick<Heartbeat, 'zone' | 'machine'>,
): ShardId {
  const { settings } = controller;
  const inZone = settings.shards.filter((shardSettings) => shardSettings.zone === heartbeat.zone);
  const candidates = inZone.length > 0 ? inZone : settings.shards;
  const capacities = relativeCapacities(
    controller,
    candidates.map((shardSettings) => shardSettings.shard),
  );
  const nextInTurn =
    candidates[machineNumber(heartbeat.machine) % candidates.length]?.shard ?? settings.shard;
  const smallest = [...capacities].sort((a, b) => a[1] - b[1] || a[0] - b[0])[0];
  if (!smallest) return nextInTurn;
  const [smallestShard, smallestCapacity] = smallest;
  const lead = (capacities.get(nextInTurn) ?? 0) - smallestCapacity;
  return lead > MAX_IMBALANCE ? smallestShard : nextInTurn;
}

/**
 * Capacities in the largest machines there are, by CPUs or GPUs, of whichever a shard has more. Not by memory: small
 * machines often have as much as large ones, which says little about the work that they can take.
 */
function relativeCapacities(
  { types, registeredMachines }: ShardChoiceDependencies,
  shards: readonly ShardId[],
): Map<ShardId, number> {
  const largest = types.size > 0 ? { ...largestOf(types.values()), memoryGb: 0 } : ONE_CPU;
  return new Map(
    shards.map(
      (shard) => [shard, dominantShare(registeredMachines.capacity(shard, types), largest)] as const,
    ),
  );
}
