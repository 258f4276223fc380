/**
 * Encodes and decodes the announcement of a controller's state and capacity. This is the only module that knows the
 * names on the wire. During an upgrade, two versions read each other's announcements, so fields that a later version
 * adds are optional and are ignored by earlier versions.
 */
import * as v from 'valibot';
import type { Resources } from '../model/resources.js';
import type {
  ControllerId,
  ImageId,
  Incarnation,
  InstanceTypeId,
  JobId,
  MachineId,
  ShardId,
  TeamId,
  ZoneId,
} from '../model/units.js';
import type { CachedImages, CapacityAnnouncement, FreeMachines, ShardCapacity } from './messages.js';

/** Amounts or counts by key. */
const numberByKey = v.record(v.string(), v.number());

/** GPUs and GB of memory by key, sent in addition to the CPUs, because earlier versions only know CPUs. */
const gpusAndMemoryByKey = v.record(v.string(), v.tuple([v.number(), v.number()]));

/** Instance type, zone, spot, free CPUs, GPUs and GB of memory, and the number of machines with this much free. */
const freeMachinesSchema = v.tuple([
  v.string(),
  v.string(),
  v.boolean(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
]);

/** The capacity of one shard. Amounts are CPUs by key; `besides` has the GPUs and memory of the same amounts. */
const shardCapacitySchema = v.object({
  part: v.number(),
  machines: v.array(freeMachinesSchema),
  used: numberByKey,
  spare: numberByKey,
  images: v.record(v.string(), v.array(v.tuple([v.string(), v.number()]))),
  ready: numberByKey,
  besides: v.optional(
    v.object({ used: gpusAndMemoryByKey, spare: gpusAndMemoryByKey, ready: gpusAndMemoryByKey }),
    {
      used: {},
      spare: {},
      ready: {},
    },
  ),
});

/** Wire format of an announcement. */
export const announcementSchema = v.object({
  kind: v.literal('news'),
  node: v.string(),
  incarnation: v.string(),
  stateOk: v.boolean(),
  use: v.object({ requests: v.number(), writes: v.number() }),
  running: numberByKey,
  strays: numberByKey,
  rented: numberByKey,
  parts: v.array(shardCapacitySchema),
});

type SentAnnouncement = v.InferOutput<typeof announcementSchema>;
type SentShardCapacity = v.InferOutput<typeof shardCapacitySchema>;
type SentFreeMachines = v.InferOutput<typeof freeMachinesSchema>;
type GpusAndMemory = v.InferOutput<typeof gpusAndMemoryByKey>;

/** Encodes an announcement for the wire. */
export function encodeAnnouncement(announcement: CapacityAnnouncement): SentAnnouncement {
  return {
    kind: 'news',
    node: announcement.node,
    incarnation: announcement.incarnation,
    stateOk: announcement.storeHealthy,
    use: { requests: announcement.rateUsage.requests, writes: announcement.rateUsage.writes },
    running: Object.fromEntries(announcement.runningTasks),
    strays: Object.fromEntries(announcement.redirectedHeartbeats),
    rented: Object.fromEntries(announcement.rentedMachines),
    parts: announcement.shards.map(encodeShardCapacity),
  };
}

function encodeShardCapacity(capacity: ShardCapacity): SentShardCapacity {
  const { used, unusedQuota, criticalCapacity, cachedImages } = capacity;
  return {
    part: capacity.shard,
    machines: capacity.freeMachines.map(encodeFreeMachines),
    used: encodeCpus(used),
    spare: encodeCpus(unusedQuota),
    ready: encodeCpus(criticalCapacity),
    besides: {
      used: encodeGpusAndMemory(used),
      spare: encodeGpusAndMemory(unusedQuota),
      ready: encodeGpusAndMemory(criticalCapacity),
    },
    images: Object.fromEntries([...cachedImages].map(([machine, images]) => [machine, copyImages(images)])),
  };
}

function copyImages(images: CachedImages): [string, number][] {
  return images.map(([image, sizeGb]) => [image, sizeGb]);
}

function encodeFreeMachines(free: FreeMachines): SentFreeMachines {
  return [free.type, free.zone, free.spot, free.cpus, free.gpus, free.memoryGb, free.count];
}

/** Encodes the CPUs of each amount. */
function encodeCpus(amounts: ReadonlyMap<string, Resources>): Record<string, number> {
  return Object.fromEntries([...amounts].map(([key, amount]) => [key, amount.cpus]));
}

/** Encodes the GPUs and memory of each amount. */
function encodeGpusAndMemory(amounts: ReadonlyMap<string, Resources>): GpusAndMemory {
  return Object.fromEntries([...amounts].map(([key, { gpus, memoryGb }]) => [key, [gpus, memoryGb]]));
}

/** Decodes an announcement from the wire. */
export function decodeAnnouncement(sent: SentAnnouncement): CapacityAnnouncement {
  return {
    kind: 'capacityAnnouncement',
    node: sent.node as ControllerId,
    incarnation: sent.incarnation as Incarnation,
    storeHealthy: sent.stateOk,
    rateUsage: { requests: sent.use.requests, writes: sent.use.writes },
    runningTasks: new Map(Object.entries(sent.running)) as Map<JobId, number>,
    redirectedHeartbeats: new Map(
      Object.entries(sent.strays).map(([shard, machines]) => [Number(shard) as ShardId, machines]),
    ),
    rentedMachines: new Map(Object.entries(sent.rented)) as Map<MachineId, ShardId>,
    shards: sent.parts.map(decodeShardCapacity),
  };
}

function decodeShardCapacity(sent: SentShardCapacity): ShardCapacity {
  return {
    shard: sent.part as ShardId,
    freeMachines: sent.machines.map(decodeFreeMachines),
    used: joinResources<TeamId>(sent.used, sent.besides.used),
    unusedQuota: joinResources<TeamId>(sent.spare, sent.besides.spare),
    criticalCapacity: joinResources<ImageId>(sent.ready, sent.besides.ready),
    cachedImages: new Map(Object.entries(sent.images)) as Map<string, unknown> as Map<
      MachineId,
      CachedImages
    >,
  };
}

function decodeFreeMachines(sent: SentFreeMachines): FreeMachines {
  const [type, zone, spot, cpus, gpus, memoryGb, count] = sent;
  return { type: type as InstanceTypeId, zone: zone as ZoneId, spot, cpus, gpus, memoryGb, count };
}

/** Joins CPUs with GPUs and memory by key. GPUs and memory default to 0 because earlier versions do not send them. */
function joinResources<K extends string>(
  cpusByKey: Record<string, number>,
  gpusAndMemory: GpusAndMemory,
): Map<K, Resources> {
  const join = ([key, cpus]: [string, number]): [K, Resources] => {
    const [gpus, memoryGb] = gpusAndMemory[key] ?? [0, 0];
    return [key as K, { cpus, gpus, memoryGb }];
  };
  return new Map(Object.entries(cpusByKey).map(join));
}
