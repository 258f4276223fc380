/** One controller: wires the slices to each other and to the network, and keeps them turning. */
import { randomBytes } from 'node:crypto';
import { CloudClient } from './cloud/client.js';
import { Core } from './core.js';
import { InstanceTypeCatalog } from './fleet/catalog.js';
import { Autoscaler } from './fleet/fleet.js';
import { assignJob } from './overflow/assignment.js';
import { composeAnnouncement, receive, refreshFreeCapacity, zoneOfPart } from './overflow/announcement.js';
import { seededRandom } from './overflow/peer-ranking.js';
import { HttpClient, Sockets } from './http/client.js';
import { serve, type Answer, type Handler, type Request } from './http/server.js';
import { decodeTime, SharedTime, TimeKeeper } from './jobs/age.js';
import { ProgressWriter } from './jobs/progress.js';
import { LIVE } from './jobs/codec.js';
import type { Assignment } from './jobs/record.js';
import { JobService } from './jobs/service.js';
import { Priority, type JobSpec } from './jobs/spec.js';
import type { Log } from './log.js';
import { openMesh, type Mesh } from './mesh/mesh.js';
import type { Resources } from './model/resources.js';
import { encodePeerMessage } from './peers/codec.js';
import type { CancellationNotice } from './peers/messages.js';
import { statisticsOf } from './shards/statistics.js';
import { syncJob } from './shards/model.js';
import { ShardLeadership } from './leadership/leadership.js';
import { ALIVE, decodeMachine, FOLLOWED, MACHINES, SHARDS, TIME_KEY } from './shards/records.js';
import { RuntimeEstimator } from './placement/runtimes.js';
import { Scheduler } from './placement/scheduler.js';
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
} from './units.js';
import { millis } from './units.js';
import { DIRECT_CALL_SHARE, type WorkerLink } from './workers/clients.js';
import { WorkerService } from './workers/service.js';

const TICK = millis(200);
/** What walks over all machines is done at this interval, not on every event. */
const REVIEW = 1000;
const FIGURES = 10_000;
/** New jobs are placed by what is free here at most this long ago. */
const OFFERS_AGE = 100;
const ALONE_AFTER = millis(4500);
const WORSE_FOR = 2500;
/** Kept for what we dial ourselves: state service, cloud and peers, and what users hold open besides the machines. */
const RESERVED_SOCKETS = 80;
/** Share of the connections of others that workers may keep open between reports. */
const KEPT_REPORT_SHARE = 0.7;
const REPORT_PATH = '/agent/beat';

/** Everything a controller reaches outside its process; tests put stand-ins here. */
export interface Ports {
  readonly state: Caller;
  readonly stateWatch: Caller;
  readonly cloud: Caller;
  readonly worker: (address: Address) => WorkerLink;
  readonly mesh: (receive: (message: unknown) => void) => Mesh;
  readonly listen: (handler: Handler) => Promise<void>;
  readonly incarnation: () => Incarnation;
}

export function networkPorts(settings: Settings, log: Log): Ports {
  const peers = settings.peers.map((p) => ({ node: p.node, address: p.address }));
  const toWorkers = new Sockets(Math.floor(settings.maxConnections * DIRECT_CALL_SHARE));
  const maxConnections = Math.max(16, settings.maxConnections - RESERVED_SOCKETS - 2 * toWorkers.kept);
  const options = {
    maxConnections,
    // A controller that is left alone may have more machines than sockets: they take turns.
    turns: {
      crowdedAt: Math.floor(maxConnections * KEPT_REPORT_SHARE),
      mayCloseAfter: (path: string) => path === REPORT_PATH,
    },
    receive: millis(10_000),
    // What hundreds of machines leave behind in a cut is closed before they come back with new connections.
    idle: millis(Math.max(30_000, settings.reportS * 5000)),
    answer: millis(4500),
  };
  return {
    state: new HttpClient(settings.state, 12),
    stateWatch: new HttpClient(settings.state, 2, 64 * 1024 * 1024),
    cloud: new HttpClient(settings.cloud, 3),
    worker: (address) => new HttpClient(address, 2, 1024 * 1024, toWorkers),
    mesh: (receive) => openMesh(settings.meshListen, peers, receive, log),
    listen: async (handler) => {
      await serve(settings.listen, handler, options, log);
    },
    incarnation: () => randomBytes(6).toString('hex') as Incarnation,
  };
}

export class Controller {
  private readonly core: Core;
  private readonly ownership: ShardLeadership;
  private readonly workers: WorkerService;
  private readonly jobs: JobService;
  private readonly scheduler: Scheduler;
  private readonly quota: QuotaTransferService;
  private readonly fleet: Autoscaler;
  private readonly progress: ProgressWriter;
  private readonly timeKeeper: TimeKeeper;
  private readonly follower: StoreWatcher;
  private worseSince: SteadyMs | null = null;
  private lastNews = -1e12;
  private lastOffers = -1e12;
  private lastReview = -1e12;
  private lastFigures = -1e12;

