/** One controller: wires the slices to each other and to the network, and keeps them turning. */
import { randomBytes } from 'node:crypto';
import { CloudClient } from './cloud/client.js';
import { Core } from './core.js';
import { InstanceTypeCatalog } from './autoscaling/instance-types.js';
import { Autoscaler } from './autoscaling/autoscaler.js';
import { assignJob } from './overflow/assignment.js';
import {
  composeAnnouncement,
  receiveMessage,
  refreshFreeCapacity,
  zoneForShard,
} from './overflow/announcement.js';
import { seededRandom } from './overflow/peer-ranking.js';
import { HttpClient, KeepAliveLimit } from './http/client.js';
import { startHttpServer, type HttpResponse, type Handler, type HttpRequest } from './http/server.js';
import { decodeClusterTime, ClusterClock, ClusterClockWriter } from './jobs/cluster-clock.js';
import { ProgressWriter } from './jobs/progress.js';
import { ACTIVE_JOBS_PREFIX } from './jobs/codec.js';
import type { Assignment } from './jobs/record.js';
import { JobService } from './jobs/service.js';
import { Priority, type JobSpec } from './jobs/spec.js';
import type { Log } from './logging/log.js';
import { openPeerTransport, type PeerTransport } from './peers/peer-transport.js';
import type { Resources } from './model/resources.js';
import { encodePeerMessage } from './peers/codec.js';
import type { CancellationNotice } from './peers/messages.js';
import { statisticsOf } from './shards/statistics.js';
import { syncJob } from './shards/model.js';
import { ShardLeadership } from './leadership/leadership.js';
import {
  ALIVE_PREFIX,
  decodeMachineRecord,
  WATCHED_PREFIX,
  MACHINES_PREFIX,
  SHARDS_PREFIX,
  TIME_KEY,
} from './shards/codec.js';
import { RuntimeEstimator } from './scheduling/runtime-estimator.js';
import { Scheduler } from './scheduling/scheduler.js';
import { QuotaTransferService } from './quota/transfer-service.js';
import type { Settings, Tuning } from './settings/settings.js';
import { KeyValueClient, type Caller } from './store/client.js';
import { StoreWatcher } from './store/watcher.js';
import { StoreCache } from './store/cache.js';
import type {
  Address,
  Clock,
  Incarnation,
  JobId,
  MachineId,
  ShardId,
  Revision,
  SteadyMs,
  TeamId,
} from './model/units.js';
import { millis } from './model/units.js';
import { DIRECT_CALL_SHARE, type WorkerClient } from './workers/clients.js';
import { WorkerService } from './workers/service.js';

const TICK_INTERVAL = millis(200);
/** What walks over all machines is done at this interval, not on every event. */
const REVIEW_INTERVAL_MS = 1000;
const STATISTICS_INTERVAL_MS = 10_000;
/** New jobs are placed by what is free here at most this long ago. */
const FREE_CAPACITY_MAX_AGE_MS = 100;
const STORE_STALE_AFTER = millis(4500);
const CUT_OFF_GRACE_MS = 2500;
/** Kept for what we dial ourselves: state service, cloud and peers, and what users hold open besides the machines. */
const RESERVED_SOCKETS = 80;
/** Share of the connections of others that workers may keep open between reports. */
const KEPT_WORKER_CONNECTION_SHARE = 0.7;
const HEARTBEAT_PATH = '/agent/beat';

/** Everything a controller reaches outside its process; tests put stand-ins here. */
export interface Ports {
  readonly state: Caller;
  readonly stateWatch: Caller;
  readonly cloud: Caller;
  readonly worker: (address: Address) => WorkerClient;
  readonly mesh: (receive: (message: unknown) => void) => PeerTransport;
  readonly listen: (handler: Handler) => Promise<void>;
  readonly incarnation: () => Incarnation;
}

