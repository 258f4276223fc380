/** Three controllers in one simulated world, a record of what happens, and a judge of the rules. */
import type { Controller, Ports } from '../../src/controller.js';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { HttpResponse, Handler } from '../../src/http/server.js';
import type { Settings } from '../../src/settings/settings.js';
import type { Incarnation } from '../../src/model/units.js';
import { WORKING, type Build } from './builds.js';
import { clockAt, SimClock, settle } from './clock.js';
import { GangStandin } from './gangs.js';
import { Judge, type TeamLimit } from './judge.js';
import { frame } from '../../src/peers/peer-transport.js';
import { Meter, StateStandin, type Limits } from './state.js';
import { WorkerStandin, type JobFacts, type Order, type WorkerWorld } from './worker.js';

export interface MachineShape {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

const CPU_MACHINES: readonly MachineShape[] = [
  { name: 'small', cpus: 4, gpus: 0, memoryGb: 64 },
  { name: 'large', cpus: 8, gpus: 0, memoryGb: 64 },
];

/** The size of a deployment, and the limits that hold there. */
export interface Shape {
  /** Of each controller. */
  readonly zones: readonly string[];
  readonly teams: readonly (TeamLimit & { readonly cpus: number; readonly gpus?: number })[];
  /** Default: two types without GPUs. */
  readonly machineTypes?: readonly MachineShape[];
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly state: Limits;
  /** Limits of the state service that will hold from some moment on. */
  readonly next?: Pick<Limits, 'writeRps' | 'valueKb' | 'txnOps'>;
  readonly cloudRps: number;
  readonly connections: number;
  /** Whether workers keep their lease to the millisecond, and hanging ones what reaches them. */
  readonly exact?: boolean;
  /** Whether reports are kept for late copies. */
  readonly copies: boolean;
  readonly judgeMs: number;
  readonly bootS: number;
  /** The operators' own settings. */
  readonly tuning: string;
}

export const SMALL: Shape = {
  zones: ['east', 'west', 'east'],
  teams: ['red', 'blue'].map((name) => ({ name, cpus: 12, cpusMax: 24 })),
  reportS: 1.5,
  leaseS: 12,
  cancelS: 32,
  state: { rps: 100, writeRps: 20, valueKb: 4, txnOps: 12, enforced: false },
  cloudRps: 5,
  connections: 1000,
  copies: true,
  judgeMs: 50,
  bootS: 5,
  tuning: 'fleet.idle.return.ms = 30000',
};

/** The limits to come, as the settings have them. */
const nextText = (next: Shape['next']): string =>
  next
    ? `[facts.state.next]\nwrite_rps = ${next.writeRps}\nvalue_kb = ${next.valueKb}\ntxn_ops = ${next.txnOps}\n`
    : '';

export function settingsText(node: number, shape = SMALL): string {
  const known = shape.zones
    .map((zone, n) => `[[known]]\nlabel = "n${n}"\ndomain = "${zone}"\npeer_addr = "10.0.0.${n + 1}:8081"\n`)
    .filter((_, n) => n !== node)
    .join('\n');
  const teams = shape.teams.map(
    (t) =>
      `[[facts.teams]]\nname = "${t.name}"\ncpus = ${t.cpus.toFixed(1)}\ncpus_max = ${t.cpusMax.toFixed(1)}\n` +
      (t.gpusMax === undefined
        ? ''
        : `gpus = ${(t.gpus ?? 0).toFixed(1)}\ngpus_max = ${t.gpusMax.toFixed(1)}\n`),
  );
  const { rps, writeRps, valueKb, txnOps } = shape.state;
  return `label = "n${node}"
domain = "${shape.zones[node]}"
bind = "10.0.0.${node + 1}:8080"
mesh_addr = "10.0.0.${node + 1}:8081"
${known}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["east", "west"]
${teams.join('')}[facts.workers]
report_s = ${shape.reportS.toFixed(1)}
lease_s = ${shape.leaseS.toFixed(1)}
cancel_s = ${shape.cancelS.toFixed(1)}
gang_wait_s = 20.0
gang_peer_s = 4.0
[facts.state]
rps = ${rps}
write_rps = ${writeRps}
value_kb = ${valueKb}
txn_ops = ${txnOps}
${nextText(shape.next)}[facts.cloud]
rps = ${shape.cloudRps}
list_lag_s = 3.0
[facts.quota]
max_connections = ${shape.connections}
`;
}

const CHECKPOINT_S = 5;
/** As the settings say below. */
const GANG_WAIT_MS = 20_000;
const GANG_PEER_MS = 4000;

interface Node {
  controller: Controller | null;
  handler: Handler | null;
  mesh: ((message: unknown) => void) | null;
  life: number;
}

export interface JobEntry extends JobFacts {
  readonly team: string;
  readonly rank: string;
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
  readonly rank?: string;
  readonly spread?: boolean;
  readonly samePlace?: boolean;
  readonly spot?: boolean;
  readonly zone?: string | null;
  readonly fails?: boolean;
  readonly saveS?: number;
  readonly image?: string;
  readonly types?: string[] | null;
}

export class World {
  readonly clock = new SimClock();
  readonly state: StateStandin;
  readonly nodes: Node[];
  readonly workers = new Map<string, WorkerStandin>();
  readonly jobs = new Map<string, JobEntry>();
  readonly lines: string[] = [];
  readonly broken: string[] = [];
  readonly judge: Judge;
  /** What the workers' gang tasks know of each other. */
  readonly gangs = new GangStandin(this.clock, GANG_WAIT_MS, GANG_PEER_MS);
  /** Cuts between two ends, like `n0|m-0` or `n0|n1`: nothing passes. */
  readonly cuts = new Set<string>();
  /** Machines that are heard and hear nothing: answers and commands do not reach them. */
  readonly deaf = new Set<string>();
  /** Machines whose reports do not arrive, while they answer when they are called. */
  readonly mute = new Set<string>();
  /** Every report that a machine has sent, for copies that come late. */
  readonly sent = new Map<string, object[]>();
  /** What reports of a machine were answered with. */
  readonly answered = new Map<string, number[]>();
  /** Direct orders that get no answer and arrive this much later. */
  holdOrders: (node: number, worker: string, call: Call) => number | null = () => null;
  /** Direct orders that are executed at once, and whose answer does not arrive. */
  loseAnswer: (node: number, worker: string, call: Call) => boolean = () => false;
  /** Called when a worker has executed an order, however it came. */
  onOrder: (worker: WorkerStandin, order: Order) => void = () => undefined;
  /** Run times of single tasks that differ from their job's. */
  readonly taskRunMs = new Map<string, number>();
  /** Whether a hanging machine takes direct orders and executes them when it goes on. */
  hangingKeepsOrders = false;
  private readonly keptOrders = new Map<string, Call[]>();
  /** Which version a node runs when it starts. */
  buildOf: (node: number) => Build = () => WORKING;
  /** One way between a controller and a worker, in milliseconds. */
  linkMs = 1;
  /** How fast the clock of a node or a machine runs; asked when it starts. */
  clockRate: (who: string) => number = () => 1;
  /** How long a connection from a node to a machine takes. */
  connectMs: (node: number, worker: string) => number = () => 0;
  /** A node answers a report with 200, or sends orders to a machine. */
  commanded: (node: number, worker: string, how: 'answer' | 'direct') => void = () => undefined;
  cloudOutage = false;
  capacity = 0;
  rentals: unknown[] = [];
  /** What was counted: bytes of a frame between controllers, calls to the cloud a second, open calls to workers. */
  readonly seen = { frame: 0, messages: 0, calls: 0, deletions: 0, refusedReports: 0 };
  readonly cloudCalls = new Meter(this.clock);
  private readonly calling = new Map<number, number>();
  private readonly byAddress = new Map<string, string>();
  private machines = 0;
  private judged = 0;
  private readonly born = new Map<string, number>();