  constructor(
    settings: Settings,
    tuning: Tuning,
    clock: Clock,
    log: Log,
    private readonly ports: Ports,
  ) {
    const random = seededRandom(tuning.seed + settings.part);
    this.core = new Core(settings, tuning, clock, new SharedTime(), log, ports.incarnation(), random);
    const { core } = this;
    const unit = (): number => random(10_000) / 10_000;
    core.state = new KeyValueClient(ports.state, ports.stateWatch, clock, settings, unit);
    core.cloud = new CloudClient(ports.cloud, clock, settings);
    core.view = new StoreCache((key, value, version) => this.onChange(key, value, version));
    const gap = millis(Math.max(25, (settings.parts.length * 1000) / (settings.stateRps * 0.3)));
    this.follower = new StoreWatcher(
      core.state,
      core.view,
      FOLLOWED,
      tuning.followBlock,
      gap,
      clock,
      unit,
      log,
    );
    core.stateHealthy = () => this.follower.healthy;
    const runTimes = new RuntimeEstimator();
    this.ownership = new ShardLeadership(core, (p) => this.workers.workersAnswer(p));
    this.workers = new WorkerService(core, this.ownership, runTimes, ports.worker);
    this.jobs = new JobService(
      core,
      (spec) => this.assign(spec),
      () => this.follower.refresh(),
      (job, version) => {
        const notice: CancellationNotice = { kind: 'cancellationNotice', job, version };
        core.mesh.broadcast(encodePeerMessage(notice));
      },
    );
    this.quota = new QuotaTransferService(core);
    this.fleet = new Autoscaler(
      core,
      runTimes,
      (shard, machine) => this.workers.remove(shard, machine),
      (id) => this.workers.isCandidate(id),
    );
    this.scheduler = new Scheduler(core, this.workers, this.quota, this.fleet, runTimes);
    this.progress = new ProgressWriter(core, (id) => this.jobs.rememberFinal(id, 'done'));
    this.timeKeeper = new TimeKeeper(core);
    core.wake = () => this.scheduler.wake();
  }

  async run(): Promise<void> {
    const { settings, clock, log } = this.core;
    this.core.mesh = this.ports.mesh((m) => this.onMessage(m));
    await this.ports.listen((r) => this.route(r));
    log.info(
      { listen: settings.listen, mesh: settings.meshListen, incarnation: this.core.incarnation },
      'started',
    );
    void this.follower.run();
    void this.ownership.runAlive();
    void new InstanceTypeCatalog(this.core).run();
    void this.fleet.runList();
    const turn = (): void => {
      void this.core.exclusive(() => this.tick());
      clock.after(TICK, turn);
    };
    turn();
  }

  private tick(): void {
    const now = this.core.clock.now();
    this.ownership.tick();
    this.progress.tick();
    this.fleet.tick();
    this.timeKeeper.tick();
    if (now - this.lastReview >= REVIEW) {
      this.lastReview = now;
      for (const shard of this.core.parts.values()) this.workers.expireLeases(shard);
      this.scheduler.transfers.expirePromises();
      this.fleet.review();
      this.workers.closeUnusedClients();
    }
    this.announce(now);
    this.logFigures(now);
    this.core.wake();
  }

  private logFigures(now: SteadyMs): void {
    const { core } = this;
    if (now - this.lastFigures < FIGURES) return;
    this.lastFigures = now;
    for (const shard of core.parts.values()) {
      const share = (team: TeamId): Resources => this.quota.share(shard.id, team);
      core.log.info({ part: shard.id, ...statisticsOf(shard, now, core.reportMs, share) }, 'figures');
    }
  }

  private refreshOffers(now: number): void {
    this.lastOffers = now;
    refreshFreeCapacity(this.core);
  }

  /** Every interval. */
  private announce(now: number): void {
    if (now - this.lastNews < this.core.tuning.checkInterval) return;
    this.lastNews = now;
    this.refreshOffers(now);
    this.borrowLimits();
    const announcement = composeAnnouncement(
      this.core,
      (shard) => this.quota.spare(shard),
      this.ownership.strayCounts(),
    );
    this.core.mesh.broadcast(encodePeerMessage(announcement));
  }

  private onMessage(raw: unknown): void {
    const request = receive(this.core, raw);
    if (request?.kind === 'quotaTransferRequest') void this.quota.answer(request);
    if (request?.kind === 'machineRequest') this.scheduler.transfers.answer(request);
    this.core.wake();
  }

