/** What the slices of one controller share: settings, clients, the view, the parts it owns. */
import { Mutex } from 'async-mutex';
import type { CloudClient } from './cloud/client.js';
import type { InstanceType } from './cloud/wire.js';
import { decodeRecord, ACTIVE_JOBS_PREFIX } from './jobs/codec.js';
import type { JobRecord } from './jobs/record.js';
import type { JobSpec } from './jobs/spec.js';
import type { Log } from './logging/log.js';
import type { PeerTransport } from './peers/peer-transport.js';
import type { Resources } from './model/resources.js';
import type { Shard } from './shards/model.js';
import { RegisteredMachines } from './shards/registered-machines.js';
import { aliveKey, decodeMembership, decodeShardRecord, shardKey, type ShardRecord } from './shards/codec.js';
import type { FreeCapacity, Random } from './overflow/peer-ranking.js';
import type { Settings, Tuning } from './settings/settings.js';
import type { KeyValueClient, CompareAndSwapResult, StoreUsage } from './store/client.js';
import type { RequestPriority } from './store/rate-limiter.js';
import type { StoreCache } from './store/cache.js';
import type { Change, Condition } from './store/wire.js';
import type {
  Clock,
  ImageId,
  Incarnation,
  JobId,
  MachineId,
  Millis,
  ControllerId,
  ShardId,
  ClusterMs,
  SteadyMs,
  TeamId,
  InstanceTypeId,
} from './model/units.js';
import { millis } from './model/units.js';

/** Beyond any drift between clocks (0.05%) and the steps of timers. */
export const CLOCK_DRIFT_FACTOR = 1.001;
export const TIMING_MARGIN = millis(500);
/** Recently ended jobs whose specs are kept at least. */
const MIN_RECENTLY_ENDED = 500;

/** What a peer last said about itself and its parts. */
export interface PeerStatus {
  readonly heardAt: SteadyMs;
  readonly incarnation: Incarnation;
  readonly storeHealthy: boolean;
  readonly storeUsage: StoreUsage;
  readonly runningTasks: ReadonlyMap<JobId, number>;
  /** Machines that came to the peer because the owner of their part does not answer them. */
  readonly redirectedHeartbeats: ReadonlyMap<ShardId, number>;
}

export interface ShardAnnouncement {
  readonly expiresAt: SteadyMs;
  readonly usage: ReadonlyMap<TeamId, Resources>;
  readonly unusedQuota: ReadonlyMap<TeamId, Resources>;
}

export interface LiveJob {
  readonly record: JobRecord;
  readonly version: number;
}

/** Time that the controllers count together, as far as this one knows it. */
export interface ClusterClock {
  /** The count has reached this. */
  reached(count: number, now: SteadyMs): void;
  /** The count at a time of this process's clock. */
  now(now: SteadyMs): ClusterMs;
  /** How long ago a job was accepted. */
  age(accepted: ClusterMs | null, now: SteadyMs): Millis;
}

