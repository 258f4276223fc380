/** One run: the real controllers on a modelled outside, from one scenario and one seed. */
import { pino } from 'pino';
import { silentLog, type Log } from '../log.js';
import { SHARDS_PREFIX } from '../shards/codec.js';
import { parseSettings } from '../settings/settings.js';
import type { LogLevel } from '../settings/settings.js';
import { Arrivals } from './arrivals.js';
import { EventQueue, Host } from './clock.js';
import { Cloud, type CloudType } from './cloud.js';
import { ControllerNode, type Surroundings } from './controllers.js';
import type { Defect, Defects } from './defects.js';
import { FaultSchedule } from './faults.js';
import { Gangs } from './gangs.js';
import { JobStorage } from './jobs.js';
import { Judge, type Rule, type Violation } from './judge.js';
import { LoadBalancer } from './load-balancer.js';
import { Machines, WorkerLinks } from './machines.js';
import { Network } from './network.js';
import type { MachineFacts, Observer } from './observer.js';
import { RandomStream } from './random.js';
import type { Scenario } from './scenario.js';
import { settingsText } from './settings-text.js';
import { StateService } from './state-service.js';
import type { TransactionBody } from './state-store.js';
import { Trace } from './trace.js';
import { Users } from './users.js';

const MOST_DRIFT = 0.0005;
/** Between the starts of controllers and machines at the beginning. */
const START_SPREAD_MS = 400;

export interface SimulationOptions {
  readonly seed: number;
  readonly untilS?: number;
  /** Keeps the lines of the trace, not only their hash. */
  readonly keepTrace?: boolean;
  /** Ends the run as soon as one of these rules is broken. */
  readonly stopAt?: readonly Rule[];
  /** Controllers' logs go to standard error at this level; none: no logs. */
  readonly logLevel?: LogLevel;
  readonly defects?: readonly Defect[];
}

export interface SimulationResult {
  readonly scenario: string;
  readonly seed: number;
  readonly simulatedS: number;
  readonly events: number;
  /** Hash over the whole history. */
  readonly hash: string;
  readonly violations: readonly Violation[];
  readonly figures: Readonly<Record<string, number>>;
  readonly trace: readonly string[];
}

export class Simulation {
  readonly queue = new EventQueue();
  readonly trace: Trace;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly judge: Judge;
  readonly machines: Machines;
  readonly nodes: readonly ControllerNode[];
  readonly users: Users;
  readonly arrivals: Arrivals;
  readonly faults: FaultSchedule;
  readonly links = new WorkerLinks();
  readonly stateHost: Host;
  readonly userHost: Host;
  /** Share of the jobs that end that are called off at the moment of the end. */
  cancelAtEnd = 0;
  private readonly cloudHost: Host;
  private readonly random: RandomStream;
  private readonly storage = new JobStorage();
  private readonly completed = new Map<string, number>();

  constructor(
    readonly scenario: Scenario,
    private readonly options: SimulationOptions,
  ) {
    const { queue } = this;
    const { deployment } = scenario;
    this.random = new RandomStream(options.seed);
    this.trace = new Trace(queue, options.keepTrace ?? false);
    this.stateHost = new Host('state', null, queue);
    this.cloudHost = new Host('cloud', null, queue);
    this.userHost = new Host('users', null, queue);
    this.network = this.buildNetwork();
    const defects: Defects = new Set(options.defects ?? []);
    this.state = this.buildState(defects);
    this.cloud = this.buildCloud();
    this.judge = this.buildJudge();
    const observer = this.observer();
    this.nodes = this.buildNodes();
    this.machines = new Machines({
      queue,
      random: this.random.fork('machines'),
      network: this.network,
      trace: this.trace,
      observer,
      storage: this.storage,
      gangs: this.buildGangs(observer),
      nodes: this.nodes,
      times: { reportMs: deployment.report_s * 1000, leaseMs: deployment.lease_s * 1000 },
      defects,
      links: this.links,
      cloud: () => this.cloud,
    });
    this.users = this.buildUsers(observer);
    this.arrivals = new Arrivals(queue, this.random.fork('arrivals'), (job, cancelAfterMs) => {
      this.trace.add(`job ${job.id} arrives (${job.class}, ${job.tasks} tasks)`);
      void this.users.follow(job, cancelAfterMs);
    });
    this.faults = new FaultSchedule(this, this.random.fork('faults'));
  }

