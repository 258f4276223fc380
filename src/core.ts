/**
 * The shared state of a controller's components: settings, clock and clients, the watch cache, the shards that the
 * controller leads, and what it has learned of machines and peers. Components change shared state only inside
 * `exclusive`.
 */
import { Mutex } from 'async-mutex';
import type { CloudClient } from './cloud/client.js';
import type { InstanceType } from './cloud/wire.js';
import { activeJobKey } from './jobs/codec.js';
import { JobRecordCache } from './jobs/job-record-cache.js';
import type { JobSpec } from './jobs/spec.js';
import { commandLeaseDuration, workerLeaseDuration } from './leadership/command-lease.js';
import { InvariantMonitor } from './logging/invariant-monitor.js';
import type { Log } from './logging/log.js';
import type { Random } from './model/random.js';
import type { Resources } from './model/resources.js';
import { millis } from './model/units.js';
import type {
  Clock,
  ClusterMs,
  ControllerId,
  ImageId,
  Incarnation,
  InstanceTypeId,
  JobId,
  MachineId,
  Millis,
  ShardId,
  SteadyMs,
  TaskIndex,
} from './model/units.js';
import type { FreeCapacity } from './peers/free-capacity.js';
import { PeerDirectory, type ShardAnnouncement } from './peers/peer-directory.js';
import type { PeerTransport } from './peers/peer-transport.js';
import type { Settings, Tuning } from './settings/settings.js';
import { aliveKey, decodeMembership, decodeShardRecord, shardKey, type ShardRecord } from './shards/codec.js';
import type { Shard } from './shards/model.js';
import { RegisteredMachines } from './shards/registered-machines.js';
import { RetiredMachines } from './shards/retired-machines.js';
import type { StoreCache } from './store/cache.js';
import type { CompareAndSwapResult, KeyValueClient } from './store/client.js';
import type { RequestPriority } from './store/rate-limiter.js';
import type { Change, Condition } from './store/wire.js';

const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2000;

/** The cluster clock, which all controllers advance together, as far as this controller knows it. */
export interface ClusterClock {
  /** Records that the cluster clock has reached `count` (milliseconds). */
  advanceTo(count: number, now: SteadyMs): void;
  /** Returns the time of the cluster clock at a time of this process's clock. */
  now(now: SteadyMs): ClusterMs;
  /** Returns how long ago a job was accepted. */
  age(accepted: ClusterMs | null, now: SteadyMs): Millis;
}

/** Dependencies that the composition provides to the components through `Core`. */
export interface CoreDependencies {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  readonly clusterClock: ClusterClock;
  readonly log: Log;
  readonly incarnation: Incarnation;
  readonly random: Random;
  readonly store: KeyValueClient;
  readonly storeCache: StoreCache;
  readonly cloud: CloudClient;
  readonly peerTransport: PeerTransport;
  /** Written only by the instance type catalog; empty until it has read the first list. */
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  /** Whether the store answered the last request of the watch. */
  readonly storeHealthy: () => boolean;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

/** The shared state of one controller process. */
export class Core implements CoreDependencies {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  readonly clusterClock: ClusterClock;
  readonly log: Log;
  readonly incarnation: Incarnation;
  readonly random: Random;
  readonly store: KeyValueClient;
  readonly storeCache: StoreCache;
  readonly cloud: CloudClient;
  readonly peerTransport: PeerTransport;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly storeHealthy: () => boolean;
  readonly requestCycle: () => void;

  /** The shards that this controller leads. */
  readonly shards = new Map<ShardId, Shard>();
  readonly activeJobs = new JobRecordCache();
  readonly peers = new PeerDirectory();
  /** By shard: computed for the shards led here, announced by peers for the others. */
  readonly freeCapacity = new Map<ShardId, FreeCapacity>();
  /** Announcements of shards that other controllers lead. */
  readonly shardAnnouncements = new Map<ShardId, ShardAnnouncement>();
  /** The shard that a rented machine is intended for; a hint until the machine's registration is in the store. */
  readonly intendedShards = new Map<MachineId, ShardId>();
  /** Machines that this controller rented and that are not registered yet, with their shards. */
  readonly unregisteredOwnMachines = new Map<MachineId, ShardId>();
  /** Images (with sizes in GB) on the machines of other shards, used after a failover. */
  readonly imageHints = new Map<MachineId, readonly (readonly [ImageId, number])[]>();
  /** By shard and image: the capacity immediately available to critical jobs on machines that hold the image. */
  readonly criticalCapacityByImage = new Map<ShardId, ReadonlyMap<ImageId, Resources>>();
  /** Machines that are registered in the store, counted by shard. */
  readonly registeredMachines = new RegisteredMachines();
  readonly invariants: InvariantMonitor;
  readonly retiredMachines = new RetiredMachines(this.registeredMachines);

