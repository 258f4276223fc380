/** One simulation run: the real controllers in a simulated cluster, built from one scenario and one seed. */
import { pino } from 'pino';
import { silentLog, type Log } from '../logging/log.js';
import { SHARDS_PREFIX } from '../shards/codec.js';
import { parseSettings } from '../settings/settings.js';
import type { LogLevel, Settings } from '../settings/settings.js';
import { Arrivals } from './arrivals.js';
import { EventQueue, Host } from './clock.js';
import { SimulatedCloud } from './cloud.js';
import type { CloudMachine, SimulatedInstanceType } from './cloud-machine.js';
import { ControllerNode, type ControllerEnvironment } from './controller-node.js';
import type { Defect, Defects } from './defects.js';
import { FaultSchedule } from './fault-schedule.js';
import { GangRegistry } from './gangs.js';
import { JobStorage } from './user-jobs.js';
import { InvariantChecker, type Rule, type Violation } from './invariant-checker.js';
import { LoadBalancer } from './load-balancer.js';
import { SimulatedMachines, WorkerLinks } from './machines.js';
import { Network } from './network.js';
import type { MachineSpec, Observer } from './observer.js';
import { RandomStream } from './random.js';
import type { Scenario } from './scenario.js';
import { formatSettings } from './settings-text.js';
import { StoreService } from './store-service.js';
import type { TransactionBody } from './key-value-table.js';
import { Trace } from './trace.js';
import { Users } from './users.js';

/** Maximum relative rate error of a controller's clock: 0.0005 is 0.05% fast. */
const MAX_CLOCK_DRIFT = 0.0005;
const STDERR_FD = 2;
/** Heartbeats that were held back until the next failover arrive this long after a controller claims a shard. */
const DELAYED_HEARTBEAT_MS = { low: 1, high: 50 };
/** Controllers and machines of the deployment start within this time. */
const START_SPREAD_MS = 400;

/** Options of one run of a scenario. */
export interface SimulationOptions {
  readonly seed: number;
  readonly untilS?: number;
  /** Keeps the lines of the trace in addition to their hash. */
  readonly keepTrace?: boolean;
  /** Ends the run at the first violation of one of these rules. */
  readonly stopOnRules?: readonly Rule[];
  /** Level at which controllers log to standard error; without it they do not log. */
  readonly logLevel?: LogLevel;
  readonly defects?: readonly Defect[];
  /** Replaces simulated time and controllers in runs against real processes. */
  readonly runEnvironment?: RunEnvironment;
}

/** Event queue, controllers and machine addresses of a run in which the controllers are real processes. */
export interface RunEnvironment {
  readonly queue: EventQueue;
  readonly machineAddressPrefix: string;
  createNode(
    index: number,
    settings: Settings,
    environment: ControllerEnvironment,
    simulation: Simulation,
  ): ControllerNode;
  onMachineReady(machine: CloudMachine, simulation: Simulation): void;
  onMachineRemoved(machine: CloudMachine): void;
}

const SIMULATED_ADDRESS_PREFIX = '10.1';

/** Result of a run; its fields are those that `simulate run --json` prints. */
export interface SimulationResult {
  readonly scenario: string;
  readonly seed: number;
  readonly simulatedS: number;
  readonly events: number;
  /** Hash of the whole trace. */
  readonly hash: string;
  readonly violations: readonly Violation[];
  readonly figures: Readonly<Record<string, number>>;
  readonly trace: readonly string[];
}

/** Simulated cluster of one scenario; an instance can run only once. */
export class Simulation {
  readonly queue: EventQueue;
  readonly trace: Trace;
  readonly network: Network;
  readonly storeService: StoreService;
  readonly cloud: SimulatedCloud;
  readonly invariantChecker: InvariantChecker;
  readonly machines: SimulatedMachines;
  readonly nodes: readonly ControllerNode[];
  readonly users: Users;
  readonly arrivals: Arrivals;
  readonly faults: FaultSchedule;
  readonly links: WorkerLinks;
  readonly storeHost: Host;
  readonly userHost: Host;
  /** Share of jobs whose users cancel them at the moment their last task completes. */
  cancelOnCompletionShare = 0;
  readonly cloudHost: Host;
  private readonly random: RandomStream;
  private readonly storage = new JobStorage();
  private readonly completedTasksByJob = new Map<string, number>();

  constructor(
    readonly scenario: Scenario,
    private readonly options: SimulationOptions,
  ) {
    const queue = options.runEnvironment?.queue ?? new EventQueue();
    this.queue = queue;
    this.random = new RandomStream(options.seed);
    this.trace = new Trace(queue, options.keepTrace ?? false);
    this.storeHost = new Host('state', null, queue);
    this.cloudHost = new Host('cloud', null, queue);
    this.userHost = new Host('users', null, queue);
    this.network = this.buildNetwork();
    this.links = new WorkerLinks(scenario.deployment.lease_s * 1000);
    const defects: Defects = new Set(options.defects ?? []);
    this.storeService = this.buildStoreService(defects);
    this.cloud = this.buildCloud();
    this.invariantChecker = this.buildInvariantChecker();
    const observer = this.observer();
    this.nodes = this.buildNodes();
    this.machines = this.buildMachines(observer, defects);
    this.users = this.buildUsers(observer);
    this.arrivals = new Arrivals(queue, this.random.fork('arrivals'), (job, cancelAfterMs) => {
      this.trace.add(`job ${job.id} arrives (${job.class}, ${job.tasks} tasks)`);
      void this.users.runJob(job, cancelAfterMs);
    });
    this.faults = new FaultSchedule(this, this.random.fork('faults'));
  }

