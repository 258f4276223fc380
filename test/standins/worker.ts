/** Stand-in for a worker, from its published protocol: reports, orders, tokens, sessions, leases. */
import type { Call, Outcome } from '../../src/http/client.js';
import type { Answer } from '../../src/http/server.js';
import type { SimClock } from './clock.js';

interface Task {
  leg: string;
  sailing: number;
  status: 'pulling' | 'running' | 'saving' | 'exited';
  cause?: string;
  ends: { cancel(): void } | null;
}

interface Order {
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
}

export interface WorkerWorld {
  readonly clock: SimClock;
  readonly reportMs: number;
  readonly leaseMs: number;
  /** The nodes' answers to a report; null: nothing answers. */
  readonly report: (node: number, from: WorkerStandin, body: unknown) => Promise<Answer | null>;
  readonly nodes: readonly string[];
  readonly job: (leg: string) => JobFacts | null;
  readonly trace: (line: string) => void;
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
  noticeAt: number | null = null;
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
    world.clock.after(10, () => void this.run());
  }

  active(): Task[] {
    return [...this.tasks.values()].filter((t) => t.status === 'running' || t.status === 'saving');
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
    for (const t of this.tasks.values()) t.ends?.cancel();
    this.tasks.clear();
    this.session += 1;
    this.leaseFrom = clock.now();
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
      const answer = await Promise.race([this.world.report(this.node, this, this.body()), timeout]);
      this.expire();
      if (answer?.status === 200 && session === this.session && !this.hanging) this.accept(answer.body, sent);
      else if (answer?.status === 421) this.redirect(answer.body);
      else if (answer?.status !== 200) this.node = (this.node + 1) % this.world.nodes.length;
      await clock.sleep(answer?.status === 200 ? reportMs : answer?.status === 421 ? 300 : 1000);
    }
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
    for (const o of reply.orders) this.execute(o);
  }

  /** A request straight to the worker; the caller decides when it arrives. */
  arrive(call: Call): Outcome {
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
    const known = this.tasks.get(o.leg);
    if (o.order === 'launch') {
      if (known?.sailing === o.sailing) return;
      if (known && known.status !== 'exited') return;
      this.launch(o);
    } else if (known?.sailing === o.sailing && o.order === 'kill' && known.status !== 'exited') {
      const facts = this.world.job(o.leg);
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
      task.status = 'running';
      this.world.trace(`${this.id} runs ${task.leg}`);
      const ends = facts.fails ? 500 : facts.runMs;
      task.ends = Number.isFinite(ends)
        ? this.world.clock.after(ends, () => this.exit(task, facts.fails ? 'error' : 'done'))
        : null;
    });
  }

  private exit(task: Task, cause: string): void {
    task.ends?.cancel();
    task.ends = null;
    task.status = 'exited';
    task.cause = cause;
    this.world.trace(`${this.id} ends ${task.leg}: ${cause}`);
  }

  /** Off and on again: everything is gone, and the worker is in a new session. */
  restart(): void {
    for (const t of this.tasks.values()) t.ends?.cancel();
    this.tasks.clear();
    this.session += 1;
    this.sequence = 0;
    this.token = 0;
    this.leaseFrom = this.world.clock.now();
  }

  destroy(): void {
    this.alive = false;
    for (const t of this.tasks.values()) t.ends?.cancel();
    this.tasks.clear();
  }
}