export function networkPorts(settings: Settings, log: Log): Ports {
  const peers = settings.peers.map((peer) => ({ node: peer.node, address: peer.address }));
  const toWorkers = new KeepAliveLimit(Math.floor(settings.maxConnections * DIRECT_CALL_SHARE));
  const maxConnections = Math.max(
    16,
    settings.maxConnections - RESERVED_SOCKETS - 2 * toWorkers.maxOpenConnections,
  );
  const options = {
    maxConnections,
    // A controller that is left alone may have more machines than sockets: they take turns.
    crowding: {
      crowdedAbove: Math.floor(maxConnections * KEPT_WORKER_CONNECTION_SHARE),
      mayCloseAfter: (path: string) => path === HEARTBEAT_PATH,
    },
    receiveTimeout: millis(10_000),
    // What hundreds of machines leave behind in a cut is closed before they come back with new connections.
    idleTimeout: millis(Math.max(30_000, settings.heartbeatIntervalS * 5000)),
    responseTimeout: millis(4500),
  };
  return {
    state: new HttpClient(settings.storeAddress, 12),
    stateWatch: new HttpClient(settings.storeAddress, 2, 64 * 1024 * 1024),
    cloud: new HttpClient(settings.cloudAddress, 3),
    worker: (address) => new HttpClient(address, 2, 1024 * 1024, toWorkers),
    mesh: (receive) => openPeerTransport(settings.peerListenAddress, peers, receive, log),
    listen: async (handler) => {
      await startHttpServer(settings.listenAddress, handler, options, log);
    },
    incarnation: () => randomBytes(6).toString('hex') as Incarnation,
  };
}

export class Controller {
  private readonly core: Core;
  private readonly leadership: ShardLeadership;
  private readonly workers: WorkerService;
  private readonly jobs: JobService;
  private readonly scheduler: Scheduler;
  private readonly quotaTransfers: QuotaTransferService;
  private readonly autoscaler: Autoscaler;
  private readonly progress: ProgressWriter;
  private readonly timeKeeper: ClusterClockWriter;
  private readonly storeWatcher: StoreWatcher;
  private cutOffSince: SteadyMs | null = null;
  private lastAnnouncementAt = -1e12;
  private freeCapacityRefreshedAt = -1e12;
  private lastReviewAt = -1e12;
  private lastStatisticsAt = -1e12;

  constructor(
    settings: Settings,
    tuning: Tuning,
    clock: Clock,
    log: Log,
    private readonly ports: Ports,
  ) {
    const random = seededRandom(tuning.seed + settings.shard);
    this.core = new Core(settings, tuning, clock, new ClusterClock(), log, ports.incarnation(), random);
    const { core } = this;
    const randomFraction = (): number => random(10_000) / 10_000;
    core.store = new KeyValueClient(ports.state, ports.stateWatch, clock, settings, randomFraction);
    core.cloud = new CloudClient(ports.cloud, clock, settings);
    core.storeCache = new StoreCache((key, value, version) => this.onChange(key, value, version));
    const minWatchInterval = millis(
      Math.max(25, (settings.shards.length * 1000) / (settings.storeRps * 0.3)),
    );
    this.storeWatcher = new StoreWatcher(
      core.store,
      core.storeCache,
      WATCHED_PREFIX,
      tuning.watchTimeout,
      minWatchInterval,
      clock,
      randomFraction,
      log,
    );
    core.storeHealthy = () => this.storeWatcher.healthy;
    const runtimeEstimator = new RuntimeEstimator();
    this.leadership = new ShardLeadership(core, (p) => this.workers.areWorkersReachable(p));
    this.workers = new WorkerService(core, this.leadership, runtimeEstimator, ports.worker);
    this.jobs = new JobService(
      core,
      (spec) => this.assign(spec),
      () => this.storeWatcher.refresh(),
      (job, version) => {
        const notice: CancellationNotice = { kind: 'cancellationNotice', job, version };
        core.peerTransport.broadcast(encodePeerMessage(notice));
      },
    );
    this.quotaTransfers = new QuotaTransferService(core);
    this.autoscaler = new Autoscaler(
      core,
      runtimeEstimator,
      (shard, machine) => this.workers.removeMachine(shard, machine),
      (id) => this.workers.isCandidate(id),
    );
    this.scheduler = new Scheduler(
      core,
      this.workers,
      this.quotaTransfers,
      this.autoscaler,
      runtimeEstimator,
    );
    this.progress = new ProgressWriter(core, (id) => this.jobs.rememberFinal(id, 'done'));
    this.timeKeeper = new ClusterClockWriter(core);
    core.requestCycle = () => this.scheduler.requestCycle();
  }