  private buildNetwork(): Network {
    const { same_zone_ms, cross_zone_ms, jitter, loss } = this.scenario.deployment.network;
    const options = { sameZoneMs: same_zone_ms, crossZoneMs: cross_zone_ms, jitter, loss };
    return new Network(this.queue, options, this.random.fork('network'));
  }

  private buildState(defects: Defects): StateService {
    const { rps, write_rps, value_kb, txn_ops } = this.scenario.deployment.state;
    const limits = { rps, writeRps: write_rps, valueKb: value_kb, txnOps: txn_ops };
    const state = new StateService(this.queue, limits, this.random.fork('state'), defects);
    state.onCommit = (body, from) => this.committed(body, from);
    return state;
  }

  private buildCloud(): Cloud {
    const { types, zones, cloud } = this.scenario.deployment;
    const list: CloudType[] = types.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      gpus: t.gpus,
      memoryGb: t.memory_gb,
      cacheGb: t.cache_gb,
      fetchGbPerS: t.fetch_gb_per_s,
      price: t.price,
      spotPrice: t.spot_price,
      bootS: t.boot_s,
      zones: t.zones ?? zones,
    }));
    return new Cloud(
      this.queue,
      { types: list, rps: cloud.rps, listLagS: cloud.list_lag_s, capacity: cloud.capacity },
      this.random.fork('cloud'),
      this.trace,
      (m) => this.machines.boot(m),
      (m) => this.machines.gone(m),
    );
  }

  private buildJudge(): Judge {
    const { teams, cancel_s } = this.scenario.deployment;
    const judge = new Judge(this.queue, {
      teams: teams.map((t) => ({ name: t.name, cpusMax: t.cpus_max, gpusMax: t.gpus_max })),
      cancelS: cancel_s,
      machines: () => this.machines.views(),
    });
    judge.onViolation = (v) => {
      this.trace.add(`BROKEN ${v.rule}: ${v.detail}`);
      if (this.options.stopAt?.includes(v.rule)) this.queue.stop();
    };
    return judge;
  }

  private buildGangs(observer: Observer): Gangs {
    const { gang_wait_s, gang_peer_s } = this.scenario.deployment;
    return new Gangs({
      queue: this.queue,
      random: this.random.fork('gangs'),
      storage: this.storage,
      trace: this.trace,
      observer,
      times: { waitMs: gang_wait_s * 1000, peerMs: gang_peer_s * 1000 },
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
            pino.destination({ fd: 2, sync: true }),
          );
    const around = (name: string): Surroundings => ({
      queue: this.queue,
      network: this.network,
      trace: this.trace,
      log: openLog(name),
      state: { host: this.stateHost, serve: (from, call, reply) => this.state.serve(from, call, reply) },
      cloud: { host: this.cloudHost, serve: (call, reply) => this.cloud.serve(call, reply) },
      machine: (address) => this.machines.at(address),
      node: (other) => this.nodes.find((n) => n.name === other),
      tuning: deployment.properties,
    });
    return deployment.controllers.map((_, i) => {
      const name = `n${i}`;
      const settings = parseSettings(settingsText(deployment, i), `${name}.toml`);
      return new ControllerNode(name, settings, random.between(0, MOST_DRIFT), around(name));
    });
  }

  private buildUsers(observer: Observer): Users {
    const { queue, network, trace } = this;
    const random = this.random.fork('balancer');
    const balancer = new LoadBalancer(this.nodes, this.userHost, queue, network, random);
    return new Users(queue, balancer, this.random.fork('users'), trace, observer, this.storage, {
      controllers: this.nodes.length,
      onEvent: (name) => this.faults.happened({ name }),
    });
  }

  /** Passes on to the judge what it sees, and to the faults what they may wait for. */
  private observer(): Observer {
    const { judge } = this;
    return {
      taskStarted: (machine: MachineFacts, task: string) => {
        judge.taskStarted(machine, task);
        this.faults.happened({ name: 'task_started', machine: machine.id });
        if (this.storage.jobOf(task)?.shape === 'gang')
          this.faults.happened({ name: 'gang_gathers', machine: machine.id });
      },
      taskEnded: (machine: MachineFacts, task: string, done: boolean) => {
        judge.taskEnded(machine, task, done);
        if (done) this.countCompleted(task);
      },
      gangStarted: (job) => {
        judge.gangStarted(job);
        const machine = judge.machineOf(`${job}/0`);
        this.faults.happened({ name: 'gang_started', ...(machine === null ? {} : { machine }) });
      },
      gangRejoined: (job, task) => judge.gangRejoined(job, task),
      jobSubmitted: (job) => judge.jobSubmitted(job),
      cancelRequested: (job) => judge.cancelRequested(job),
      answered: (answer) => judge.answered(answer),
    };
  }

  /** A user may call a job off at the very moment at which its last task completes. */
  private countCompleted(task: string): void {
    const job = this.storage.jobOf(task);
    if (!job) return;
    const done = (this.completed.get(job.id) ?? 0) + 1;
    this.completed.set(job.id, done);
    if (done === job.tasks && this.random.chance(this.cancelAtEnd)) this.users.cancel(job.id);
  }

  private committed(body: TransactionBody, from: string): void {
    const keys = (body.apply ?? []).map((a) => a.put ?? a.drop ?? '');
    this.faults.happened({ name: 'commit', node: from, keys });
    if (!keys.some((k) => k.startsWith(SHARDS_PREFIX))) return;
    this.trace.add(`${from} writes ${keys.join(' ')}`);
    this.faults.happened({ name: 'part_claimed', node: from, keys });
    for (const { body: report } of this.links.takeKept())
      for (const node of this.nodes)
        this.queue.after(this.random.between(1, 50), () => this.machines.deliverCopy(node, report));
  }

  startNode(node: ControllerNode): void {
    if (node.host.up) return;
    node.start();
    this.faults.happened({ name: 'controller_started', node: node.name });
  }

  private startMachines(): void {
    const { machines } = this.scenario.deployment;
    const catalog = new Map(this.cloud.types.map((t) => [t.name, t]));
    for (const m of machines) {
      for (let i = 0; i < m.count; i += 1) {
        const type = catalog.get(m.type);
        if (type) this.cloud.create(type, m.zone, m.spot, this.random.between(0, START_SPREAD_MS));
      }
    }
  }

  async run(): Promise<SimulationResult> {
    const { queue, scenario, judge } = this;
    this.startMachines();
    for (const node of this.nodes)
      queue.after(this.random.between(0, START_SPREAD_MS), () => this.startNode(node));
    this.arrivals.start(scenario.load);
    this.faults.start(scenario.faults);
    await queue.run(Math.min(scenario.duration_s, this.options.untilS ?? Infinity) * 1000);
    judge.finish();
    for (const node of this.nodes) node.host.end();
    return {
      scenario: scenario.name,
      seed: this.options.seed,
      simulatedS: queue.now / 1000,
      events: queue.count,
      hash: this.trace.digest(),
      violations: judge.violations,
      figures: {
        ...judge.counts,
        submitted: this.storage.jobs.size,
        machines: this.cloud.machines.size,
        faultsBegun: this.faults.begun,
        refusedForLimits: this.state.tooMany,
      },
      trace: this.trace.lines,
    };
  }
}