  constructor(readonly shape: Shape = SMALL) {
    this.state = new StateStandin(this.clock, shape.state);
    this.judge = new Judge(() => this.clock.now(), shape.cancelS * 1000, shape.teams, this.broken);
    this.nodes = shape.zones.map(() => ({ controller: null, handler: null, mesh: null, life: 0 }));
  }

  private get machineTypes(): readonly MachineShape[] {
    return this.shape.machineTypes ?? CPU_MACHINES;
  }

  trace(line: string): void {
    this.lines.push(`${this.clock.stamp()}  ${line}`);
  }

  private cut(a: string, b: string): boolean {
    return this.cuts.has(`${a}|${b}`) || this.cuts.has(`${b}|${a}`);
  }

  async startNode(n: number): Promise<void> {
    const node = this.nodes[n] as Node;
    node.life += 1;
    const life = node.life;
    const build = this.buildOf(n);
    const settings = build.parseSettings(settingsText(n, this.shape), `n${n}.toml`);
    node.controller = new build.Controller(
      settings,
      build.parseTuning(this.shape.tuning, 'none'),
      this.clockOf(n, node, life),
      build.silentLog(),
      this.ports(n, life, settings),
    );
    this.trace(`n${n} starts`);
    await node.controller.run();
  }

  /** Timers of a process that ended never fire. */
  private clockOf(n: number, node: Node, life: number): SimClock {
    const rate = this.clockRate(`n${n}`);
    const clock = rate === 1 ? this.clock : clockAt(this.clock, rate);
    const guarded = Object.create(clock) as SimClock;
    guarded.now = () => clock.now();
    guarded.after = (delay, run) => clock.after(delay, () => (node.life === life ? run() : undefined));
    return guarded;
  }