  async run(): Promise<void> {
    const { settings, clock, log } = this.core;
    this.core.peerTransport = this.ports.mesh((m) => this.onMessage(m));
    await this.ports.listen((r) => this.route(r));
    log.info(
      {
        listen: settings.listenAddress,
        mesh: settings.peerListenAddress,
        incarnation: this.core.incarnation,
      },
      'started',
    );
    void this.storeWatcher.run();
    void this.leadership.runKeepAlive();
    void new InstanceTypeCatalog(this.core).run();
    void this.autoscaler.runListing();
    const runTick = (): void => {
      void this.core.exclusive(() => this.tick());
      clock.after(TICK_INTERVAL, runTick);
    };
    runTick();
  }

  private tick(): void {
    const now = this.core.clock.now();
    this.leadership.tick();
    this.progress.tick();
    this.autoscaler.scaleOutShards();
    this.timeKeeper.tick();
    if (now - this.lastReviewAt >= REVIEW_INTERVAL_MS) {
      this.lastReviewAt = now;
      for (const shard of this.core.shards.values()) this.workers.expireLeases(shard);
      this.scheduler.machineTransfers.expireCordons();
      this.autoscaler.scaleInShards();
      this.workers.closeUnusedClients();
    }
    this.announce(now);
    this.logStatistics(now);
    this.core.requestCycle();
  }

  private logStatistics(now: SteadyMs): void {
    const { core } = this;
    if (now - this.lastStatisticsAt < STATISTICS_INTERVAL_MS) return;
    this.lastStatisticsAt = now;
    for (const shard of core.shards.values()) {
      const shardQuota = (team: TeamId): Resources => this.quotaTransfers.shardQuota(shard.id, team);
      core.log.info(
        { part: shard.id, ...statisticsOf(shard, now, core.heartbeatIntervalMs, shardQuota) },
        'figures',
      );
    }
  }

  private refreshFreeCapacity(now: number): void {
    this.freeCapacityRefreshedAt = now;
    refreshFreeCapacity(this.core);
  }

  /** Every interval. */
  private announce(now: number): void {
    if (now - this.lastAnnouncementAt < this.core.tuning.announcementInterval) return;
    this.lastAnnouncementAt = now;
    this.refreshFreeCapacity(now);
    this.borrowStoreLimits();
    const announcement = composeAnnouncement(
      this.core,
      (shard) => this.quotaTransfers.unusedQuota(shard),
      this.leadership.redirectedHeartbeatCounts(),
    );
    this.core.peerTransport.broadcast(encodePeerMessage(announcement));
  }

  private onMessage(raw: unknown): void {
    const request = receiveMessage(this.core, raw);
    if (request?.kind === 'quotaTransferRequest') void this.quotaTransfers.handleRequest(request);
    if (request?.kind === 'machineRequest') this.scheduler.machineTransfers.handleRequest(request);
    this.core.requestCycle();
  }

  private onChange(key: string, value: unknown, version: Revision): void {
    if (key.startsWith(ACTIVE_JOBS_PREFIX)) this.onJobRecord(key, value, version);
    else if (key.startsWith(SHARDS_PREFIX)) this.leadership.onShardRecord(key, value, version);
    else if (key.startsWith(MACHINES_PREFIX)) {
      const id = key.slice(MACHINES_PREFIX.length) as MachineId;
      const record = value === undefined ? null : decodeMachineRecord(value);
      this.core.registeredMachines.update(id, record);
      if (record) this.autoscaler.forgetPending(id);
      this.workers.onMachineChanged(id, record, version);
    } else if (key.startsWith(ALIVE_PREFIX)) this.divideStoreLimits();
    else if (key === TIME_KEY)
      this.core.clusterClock.reached(decodeClusterTime(value), this.core.clock.now());
    this.core.requestCycle();
  }

