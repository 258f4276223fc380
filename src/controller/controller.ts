/**
 * The composition of a controller: connects its components to each other and to the network, and starts them. Only this
 * module knows all components; their behavior is in their own folders.
 */
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { InstanceTypeCatalog } from '../autoscaling/instance-types.js';
import { CloudClient } from '../cloud/client.js';
import type { InstanceType } from '../cloud/wire.js';
import { Core } from '../core.js';
import { ClusterClock, ClusterClockWriter } from '../jobs/cluster-clock.js';
import { ProgressWriter } from '../jobs/progress.js';
import { JobService } from '../jobs/service.js';
import { ShardLeadership } from '../leadership/leadership.js';
import type { Log } from '../logging/log.js';
import { seededRandom } from '../model/random.js';
import { millis, type Clock, type InstanceTypeId, type Millis } from '../model/units.js';
import { QuotaTransferService } from '../quota/transfer-service.js';
import { RuntimeEstimator } from '../scheduling/runtime-estimator.js';
import { Scheduler } from '../scheduling/scheduler.js';
import type { Settings, Tuning } from '../settings/settings.js';
import { WATCHED_PREFIX } from '../shards/codec.js';
import { StoreCache } from '../store/cache.js';
import { KeyValueClient } from '../store/client.js';
import { StoreWatcher } from '../store/watcher.js';
import { WorkerService } from '../workers/service.js';
import { HealthCheck } from './health.js';
import { JobAssigner } from './job-assignment.js';
import { DeferredPeerTransport, PeerMessages } from './peer-messages.js';
import { PeriodicWork } from './periodic-work.js';
import type { Ports } from './ports.js';
import { routeRequests } from './routes.js';
import { StoreChangeDispatcher } from './store-changes.js';

const MIN_WATCH_INTERVAL_MS = 25;
/** Share of the store's request rate limit that the watches of all controllers together may use. */
const WATCH_REQUEST_SHARE = 0.3;
/** Resolution of random fractions. */
const RANDOM_FRACTION_STEPS = 10_000;

/** Returns the minimum time between two watches that return changes: limits the requests while the store is busy. */
function minWatchInterval({ shards, storeRps }: Settings): Millis {
  return millis(Math.max(MIN_WATCH_INTERVAL_MS, (shards.length * 1000) / (storeRps * WATCH_REQUEST_SHARE)));
}

/** A controller, in a process of its own or in a simulation. */
export class Controller {
  private readonly core: Core;
  private readonly instanceTypes = new Map<InstanceTypeId, InstanceType>();
  private readonly peerTransport = new DeferredPeerTransport();
  private readonly storeWatcher: StoreWatcher;
  private readonly leadership: ShardLeadership;
  private readonly workers: WorkerService;
  private readonly jobs: JobService;
  private readonly scheduler: Scheduler;
  private readonly autoscaler: Autoscaler;
  private readonly peerMessages: PeerMessages;
  private readonly storeChanges: StoreChangeDispatcher;
  private readonly periodicWork: PeriodicWork;

  constructor(
    settings: Settings,
    tuning: Tuning,
    clock: Clock,
    log: Log,
    private readonly ports: Ports,
  ) {
    this.core = this.createCore(settings, tuning, clock, log);
    this.storeWatcher = this.createStoreWatcher();
    const { core } = this;
    const runtimeEstimator = new RuntimeEstimator();
    const jobAssigner = new JobAssigner(core);
    const quotaTransfers = new QuotaTransferService(core);
    this.leadership = new ShardLeadership(core, (shard) => this.workers.areWorkersReachable(shard));
    this.workers = new WorkerService(core, this.leadership, runtimeEstimator, ports.worker);
    this.jobs = this.createJobService(jobAssigner);
    this.autoscaler = this.createAutoscaler(runtimeEstimator);
    this.scheduler = new Scheduler(core, this.workers, quotaTransfers, this.autoscaler, runtimeEstimator);
    const { leadership, workers, scheduler, autoscaler } = this;
    const { machineTransfers } = scheduler;
    this.storeChanges = new StoreChangeDispatcher(core, { leadership, workers, scheduler, autoscaler });
    this.peerMessages = new PeerMessages(core, {
      leadership,
      machineTransfers,
      quotaTransfers,
      jobAssigner,
    });
    this.periodicWork = new PeriodicWork(core, {
      leadership,
      progress: new ProgressWriter(core, (job) => this.jobs.rememberFinal(job, 'done')),
      clusterClockWriter: new ClusterClockWriter(core),
      autoscaler,
      workers,
      machineTransfers,
      scheduler,
      quotaTransfers,
      peerMessages: this.peerMessages,
    });
  }

  /** Listens for peers, users and workers, and starts the loops that run for as long as the process. */
  async run(): Promise<void> {
    const { core, ports } = this;
    const { settings, log, incarnation } = core;
    this.peerTransport.open(ports.mesh((message) => this.peerMessages.receive(message)));
    const health = new HealthCheck(core);
    await ports.listen(routeRequests({ health, workers: this.workers, jobs: this.jobs }));
    log.info(
      { listen: settings.listenAddress, peerListen: settings.peerListenAddress, incarnation },
      'started',
    );
    this.startLoops();
  }

  /** Starts the loops without awaiting them: they end with the process. */
  private startLoops(): void {
    void this.storeWatcher.run();
    void this.leadership.runKeepAlive();
    void new InstanceTypeCatalog(this.core, this.instanceTypes).run();
    void this.autoscaler.runListing();
    this.periodicWork.start();
  }

  /** Creates the shared state. Its callbacks look up the other components when called, as these are created later. */
  private createCore(settings: Settings, tuning: Tuning, clock: Clock, log: Log): Core {
    const { ports } = this;
    const random = seededRandom(tuning.seed + settings.shard);
    return new Core({
      settings,
      tuning,
      clock,
      clusterClock: new ClusterClock(),
      log,
      incarnation: ports.incarnation(),
      random,
      store: new KeyValueClient(ports.state, ports.stateWatch, clock, settings, () => this.randomFraction()),
      storeCache: new StoreCache(
        (key, value, version) => this.storeChanges.dispatch(key, value, version),
        (revision) => this.storeChanges.confirm(revision),
      ),
      cloud: new CloudClient(ports.cloud, clock, settings),
      peerTransport: this.peerTransport,
      types: this.instanceTypes,
      storeHealthy: () => this.storeWatcher.healthy,
      requestCycle: () => this.scheduler.requestCycle(),
    });
  }

  private createAutoscaler(runtimeEstimator: RuntimeEstimator): Autoscaler {
    return new Autoscaler(
      this.core,
      runtimeEstimator,
      (shard, machine) => this.workers.removeMachine(shard, machine),
      (machine) => this.workers.isCandidate(machine),
    );
  }

  private createJobService(jobAssigner: JobAssigner): JobService {
    return new JobService(
      this.core,
      (spec) => jobAssigner.assign(spec),
      () => this.storeWatcher.refresh(),
      (job, version) => this.peerMessages.announceCancellation(job, version),
    );
  }

  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  private randomFraction(): number {
    return this.core.random(RANDOM_FRACTION_STEPS) / RANDOM_FRACTION_STEPS;
  }

  private createStoreWatcher(): StoreWatcher {
    const { store, storeCache, tuning, settings, clock, log } = this.core;
    return new StoreWatcher(
      store,
      storeCache,
      WATCHED_PREFIX,
      tuning.watchTimeout,
      minWatchInterval(settings),
      clock,
      () => this.randomFraction(),
      log,
    );
  }
}
