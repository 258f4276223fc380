/**
 * A simulated cluster: controllers with a fake store, cloud and workers, a trace of events, and an invariant checker.
 */
import type { Controller } from '../../src/controller/controller.js';
import type { Ports } from '../../src/controller/ports.js';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { HttpResponse, Handler } from '../../src/http/server.js';
import type { Log } from '../../src/logging/log.js';
import type { Settings } from '../../src/settings/settings.js';
import type { Incarnation } from '../../src/model/units.js';
import { WORKING_BUILD, type ControllerBuild } from './controller-builds.js';
import { clockRunningAt, SimulatedClock, flushPromises } from './simulated-clock.js';
import { FakeGangCoordinator } from './fake-gang-coordinator.js';
import { InvariantChecker, type TeamQuota } from './invariant-checker.js';
import { frame } from '../../src/peers/peer-transport.js';
import { RateMeter, FakeStore, type StoreLimits } from './fake-store.js';
import { FakeWorker, type JobBehaviour, type WorkerCommand, type WorkerEnvironment } from './fake-worker.js';

export interface MachineSize {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

const CPU_MACHINES: readonly MachineSize[] = [
  { name: 'small', cpus: 4, gpus: 0, memoryGb: 64 },
  { name: 'large', cpus: 8, gpus: 0, memoryGb: 64 },
];

/** The size and the limits of a deployment. */
export interface ClusterConfig {
  /** The zone of each controller. */
  readonly zones: readonly string[];
  readonly teams: readonly (TeamQuota & { readonly cpus: number; readonly gpus?: number })[];
  /** Default: two machine types without GPUs. */
  readonly machineTypes?: readonly MachineSize[];
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly storeLimits: StoreLimits;
  /** Limits of the state service that take effect later; the settings name them from the start. */
  readonly nextStoreLimits?: Pick<StoreLimits, 'writeRps' | 'valueKb' | 'txnOps'>;
  readonly cloudRps: number;
  readonly connections: number;
  /**
   * Whether workers detect the expiry of their leases to the millisecond, and hanging workers queue the messages that
   * reach them.
   */
  readonly exactLeases?: boolean;
  /** Whether heartbeats are recorded, so that tests can replay them. */
  readonly recordHeartbeats: boolean;
  readonly checkIntervalMs: number;
  readonly machineBootS: number;
  /** The content of the operators' properties file. */
  readonly tuning: string;
}

export const SMALL_CLUSTER: ClusterConfig = {
  zones: ['east', 'west', 'east'],
  teams: ['red', 'blue'].map((name) => ({ name, cpus: 12, cpusMax: 24 })),
  heartbeatIntervalS: 1.5,
  leaseS: 12,
  cancelS: 32,
  storeLimits: { rps: 100, writeRps: 20, valueKb: 4, txnOps: 12, enforced: false },
  cloudRps: 5,
  connections: 1000,
  recordHeartbeats: true,
  checkIntervalMs: 50,
  machineBootS: 5,
  tuning: 'fleet.idle.return.ms = 30000',
};

/** Formats the limits that take effect later as in the settings file. */
const nextLimitsText = (next: ClusterConfig['nextStoreLimits']): string =>
  next
    ? `[facts.state.next]\nwrite_rps = ${next.writeRps}\nvalue_kb = ${next.valueKb}\ntxn_ops = ${next.txnOps}\n`
    : '';

export function settingsText(node: number, config = SMALL_CLUSTER): string {
  const known = config.zones
    .map(
      (zone, nodeIndex) =>
        `[[known]]\nlabel = "n${nodeIndex}"\ndomain = "${zone}"\npeer_addr = "10.0.0.${nodeIndex + 1}:8081"\n`,
    )
    .filter((_, nodeIndex) => nodeIndex !== node)
    .join('\n');
  const teams = config.teams.map(
    (team) =>
      `[[facts.teams]]\nname = "${team.name}"\ncpus = ${team.cpus.toFixed(1)}\ncpus_max = ${team.cpusMax.toFixed(1)}\n` +
      (team.gpusMax === undefined
        ? ''
        : `gpus = ${(team.gpus ?? 0).toFixed(1)}\ngpus_max = ${team.gpusMax.toFixed(1)}\n`),
  );
  const { rps, writeRps, valueKb, txnOps } = config.storeLimits;
  return `label = "n${node}"
domain = "${config.zones[node]}"
bind = "10.0.0.${node + 1}:8080"
mesh_addr = "10.0.0.${node + 1}:8081"
${known}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["east", "west"]
${teams.join('')}[facts.workers]
report_s = ${config.heartbeatIntervalS.toFixed(1)}
lease_s = ${config.leaseS.toFixed(1)}
cancel_s = ${config.cancelS.toFixed(1)}
gang_wait_s = 20.0
gang_peer_s = 4.0
[facts.state]
rps = ${rps}
write_rps = ${writeRps}
value_kb = ${valueKb}
txn_ops = ${txnOps}
${nextLimitsText(config.nextStoreLimits)}[facts.cloud]
rps = ${config.cloudRps}
list_lag_s = 3.0
[facts.quota]
max_connections = ${config.connections}
`;
}

const CHECKPOINT_S = 5;
/** Must equal `gang_wait_s` and `gang_peer_s` in the settings above. */
const GANG_WAIT_MS = 20_000;
const GANG_PEER_MS = 4000;

interface ControllerNode {
  controller: Controller | null;
  handler: Handler | null;
  receiveFromPeer: ((message: unknown) => void) | null;
  incarnation: number;
}

export interface SubmittedJob extends JobBehaviour {
  readonly team: string;
  readonly priority: string;
}

export interface JobOptions {
  readonly tasks?: number;
  readonly team?: string;
  readonly cpus?: number;
  readonly gpus?: number;
  readonly memoryGb?: number;
  readonly runMs?: number;
  readonly service?: boolean;
  readonly gang?: boolean;
  readonly priority?: string;
  readonly spread?: boolean;
  readonly oneZone?: boolean;
  readonly spot?: boolean;
  readonly zone?: string | null;
  readonly fails?: boolean;
  readonly checkpointDurationS?: number;
  readonly image?: string;
  readonly types?: string[] | null;
}

export class SimulatedCluster {
  readonly clock = new SimulatedClock();
  readonly store: FakeStore;
  readonly nodes: ControllerNode[];
  readonly workers = new Map<string, FakeWorker>();
  readonly jobs = new Map<string, SubmittedJob>();
  readonly traceLines: string[] = [];
  readonly violations: string[] = [];
  readonly invariantChecker: InvariantChecker;
  /** The workers' coordination of gang tasks. */
  readonly gangCoordinator = new FakeGangCoordinator(this.clock, GANG_WAIT_MS, GANG_PEER_MS);
  /** Connections that are cut in both directions, such as `n0|m-0` or `n0|n1`. */
  readonly networkCuts = new Set<string>();
  /** Machines whose heartbeats arrive, but which get neither answers nor direct commands. */
  readonly unreachableMachines = new Set<string>();
  /** Machines whose heartbeats are lost, but which answer direct calls. */
  readonly machinesWithLostHeartbeats = new Set<string>();
  /** The heartbeats that each machine has sent, for `replayHeartbeat`. */
  readonly sentHeartbeats = new Map<string, object[]>();
  /** The HTTP statuses of the answers to each machine's heartbeats. */
  readonly heartbeatStatuses = new Map<string, number[]>();
  /** Delay in milliseconds after which a direct call arrives without getting an answer; null for a normal call. */
  commandDelayMs: (node: number, worker: string, call: Call) => number | null = () => null;
  /** Whether a direct call is executed at once and its answer is lost. */
  losesCommandAnswer: (node: number, worker: string, call: Call) => boolean = () => false;
  /** Called when a worker has executed a command, whether from an answer to a heartbeat or from a direct call. */
  onCommandExecuted: (worker: FakeWorker, command: WorkerCommand) => void = () => undefined;
  /** Run times of individual tasks that differ from the run time of their job. */
  readonly taskRunMs = new Map<string, number>();
  /** Whether a hanging machine queues direct commands and executes them in `resume`. */
  hangingQueuesCommands = false;
  private readonly queuedCommands = new Map<string, Call[]>();
  /** Selects the build that a node runs when it starts. */
  buildOf: (node: number) => ControllerBuild = () => WORKING_BUILD;
  /** Creates the log of a node; by default the build's silent log. */
  logOf: (node: number, build: ControllerBuild) => Log = (_, build) => build.silentLog();
  /** Latency between a controller and a worker in one direction, in milliseconds. */
  linkLatencyMs = 1;
  /** Relative speed of the clock of a node or a machine; read when it starts. */
  clockRate: (nodeOrMachine: string) => number = () => 1;
  /** How long it takes to open a connection from a node to a machine, in milliseconds. */
  connectDelayMs: (node: number, worker: string) => number = () => 0;
  /** Called when a node answers a heartbeat with 200 or sends direct commands to a machine. */
  onCommandSent: (node: number, worker: string, channel: 'answer' | 'direct') => void = () => undefined;
  cloudOutage = false;
  cloudCapacity = 0;
  scaleOutRequests: unknown[] = [];
  /** Measured totals and maxima, such as the largest frame between controllers and the most open calls to workers. */
  readonly observed = { maxFrameBytes: 0, messages: 0, maxOpenCalls: 0, deletions: 0, refusedHeartbeats: 0 };
  readonly cloudCalls = new RateMeter(this.clock);
  private readonly openCalls = new Map<number, number>();
  private readonly workerIdByAddress = new Map<string, string>();
  private machineCount = 0;
  private checkedAt = 0;
  private readonly bootedAt = new Map<string, number>();

