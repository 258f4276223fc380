/** Stand-in for a worker, from its published protocol: reports, orders, tokens, sessions, leases. */
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { HttpResponse } from '../../src/http/server.js';
import type { SimClock } from './clock.js';
import type { GangSize, GangStandin } from './gangs.js';

interface Task {
  leg: string;
  sailing: number;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause?: string;
  ends: { cancel(): void } | null;
}

export interface Order {
  order: 'launch' | 'kill' | 'clear';
  leg: string;
  sailing: number;
  ebbS?: number;
}

export interface JobFacts {
  readonly runMs: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly saveS: number;
  readonly fails: boolean;
  /** Its tasks run together or not at all. */
  readonly gang?: GangSize;
}

export interface WorkerWorld {
  readonly clock: SimClock;
  readonly reportMs: number;
  readonly leaseMs: number;
  /** Whether its lease ends to the millisecond, and what reaches it while it hangs waits until it goes on. */
  readonly exact: boolean;
  /** The nodes' answers to a report; null: nothing answers. */
  readonly report: (node: number, from: WorkerStandin, body: unknown) => Promise<HttpResponse | null>;
  readonly nodes: readonly string[];
  readonly job: (leg: string) => JobFacts | null;
  readonly gangs: GangStandin;
  readonly executed: (from: WorkerStandin, order: Order) => void;
  readonly trace: (line: string) => void;
  /** It holds the task's image, and has it until the second call; `done`: it completed. */
  readonly started: (worker: WorkerStandin, leg: string) => void;
  readonly ended: (worker: WorkerStandin, leg: string, done: boolean) => void;
}

export class WorkerStandin {
  readonly tasks = new Map<string, Task>();
  private session = 1;
  private sequence = 0;
  token = 0;
  private node = 0;
  private leaseFrom: number;
  alive = true;
  /** A hanging machine executes nothing, and may go on within its lease. */
  hanging = false;
  /** A faulty machine: every task on it fails. */
  sick = false;
  noticeAt: number | null = null;
  private leaseTimer: { cancel(): void } | null = null;
  /** Direct requests and answers that came while it hangs, in their order. */
  private readonly held: (() => void)[] = [];
  readonly images = new Set<string>();

  constructor(
    readonly id: string,
    readonly address: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    readonly cpus: number,
    private readonly world: WorkerWorld,
    readonly gpus = 0,
  ) {
    this.leaseFrom = world.clock.now();
    this.watchLease();
    world.clock.after(10, () => void this.run());
  }

  active(): Task[] {
    return [...this.tasks.values()].filter((t) => t.status === 'running' || t.status === 'saving');
  }

  /** Tasks that hold their image, those that wait for their gang included. */
  present(): Task[] {
    return [...this.tasks.values()].filter((t) => t.status !== 'pulling' && t.status !== 'exited');
  }

  private forgetTasks(): void {
    for (const t of this.tasks.values()) t.ends?.cancel();
    const present = this.present();
    for (const t of present) this.world.ended(this, t.leg, false);
    for (const t of present) this.world.gangs.lost(jobOf(t.leg), t.sailing, t.leg);
    this.tasks.clear();
  }