  private onJobRecord(key: string, value: unknown, version: Revision): void {
    const record = this.core.updateActiveJob(key, value);
    const now = this.core.clock.now();
    if (record === 'unreadable') return;
    const id = key.slice(ACTIVE_JOBS_PREFIX.length) as JobId;
    this.scheduler.onJobRecord(id, record === 'over' ? null : record);
    if (record === 'over') return this.scheduler.stopJob(id);
    const age = this.core.clusterClock.age(record.acceptedAt, now);
    for (const shard of this.core.shards.values()) syncJob(shard, record, version, now, false, age);
    if (record.spec.priority === Priority.critical) this.scheduler.requestUrgentCycle();
  }

  /** Controllers that are not alive leave their share of the limits to the others. */
  private divideStoreLimits(): void {
    let alive = 0;
    for (const entry of this.core.storeCache.entriesUnder(ALIVE_PREFIX)) if (entry) alive += 1;
    this.core.store.setControllerCount(Math.max(1, Math.min(alive, this.core.settings.shards.length)));
  }

  /** A peer that is alive and silent may be using all of its share. */
  private borrowStoreLimits(): void {
    const { core } = this;
    const own = { requests: core.store.requestRate, writes: core.store.writeRate };
    const uses = core.settings.peers
      .filter((p) => core.isAlive(p.node, null))
      .map((p) =>
        core.heardWithin(p.node, millis(3000)) ? (core.peers.get(p.node)?.storeUsage ?? own) : own,
      );
    core.store.borrowUnusedLimits(uses);
  }

  private homeShard(): ShardId {
    const own = this.core.settings.shard;
    if (this.core.shards.has(own)) return own;
    return this.core.shards.keys().next().value ?? own;
  }

  private assign(spec: JobSpec): Assignment[] {
    const { core } = this;
    const homeShard = this.homeShard();
    const now = core.clock.now();
    if (now - this.freeCapacityRefreshedAt > FREE_CAPACITY_MAX_AGE_MS) this.refreshFreeCapacity(now);
    return assignJob(spec, {
      now,
      homeShard,
      homeZone: zoneForShard(core, homeShard),
      shards: core.settings.shards,
      zones: core.settings.zones,
      types: [...core.types.values()],
      freeCapacity: core.freeCapacity,
      imageCapacity: core.readyCapacity,
      random: core.random,
    });
  }

  private route(request: HttpRequest): HttpResponse | Promise<HttpResponse> {
    const { method } = request;
    const path = request.path.split('?', 1)[0] ?? '';
    if (path === '/up') return method === 'GET' ? this.health() : notAllowed();
    if (path === HEARTBEAT_PATH)
      return method === 'POST' ? this.workers.handleHeartbeat(request.body) : notAllowed();
    if (path === '/v2/runs') return method === 'POST' ? this.jobs.submit(request.body) : notAllowed();
    const job = /^\/v2\/runs\/([^/]+)(\/abort)?$/.exec(path);
    if (job?.[2]) return method === 'POST' ? this.jobs.cancel(job[1] ?? '') : notAllowed();
    if (job) return method === 'GET' ? this.jobs.status(job[1] ?? '') : notAllowed();
    return { status: 404, body: { error: 'no such path' } };
  }

  /**
   * Out only when peers are served by the state service and we are not, or when we hear neither it nor any peer: in
   * an outage everybody stays in.
   */
  private health(): HttpResponse {
    const { core } = this;
    const ready = core.storeCache.loaded && core.types.size > 0;
    const storeStale = core.clock.now() - core.storeCache.confirmedAt > STORE_STALE_AFTER;
    const heardPeers = [...core.peers].filter(([node]) => core.heardWithin(node, millis(2500)));
    const isolated = core.settings.peers.length > 0 && heardPeers.length === 0;
    const worseOffThanPeers = storeStale && (isolated || heardPeers.some(([, p]) => p.storeHealthy));
    // When an outage ends some are served a moment before the others: nobody leaves for that.
    this.cutOffSince = worseOffThanPeers ? (this.cutOffSince ?? core.clock.now()) : null;
    const cutOff = this.cutOffSince !== null && core.clock.now() - this.cutOffSince >= CUT_OFF_GRACE_MS;
    if (ready && !cutOff) return { status: 200, body: { ok: true } };
    return { status: 503, body: { error: ready ? 'cut off from the state service' : 'starting' } };
  }
}

const notAllowed = (): HttpResponse => ({ status: 405, body: { error: 'method not allowed' } });
