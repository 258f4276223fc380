/**
 * Chooses the shard for an unregistered machine. All controllers make the same choice from the same settings and
 * registrations, without exchanging messages.
 */
import type { InstanceType } from '../cloud/wire.js';
import { dominantShare, largestPerResource, ZERO } from '../model/resources.js';
import type { Settings } from '../settings/settings.js';
import type { RegisteredMachines } from '../shards/registered-machines.js';
import type { InstanceTypeId, MachineId, ShardId } from '../model/units.js';
import type { Heartbeat } from './wire.js';

/** How much larger than the smallest a shard may be before it is skipped, in machines of the largest type. */
const MAX_IMBALANCE = 1.5;
const ONE_CPU = { ...ZERO, cpus: 1 };

/** The parts of the controller that the choice of a shard uses. */
export interface ShardChoiceDependencies {
  readonly settings: Pick<Settings, 'shard' | 'shards'>;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly registeredMachines: Pick<RegisteredMachines, 'capacity'>;
}

/** Returns the number in a machine's id; machines are numbered in the order in which they were rented. */
export const machineNumber = (id: MachineId): number => Number(/\d+$/.exec(id)?.[0] ?? 0);

/**
 * Chooses among the shards whose controller is in the machine's zone, or among all shards if there are none. The
 * machine number selects the shard (round-robin), so that controllers agree while they register many machines
 * concurrently. If that shard is clearly larger than the smallest one, the smallest is chosen instead.
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
  const excess = (capacities.get(nextInTurn) ?? 0) - smallestCapacity;
  return excess > MAX_IMBALANCE ? smallestShard : nextInTurn;
}

/**
 * Returns the capacity of each shard in units of the largest machine, by CPUs or GPUs, whichever gives the larger
 * number. Memory is ignored: small machines often have as much as large ones, so it says little about how many tasks
 * they can run.
 */
function relativeCapacities(
  { types, registeredMachines }: ShardChoiceDependencies,
  shards: readonly ShardId[],
): Map<ShardId, number> {
  const largest = types.size > 0 ? { ...largestPerResource(types.values()), memoryGb: 0 } : ONE_CPU;
  return new Map(
    shards.map(
      (shard) => [shard, dominantShare(registeredMachines.capacity(shard, types), largest)] as const,
    ),
  );
}
