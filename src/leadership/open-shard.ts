/**
 * Builds the in-memory state of a shard for its new leader: the registered machines, all of them unreconciled, and the
 * tasks of active jobs that are assigned to the shard. Reads the watch cache; the listeners of the cache apply later
 * changes.
 */
import type { InstanceType } from '../cloud/wire.js';
import { activeJobKey } from '../jobs/codec.js';
import type { JobRecord } from '../jobs/record.js';
import type { Log } from '../logging/log.js';
import { decodeMachineRecord, MACHINES_PREFIX, type MachineRecord } from '../shards/codec.js';
import { newMachine, Shard, syncJob, type Machine } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type {
  Clock,
  ClusterMs,
  FencingToken,
  ImageId,
  InstanceTypeId,
  JobId,
  MachineId,
  Millis,
  Revision,
  ShardId,
  SteadyMs,
} from '../model/units.js';

/** The part of the controller that opening a shard uses. */
export interface OpenShardContext {
  readonly clock: Clock;
  readonly log: Pick<Log, 'info'>;
  readonly storeCache: Pick<StoreCache, 'entriesUnder' | 'version' | 'revision' | 'confirmedAt'>;
  /** The shards that this process leads; only this folder adds and removes them. */
  readonly shards: Map<ShardId, Shard>;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly activeJobs: Pick<ReadonlyMap<JobId, JobRecord>, 'values'>;
  /** Images that peers announced for machines of their shards, with sizes in GB. */
  readonly imageHints: ReadonlyMap<MachineId, readonly (readonly [ImageId, number])[]>;
  readonly clusterClock: { age(acceptedAt: ClusterMs | null, now: SteadyMs): Millis };
}

/**
 * Adds a shard to those that this process leads.
 * @param version revision of the shard's record that names this process as leader
 */
export function openShard(
  context: OpenShardContext,
  id: ShardId,
  fencingToken: FencingToken,
  version: Revision,
): void {
  const now = context.clock.now();
  const shard = new Shard(id, fencingToken, version, now, context.types);
  addRegisteredMachines(context, shard, now);
  context.shards.set(id, shard);
  addActiveJobs(context, shard, now);
  context.log.info(
    {
      shard: id,
      fencingToken,
      version,
      completeUpTo: context.storeCache.revision,
      cacheAgeMs: now - context.storeCache.confirmedAt,
      machines: shard.machines.size,
      jobs: shard.jobs.size,
    },
    'leadership acquired',
  );
}

function addRegisteredMachines(context: OpenShardContext, shard: Shard, now: SteadyMs): void {
  for (const entry of context.storeCache.entriesUnder(MACHINES_PREFIX)) {
    const record = decodeMachineRecord(entry.value);
    if (record?.shard !== shard.id) continue;
    const id = entry.key.slice(MACHINES_PREFIX.length) as MachineId;
    const machine = newUnreconciledMachine(id, record, entry.version, now);
    shard.addMachine(machine);
    for (const [image, sizeGb] of context.imageHints.get(id) ?? []) shard.recordImage(machine, image, sizeGb);
  }
}

/** Creates a machine that may run tasks of an earlier leader: its state is unknown until its first heartbeat. */
function newUnreconciledMachine(
  id: MachineId,
  record: MachineRecord,
  registeredVersion: Revision,
  now: SteadyMs,
): Machine {
  const { address, type, zone, spot } = record;
  return newMachine({ id, address, type, zone, spot, addedAt: now, reconciled: false, registeredVersion });
}

function addActiveJobs(context: OpenShardContext, shard: Shard, now: SteadyMs): void {
  for (const record of context.activeJobs.values()) {
    const age = context.clusterClock.age(record.acceptedAt, now);
    syncJob(shard, record, context.storeCache.version(activeJobKey(record.spec.id)), now, true, age);
  }
}