  constructor(readonly config: ClusterConfig = SMALL_CLUSTER) {
    this.store = new FakeStore(this.clock, config.storeLimits);
    this.invariantChecker = new InvariantChecker(
      () => this.clock.now(),
      config.cancelS * 1000,
      config.teams,
      this.violations,
    );
    this.nodes = config.zones.map(() => ({
      controller: null,
      handler: null,
      receiveFromPeer: null,
      incarnation: 0,
    }));
  }

  private get machineTypes(): readonly MachineSize[] {
    return this.config.machineTypes ?? CPU_MACHINES;
  }

  trace(line: string): void {
    this.traceLines.push(`${this.clock.formatElapsed()}  ${line}`);
  }

  private isCut(from: string, to: string): boolean {
    return this.networkCuts.has(`${from}|${to}`) || this.networkCuts.has(`${to}|${from}`);
  }

  async startNode(nodeIndex: number): Promise<void> {
    const node = this.nodes[nodeIndex] as ControllerNode;
    node.incarnation += 1;
    const incarnation = node.incarnation;
    const build = this.buildOf(nodeIndex);
    const settings = build.parseSettings(settingsText(nodeIndex, this.config), `n${nodeIndex}.toml`);
    node.controller = new build.Controller(
      settings,
      build.parseTuning(this.config.tuning, 'none'),
      this.clockOf(nodeIndex, node, incarnation),
      this.logOf(nodeIndex, build),
      this.ports(nodeIndex, incarnation, settings),
    );
    this.trace(`n${nodeIndex} starts`);
    await node.controller.run();
  }