  private buildNetwork(): Network {
    const {
      same_zone_ms: sameZoneMs,
      cross_zone_ms: crossZoneMs,
      jitter,
      loss,
    } = this.scenario.deployment.network;
    const options = { sameZoneMs, crossZoneMs, jitter, loss };
    return new Network(this.queue, options, this.random.fork('network'));
  }

  private buildStoreService(defects: Defects): StoreService {
    const { rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps } = this.scenario.deployment.state;
    const limits = { rps, writeRps, valueKb, txnOps };
    const storeService = new StoreService(this.queue, limits, this.random.fork('state'), defects);
    storeService.onCommit = (body, from) => this.onCommit(body, from);
    return storeService;
  }

  private buildCloud(): SimulatedCloud {
    const { types, zones, cloud } = this.scenario.deployment;
    const { runEnvironment } = this.options;
    const instanceTypes: SimulatedInstanceType[] = types.map((type) => ({
      name: type.name,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memory_gb,
      cacheGb: type.cache_gb,
      fetchGbPerS: type.fetch_gb_per_s,
      price: type.price,
      spotPrice: type.spot_price,
      bootS: type.boot_s,
      zones: type.zones ?? zones,
    }));
    return new SimulatedCloud(
      this.queue,
      {
        types: instanceTypes,
        rps: cloud.rps,
        listLagS: cloud.list_lag_s,
        capacity: cloud.capacity,
        addressPrefix: runEnvironment?.machineAddressPrefix ?? SIMULATED_ADDRESS_PREFIX,
      },
      this.random.fork('cloud'),
      this.trace,
      (machine) => {
        this.machines.boot(machine);
        runEnvironment?.onMachineReady(machine, this);
      },
      (machine) => {
        this.machines.remove(machine);
        runEnvironment?.onMachineRemoved(machine);
      },
    );
  }

  private buildInvariantChecker(): InvariantChecker {
    const { teams, cancel_s: cancelS } = this.scenario.deployment;
    const checker = new InvariantChecker(this.queue, {
      teams: teams.map((team) => ({ name: team.name, cpusMax: team.cpus_max, gpusMax: team.gpus_max })),
      cancelS,
      machines: () => this.machines.usableMachines(),
    });
    checker.onViolation = (violation) => {
      this.trace.add(`BROKEN ${violation.rule}: ${violation.detail}`);
      if (this.options.stopOnRules?.includes(violation.rule)) this.queue.stop();
    };
    return checker;
  }

  private buildGangs(observer: Observer): GangRegistry {
    const { gang_wait_s: gangWaitS, gang_peer_s: gangPeerS } = this.scenario.deployment;
    return new GangRegistry({
      queue: this.queue,
      random: this.random.fork('gangs'),
      storage: this.storage,
      trace: this.trace,
      observer,
      times: { startTimeoutMs: gangWaitS * 1000, peerTimeoutMs: gangPeerS * 1000 },
    });
  }

  private buildNodes(): ControllerNode[] {
    const { deployment } = this.scenario;
    const random = this.random.fork('clocks');
    const level = this.options.logLevel;
    const openLog = (name: string): Log =>
      level === undefined
        ? silentLog()
        : pino(
            { level, base: { node: name }, timestamp: () => `,"atS":${this.queue.now / 1000}` },
            pino.destination({ fd: STDERR_FD, sync: true }),
          );
    const buildEnvironment = (name: string): ControllerEnvironment => ({
      queue: this.queue,
      network: this.network,
      trace: this.trace,
      log: openLog(name),
      store: {
        host: this.storeHost,
        serve: (from, call, reply) => this.storeService.serve(from, call, reply),
      },
      cloud: { host: this.cloudHost, serve: (call, reply) => this.cloud.serve(call, reply) },
      findMachine: (address) => this.machines.endpointAt(address),
      findPeer: (other) => this.nodes.find((node) => node.name === other),
      tuning: deployment.properties,
    });
    return deployment.controllers.map((_, index) => {
      const name = `n${index}`;
      const settings = parseSettings(formatSettings(deployment, index), `${name}.toml`);
      const drift = random.between(0, MAX_CLOCK_DRIFT);
      const environment = buildEnvironment(name);
      const { runEnvironment } = this.options;
      return runEnvironment
        ? runEnvironment.createNode(index, settings, environment, this)
        : new ControllerNode(name, settings, drift, environment);
    });
  }

