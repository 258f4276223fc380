/**
 * Maps the announcement of a controller's state and capacity to what goes over the connection: the only module that
 * knows its names there. Two versions read each other's announcements during an upgrade, so what a later version adds is
 * optional and ignored by earlier ones.
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

/** An amount or a count by key. */
const numbers = v.record(v.string(), v.number());

/** GPUs and GB of memory by key, sent beside the CPUs, which are all that earlier versions know. */
const gpusAndMemory = v.record(v.string(), v.tuple([v.number(), v.number()]));

/** Instance type, zone, spot, free CPUs, GPUs and GB of memory, and how many machines have this much free. */
const freeMachines = v.tuple([
  v.string(),
  v.string(),
  v.boolean(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
]);

/** The capacity of one shard: amounts are CPUs by key, with the rest of the same amounts in `besides`. */
const shardCapacity = v.object({
  part: v.number(),
  machines: v.array(freeMachines),
  used: numbers,
  spare: numbers,
  images: v.record(v.string(), v.array(v.tuple([v.string(), v.number()]))),
  ready: numbers,
  besides: v.optional(v.object({ used: gpusAndMemory, spare: gpusAndMemory, ready: gpusAndMemory }), {
    used: {},
    spare: {},
    ready: {},
  }),
});

/** The form of an announcement as it is sent. */
export const announcementSchema = v.object({
  kind: v.literal('news'),
  node: v.string(),
  incarnation: v.string(),
  stateOk: v.boolean(),
  use: v.object({ requests: v.number(), writes: v.number() }),
  running: numbers,
  strays: numbers,
  rented: numbers,
  parts: v.array(shardCapacity),
});

type SentAnnouncement = v.InferOutput<typeof announcementSchema>;
type SentShardCapacity = v.InferOutput<typeof shardCapacity>;
type SentFreeMachines = v.InferOutput<typeof freeMachines>;
type GpusAndMemory = v.InferOutput<typeof gpusAndMemory>;

/** The announcement as it is sent. */
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

/** The CPUs of each amount. */
function encodeCpus(amounts: ReadonlyMap<string, Resources>): Record<string, number> {
  return Object.fromEntries([...amounts].map(([key, amount]) => [key, amount.cpus]));
}

/** What each amount has beside its CPUs. */
function encodeGpusAndMemory(amounts: ReadonlyMap<string, Resources>): GpusAndMemory {
  return Object.fromEntries([...amounts].map(([key, { gpus, memoryGb }]) => [key, [gpus, memoryGb]]));
}

/** The announcement that was sent. */
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

/** Amounts whose GPUs and memory an earlier version did not send have none of them. */
function joinResources<K extends string>(
  cpusByKey: Record<string, number>,
  others: GpusAndMemory,
): Map<K, Resources> {
  const join = ([key, cpus]: [string, number]): [K, Resources] => {
    const [gpus, memoryGb] = others[key] ?? [0, 0];
    return [key as K, { cpus, gpus, memoryGb }];
  };
  return new Map(Object.entries(cpusByKey).map(join));
}