  /** Returns a clock whose timers do not fire once the process of this incarnation has ended. */
  private clockOf(nodeIndex: number, node: ControllerNode, incarnation: number): SimulatedClock {
    const rate = this.clockRate(`n${nodeIndex}`);
    const clock = rate === 1 ? this.clock : clockRunningAt(this.clock, rate);
    const guarded = Object.create(clock) as SimulatedClock;
    guarded.now = () => clock.now();
    guarded.after = (delay, run) =>
      clock.after(delay, () => (node.incarnation === incarnation ? run() : undefined));
    return guarded;
  }

  killNode(nodeIndex: number): void {
    const node = this.nodes[nodeIndex] as ControllerNode;
    node.incarnation += 1;
    node.handler = null;
    node.receiveFromPeer = null;
    this.trace(`n${nodeIndex} is killed`);
  }

  private ports(nodeIndex: number, incarnation: number, settings: Settings): Ports {
    const node = this.nodes[nodeIndex] as ControllerNode;
    const alive = (): boolean => node.incarnation === incarnation;
    const never = new Promise<CallOutcome>(() => undefined);
    const guard = async (work: Promise<CallOutcome>): Promise<CallOutcome> => {
      const outcome = await work;
      return alive() ? outcome : never;
    };
    const state = { call: (call: Call) => guard(this.store.call(`n${nodeIndex}`, call)) };
    return {
      state,
      stateWatch: state,
      cloud: { call: (call) => guard(this.cloudCall(call)) },
      worker: (address) => ({
        call: (call) => guard(this.workerCall(nodeIndex, address, call)),
        close: () => undefined,
      }),
      mesh: (receive) => {
        node.receiveFromPeer = receive;
        const send = (to: string, message: unknown): void => {
          this.observed.messages += 1;
          this.observed.maxFrameBytes = Math.max(
            this.observed.maxFrameBytes,
            this.config === SMALL_CLUSTER ? 0 : frame(message).length,
          );
          const receivedMessage = JSON.parse(JSON.stringify(message)) as unknown;
          if (alive() && !this.isCut(`n${nodeIndex}`, to))
            this.clock.after(2, () => this.nodes[Number(to.slice(1))]?.receiveFromPeer?.(receivedMessage));
        };
        return { send, broadcast: (message) => settings.peers.forEach((peer) => send(peer.node, message)) };
      },
      listen: (handler) => {
        node.handler = handler;
        return Promise.resolve();
      },
      incarnation: () => `n${nodeIndex}-${incarnation}` as Incarnation,
    };
  }