  private readonly mutex = new Mutex();
  private readonly commandLease: Millis;
  private readonly workerLease: Millis;

  constructor(dependencies: CoreDependencies) {
    this.settings = dependencies.settings;
    this.tuning = dependencies.tuning;
    this.clock = dependencies.clock;
    this.clusterClock = dependencies.clusterClock;
    this.log = dependencies.log;
    this.invariants = new InvariantMonitor(dependencies.log);
    this.incarnation = dependencies.incarnation;
    this.random = dependencies.random;
    this.store = dependencies.store;
    this.storeCache = dependencies.storeCache;
    this.cloud = dependencies.cloud;
    this.peerTransport = dependencies.peerTransport;
    this.types = dependencies.types;
    this.storeHealthy = dependencies.storeHealthy;
    this.requestCycle = dependencies.requestCycle;
    this.commandLease = commandLeaseDuration(dependencies.settings);
    this.workerLease = workerLeaseDuration(dependencies.settings);
  }

  /** Runs a change of shared state exclusively. The work must be short and must not wait for anything. */
  exclusive<T>(work: () => T): Promise<T> {
    return this.mutex.runExclusive(work);
  }

  sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => this.clock.after(delay, resolve));
  }

  get heartbeatIntervalMs(): number {
    return this.settings.heartbeatIntervalS * 1000;
  }

  /** How long after its last answered heartbeat a worker may still run tasks. */
  get leaseDurationMs(): number {
    return this.workerLease;
  }

  /** Specifications of ended jobs whose tasks may still be on machines. */
  get recentlyEndedJobs(): ReadonlyMap<JobId, JobSpec> {
    return this.activeJobs.recentlyEnded;
  }

  /**
   * Returns whether this controller may answer heartbeats and send commands now. A job may have been cancelled
   * through another controller since the watch cache was last confirmed: see `commandLeaseDuration`. Must be checked
   * right before sending, after every wait.
   */
  mayCommand(now: SteadyMs): boolean {
    return this.storeCache.loaded && now - this.storeCache.confirmedAt < this.commandLease;
  }

  /** Returns the stored record of a shard, or null if there is none or it cannot be decoded. */
  shardRecord(shard: ShardId): ShardRecord | null {
    const entry = this.storeCache.get(shardKey(shard));
    return entry ? decodeShardRecord(entry.value) : null;
  }

  /**
   * Returns whether a task's result need not be kept anywhere but in the store: the job is a service, its record
   * contains the result, or the job has ended. A job that is not in the cache has ended only if the cache is complete;
   * a job whose record cannot be decoded has not ended.
   */
  isResultRecorded(job: JobId, index: TaskIndex): boolean {
    const record = this.activeJobs.get(job);
    if (record) return record.spec.kind === 'service' || record.done.has(index);
    return this.storeCache.loaded && this.storeCache.get(activeJobKey(job)) === undefined;
  }

  /** Returns whether the store has a record of the job that this process could never decode: the job has not ended. */
  isRecordUnreadable(job: JobId): boolean {
    return !this.activeJobs.has(job) && this.storeCache.get(activeJobKey(job)) !== undefined;
  }

  /** Returns whether the controller's membership key exists, for the given incarnation unless that is null. */
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean {
    const entry = this.storeCache.get(aliveKey(node));
    return entry !== undefined && (incarnation === null || decodeMembership(entry.value) === incarnation);
  }

  /** Returns whether an announcement of the peer arrived within this time. */
  hasAnnouncedWithin(node: ControllerId, within: Millis): boolean {
    return this.peers.hasAnnouncedWithin(node, within, this.clock.now());
  }

  /** Returns the condition of a leader's writes: the shard's record is still the version that the leader knows. */
  leaderCondition(shard: Shard): Condition {
    return { key: shardKey(shard.id), version: shard.version };
  }

  /**
   * Repeats a transaction until its outcome is certain. After an unknown outcome `conflict` may mean that an earlier
   * copy of the same transaction was applied: the caller must check the state of the store.
   */
  async compareAndSwapUntilCertain(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
  ): Promise<Exclude<CompareAndSwapResult, { kind: 'unknown' }>> {
    let uncertain = false;
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      const result = await this.store.compareAndSwap(conditions, changes, priority);
      if (result.kind === 'unknown') uncertain = true;
      // A refusal says nothing about an earlier copy that may still be in transit.
      else if (result.kind !== 'refused' || !uncertain) return result;
      await this.sleep(millis(retryDelayMs * (0.5 + this.random(1000) / 1000)));
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
  }
}