  killNode(n: number): void {
    const node = this.nodes[n] as Node;
    node.life += 1;
    node.handler = null;
    node.mesh = null;
    this.trace(`n${n} is killed`);
  }

  private ports(n: number, life: number, settings: Settings): Ports {
    const node = this.nodes[n] as Node;
    const alive = (): boolean => node.life === life;
    const never = new Promise<CallOutcome>(() => undefined);
    const guard = async (work: Promise<CallOutcome>): Promise<CallOutcome> => {
      const outcome = await work;
      return alive() ? outcome : never;
    };
    const state = { call: (call: Call) => guard(this.state.call(`n${n}`, call)) };
    return {
      state,
      stateWatch: state,
      cloud: { call: (call) => guard(this.cloudCall(call)) },
      worker: (address) => ({
        call: (call) => guard(this.workerCall(n, address, call)),
        close: () => undefined,
      }),
      mesh: (receive) => {
        node.mesh = receive;
        const send = (to: string, message: unknown): void => {
          this.seen.messages += 1;
          this.seen.frame = Math.max(this.seen.frame, this.shape === SMALL ? 0 : frame(message).length);
          const copy = JSON.parse(JSON.stringify(message)) as unknown;
          if (alive() && !this.cut(`n${n}`, to))
            this.clock.after(2, () => this.nodes[Number(to.slice(1))]?.mesh?.(copy));
        };
        return { send, broadcast: (m) => settings.peers.forEach((p) => send(p.node, m)) };
      },
      listen: (handler) => {
        node.handler = handler;
        return Promise.resolve();
      },
      incarnation: () => `n${n}-${life}` as Incarnation,
    };
  }

  private async workerCall(n: number, address: string, call: Call): Promise<CallOutcome> {
    const open = (this.calling.get(n) ?? 0) + 1;
    this.calling.set(n, open);
    this.seen.calls = Math.max(this.seen.calls, open);
    const outcome = await this.callOnce(n, address, call);
    this.calling.set(n, (this.calling.get(n) ?? 1) - 1);
    return outcome;
  }

