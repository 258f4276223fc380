/**
 * Messages that controllers send each other, as the code uses them. They are hints: nothing unsafe may follow when one
 * is lost, late, duplicated or sent by an earlier incarnation. `codec.ts` maps them to what goes over the connection.
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
  /** How many machines have this much free. */
  count: number;
}

/** What a controller draws of the store's rate limits: requests and changes a second. */
export interface RateUsage {
  readonly requests: number;
  readonly writes: number;
}

/** The images of one machine and their sizes in GB, the least recently used first. */
export type CachedImages = readonly (readonly [ImageId, number])[];

/** What the leader of a shard tells its peers about it. */
export interface ShardCapacity {
  readonly shard: ShardId;
  readonly freeMachines: readonly FreeMachines[];
  /** What each team's tasks use in the shard. */
  readonly used: ReadonlyMap<TeamId, Resources>;
  /** What the shard can give of each team's quota. */
  readonly unusedQuota: ReadonlyMap<TeamId, Resources>;
  /** What critical tasks could have at once on machines that hold an image, others being preempted. */
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
  /** How many machines of each shard send their heartbeats to the sender, as the shard's leader does not answer them. */
  readonly redirectedHeartbeats: ReadonlyMap<ShardId, number>;
  /** Machines that the sender has rented and that are not registered yet, with the shard that they are meant for. */
  readonly rentedMachines: ReadonlyMap<MachineId, ShardId>;
  readonly shards: readonly ShardCapacity[];
}

/**
 * Why quota is asked for, which decides what the shard that is asked keeps. `waiting`: for pending tasks; it keeps what its
 * own pending tasks need. `reservation`: for a task that has been pending too long; it keeps nothing for its own pending
 * tasks. `remainder`: for one task, from an amount that is too small for any task of its own.
 */
export type QuotaTransferPurpose = 'waiting' | 'reservation' | 'remainder';

/** A shard asks another for an amount of that one's quota of a team. */
export interface QuotaTransferRequest extends Resources {
  readonly kind: 'quotaTransferRequest';
  readonly from: ShardId;
  readonly to: ShardId;
  readonly team: TeamId;
  readonly purpose: QuotaTransferPurpose;
}

/** A cancellation that its sender has seen committed, at this revision of the store. */
export interface CancellationNotice {
  readonly kind: 'cancellationNotice';
  readonly job: JobId;
  readonly version: Revision;
}

/**
 * A shard asks another for machines, since one of its gangs is larger than the shard: the resources of one task, the
 * machines on which it may run, and the number of tasks that cannot be placed.
 */
export interface MachineRequest extends Resources {
  readonly kind: 'machineRequest';
  readonly from: ShardId;
  readonly to: ShardId;
  readonly tasks: number;
  /** The instance types on which a task may run; null: any. */
  readonly types: readonly InstanceTypeId[] | null;
  readonly zone: ZoneId;
  /** Spot machines are allowed. */
  readonly spot: boolean;
}

/** Any message from one controller to another. */
export type PeerMessage = CapacityAnnouncement | QuotaTransferRequest | CancellationNotice | MachineRequest;