  private buildMachines(observer: Observer, defects: Defects): SimulatedMachines {
    const { report_s: reportS, lease_s: leaseS } = this.scenario.deployment;
    return new SimulatedMachines({
      queue: this.queue,
      random: this.random.fork('machines'),
      network: this.network,
      trace: this.trace,
      observer,
      storage: this.storage,
      gangs: this.buildGangs(observer),
      nodes: this.nodes,
      times: { heartbeatIntervalMs: reportS * 1000, leaseMs: leaseS * 1000 },
      defects,
      links: this.links,
      cloud: () => this.cloud,
    });
  }

  private buildUsers(observer: Observer): Users {
    const { queue, network, trace } = this;
    const random = this.random.fork('balancer');
    const balancer = new LoadBalancer(this.nodes, this.userHost, queue, network, random);
    return new Users(queue, balancer, this.random.fork('users'), trace, observer, this.storage, {
      controllers: this.nodes.length,
      onEvent: (name) => this.faults.onEvent({ name }),
    });
  }

  /** Forwards observations to the invariant checker, and events that can trigger faults to the fault schedule. */
  private observer(): Observer {
    const { invariantChecker: checker } = this;
    return {
      taskStarted: (machine: MachineSpec, task: string) => {
        checker.taskStarted(machine, task);
        this.faults.onEvent({ name: 'task_started', machine: machine.id });
        if (this.storage.jobOf(task)?.shape === 'gang')
          this.faults.onEvent({ name: 'gang_gathers', machine: machine.id });
      },
      taskEnded: (machine: MachineSpec, task: string, completed: boolean) => {
        checker.taskEnded(machine, task, completed);
        if (completed) this.countCompletedTask(task);
      },
      gangStarted: (job) => {
        checker.gangStarted(job);
        const machine = checker.machineOf(`${job}/0`);
        this.faults.onEvent({ name: 'gang_started', ...(machine === null ? {} : { machine }) });
      },
      gangRejoined: (job, task) => checker.gangRejoined(job, task),
      jobSubmitted: (job) => checker.jobSubmitted(job),
      cancelRequested: (job) => checker.cancelRequested(job),
      responseReceived: (answer) => checker.responseReceived(answer),
    };
  }

  /** Counts completed tasks; a user may cancel a job at the moment its last task completes. */
  private countCompletedTask(task: string): void {
    const job = this.storage.jobOf(task);
    if (!job) return;
    const completedCount = (this.completedTasksByJob.get(job.id) ?? 0) + 1;
    this.completedTasksByJob.set(job.id, completedCount);
    if (completedCount === job.tasks && this.random.chance(this.cancelOnCompletionShare))
      this.users.cancel(job.id);
  }

  private onCommit(body: TransactionBody, from: string): void {
    const keys = (body.apply ?? []).map((change) => change.put ?? change.drop ?? '');
    this.faults.onEvent({ name: 'commit', node: from, keys });
    if (!keys.some((key) => key.startsWith(SHARDS_PREFIX))) return;
    this.trace.add(`${from} writes ${keys.join(' ')}`);
    this.faults.onEvent({ name: 'part_claimed', node: from, keys });
    for (const { body: heartbeat } of this.links.takeDelayedHeartbeats())
      for (const node of this.nodes)
        this.queue.after(this.random.within(DELAYED_HEARTBEAT_MS), () =>
          this.machines.deliverHeartbeatCopy(node, heartbeat),
        );
  }

  startNode(node: ControllerNode): void {
    if (node.host.up) return;
    node.start();
    this.faults.onEvent({ name: 'controller_started', node: node.name });
  }

  private startMachines(): void {
    const { machines } = this.scenario.deployment;
    const catalog = new Map(this.cloud.types.map((type) => [type.name, type]));
    for (const group of machines) {
      for (let index = 0; index < group.count; index += 1) {
        const type = catalog.get(group.type);
        if (type) this.cloud.create(type, group.zone, group.spot, this.random.between(0, START_SPREAD_MS));
      }
    }
  }

  async run(): Promise<SimulationResult> {
    const { queue, scenario, invariantChecker: checker } = this;
    this.startMachines();
    for (const node of this.nodes)
      queue.after(this.random.between(0, START_SPREAD_MS), () => this.startNode(node));
    this.arrivals.start(scenario.load);
    this.faults.start(scenario.faults);
    await queue.run(Math.min(scenario.duration_s, this.options.untilS ?? Infinity) * 1000);
    checker.finish();
    for (const node of this.nodes) node.host.stop();
    return {
      scenario: scenario.name,
      seed: this.options.seed,
      simulatedS: queue.now / 1000,
      events: queue.processedEvents,
      hash: this.trace.digest(),
      violations: checker.violations,
      figures: {
        ...checker.counts,
        submitted: this.storage.jobs.size,
        machines: this.cloud.machines.size,
        faultsBegun: this.faults.begunCount,
        refusedForLimits: this.storeService.throttledRequests,
      },
      trace: this.trace.lines,
    };
  }
}