  private async workerCall(nodeIndex: number, address: string, call: Call): Promise<CallOutcome> {
    const openCalls = (this.openCalls.get(nodeIndex) ?? 0) + 1;
    this.openCalls.set(nodeIndex, openCalls);
    this.observed.maxOpenCalls = Math.max(this.observed.maxOpenCalls, openCalls);
    const outcome = await this.deliverWorkerCall(nodeIndex, address, call);
    this.openCalls.set(nodeIndex, (this.openCalls.get(nodeIndex) ?? 1) - 1);
    return outcome;
  }

  private async deliverWorkerCall(nodeIndex: number, address: string, call: Call): Promise<CallOutcome> {
    const worker = this.workers.get(this.workerIdByAddress.get(address) ?? '');
    const connectDelayMs = worker ? this.connectDelayMs(nodeIndex, worker.id) : 0;
    await this.clock.sleep(this.linkLatencyMs + connectDelayMs);
    if (call.mayStillSend?.() === false) return { kind: 'unsent' };
    if (worker && call.path === '/orders') this.onCommandSent(nodeIndex, worker.id, 'direct');
    const delayMs = worker ? this.commandDelayMs(nodeIndex, worker.id, call) : null;
    if (worker?.hanging && this.config.exactLeases && !this.isCut(`n${nodeIndex}`, worker.id)) {
      worker.deferUntilResumed(call);
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    if (worker?.hanging && this.hangingQueuesCommands) {
      this.queuedCommands.set(worker.id, [...(this.queuedCommands.get(worker.id) ?? []), call]);
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    const isUnreachable =
      !worker ||
      worker.hanging ||
      this.unreachableMachines.has(worker.id) ||
      this.isCut(`n${nodeIndex}`, worker.id);
    if (isUnreachable || delayMs !== null) {
      if (delayMs !== null) this.clock.after(delayMs, () => worker?.receive(call));
      await this.clock.sleep(call.timeout);
      return delayMs === null ? { kind: 'unsent' } : { kind: 'unknown' };
    }
    const answer = worker.receive(call);
    if (this.losesCommandAnswer(nodeIndex, worker.id, call)) {
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    if (this.linkLatencyMs > 1) await this.clock.sleep(this.linkLatencyMs);
    return answer;
  }

  /** Resumes a hanging machine, within its lease or after it; commands sent in the meantime are executed first. */
  resume(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.hanging = false;
    for (const call of this.queuedCommands.get(id) ?? []) worker.receive(call);
    this.queuedCommands.delete(id);
  }

  private async cloudCall(call: Call): Promise<CallOutcome> {
    await this.clock.sleep(100);
    const answer = (status: number, body: unknown): CallOutcome => ({ kind: 'answer', status, body });
    this.cloudCalls.count(1);
    if (this.cloudOutage) return answer(503, { error: 'trouble' });
    if (call.path === '/catalog') {
      const encodeMachineType = ({ name, cpus: vcpus, gpus: cards, memoryGb }: MachineSize): unknown => ({
        name,
        vcpus,
        cards,
        memoryGb,
        cacheGb: 50,
        pullGbPerS: 1,
        rate: vcpus / 10,
        lowPrice: vcpus / 30,
        startupS: this.config.machineBootS,
        harbors: ['east', 'west'],
      });
      return answer(200, { hulls: this.machineTypes.map(encodeMachineType) });
    }
    if (call.path === '/hosts/delete') {
      const { berths } = call.body as { berths: string[] };
      this.observed.deletions += berths.length;
      for (const id of berths) this.removeWorker(id, 'returned');
      return answer(200, {});
    }
    if (call.path === '/hosts') return this.scaleOut(call, answer);
    const url = new URL(call.path, 'http://cloud');
    const afterNumber = Number((url.searchParams.get('from') ?? 'm--1').slice(2));
    const limit = Number(url.searchParams.get('most') ?? 500);
    const listedWorkers = [...this.workers.values()].filter(
      (worker) => Number(worker.id.slice(2)) > afterNumber,
    );
    const berths = listedWorkers.slice(0, limit).map((worker) => ({
      uid: worker.id,
      endpoint: worker.address,
      hull: worker.type,
      harbor: worker.zone,
      driftboats: worker.spot,
      status: 'running',
      ageS: (this.clock.now() - (this.bootedAt.get(worker.id) ?? 0)) / 1000,
    }));
    return answer(200, { berths, hasNext: listedWorkers.length > limit });
  }

  private scaleOut(call: Call, answer: (status: number, body: unknown) => CallOutcome): CallOutcome {
    const request = call.body as { hull: string; harbor: string; driftboats: boolean; number: number };
    this.scaleOutRequests.push(request);
    const count = Math.min(this.cloudCapacity, request.number);
    if (count === 0) return answer(503, { error: 'no capacity' });
    this.cloudCapacity -= count;
    const ids = Array.from({ length: count }, () => this.nextMachineId());
    this.trace(
      `cloud rents ${ids.join(' ')} (${request.hull}, ${request.harbor}${request.driftboats ? ', spot' : ''})`,
    );
    this.clock.after(this.config.machineBootS * 1000, () => {
      for (const id of ids) this.bootMachine(id, request.hull, request.harbor, request.driftboats);
    });
    return answer(200, { berths: ids });
  }

  private nextMachineId(): string {
    this.machineCount += 1;
    return `m-${this.machineCount - 1}`;
  }

  private bootMachine(id: string, type: string, zone: string, spot: boolean): void {
    this.bootedAt.set(id, this.clock.now());
    const number = Number(id.slice(2));
    const rate = this.clockRate(id);
    const environment: WorkerEnvironment = {
      clock: rate === 1 ? this.clock : clockRunningAt(this.clock, rate),
      exactLeases: this.config.exactLeases ?? false,
      heartbeatIntervalMs: this.config.heartbeatIntervalS * 1000,
      leaseMs: this.config.leaseS * 1000,
      nodes: this.nodes.map((_, nodeIndex) => `n${nodeIndex}`),
      sendHeartbeat: (nodeIndex, worker, body) => this.deliverHeartbeat(nodeIndex, worker, body),
      behaviourOfTask: (taskId) => this.behaviourOf(taskId),
      gangs: this.gangCoordinator,
      onCommandExecuted: (worker, command) => this.onCommandExecuted(worker, command),
      trace: (line) => this.trace(line),
      onTaskStarted: (worker, taskId) => this.invariantChecker.taskStarted(worker, taskId),
      onTaskEnded: (worker, taskId, done) => this.invariantChecker.taskEnded(worker, taskId, done),
    };
    const { cpus, gpus } = this.machineTypes.find((size) => size.name === type) as MachineSize;
    const address = `10.1.${Math.floor(number / 256)}.${number % 256}:9000`;
    this.workerIdByAddress.set(address, id);
    this.workers.set(id, new FakeWorker(id, address, type, zone, spot, cpus, environment, gpus));
  }

  private behaviourOf(taskId: string): JobBehaviour | null {
    const job = this.jobs.get(taskId.split('/')[0] ?? '');
    const runMs = this.taskRunMs.get(taskId);
    return job ? { ...job, runMs: runMs ?? job.runMs } : null;
  }

  addWorker(type: string, zone: string, spot = false): string {
    const id = this.nextMachineId();
    this.bootMachine(id, type, zone, spot);
    return id;
  }

  removeWorker(id: string, reason: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    this.trace(`${id} is ${reason}`);
    worker.destroy();
    this.workers.delete(id);
  }

  private async deliverHeartbeat(
    nodeIndex: number,
    worker: FakeWorker,
    body: unknown,
  ): Promise<HttpResponse | null> {
    await this.clock.sleep(this.linkLatencyMs);
    const node = this.nodes[nodeIndex] as ControllerNode;
    if (this.isCut(`n${nodeIndex}`, worker.id) || this.machinesWithLostHeartbeats.has(worker.id)) return null;
    if (this.config.recordHeartbeats)
      this.sentHeartbeats.set(worker.id, [...(this.sentHeartbeats.get(worker.id) ?? []), body as object]);
    if (!node.handler) return { status: 502, body: {} };
    const answer = await this.request(nodeIndex, 'POST', '/agent/beat', body);
    if (this.config.recordHeartbeats)
      this.heartbeatStatuses.set(worker.id, [
        ...(this.heartbeatStatuses.get(worker.id) ?? []),
        answer?.status ?? 0,
      ]);
    if (answer?.status !== 200) this.observed.refusedHeartbeats += 1;
    else this.onCommandSent(nodeIndex, worker.id, 'answer');
    return this.isCut(`n${nodeIndex}`, worker.id) || this.unreachableMachines.has(worker.id) ? null : answer;
  }

  async request(
    nodeIndex: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResponse | null> {
    const handler = this.nodes[nodeIndex]?.handler;
    if (!handler) return null;
    const raw = Buffer.from(body === undefined ? '' : JSON.stringify(body));
    const knowledge = this.invariantChecker.requestSent(method, path, body);
    const answer = await handler({ method, path, body: raw });
    const responseBody = JSON.parse(JSON.stringify(answer.body)) as unknown;
    // The answer of a process that has ended in the meantime does not reach the user.
    if (this.nodes[nodeIndex]?.handler === handler) {
      const state = (responseBody as Record<string, unknown> | null)?.['status'];
      this.invariantChecker.responseReceived(
        { method, path, status: answer.status, jobState: state },
        body,
        knowledge,
      );
    }
    return { ...answer, body: responseBody };
  }

  /** Delivers a copy of an earlier heartbeat: `back` heartbeats before the last. Returns the status of the answer. */
  async replayHeartbeat(id: string, back: number, nodeIndex: number): Promise<number> {
    const body = (this.sentHeartbeats.get(id) ?? []).at(-1 - back);
    const answer = await this.requestAndSettle(nodeIndex, body);
    this.trace(`a late copy of a report of ${id} arrives at n${nodeIndex}: ${answer}`);
    return answer;
  }

  private async requestAndSettle(nodeIndex: number, body: unknown): Promise<number> {
    let status = 0;
    void this.request(nodeIndex, 'POST', '/agent/beat', body).then(
      (response) => (status = response?.status ?? 0),
    );
    for (let i = 0; i < 200 && status === 0; i += 1) await this.step(10);
    return status;
  }

  /** Returns the heartbeat that a worker would send now. */
  currentHeartbeat(id: string): Promise<object> {
    const answer = this.workers.get(id)?.receive({ method: 'GET', path: '/status', timeout: 1000 as never });
    return Promise.resolve(answer?.kind === 'answer' ? (answer.body as object) : {});
  }

  /** Sends a user's request and advances the clock until it is answered. */
  async sendUserRequest(
    nodeIndex: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    let answer: HttpResponse | null | undefined;
    void this.request(nodeIndex, method, path, body).then((response) => (answer = response));
    for (let i = 0; i < 600 && answer === undefined; i += 1) await this.step(10);
    const receivedAnswer = answer ?? { status: 0, body: {} };
    const responseBody = receivedAnswer.body as Record<string, string>;
    const jobPath = path.replace('/v2/runs', '') || `/${(body as { uid: string }).uid}`;
    const stateOrError =
      receivedAnswer.status === 200 || receivedAnswer.status === 201
        ? responseBody['status']
        : responseBody['error'];
    this.trace(`user ${method} ${jobPath} at n${nodeIndex}: ${receivedAnswer.status} ${stateOrError ?? ''}`);
    return { status: receivedAnswer.status, body: responseBody };
  }

  submissionBody(id: string, options: JobOptions = {}): Record<string, unknown> {
    const tasks = options.tasks ?? 1;
    this.jobs.set(id, {
      team: options.team ?? 'red',
      priority: options.priority ?? (options.service ? 'critical' : 'standard'),
      cpus: options.cpus ?? 2,
      gpus: options.gpus ?? 0,
      runMs: options.service ? Infinity : (options.runMs ?? 5000),
      checkpointDurationS: options.checkpointDurationS ?? 0,
      fails: options.fails ?? false,
      ...(options.gang
        ? {
            gang: {
              tasks,
              runMs: options.runMs ?? 5000,
              checkpointMs: options.checkpointDurationS ? CHECKPOINT_S * 1000 : 0,
            },
          }
        : {}),
    });
    this.invariantChecker.describeJob({
      id,
      team: options.team ?? 'red',
      tasks,
      cpus: options.cpus ?? 2,
      gpus: options.gpus ?? 0,
      spread: options.spread ?? false,
      oneZone: options.oneZone ?? false,
      spot: options.spot ?? false,
      zone: options.zone ?? null,
      types: options.types ?? null,
    });
    return {
      uid: id,
      lane: options.service ? 'serve' : 'work',
      crew: options.team ?? 'red',
      shape: options.service ? 'standing' : options.gang ? 'gang' : 'batch',
      rank: options.priority ?? (options.service ? 'critical' : 'standard'),
      legs: tasks,
      vcpus: options.cpus ?? 2,
      cards: options.gpus ?? 0,
      memoryGb: options.memoryGb ?? 1,
      cargo: options.image ?? 'img',
      sizeGb: 1,
      hulls: options.types ?? null,
      harbor: options.zone ?? null,
      samePlace: options.oneZone ?? false,
      apart: options.spread ?? false,
      driftboats: options.spot ?? false,
      passageS: options.service ? 0 : (options.runMs ?? 5000) / 1000,
      moorS: options.checkpointDurationS ? CHECKPOINT_S : 0,
      stowS: options.checkpointDurationS ?? 0,
      tideS: null,
    };
  }

  submit(
    nodeIndex: number,
    id: string,
    options: JobOptions = {},
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    return this.sendUserRequest(nodeIndex, 'POST', '/v2/runs', this.submissionBody(id, options));
  }

  async step(ms: number): Promise<void> {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= 50) {
      await this.clock.advance(Math.min(50, remainingMs));
      if (this.clock.now() - this.checkedAt < this.config.checkIntervalMs) continue;
      this.checkedAt = this.clock.now();
      this.invariantChecker.checkOverdue();
    }
  }

  async start(nodes = this.nodes.keys()): Promise<void> {
    for (const nodeIndex of nodes) await this.startNode(nodeIndex);
    await flushPromises();
    await this.step(3000);
  }
}
