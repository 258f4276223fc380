/**
 * Maps messages between controllers to what goes over the connection. During an upgrade two versions talk to each
 * other: kinds and fields keep these names, and what a later version adds is optional and ignored by earlier ones.
 */
import * as v from 'valibot';
import type { Resources } from '../model/resources.js';
import type {
  ImageId,
  Incarnation,
  JobId,
  MachineId,
  ControllerId,
  Revision,
  ShardId,
  TeamId,
  InstanceTypeId,
  ZoneId,
} from '../model/units.js';
import type {
  CachedImages,
  CancellationNotice,
  CapacityAnnouncement,
  FreeMachines,
  MachineRequest,
  PeerMessage,
  QuotaTransferPurpose,
  QuotaTransferRequest,
  ShardCapacity,
} from './messages.js';

const numbers = v.record(v.string(), v.number());
/** GPUs and GB of memory, beside the CPUs that earlier versions know alone. */
const gpusAndMemory = v.record(v.string(), v.tuple([v.number(), v.number()]));
/** Type, zone, spot, free CPUs, GPUs and GB of memory, and how many machines have this much. */
const freeMachines = v.tuple([
  v.string(),
  v.string(),
  v.boolean(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
]);
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
const capacityAnnouncement = v.object({
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
const quotaTransferRequest = v.object({
  kind: v.literal('ask'),
  from: v.number(),
  to: v.number(),
  team: v.string(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.optional(v.number(), 0),
  purpose: v.optional(v.picklist(['waiting', 'gather', 'remainder']), 'waiting'),
});
const cancellationNotice = v.object({ kind: v.literal('cancelled'), job: v.string(), version: v.number() });
/** Earlier versions do not know this message and ignore it. */
const machineRequest = v.object({
  kind: v.literal('machines'),
  from: v.number(),
  to: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1)),
  types: v.nullable(v.array(v.string())),
  zone: v.string(),
  spot: v.boolean(),
});
const peerMessage = v.variant('kind', [
  capacityAnnouncement,
  quotaTransferRequest,
  cancellationNotice,
  machineRequest,
]);

type SentAnnouncement = v.InferOutput<typeof capacityAnnouncement>;
type SentShardCapacity = v.InferOutput<typeof shardCapacity>;
type SentQuotaTransferRequest = v.InferOutput<typeof quotaTransferRequest>;
type SentCancellationNotice = v.InferOutput<typeof cancellationNotice>;
type SentMachineRequest = v.InferOutput<typeof machineRequest>;
type SentMessage = v.InferOutput<typeof peerMessage>;
type GpusAndMemory = v.InferOutput<typeof gpusAndMemory>;

const SENT_PURPOSE = {
  waiting: 'waiting',
  reservation: 'gather',
  remainder: 'remainder',
} as const satisfies Record<QuotaTransferPurpose, SentQuotaTransferRequest['purpose']>;
const PURPOSE = {
  waiting: 'waiting',
  gather: 'reservation',
  remainder: 'remainder',
} as const satisfies Record<SentQuotaTransferRequest['purpose'], QuotaTransferPurpose>;

/** The message as it is sent. */
export function encodePeerMessage(message: PeerMessage): SentMessage {
  switch (message.kind) {
    case 'capacityAnnouncement':
      return encodeAnnouncement(message);
    case 'quotaTransferRequest':
      return encodeQuotaTransferRequest(message);
    case 'cancellationNotice':
      return { kind: 'cancelled', job: message.job, version: message.version };
    case 'machineRequest':
      return encodeMachineRequest(message);
  }
}

/** null: a message that this version does not understand. Unknown fields are ignored. */
export function decodePeerMessage(sent: unknown): PeerMessage | null {
  const result = v.safeParse(peerMessage, sent);
  if (!result.success) return null;
  const message = result.output;
  switch (message.kind) {
    case 'news':
      return decodeAnnouncement(message);
    case 'ask':
      return decodeQuotaTransferRequest(message);
    case 'cancelled':
      return decodeCancellationNotice(message);
    case 'machines':
      return decodeMachineRequest(message);
  }
}

function encodeAnnouncement(announcement: CapacityAnnouncement): SentAnnouncement {
  return {
    kind: 'news',
    node: announcement.node,
    incarnation: announcement.incarnation,
    stateOk: announcement.storeHealthy,
    use: announcement.rateUsage,
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
    used: cpusOf(used),
    spare: cpusOf(unusedQuota),
    ready: cpusOf(criticalCapacity),
    besides: {
      used: gpusAndMemoryOf(used),
      spare: gpusAndMemoryOf(unusedQuota),
      ready: gpusAndMemoryOf(criticalCapacity),
    },
    images: Object.fromEntries([...cachedImages].map(([machine, images]) => [machine, copyOf(images)])),
  };
}

function copyOf(images: CachedImages): [string, number][] {
  return images.map(([image, gb]) => [image, gb]);
}

function encodeFreeMachines(free: FreeMachines): SentShardCapacity['machines'][number] {
  return [free.type, free.zone, free.spot, free.cpus, free.gpus, free.memoryGb, free.count];
}

function encodeQuotaTransferRequest(request: QuotaTransferRequest): SentQuotaTransferRequest {
  const { from, to, team, cpus, gpus, memoryGb } = request;
  return { kind: 'ask', from, to, team, cpus, gpus, memoryGb, purpose: SENT_PURPOSE[request.purpose] };
}

function encodeMachineRequest(request: MachineRequest): SentMachineRequest {
  const { from, to, cpus, gpus, memoryGb, tasks, zone, spot } = request;
  const types = request.types === null ? null : [...request.types];
  return { kind: 'machines', from, to, cpus, gpus, memoryGb, tasks, types, spot, zone };
}

function cpusOf(amounts: ReadonlyMap<string, Resources>): Record<string, number> {
  return Object.fromEntries([...amounts].map(([key, amount]) => [key, amount.cpus]));
}

function gpusAndMemoryOf(amounts: ReadonlyMap<string, Resources>): GpusAndMemory {
  return Object.fromEntries([...amounts].map(([key, { gpus, memoryGb }]) => [key, [gpus, memoryGb]]));
}

function decodeAnnouncement(sent: SentAnnouncement): CapacityAnnouncement {
  return {
    kind: 'capacityAnnouncement',
    node: sent.node as ControllerId,
    incarnation: sent.incarnation as Incarnation,
    storeHealthy: sent.stateOk,
    rateUsage: sent.use,
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

function decodeFreeMachines(sent: SentShardCapacity['machines'][number]): FreeMachines {
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

function decodeQuotaTransferRequest(sent: SentQuotaTransferRequest): QuotaTransferRequest {
  const { cpus, gpus, memoryGb } = sent;
  return {
    kind: 'quotaTransferRequest',
    from: sent.from as ShardId,
    to: sent.to as ShardId,
    team: sent.team as TeamId,
    cpus,
    gpus,
    memoryGb,
    purpose: PURPOSE[sent.purpose],
  };
}

function decodeCancellationNotice(sent: SentCancellationNotice): CancellationNotice {
  return { kind: 'cancellationNotice', job: sent.job as JobId, version: sent.version as Revision };
}

function decodeMachineRequest(sent: SentMachineRequest): MachineRequest {
  const { cpus, gpus, memoryGb, tasks, spot } = sent;
  return {
    kind: 'machineRequest',
    from: sent.from as ShardId,
    to: sent.to as ShardId,
    cpus,
    gpus,
    memoryGb,
    tasks,
    types: sent.types as InstanceTypeId[] | null,
    zone: sent.zone as ZoneId,
    spot,
  };
}