export class Core {
  readonly shards = new Map<ShardId, Shard>();
  readonly types = new Map<InstanceTypeId, InstanceType>();
  readonly activeJobs = new Map<JobId, JobRecord>();
  readonly freeCapacity = new Map<ShardId, FreeCapacity>();
  readonly shardAnnouncements = new Map<ShardId, ShardAnnouncement>();
  readonly peers = new Map<ControllerId, PeerStatus>();
  /** Which part a rented machine is meant for; a hint until the machine is named in the state service. */
  readonly intendedShards = new Map<MachineId, ShardId>();
  /** Those of them that we rented, until they are named. */
  readonly unregisteredOwnMachines = new Map<MachineId, ShardId>();
  /** Which images peers' machines hold, for whoever takes a part over. */
  readonly imageHints = new Map<MachineId, readonly (readonly [ImageId, number])[]>();
  /** By part and image: what critical work could have at once where the image is. */
  readonly readyCapacity = new Map<ShardId, ReadonlyMap<ImageId, Resources>>();
  /** Machines that were returned or lost for good. Names are never used again. */
  readonly retiredMachines = new Set<MachineId>();
  /** Specs of jobs that are over, while their tasks may still be on machines. */
  readonly recentlyEndedJobs = new Map<JobId, JobSpec>();
  /** Machines that the state service names, counted by part. */
  readonly registeredMachines = new RegisteredMachines();
  private readonly mutex = new Mutex();
  storeCache!: StoreCache;
  store!: KeyValueClient;
  cloud!: CloudClient;
  peerTransport!: PeerTransport;
  /** Asks for a placement round soon. */
  requestCycle: () => void = () => undefined;
  storeHealthy: () => boolean = () => false;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    readonly clock: Clock,
    readonly clusterClock: ClusterClock,
    readonly log: Log,
    readonly incarnation: Incarnation,
    readonly random: Random,
  ) {}

  /** Short and without I/O: whoever changes shared state does it in here. */
  exclusive<T>(work: () => T): Promise<T> {
    return this.mutex.runExclusive(work);
  }

  sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => this.clock.after(delay, resolve));
  }

  get heartbeatIntervalMs(): number {
    return this.settings.heartbeatIntervalS * 1000;
  }

  get leaseDurationMs(): number {
    return this.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR + TIMING_MARGIN;
  }

  /**
   * May this controller still command? A job may have been cancelled elsewhere since the view was last
   * confirmed, and its tasks must be gone within the cancel time even on a machine whose lease we renew now.
   */
  mayCommand(now: SteadyMs): boolean {
    const limit =
      (this.settings.cancelS - this.settings.leaseS) * 1000 - 2 * TIMING_MARGIN - this.settings.cancelS;
    return this.storeCache.loaded && now - this.storeCache.confirmedAt < limit;
  }

  shardRecord(shard: ShardId): ShardRecord | null {
    const entry = this.storeCache.get(shardKey(shard));
    return entry ? decodeShardRecord(entry.value) : null;
  }

  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean {
    const entry = this.storeCache.get(aliveKey(node));
    return entry !== undefined && (incarnation === null || decodeMembership(entry.value) === incarnation);
  }

  heardWithin(node: ControllerId, within: Millis): boolean {
    const status = this.peers.get(node);
    return status !== undefined && this.clock.now() - status.heardAt < within;
  }

  /** Conditions under which an owner's write may apply: it still owns the part. */
  leaderCondition(shard: Shard): Condition {
    return { key: shardKey(shard.id), version: shard.version };
  }

  /**
   * Sends a transaction until its outcome is certain. `conflict` after an unclear try means: look at what the
   * store holds, it may have been ours that was applied.
   */
  async compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>> {
    let uncertain = false;
    for (let backoffMs = 100; ; backoffMs = Math.min(2000, backoffMs * 2)) {
      const result = await this.store.compareAndSwap(conditions, changes, priority);
      if (result.kind === 'unknown') uncertain = true;
      // A refusal says nothing about an earlier copy that is still on its way.
      else if (result.kind !== 'refused' || !uncertain) return result;
      await this.sleep(millis(backoffMs * (0.5 + this.random(1000) / 1000)));
    }
  }

  /** The view's copy of live job records, decoded once per version. */
  updateActiveJob(key: string, value: unknown): JobRecord | 'over' | 'unreadable' {
    const id = key.slice(ACTIVE_JOBS_PREFIX.length) as JobId;
    const record = value === undefined ? null : decodeRecord(value);
    if (!record && value !== undefined) {
      // Written by a version that we do not understand. The job is not over: whoever runs it goes on.
      this.log.error({ job: id }, 'job record cannot be read');
      return 'unreadable';
    }
    if (record) {
      this.activeJobs.set(id, record);
      this.clusterClock.reached(record.acceptedAt ?? 0, this.clock.now());
    } else {
      const previous = this.activeJobs.get(id);
      this.activeJobs.delete(id);
      if (previous) this.recentlyEndedJobs.set(id, previous.spec);
      // As many jobs may end together as are active, and their tasks are on machines for a while.
      if (this.recentlyEndedJobs.size > Math.max(MIN_RECENTLY_ENDED, this.activeJobs.size))
        this.recentlyEndedJobs.delete(this.recentlyEndedJobs.keys().next().value as JobId);
    }
    return record ?? 'over';
  }
}
