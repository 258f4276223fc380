/** One machine's worker: reports, sessions, tokens, lease, commands and tasks, as PROTOCOL says. */
import type { Call } from '../http/client.js';
import type { EventQueue, Host, Scheduled } from './clock.js';
import type { Defects } from './defects.js';
import { ImageCache } from './image-cache.js';
import type { GangAttempt, GangExit, GangMember, Gangs } from './gangs.js';
import type { JobStorage, UserJob } from './jobs.js';
import type { Response } from './network.js';
import type { MachineFacts, Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';

interface Order {
  readonly order: 'launch' | 'kill' | 'clear';
  readonly leg: string;
  readonly sailing: number;
  readonly ebbS?: number;
}

interface DirectBody {
  readonly helm?: number;
  readonly watch?: number;
  readonly orders?: readonly Order[];
}

type ExitCause = GangExit | 'error' | 'full' | 'busy' | 'unknown';

interface Task {
  readonly name: string;
  readonly attempt: number;
  readonly job: UserJob | null;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: ExitCause | null;
  saved: boolean;
  /** When the present run began, and how much was saved before it, in milliseconds. */
  runningSince: number;
  progressBefore: number;
  timer: Scheduled | null;
  /** Its place among the tasks of its gang, once it has its image. */
  gang: { readonly attempt: GangAttempt; readonly member: GangMember } | null;
}

export interface WorkerTimes {
  readonly reportMs: number;
  readonly leaseMs: number;
}

/** What a worker reaches: the controllers by number, null for no answer. */
export type ReportLink = (controller: number, body: object) => Promise<Response | null>;

export interface WorkerSurroundings {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: Gangs;
  readonly controllers: readonly string[];
  readonly times: WorkerTimes;
  readonly defects: Defects;
  readonly report: ReportLink;
}

const LEAST_GAP_MS = 500;
const LEASE_CHECK_MS = 100;
const ERROR_AFTER_MS = 1500;
const EPSILON = 1e-9;

export class Worker {
  /** Every task that it starts fails. */
  sick = false;
  /** How much longer than normal its tasks run. */
  slowness = 1;
  noticeEndsAt: number | null = null;
  private readonly tasks = new Map<string, Task>();
  private readonly images: ImageCache;
  private session = 1;
  private sequence = 0;
  private token = 0;
  private controller: number;
  private leaseFrom: number;
  private lastReportAt = -Infinity;
  private reporting = false;
  private changed = false;
  private nextReport: Scheduled | null = null;
  private tokenChangeAt = -Infinity;
  private hangingSince: number | null = null;

  constructor(
    readonly facts: MachineFacts,
    readonly host: Host,
    readonly endpoint: string,
    speed: { gbPerS: number; cacheGb: number },
    private readonly around: WorkerSurroundings,
  ) {
    this.images = new ImageCache(around.queue, speed.gbPerS, speed.cacheGb);
    this.controller = around.random.whole(0, around.controllers.length - 1);
    this.leaseFrom = around.queue.now;
    this.scheduleReport(0);
    this.checkLease();
  }

  get resources(): { cpus: number; gpus: number; memoryGb: number } {
    const free = { cpus: this.facts.cpus, gpus: this.facts.gpus, memoryGb: this.facts.memoryGb };
    for (const t of this.tasks.values()) {
      if (t.status === 'exited' || !t.job) continue;
      free.cpus -= t.job.cpus;
      free.gpus -= t.job.gpus;
      free.memoryGb -= t.job.memoryGb;
    }
    return free;
  }

  /** Names of the tasks that hold room here, those that wait for their image included. */
  holds(): string[] {
    return [...this.tasks.values()].filter((t) => t.status !== 'exited').map((t) => t.name);
  }

  running(): string[] {
    return [...this.tasks.values()].filter((t) => t.status === 'running').map((t) => t.name);
  }

  get hanging(): boolean {
    return this.host.paused;
  }

  report(): object {
    this.sequence += 1;
    const left = this.noticeEndsAt === null ? null : (this.noticeEndsAt - this.around.queue.now) / 1000;
    const silent = this.around.defects.has('worker-reports-nothing');
    return {
      berth: this.facts.id,
      endpoint: this.endpoint,
      hull: this.facts.type,
      harbor: this.facts.zone,
      driftboats: this.facts.spot,
      watch: this.session,
      logNo: this.sequence,
      helm: this.token,
      recallS: left === null ? null : Math.max(0, left),
      legs: silent ? [] : [...this.tasks.values()].map(describe),
    };
  }

  private scheduleReport(delay: number): void {
    this.nextReport?.cancel();
    const earliest = this.lastReportAt + LEAST_GAP_MS - this.around.queue.now;
    this.nextReport = this.host.after(Math.max(delay, earliest), () => void this.sendReport());
  }

  private noteChange(): void {
    this.changed = true;
    if (!this.reporting) this.scheduleReport(0);
  }

  private async sendReport(): Promise<void> {
    const { queue, random, times } = this.around;
    this.expire();
    this.reporting = true;
    this.changed = false;
    const sentAt = queue.now;
    this.lastReportAt = sentAt;
    const { session } = this;
    const answer = await this.around.report(this.controller, this.report());
    this.expire();
    this.reporting = false;
    if (answer?.status === 200) {
      const current = session === this.session || this.around.defects.has('worker-ignores-sessions');
      if (current) this.accept(answer.body, sentAt);
      this.scheduleReport(this.changed ? 0 : times.reportMs * random.between(0.75, 1.25));
    } else if (answer?.status === 421 && this.redirect(answer.body)) {
      this.scheduleReport(random.between(0, 500));
    } else {
      this.controller = (this.controller + 1) % this.around.controllers.length;
      this.scheduleReport(1000);
    }
  }

  private redirect(body: unknown): boolean {
    const named = (body as { harbormaster?: string | null } | null)?.harbormaster ?? '';
    const to = this.around.controllers.indexOf(named);
    if (to < 0 || to === this.controller) return false;
    this.controller = to;
    return true;
  }

  private accept(body: unknown, sentAt: number): void {
    const reply = body as { helm?: number; orders?: readonly Order[] };
    if (!this.acceptsToken(reply.helm)) return;
    this.leaseFrom = sentAt;
    for (const order of reply.orders ?? []) this.execute(order);
  }

  private acceptsToken(token: number | undefined): boolean {
    if (token === undefined) return false;
    if (token < this.token) return this.around.defects.has('worker-ignores-tokens');
    if (token > this.token) {
      this.token = token;
      const { queue, times } = this.around;
      if (queue.now - this.tokenChangeAt > times.leaseMs / 2) {
        this.tokenChangeAt = queue.now;
        this.noteChange();
      }
    }
    return true;
  }

  /** Also while the machine hangs: it may go on within its lease only. */
  private checkLease(): void {
    const { life } = this.host;
    this.around.queue.after(LEASE_CHECK_MS, () => {
      if (this.host.life !== life) return;
      this.expire();
      this.checkLease();
    });
  }

  /** Without an answer in time the worker kills and forgets every task and goes on to its next session. */
  private expire(): void {
    const { queue, times, defects, trace } = this.around;
    if (queue.now - this.leaseFrom <= times.leaseMs) return;
    if (defects.has('worker-ignores-its-lease')) return;
    if (this.tasks.size > 0) trace.add(`${this.facts.id} lease over, forgets ${this.tasks.size} tasks`);
    for (const t of this.tasks.values()) this.leave(t, false);
    this.tasks.clear();
    this.session += 1;
    this.leaseFrom = queue.now;
    this.noteChange();
  }

  /** A request that came straight to the machine's address. */
  serve(call: Call): Response {
    this.expire();
    if (call.path === '/status') return { status: 200, body: this.report() };
    const body = JSON.parse(JSON.stringify(call.body ?? {})) as DirectBody;
    if (body.helm === undefined || body.watch === undefined) return { status: 400, body: {} };
    const current = body.watch === this.session || this.around.defects.has('worker-ignores-sessions');
    if (!current || !this.acceptsToken(body.helm)) return { status: 409, body: this.report() };
    for (const order of body.orders ?? []) this.execute(order);
    return { status: 200, body: this.report() };
  }

  private execute(order: Order): void {
    const key = `${order.leg}#${order.sailing}`;
    const known = this.tasks.get(key);
    if (order.order === 'launch') {
      if (!known) this.launch(order, key);
    } else if (order.order === 'clear') {
      if (known?.status === 'exited') this.tasks.delete(key);
    } else if (known && known.status !== 'exited') this.kill(known, order.ebbS ?? 0);
    this.noteChange();
  }

  private launch(order: Order, key: string): void {
    const job = this.around.storage.jobOf(order.leg);
    const free = this.resources;
    const busy = this.holds().includes(order.leg);
    const task: Task = {
      name: order.leg,
      attempt: order.sailing,
      job,
      status: 'pulling',
      cause: null,
      saved: false,
      runningSince: 0,
      progressBefore: 0,
      timer: null,
      gang: null,
    };
    this.tasks.set(key, task);
    if (!job) return this.exit(task, 'unknown');
    if (busy) return this.exit(task, 'busy');
    const fits =
      job.cpus <= free.cpus + EPSILON &&
      job.gpus <= free.gpus + EPSILON &&
      job.memoryGb <= free.memoryGb + EPSILON;
    if (!fits) return this.exit(task, 'full');
    this.images.want(job.image, job.imageGb, key, () => this.begin(task));
  }

  /** The image is here: the task is on the machine from now on. */
  private begin(task: Task): void {
    const { observer, storage, queue, trace } = this.around;
    if (task.status !== 'pulling') return;
    if (task.job?.shape === 'gang') return this.gather(task, task.job);
    task.status = 'running';
    task.runningSince = queue.now;
    task.progressBefore = storage.saved.get(task.name) ?? 0;
    trace.add(`${this.facts.id} starts ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.facts, task.name);
    this.arm(task);
    this.noteChange();
  }

  /** The image is here: the task is on the machine, and waits for the others of its gang. */
  private gather(task: Task, job: UserJob): void {
    const { observer, storage, trace, random, gangs } = this.around;
    task.status = 'gathering';
    trace.add(`${this.facts.id} has ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.facts, task.name);
    this.noteChange();
    if (storage.results.has(task.name)) return this.finishSoon(task, 'done', 0);
    if (this.sick) this.finishSoon(task, 'error', random.between(200, ERROR_AFTER_MS));
    const attempt = gangs.attempt(job, task.attempt);
    const member = this.gangMember(task);
    task.gang = { attempt, member };
    attempt.join(member);
  }

  private gangMember(task: Task): GangMember {
    const { slowness } = this;
    const { host } = this;
    const show = (status: 'running' | 'saving'): void => {
      if (task.status === 'exited') return;
      task.status = status;
      this.noteChange();
    };
    return {
      task: task.name,
      slowness,
      get hanging() {
        return host.paused;
      },
      run: () => show('running'),
      save: () => show('saving'),
      exit: (cause, saved) => {
        if (task.status === 'exited') return;
        task.saved = saved;
        this.exit(task, cause);
      },
      after: (delayMs, run) => host.after(delayMs, run),
    };
  }

  /** Sets the timer of what comes next: completion, failure, or the next checkpoint. */
  private arm(task: Task): void {
    const { storage, defects, random } = this.around;
    const { job } = task;
    if (!job) return;
    if (storage.results.has(task.name)) return this.finishSoon(task, 'done', 0);
    if (this.sick) return this.finishSoon(task, 'error', random.between(200, ERROR_AFTER_MS));
    if (defects.has('worker-claims-done') && job.shape === 'array')
      return this.finishSoon(task, 'done', 1000);
    const left = (job.runS * 1000 - task.progressBefore) * this.slowness;
    if (Number.isFinite(left)) this.finishSoon(task, 'done', left);
  }

  private finishSoon(task: Task, cause: ExitCause, delay: number): void {
    task.timer = this.host.after(delay, () => this.exit(task, cause));
  }

  /** Run time so far, in normal speed. */
  private progress(task: Task): number {
    return task.progressBefore + (this.around.queue.now - task.runningSince) / this.slowness;
  }

  private kill(task: Task, graceS: number): void {
    const { job } = task;
    if (this.around.defects.has('worker-ignores-stops')) return;
    if (task.gang) return task.gang.attempt.stop(task.gang.member, graceS);
    const saves = task.status === 'running' && job && job.checkpointS > 0 && graceS >= job.saveS;
    if (!saves) {
      if (task.status !== 'saving' || graceS <= 0) this.exit(task, 'halted');
      return;
    }
    task.timer?.cancel();
    const reached = this.progress(task);
    task.status = 'saving';
    task.timer = this.host.after(job.saveS * 1000, () => {
      this.around.storage.saved.set(task.name, reached);
      task.saved = true;
      this.exit(task, 'halted');
    });
  }

  private exit(task: Task, cause: ExitCause): void {
    this.leave(task, cause === 'done');
    task.status = 'exited';
    task.cause = cause;
    this.around.trace.add(`${this.facts.id} ends ${task.name} (attempt ${task.attempt}): ${cause}`);
    this.noteChange();
  }

  /** Takes the task off the machine; what it saved by itself is kept. */
  private leave(task: Task, completed: boolean): void {
    const { observer, storage, defects } = this.around;
    task.timer?.cancel();
    if (task.status === 'pulling' && task.job)
      this.images.abandon(task.job.image, `${task.name}#${task.attempt}`);
    if (task.status === 'pulling' || task.status === 'exited') return;
    task.gang?.attempt.leave(task.gang.member);
    if (task.status === 'running' && !task.gang && task.job && task.job.checkpointS > 0) {
      const interval = task.job.checkpointS * 1000;
      const kept = Math.floor(this.progress(task) / interval) * interval;
      storage.saved.set(task.name, Math.max(storage.saved.get(task.name) ?? 0, kept));
    }
    const really = completed && !defects.has('worker-claims-done');
    if (really) storage.results.add(task.name);
    observer.taskEnded(this.facts, task.name, really);
  }

  /** The machine does nothing for a while; its tasks lose that time. */
  hang(duration: number): void {
    if (this.hangingSince !== null) return;
    const { queue } = this.around;
    const from = queue.now;
    this.hangingSince = from;
    this.host.pause(duration);
    for (const { gang } of this.tasks.values()) gang?.attempt.hang(gang.member);
    this.host.after(duration, () => {
      this.hangingSince = null;
      this.expire();
      for (const t of this.tasks.values()) {
        t.gang?.attempt.resume();
        if (t.status !== 'running' || t.gang) continue;
        t.timer?.cancel();
        t.runningSince += queue.now - from;
        this.rearm(t);
      }
    });
  }

  private rearm(task: Task): void {
    const done = this.around.queue.now - task.runningSince;
    const total = ((task.job?.runS ?? 0) * 1000 - task.progressBefore) * this.slowness;
    if (Number.isFinite(total))
      this.finishSoon(task, this.sick ? 'error' : 'done', Math.max(0, total - done));
  }

  setNotice(endsAt: number): void {
    this.noticeEndsAt = endsAt;
    this.noteChange();
  }

  /** The machine and all that was on it are gone. */
  destroy(): void {
    this.host.end();
    for (const t of this.tasks.values()) this.leave(t, false);
    this.tasks.clear();
  }
}

const describe = (t: Task): object => ({
  leg: t.name,
  sailing: t.attempt,
  status: t.status,
  ...(t.cause === null ? {} : { cause: t.cause }),
  ...(t.saved ? { saved: true } : {}),
});