  private async callOnce(n: number, address: string, call: Call): Promise<CallOutcome> {
    const worker = this.workers.get(this.byAddress.get(address) ?? '');
    const connecting = worker ? this.connectMs(n, worker.id) : 0;
    await this.clock.sleep(this.linkMs + connecting);
    if (call.mayStillSend?.() === false) return { kind: 'unsent' };
    if (worker && call.path === '/orders') this.commanded(n, worker.id, 'direct');
    const hold = worker ? this.holdOrders(n, worker.id, call) : null;
    if (worker?.hanging && this.shape.exact && !this.cut(`n${n}`, worker.id)) {
      worker.holdUntilItGoesOn(call);
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    if (worker?.hanging && this.hangingKeepsOrders) {
      this.keptOrders.set(worker.id, [...(this.keptOrders.get(worker.id) ?? []), call]);
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    const unreached = !worker || worker.hanging || this.deaf.has(worker.id) || this.cut(`n${n}`, worker.id);
    if (unreached || hold !== null) {
      if (hold !== null) this.clock.after(hold, () => worker?.arrive(call));
      await this.clock.sleep(call.timeout);
      return hold === null ? { kind: 'unsent' } : { kind: 'unknown' };
    }
    const answer = worker.arrive(call);
    if (this.loseAnswer(n, worker.id, call)) {
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    if (this.linkMs > 1) await this.clock.sleep(this.linkMs);
    return answer;
  }

  /** A machine that hung goes on, within its lease or not; what was sent to it meanwhile is executed first. */
  resume(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.hanging = false;
    for (const call of this.keptOrders.get(id) ?? []) worker.arrive(call);
    this.keptOrders.delete(id);
  }

  private async cloudCall(call: Call): Promise<CallOutcome> {
    await this.clock.sleep(100);
    const answer = (status: number, body: unknown): CallOutcome => ({ kind: 'answer', status, body });
    this.cloudCalls.count(1);
    if (this.cloudOutage) return answer(503, { error: 'trouble' });
    if (call.path === '/catalog') {
      const type = ({ name, cpus: vcpus, gpus: cards, memoryGb }: MachineShape): unknown => ({
        name,
        vcpus,
        cards,
        memoryGb,
        cacheGb: 50,
        pullGbPerS: 1,
        rate: vcpus / 10,
        lowPrice: vcpus / 30,
        startupS: this.shape.bootS,
        harbors: ['east', 'west'],
      });
      return answer(200, { hulls: this.machineTypes.map(type) });
    }
    if (call.path === '/hosts/delete') {
      const { berths } = call.body as { berths: string[] };
      this.seen.deletions += berths.length;
      for (const id of berths) this.removeWorker(id, 'returned');
      return answer(200, {});
    }
    if (call.path === '/hosts') return this.rent(call, answer);
    const url = new URL(call.path, 'http://cloud');
    const after = Number((url.searchParams.get('from') ?? 'm--1').slice(2));
    const most = Number(url.searchParams.get('most') ?? 500);
    const all = [...this.workers.values()].filter((w) => Number(w.id.slice(2)) > after);
    const berths = all.slice(0, most).map((w) => ({
      uid: w.id,
      endpoint: w.address,
      hull: w.type,
      harbor: w.zone,
      driftboats: w.spot,
      status: 'running',
      ageS: (this.clock.now() - (this.born.get(w.id) ?? 0)) / 1000,
    }));
    return answer(200, { berths, hasNext: all.length > most });
  }

  private rent(call: Call, answer: (status: number, body: unknown) => CallOutcome): CallOutcome {
    const r = call.body as { hull: string; harbor: string; driftboats: boolean; number: number };
    this.rentals.push(r);
    const count = Math.min(this.capacity, r.number);
    if (count === 0) return answer(503, { error: 'no capacity' });
    this.capacity -= count;
    const ids = Array.from({ length: count }, () => this.nextMachine());
    this.trace(`cloud rents ${ids.join(' ')} (${r.hull}, ${r.harbor}${r.driftboats ? ', spot' : ''})`);
    this.clock.after(this.shape.bootS * 1000, () => {
      for (const id of ids) this.boot(id, r.hull, r.harbor, r.driftboats);
    });
    return answer(200, { berths: ids });
  }

  private nextMachine(): string {
    this.machines += 1;
    return `m-${this.machines - 1}`;
  }

  private boot(id: string, type: string, zone: string, spot: boolean): void {
    this.born.set(id, this.clock.now());
    const number = Number(id.slice(2));
    const rate = this.clockRate(id);
    const world: WorkerWorld = {
      clock: rate === 1 ? this.clock : clockAt(this.clock, rate),
      exact: this.shape.exact ?? false,
      reportMs: this.shape.reportS * 1000,
      leaseMs: this.shape.leaseS * 1000,
      nodes: this.nodes.map((_, n) => `n${n}`),
      report: (n, from, body) => this.reportTo(n, from, body),
      job: (leg) => this.factsOf(leg),
      gangs: this.gangs,
      executed: (from, order) => this.onOrder(from, order),
      trace: (line) => this.trace(line),
      started: (on, leg) => this.judge.taskStarted(on, leg),
      ended: (on, leg, done) => this.judge.taskEnded(on, leg, done),
    };
    const { cpus, gpus } = this.machineTypes.find((t) => t.name === type) as MachineShape;
    const address = `10.1.${Math.floor(number / 256)}.${number % 256}:9000`;
    this.byAddress.set(address, id);
    this.workers.set(id, new WorkerStandin(id, address, type, zone, spot, cpus, world, gpus));
  }

  private factsOf(leg: string): JobFacts | null {
    const job = this.jobs.get(leg.split('/')[0] ?? '');
    const runMs = this.taskRunMs.get(leg);
    return job ? { ...job, runMs: runMs ?? job.runMs } : null;
  }

  addWorker(type: string, zone: string, spot = false): string {
    const id = this.nextMachine();
    this.boot(id, type, zone, spot);
    return id;
  }

  removeWorker(id: string, why: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    this.trace(`${id} is ${why}`);
    worker.destroy();
    this.workers.delete(id);
  }

  private async reportTo(n: number, from: WorkerStandin, body: unknown): Promise<HttpResponse | null> {
    await this.clock.sleep(this.linkMs);
    const node = this.nodes[n] as Node;
    if (this.cut(`n${n}`, from.id) || this.mute.has(from.id)) return null;
    if (this.shape.copies) this.sent.set(from.id, [...(this.sent.get(from.id) ?? []), body as object]);
    if (!node.handler) return { status: 502, body: {} };
    const answer = await this.request(n, 'POST', '/agent/beat', body);
    if (this.shape.copies)
      this.answered.set(from.id, [...(this.answered.get(from.id) ?? []), answer?.status ?? 0]);
    if (answer?.status !== 200) this.seen.refusedReports += 1;
    else this.commanded(n, from.id, 'answer');
    return this.cut(`n${n}`, from.id) || this.deaf.has(from.id) ? null : answer;
  }

  async request(n: number, method: string, path: string, body?: unknown): Promise<HttpResponse | null> {
    const handler = this.nodes[n]?.handler;
    if (!handler) return null;
    const raw = Buffer.from(body === undefined ? '' : JSON.stringify(body));
    const question = this.judge.asked(method, path, body);
    const answer = await handler({ method, path, body: raw });
    const said = JSON.parse(JSON.stringify(answer.body)) as unknown;
    // What a process that has ended was about to say reaches nobody.
    if (this.nodes[n]?.handler === handler) {
      const state = (said as Record<string, unknown> | null)?.['status'];
      this.judge.answered({ method, path, status: answer.status, state }, body, question);
    }
    return { ...answer, body: said };
  }

  /** A copy of an earlier report arrives; `back`: how many reports before the last one. */
  async copyOf(id: string, back: number, n: number): Promise<number> {
    const body = (this.sent.get(id) ?? []).at(-1 - back);
    const answer = await this.requestAndSettle(n, body);
    this.trace(`a late copy of a report of ${id} arrives at n${n}: ${answer}`);
    return answer;
  }

  private async requestAndSettle(n: number, body: unknown): Promise<number> {
    let status = 0;
    void this.request(n, 'POST', '/agent/beat', body).then((a) => (status = a?.status ?? 0));
    for (let i = 0; i < 200 && status === 0; i += 1) await this.step(10);
    return status;
  }

  /** What a worker would report now, as a cut may hold it back. */
  lastReport(id: string): Promise<object> {
    const answer = this.workers.get(id)?.arrive({ method: 'GET', path: '/status', timeout: 1000 as never });
    return Promise.resolve(answer?.kind === 'answer' ? (answer.body as object) : {});
  }

  /** A user's request; resolves when it is answered, the clock moving on meanwhile. */
  async ask(
    n: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    let answer: HttpResponse | null | undefined;
    void this.request(n, method, path, body).then((a) => (answer = a));
    for (let i = 0; i < 600 && answer === undefined; i += 1) await this.step(10);
    const given = answer ?? { status: 0, body: {} };
    const said = given.body as Record<string, string>;
    const what = path.replace('/v2/runs', '') || `/${(body as { uid: string }).uid}`;
    const word = given.status === 200 || given.status === 201 ? said['status'] : said['error'];
    this.trace(`user ${method} ${what} at n${n}: ${given.status} ${word ?? ''}`);
    return { status: given.status, body: said };
  }

  submission(id: string, o: JobOptions = {}): Record<string, unknown> {
    const tasks = o.tasks ?? 1;
    this.jobs.set(id, {
      team: o.team ?? 'red',
      rank: o.rank ?? (o.service ? 'critical' : 'standard'),
      cpus: o.cpus ?? 2,
      gpus: o.gpus ?? 0,
      runMs: o.service ? Infinity : (o.runMs ?? 5000),
      saveS: o.saveS ?? 0,
      fails: o.fails ?? false,
      ...(o.gang
        ? { gang: { tasks, runMs: o.runMs ?? 5000, checkpointMs: o.saveS ? CHECKPOINT_S * 1000 : 0 } }
        : {}),
    });
    this.judge.describe({
      id,
      team: o.team ?? 'red',
      tasks,
      cpus: o.cpus ?? 2,
      gpus: o.gpus ?? 0,
      spread: o.spread ?? false,
      samePlace: o.samePlace ?? false,
      spot: o.spot ?? false,
      zone: o.zone ?? null,
      types: o.types ?? null,
    });
    return {
      uid: id,
      lane: o.service ? 'serve' : 'work',
      crew: o.team ?? 'red',
      shape: o.service ? 'standing' : o.gang ? 'gang' : 'batch',
      rank: o.rank ?? (o.service ? 'critical' : 'standard'),
      legs: tasks,
      vcpus: o.cpus ?? 2,
      cards: o.gpus ?? 0,
      memoryGb: o.memoryGb ?? 1,
      cargo: o.image ?? 'img',
      sizeGb: 1,
      hulls: o.types ?? null,
      harbor: o.zone ?? null,
      samePlace: o.samePlace ?? false,
      apart: o.spread ?? false,
      driftboats: o.spot ?? false,
      passageS: o.service ? 0 : (o.runMs ?? 5000) / 1000,
      moorS: o.saveS ? CHECKPOINT_S : 0,
      stowS: o.saveS ?? 0,
      tideS: null,
    };
  }

  submit(
    n: number,
    id: string,
    o: JobOptions = {},
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    return this.ask(n, 'POST', '/v2/runs', this.submission(id, o));
  }

  async step(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 50) {
      await this.clock.advance(Math.min(50, left));
      if (this.clock.now() - this.judged < this.shape.judgeMs) continue;
      this.judged = this.clock.now();
      this.judge.checkOverdue();
    }
  }

  async start(nodes = this.nodes.keys()): Promise<void> {
    for (const n of nodes) await this.startNode(n);
    await settle();
    await this.step(3000);
  }
}