  private onChange(key: string, value: unknown, version: Revision): void {
    if (key.startsWith(LIVE)) this.onJob(key, value, version);
    else if (key.startsWith(SHARDS)) this.ownership.onPart(key, value, version);
    else if (key.startsWith(MACHINES)) {
      const id = key.slice(MACHINES.length) as MachineId;
      const record = value === undefined ? null : decodeMachine(value);
      this.core.registeredMachines.learn(id, record);
      if (record) this.fleet.forget(id);
      this.workers.onMachine(id, record, version);
    } else if (key.startsWith(ALIVE)) this.shareLimits();
    else if (key === TIME_KEY) this.core.time.reached(decodeTime(value), this.core.clock.now());
    this.core.wake();
  }

  private onJob(key: string, value: unknown, version: Revision): void {
    const record = this.core.learnLive(key, value);
    const now = this.core.clock.now();
    if (record === 'unreadable') return;
    const id = key.slice(LIVE.length) as JobId;
    this.scheduler.onRecord(id, record === 'over' ? null : record);
    if (record === 'over') return this.scheduler.stopJob(id);
    const age = this.core.time.age(record.accepted, now);
    for (const shard of this.core.parts.values()) syncJob(shard, record, version, now, false, age);
    if (record.spec.priority === Priority.critical) this.scheduler.hurry();
  }

  /** Controllers that are not alive leave their share of the limits to the others. */
  private shareLimits(): void {
    let alive = 0;
    for (const entry of this.core.view.under(ALIVE)) if (entry) alive += 1;
    this.core.state.share(Math.max(1, Math.min(alive, this.core.settings.parts.length)));
  }

  /** A peer that is alive and silent may be using all of its share. */
  private borrowLimits(): void {
    const { core } = this;
    const own = { requests: core.state.requestRate, writes: core.state.writeRate };
    const uses = core.settings.peers
      .filter((p) => core.isAlive(p.node, null))
      .map((p) => (core.heard(p.node, millis(3000)) ? (core.peers.get(p.node)?.use ?? own) : own));
    core.state.others(uses);
  }

  private homePart(): ShardId {
    const own = this.core.settings.part;
    if (this.core.parts.has(own)) return own;
    return this.core.parts.keys().next().value ?? own;
  }

  private assign(spec: JobSpec): Assignment[] {
    const { core } = this;
    const home = this.homePart();
    const now = core.clock.now();
    if (now - this.lastOffers > OFFERS_AGE) this.refreshOffers(now);
    return assignJob(spec, {
      now,
      home,
      homeZone: zoneOfPart(core, home),
      parts: core.settings.parts,
      zones: core.settings.zones,
      types: [...core.types.values()],
      freeCapacity: core.freeCapacity,
      ready: core.ready,
      random: core.random,
    });
  }

  private route(request: Request): Answer | Promise<Answer> {
    const { method } = request;
    const path = request.path.split('?', 1)[0] ?? '';
    if (path === '/up') return method === 'GET' ? this.up() : notAllowed();
    if (path === REPORT_PATH) return method === 'POST' ? this.workers.report(request.body) : notAllowed();
    if (path === '/v2/runs') return method === 'POST' ? this.jobs.submit(request.body) : notAllowed();
    const job = /^\/v2\/runs\/([^/]+)(\/abort)?$/.exec(path);
    if (job?.[2]) return method === 'POST' ? this.jobs.abort(job[1] ?? '') : notAllowed();
    if (job) return method === 'GET' ? this.jobs.status(job[1] ?? '') : notAllowed();
    return { status: 404, body: { error: 'no such path' } };
  }

  /**
   * Out only when peers are served by the state service and we are not, or when we hear neither it nor any peer: in
   * an outage everybody stays in.
   */
  private up(): Answer {
    const { core } = this;
    const ready = core.view.loaded && core.types.size > 0;
    const stale = core.clock.now() - core.view.confirmed > ALONE_AFTER;
    const heard = [...core.peers].filter(([node]) => core.heard(node, millis(2500)));
    const alone = core.settings.peers.length > 0 && heard.length === 0;
    const worse = stale && (alone || heard.some(([, p]) => p.stateOk));
    // When an outage ends some are served a moment before the others: nobody leaves for that.
    this.worseSince = worse ? (this.worseSince ?? core.clock.now()) : null;
    const cutOff = this.worseSince !== null && core.clock.now() - this.worseSince >= WORSE_FOR;
    if (ready && !cutOff) return { status: 200, body: { ok: true } };
    return { status: 503, body: { error: ready ? 'cut off from the state service' : 'starting' } };
  }
}

const notAllowed = (): Answer => ({ status: 405, body: { error: 'method not allowed' } });
