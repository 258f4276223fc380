/** Counts, by shard and type, the machines that are registered in the store, as records are added and removed. */
import type { InstanceType } from '../cloud/wire.js';
import { addTo, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import type { MachineId, ShardId, InstanceTypeId } from '../model/units.js';
import type { MachineRecord } from './codec.js';

/** Assumed capacity of a machine whose type is not in the catalog. */
const ONE_CPU: Resources = { ...ZERO, cpus: 1 };

/** Tracks the machine records of all shards. */
export class RegisteredMachines {
  private readonly records = new Map<MachineId, MachineRecord>();
  private readonly counts = new Map<ShardId, Map<InstanceTypeId, number>>();

  /** Number of registered machines in all shards. */
  get size(): number {
    return this.records.size;
  }

  /** Applies a record that was read; null: the machine is no longer registered. */
  update(id: MachineId, record: MachineRecord | null): void {
    const previous = this.records.get(id);
    if (previous) this.count(previous, -1);
    if (record) {
      this.records.set(id, record);
      this.count(record, 1);
    } else this.records.delete(id);
  }

  private count({ shard, type }: MachineRecord, sign: 1 | -1): void {
    const types = this.counts.get(shard) ?? new Map<InstanceTypeId, number>();
    this.counts.set(shard, types.set(type, (types.get(type) ?? 0) + sign));
  }

  /** Returns the total capacity of a shard's machines; a machine whose type is not in the catalog counts as one CPU. */
  capacity(shard: ShardId, types: ReadonlyMap<InstanceTypeId, InstanceType>): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const [type, count] of this.counts.get(shard) ?? []) addTo(sum, types.get(type) ?? ONE_CPU, count);
    return sum;
  }
}