  private body(): unknown {
    this.sequence += 1;
    const now = this.world.clock.now();
    return {
      berth: this.id,
      endpoint: this.address,
      hull: this.type,
      harbor: this.zone,
      driftboats: this.spot,
      watch: this.session,
      logNo: this.sequence,
      helm: this.token,
      recallS: this.noticeAt === null ? null : Math.max(0, (this.noticeAt - now) / 1000),
      legs: [...this.tasks.values()].map((t) => ({
        leg: t.leg,
        sailing: t.sailing,
        status: t.status,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    };
  }

  /** Checks the lease on its own timer: a worker that nobody answers kills everything by itself. */
  private expire(): void {
    const { clock, leaseMs, trace } = this.world;
    if (clock.now() - this.leaseFrom <= leaseMs) return;
    if (this.tasks.size > 0) trace(`${this.id} lease over, forgets ${this.tasks.size} tasks`);
    this.forgetTasks();
    this.session += 1;
    this.leaseFrom = clock.now();
    this.watchLease();
  }

  private watchLease(): void {
    if (!this.world.exact) return;
    this.leaseTimer?.cancel();
    const left = this.leaseFrom + this.world.leaseMs - this.world.clock.now();
    this.leaseTimer = this.world.clock.after(left + 1e-3, () => {
      if (this.alive) this.expire();
    });
  }

  /** It executes nothing until it goes on. */
  hang(): void {
    this.hanging = true;
    this.world.trace(`${this.id} hangs`);
  }

  /** It goes on where it was, unless its lease has ended meanwhile; first with what has come in the meantime. */
  goOn(): void {
    if (!this.hanging) return;
    this.hanging = false;
    this.world.trace(`${this.id} goes on`);
    if (this.alive) this.expire();
    for (const act of this.held.splice(0)) act();
  }

  /** A request that reaches the machine while it hangs; nobody waits for its answer any more. */
  holdUntilItGoesOn(call: Call): void {
    this.held.push(() => void this.arrive(call));
  }

  private untilItGoesOn(): Promise<void> {
    if (!this.hanging || !this.world.exact) return Promise.resolve();
    return new Promise((resolve) => this.held.push(resolve));
  }

  private async run(): Promise<void> {
    const { clock, reportMs } = this.world;
    while (this.alive) {
      this.expire();
      if (this.hanging) {
        await clock.sleep(100);
        continue;
      }
      const sent = clock.now();
      const session = this.session;
      const timeout = clock.sleep(4000).then(() => null);
      const answer = await Promise.race([this.answerTo(this.body()), timeout]);
      this.expire();
      if (answer?.status === 200 && session === this.session && !this.hanging) this.accept(answer.body, sent);
      else if (answer?.status === 421) this.redirect(answer.body);
      else if (answer?.status !== 200) this.node = (this.node + 1) % this.world.nodes.length;
      await clock.sleep(answer?.status === 200 ? reportMs : answer?.status === 421 ? 300 : 1000);
    }
  }

  private async answerTo(body: unknown): Promise<HttpResponse | null> {
    const answer = await this.world.report(this.node, this, body);
    if (this.hanging) await this.untilItGoesOn();
    return answer;
  }

  private redirect(body: unknown): void {
    const to = this.world.nodes.indexOf((body as { harbormaster?: string }).harbormaster ?? '');
    this.node = to < 0 || to === this.node ? (this.node + 1) % this.world.nodes.length : to;
  }

  private accept(body: unknown, sent: number): void {
    const reply = body as { helm: number; orders: Order[] };
    if (reply.helm < this.token) return;
    this.token = reply.helm;
    this.leaseFrom = sent;
    this.watchLease();
    for (const o of reply.orders) this.execute(o);
  }

  /** A request straight to the worker; the caller decides when it arrives. */
  arrive(call: Call): CallOutcome {
    if (!this.alive) return { kind: 'unsent' };
    this.expire();
    if (call.path === '/status') return { kind: 'answer', status: 200, body: this.body() };
    const body = JSON.parse(JSON.stringify(call.body)) as { helm: number; watch: number; orders: Order[] };
    if (body.helm < this.token || body.watch !== this.session) {
      return { kind: 'answer', status: 409, body: this.body() };
    }
    this.token = body.helm;
    for (const o of body.orders) this.execute(o);
    return { kind: 'answer', status: 200, body: this.body() };
  }

  private execute(o: Order): void {
    this.carryOut(o);
    this.world.executed(this, o);
  }

  private carryOut(o: Order): void {
    const known = this.tasks.get(o.leg);
    if (o.order === 'launch') {
      if (known?.sailing === o.sailing) return;
      if (known && known.status !== 'exited') return;
      this.launch(o);
    } else if (known?.sailing === o.sailing && o.order === 'kill' && known.status !== 'exited') {
      const facts = this.world.job(o.leg);
      if (facts?.gang && known.status === 'running' && canSaveWithin(facts, o)) {
        known.status = 'saving';
        this.world.gangs.told(jobOf(o.leg), o.sailing, o.leg, facts.saveS * 1000);
        return;
      }
      if (known.status === 'saving' && (o.ebbS ?? 0) > 0) return;
      known.ends?.cancel();
      if (facts && facts.saveS > 0 && (o.ebbS ?? 0) >= facts.saveS && known.status === 'running') {
        known.status = 'saving';
        known.ends = this.world.clock.after(facts.saveS * 1000, () => this.exit(known, 'halted'));
      } else this.exit(known, 'halted');
    } else if (known?.sailing === o.sailing && o.order === 'clear' && known.status === 'exited')
      this.tasks.delete(o.leg);
  }

  private launch(o: Order): void {
    const facts = this.world.job(o.leg);
    const task: Task = { leg: o.leg, sailing: o.sailing, status: 'pulling', ends: null };
    this.tasks.set(o.leg, task);
    if (!facts) return this.exit(task, 'unknown');
    const present = [...this.tasks.values()].filter((t) => t.status !== 'exited');
    const used = (kind: 'cpus' | 'gpus'): number =>
      present.reduce((sum, t) => sum + (this.world.job(t.leg)?.[kind] ?? 0), 0);
    if (used('cpus') > this.cpus + 1e-9 || used('gpus') > this.gpus + 1e-9) return this.exit(task, 'full');
    task.ends = this.world.clock.after(200, () => {
      if (facts.gang) return this.gather(task, facts.gang);
      task.status = 'running';
      this.world.trace(`${this.id} runs ${task.leg}`);
      this.world.started(this, task.leg);
      const fails = facts.fails || this.sick;
      const ends = fails ? 500 : facts.runMs;
      task.ends = Number.isFinite(ends)
        ? this.world.clock.after(ends, () => this.exit(task, fails ? 'error' : 'done'))
        : null;
    });
  }

  private gather(task: Task, size: GangSize): void {
    task.status = 'gathering';
    this.world.trace(`${this.id} gathers ${task.leg}`);
    this.world.started(this, task.leg);
    if (this.sick) {
      task.ends = this.world.clock.after(500, () => this.exit(task, 'error'));
      return;
    }
    this.world.gangs.gather(jobOf(task.leg), task.sailing, size, {
      leg: task.leg,
      run: () => {
        task.status = 'running';
        this.world.trace(`${this.id} runs ${task.leg}`);
      },
      exit: (cause) => {
        if (task.status !== 'exited') this.exit(task, cause);
      },
    });
  }

  private exit(task: Task, cause: string): void {
    task.ends?.cancel();
    task.ends = null;
    const ran = task.status !== 'pulling' && task.status !== 'exited';
    task.status = 'exited';
    task.cause = cause;
    this.world.trace(`${this.id} ends ${task.leg}: ${cause}`);
    if (ran) this.world.ended(this, task.leg, cause === 'done');
    if (ran) this.world.gangs.lost(jobOf(task.leg), task.sailing, task.leg);
  }

  /** Off and on again: everything is gone, and the worker is in a new session. */
  restart(): void {
    this.forgetTasks();
    this.session += 1;
    this.sequence = 0;
    this.token = 0;
    this.leaseFrom = this.world.clock.now();
  }

  destroy(): void {
    this.alive = false;
    this.forgetTasks();
  }
}

const jobOf = (leg: string): string => leg.slice(0, leg.lastIndexOf('/'));

/** Is the grace of the order enough for the task to save? */
const canSaveWithin = (facts: JobFacts, order: Order): boolean =>
  facts.saveS > 0 && (order.ebbS ?? 0) >= facts.saveS;
