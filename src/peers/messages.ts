/**
 * Messages between controllers, in decoded form; `codec.ts` maps them to the wire format. Messages are only hints: a
 * message that is lost, late, duplicated or sent by an earlier incarnation must not cause anything unsafe.
 */
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

/** Machines of the same instance type and zone that have the same amount free. */
export interface FreeMachines extends Resources {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  /** Number of machines with this amount free. */
  count: number;
}

/** A controller's use of the store's rate limits, in requests and changes per second. */
export interface RateUsage {
  readonly requests: number;
  readonly writes: number;
}

/** The cached images of one machine with their sizes in GB, least recently used first. */
export type CachedImages = readonly (readonly [ImageId, number])[];

/** The part of an announcement about one shard, sent by its leader. */
export interface ShardCapacity {
  readonly shard: ShardId;
  readonly freeMachines: readonly FreeMachines[];
  /** Resources used in the shard, by team. */
  readonly used: ReadonlyMap<TeamId, Resources>;
  /** Quota that the shard could transfer, by team. */
  readonly unusedQuota: ReadonlyMap<TeamId, Resources>;
  /** By image: the capacity that critical tasks can use at once on machines that cache it, including preemption. */
  readonly criticalCapacity: ReadonlyMap<ImageId, Resources>;
  readonly cachedImages: ReadonlyMap<MachineId, CachedImages>;
}

/** Sent to all peers at regular intervals: the state of the controller and of the shards that it leads. */
export interface CapacityAnnouncement {
  readonly kind: 'capacityAnnouncement';
  readonly node: ControllerId;
  readonly incarnation: Incarnation;
  /** Whether the store answers the sender. */
  readonly storeHealthy: boolean;
  readonly rateUsage: RateUsage;
  /** Running tasks by job. */
  readonly runningTasks: ReadonlyMap<JobId, number>;
  /**
   * By shard, the machines that send their heartbeats to the sender because the shard's leader does not answer them.
   */
  readonly redirectedHeartbeats: ReadonlyMap<ShardId, number>;
  /** Machines that the sender has rented and that are not registered yet, with their intended shard. */
  readonly rentedMachines: ReadonlyMap<MachineId, ShardId>;
  readonly shards: readonly ShardCapacity[];
}

/**
 * The reason for a quota request, which determines what the donor shard keeps. `waiting`: for pending tasks; the donor
 * keeps the quota that its own pending tasks need. `reservation`: for a task that has been pending too long; the donor
 * keeps no quota for its own pending tasks. `remainder`: for one task; the donor gives an amount that is too small for
 * any of its own tasks.
 */
export type QuotaTransferPurpose = 'waiting' | 'reservation' | 'remainder';

/** A request of one shard to another for an amount of that shard's quota for a team. */
export interface QuotaTransferRequest extends Resources {
  readonly kind: 'quotaTransferRequest';
  readonly requestingShard: ShardId;
  readonly donorShard: ShardId;
  readonly team: TeamId;
  readonly purpose: QuotaTransferPurpose;
}

/** A cancellation that the sender has seen committed at revision `version` of the store. */
export interface CancellationNotice {
  readonly kind: 'cancellationNotice';
  readonly job: JobId;
  readonly version: Revision;
}

/**
 * A request of one shard for another shard's machines, sent because a gang is too large for the requesting shard.
 * Contains the resources of one task, the machines on which it may run, and the number of tasks that cannot be placed.
 */
export interface MachineRequest extends Resources {
  readonly kind: 'machineRequest';
  readonly requestingShard: ShardId;
  readonly donorShard: ShardId;
  readonly tasks: number;
  /** The instance types on which a task may run. Null means any. */
  readonly types: readonly InstanceTypeId[] | null;
  readonly zone: ZoneId;
  /** Whether spot machines are allowed. */
  readonly spot: boolean;
}

/** Any message from one controller to another. */
export type PeerMessage = CapacityAnnouncement | QuotaTransferRequest | CancellationNotice | MachineRequest;
