/**
 * What the slices of one controller share: its settings, clock and clients, the watch cache, the shards that it leads,
 * and what it has learned of machines and peers. Slices change shared state inside `exclusive` only.
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

/** Time that the controllers count together, as far as this one knows it. */
export interface ClusterClock {
  /** The count has reached this. */
  reached(count: number, now: SteadyMs): void;
  /** The count at a time of this process's clock. */
  now(now: SteadyMs): ClusterMs;
  /** How long ago a job was accepted. */
  age(accepted: ClusterMs | null, now: SteadyMs): Millis;
}

/** What the composition hands to the slices through `Core`. */
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
  /** Written by the instance type catalog alone; empty until it has read the first list. */
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  /** Whether the store answered the last request of the watch. */
  readonly storeHealthy: () => boolean;
  /** Asks for a scheduling cycle soon. */
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
  /** By shard: counted for those led here, announced for the others. */
  readonly freeCapacity = new Map<ShardId, FreeCapacity>();
  /** Of shards that other controllers lead. */
  readonly shardAnnouncements = new Map<ShardId, ShardAnnouncement>();
  /** Which shard a rented machine is meant for; a hint until the store holds the machine's registration. */
  readonly intendedShards = new Map<MachineId, ShardId>();
  /** Machines that this controller rented and that are not registered yet. */
  readonly unregisteredOwnMachines = new Map<MachineId, ShardId>();
  /** Which images the machines of other shards hold, for a failover: image and size in GB. */
  readonly imageHints = new Map<MachineId, readonly (readonly [ImageId, number])[]>();
  /** By shard and image: what critical jobs could have at once on machines that hold the image. */
  readonly criticalCapacityByImage = new Map<ShardId, ReadonlyMap<ImageId, Resources>>();
  /** Machines that the store holds, counted by shard. */
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

  /** Runs a change of shared state alone. The work is short and waits for nothing. */
  exclusive<T>(work: () => T): Promise<T> {
    return this.mutex.runExclusive(work);
  }

  sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => this.clock.after(delay, resolve));
  }

  get heartbeatIntervalMs(): number {
    return this.settings.heartbeatIntervalS * 1000;
  }

  /** How long after a heartbeat was last answered its worker may still run tasks. */
  get leaseDurationMs(): number {
    return this.workerLease;
  }

  /** Specifications of jobs that have ended while their tasks may still be on machines. */
  get recentlyEndedJobs(): ReadonlyMap<JobId, JobSpec> {
    return this.activeJobs.recentlyEnded;
  }

  /**
   * Whether this controller may answer heartbeats and send commands now. A job may have been cancelled through another
   * controller since the watch cache was last confirmed: see `commandLeaseDuration`. Asked for where something is sent,
   * after every wait.
   */
  mayCommand(now: SteadyMs): boolean {
    return this.storeCache.loaded && now - this.storeCache.confirmedAt < this.commandLease;
  }

  /** The stored record of a shard; null when there is none, or none that this version can read. */
  shardRecord(shard: ShardId): ShardRecord | null {
    const entry = this.storeCache.get(shardKey(shard));
    return entry ? decodeShardRecord(entry.value) : null;
  }

  /**
   * Whether the result of a task needs no other trace than the store: the job's record has it, or the job has ended. A job
   * that is not in the cache has ended only if the cache is complete; one whose record cannot be read has not ended.
   */
  isResultRecorded(job: JobId, index: TaskIndex): boolean {
    const record = this.activeJobs.get(job);
    if (record) return record.spec.kind === 'service' || record.done.has(index);
    return this.storeCache.loaded && this.storeCache.get(activeJobKey(job)) === undefined;
  }

  /** Whether the store has a record of the job of which this process has read none: the job has not ended. */
  isRecordUnreadable(job: JobId): boolean {
    return !this.activeJobs.has(job) && this.storeCache.get(activeJobKey(job)) !== undefined;
  }

  /** Whether a controller holds its membership key; with an incarnation, whether that process holds it. */
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean {
    const entry = this.storeCache.get(aliveKey(node));
    return entry !== undefined && (incarnation === null || decodeMembership(entry.value) === incarnation);
  }

  /** Whether an announcement of the peer arrived less than `within` ago. */
  heardWithin(node: ControllerId, within: Millis): boolean {
    return this.peers.heardWithin(node, within, this.clock.now());
  }

  /** The condition under which a leader's write may apply: the shard's record is still the one it acquired. */
  leaderCondition(shard: Shard): Condition {
    return { key: shardKey(shard.id), version: shard.version };
  }

  /**
   * Sends a transaction until its outcome is certain. `conflict` after an unknown outcome means: look at what the
   * store holds, an earlier copy of the same transaction may have been applied.
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
      // A refusal says nothing about an earlier copy that is still on its way.
      else if (result.kind !== 'refused' || !uncertain) return result;
      await this.sleep(millis(retryDelayMs * (0.5 + this.random(1000) / 1000)));
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
  }
}
