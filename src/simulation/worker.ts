/** One machine's worker: heartbeats, agent epochs, fencing tokens, lease, commands and tasks, as PROTOCOL says. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { EventQueue, Host, ScheduledTimer } from './clock.js';
import type { Defects } from './defects.js';
import { ImageCache } from './image-cache.js';
import type { GangAttempt, GangExit, GangMember, GangRegistry } from './gangs.js';
import type { JobStorage, UserJob } from './user-jobs.js';
import type { Response } from './network.js';
import type { MachineSpec, Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';

interface WireCommand {
  readonly order: 'launch' | 'kill' | 'clear';
  readonly leg: string;
  readonly sailing: number;
  readonly ebbS?: number;
}

interface DirectCommandBody {
  readonly helm?: number;
  readonly watch?: number;
  readonly orders?: readonly WireCommand[];
}

type ExitCause = GangExit | 'error' | 'full' | 'busy' | 'unknown';

interface WorkerTask {
  readonly name: string;
  readonly attempt: number;
  readonly job: UserJob | null;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: ExitCause | null;
  saved: boolean;
  /** When the present run began, and how much was saved before it, in milliseconds. */
  runningSince: number;
  progressBefore: number;
  timer: ScheduledTimer | null;
  /** Its place among the tasks of its gang, once it has its image. */
  gang: { readonly attempt: GangAttempt; readonly member: GangMember } | null;
}

/** The times of the settings that workers keep. */
export interface WorkerTimes {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
}

/** What a worker reaches: the controllers by number, null for no answer. */
export type HeartbeatLink = (controller: number, body: object) => Promise<Response | null>;

/** What a worker uses of the simulated cluster. */
export interface WorkerEnvironment {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: GangRegistry;
  readonly controllers: readonly string[];
  readonly times: WorkerTimes;
  readonly defects: Defects;
  readonly sendHeartbeat: HeartbeatLink;
}

const MIN_HEARTBEAT_INTERVAL_MS = 500;
const LEASE_CHECK_INTERVAL_MS = 100;
/** How long after its start a task of a failing machine fails. */
const FAILURE_DELAY_MS = { low: 200, high: 1500 };
/** Heartbeats come at intervals that differ by this factor from the settings'. */
const HEARTBEAT_INTERVAL_FACTOR = { low: 0.75, high: 1.25 };
/** A redirected worker turns to the other controller within this time. */
const REDIRECT_DELAY_MS = { low: 0, high: 500 };
const RETRY_DELAY_MS = 1000;
/** With the defect `worker-claims-done`: when a task pretends to be done. */
const FALSE_COMPLETION_DELAY_MS = 1000;
const EPSILON = 1e-9;

/** One machine's worker; `serve` takes commands, heartbeats go out through its environment. */
export class Worker {
  /** Every task that it starts fails. */
  failing = false;
  /** How much longer than normal its tasks run. */
  slowness = 1;
  interruptionAt: number | null = null;
  private readonly tasks = new Map<string, WorkerTask>();
  private readonly images: ImageCache;
  private agentEpoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  private controllerIndex: number;
  private leaseRenewedAt: number;
  private lastHeartbeatAt = -Infinity;
  private heartbeatInFlight = false;
  private statusChanged = false;
  private nextHeartbeat: ScheduledTimer | null = null;
  private fencingTokenChangedAt = -Infinity;
  private hangingSince: number | null = null;

  constructor(
    readonly spec: MachineSpec,
    readonly host: Host,
    readonly endpoint: string,
    speed: { gbPerS: number; cacheGb: number },
    private readonly environment: WorkerEnvironment,
  ) {
    this.images = new ImageCache(environment.queue, speed.gbPerS, speed.cacheGb);
    this.controllerIndex = environment.random.integer(0, environment.controllers.length - 1);
    this.leaseRenewedAt = environment.queue.now;
    this.scheduleHeartbeat(0);
    this.scheduleLeaseCheck();
  }

  get freeResources(): { cpus: number; gpus: number; memoryGb: number } {
    const free = { cpus: this.spec.cpus, gpus: this.spec.gpus, memoryGb: this.spec.memoryGb };
    for (const task of this.tasks.values()) {
      if (task.status === 'exited' || !task.job) continue;
      free.cpus -= task.job.cpus;
      free.gpus -= task.job.gpus;
      free.memoryGb -= task.job.memoryGb;
    }
    return free;
  }

  /** Names of the tasks that hold room here, those that wait for their image included. */
  occupyingTasks(): string[] {
    return [...this.tasks.values()].filter((task) => task.status !== 'exited').map((task) => task.name);
  }

  runningTasks(): string[] {
    return [...this.tasks.values()].filter((task) => task.status === 'running').map((task) => task.name);
  }

  get hanging(): boolean {
    return this.host.paused;
  }

  buildHeartbeat(): object {
    this.sequence += 1;
    const secondsLeft =
      this.interruptionAt === null ? null : (this.interruptionAt - this.environment.queue.now) / 1000;
    const omitTasks = this.environment.defects.has('worker-reports-nothing');
    return {
      berth: this.spec.id,
      endpoint: this.endpoint,
      hull: this.spec.type,
      harbor: this.spec.zone,
      driftboats: this.spec.spot,
      watch: this.agentEpoch,
      logNo: this.sequence,
      helm: this.fencingToken,
      recallS: secondsLeft === null ? null : Math.max(0, secondsLeft),
      legs: omitTasks ? [] : [...this.tasks.values()].map(encodeTaskStatus),
    };
  }

  private scheduleHeartbeat(delay: number): void {
    this.nextHeartbeat?.cancel();
    const earliest = this.lastHeartbeatAt + MIN_HEARTBEAT_INTERVAL_MS - this.environment.queue.now;
    this.nextHeartbeat = this.host.after(Math.max(delay, earliest), () => void this.sendHeartbeat());
  }

  private noteStatusChange(): void {
    this.statusChanged = true;
    if (!this.heartbeatInFlight) this.scheduleHeartbeat(0);
  }

  private async sendHeartbeat(): Promise<void> {
    const { queue, random, times } = this.environment;
    this.expireLease();
    this.heartbeatInFlight = true;
    this.statusChanged = false;
    const sentAt = queue.now;
    this.lastHeartbeatAt = sentAt;
    const { agentEpoch } = this;
    const response = await this.environment.sendHeartbeat(this.controllerIndex, this.buildHeartbeat());
    this.expireLease();
    this.heartbeatInFlight = false;
    if (response?.status === HTTP_STATUS.ok) {
      const current =
        agentEpoch === this.agentEpoch || this.environment.defects.has('worker-ignores-sessions');
      if (current) this.acceptResponse(response.body, sentAt);
      this.scheduleHeartbeat(
        this.statusChanged ? 0 : times.heartbeatIntervalMs * random.within(HEARTBEAT_INTERVAL_FACTOR),
      );
    } else if (response?.status === HTTP_STATUS.misdirectedRequest && this.redirect(response.body)) {
      this.scheduleHeartbeat(random.within(REDIRECT_DELAY_MS));
    } else {
      this.controllerIndex = (this.controllerIndex + 1) % this.environment.controllers.length;
      this.scheduleHeartbeat(RETRY_DELAY_MS);
    }
  }

  private redirect(body: unknown): boolean {
    const leader = (body as { harbormaster?: string | null } | null)?.harbormaster ?? '';
    const index = this.environment.controllers.indexOf(leader);
    if (index < 0 || index === this.controllerIndex) return false;
    this.controllerIndex = index;
    return true;
  }

  private acceptResponse(body: unknown, sentAt: number): void {
    const reply = body as { helm?: number; orders?: readonly WireCommand[] };
    if (!this.acceptFencingToken(reply.helm)) return;
    this.leaseRenewedAt = sentAt;
    for (const command of reply.orders ?? []) this.execute(command);
  }

  private acceptFencingToken(fencingToken: number | undefined): boolean {
    if (fencingToken === undefined) return false;
    if (fencingToken < this.fencingToken) return this.environment.defects.has('worker-ignores-tokens');
    if (fencingToken > this.fencingToken) {
      this.fencingToken = fencingToken;
      const { queue, times } = this.environment;
      if (queue.now - this.fencingTokenChangedAt > times.leaseMs / 2) {
        this.fencingTokenChangedAt = queue.now;
        this.noteStatusChange();
      }
    }
    return true;
  }

  /** Also while the machine hangs: it may go on within its lease only. */
  private scheduleLeaseCheck(): void {
    const { lifetime } = this.host;
    this.environment.queue.after(LEASE_CHECK_INTERVAL_MS, () => {
      if (this.host.lifetime !== lifetime) return;
      this.expireLease();
      this.scheduleLeaseCheck();
    });
  }

  /** Without an answer in time the worker kills and forgets every task and goes on to its next agent epoch. */
  private expireLease(): void {
    const { queue, times, defects, trace } = this.environment;
    if (queue.now - this.leaseRenewedAt <= times.leaseMs) return;
    if (defects.has('worker-ignores-its-lease')) return;
    if (this.tasks.size > 0) trace.add(`${this.spec.id} lease over, forgets ${this.tasks.size} tasks`);
    for (const task of this.tasks.values()) this.removeTask(task, false);
    this.tasks.clear();
    this.agentEpoch += 1;
    this.leaseRenewedAt = queue.now;
    this.noteStatusChange();
  }

  /** A request that came straight to the machine's address. */
  serve(call: Call): Response {
    this.expireLease();
    if (call.path === '/status') return { status: HTTP_STATUS.ok, body: this.buildHeartbeat() };
    const body = JSON.parse(JSON.stringify(call.body ?? {})) as DirectCommandBody;
    if (body.helm === undefined || body.watch === undefined)
      return { status: HTTP_STATUS.badRequest, body: {} };
    const current = body.watch === this.agentEpoch || this.environment.defects.has('worker-ignores-sessions');
    if (!current || !this.acceptFencingToken(body.helm))
      return { status: HTTP_STATUS.conflict, body: this.buildHeartbeat() };
    for (const command of body.orders ?? []) this.execute(command);
    return { status: HTTP_STATUS.ok, body: this.buildHeartbeat() };
  }

  private execute(command: WireCommand): void {
    const key = `${command.leg}#${command.sailing}`;
    const existing = this.tasks.get(key);
    if (command.order === 'launch') {
      if (!existing) this.launch(command, key);
    } else if (command.order === 'clear') {
      if (existing?.status === 'exited') this.tasks.delete(key);
    } else if (existing && existing.status !== 'exited') this.kill(existing, command.ebbS ?? 0);
    this.noteStatusChange();
  }

  private launch(command: WireCommand, key: string): void {
    const job = this.environment.storage.jobOf(command.leg);
    const free = this.freeResources;
    const busy = this.occupyingTasks().includes(command.leg);
    const task: WorkerTask = {
      name: command.leg,
      attempt: command.sailing,
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
    this.images.request(job.image, job.imageGb, key, () => this.startTask(task));
  }

  /** The image is here: the task is on the machine from now on. */
  private startTask(task: WorkerTask): void {
    const { observer, storage, queue, trace } = this.environment;
    if (task.status !== 'pulling') return;
    if (task.job?.shape === 'gang') return this.joinGang(task, task.job);
    task.status = 'running';
    task.runningSince = queue.now;
    task.progressBefore = storage.checkpoints.get(task.name) ?? 0;
    trace.add(`${this.spec.id} starts ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.spec, task.name);
    this.scheduleExit(task);
    this.noteStatusChange();
  }

  /** The image is here: the task is on the machine, and waits for the others of its gang. */
  private joinGang(task: WorkerTask, job: UserJob): void {
    const { observer, storage, trace, random, gangs } = this.environment;
    task.status = 'gathering';
    trace.add(`${this.spec.id} has ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.spec, task.name);
    this.noteStatusChange();
    if (storage.results.has(task.name)) return this.exitAfter(task, 'done', 0);
    if (this.failing) this.exitAfter(task, 'error', random.within(FAILURE_DELAY_MS));
    const attempt = gangs.attempt(job, task.attempt);
    const member = this.gangMember(task);
    task.gang = { attempt, member };
    attempt.join(member);
  }

  private gangMember(task: WorkerTask): GangMember {
    const { slowness, host } = this;
    const show = (status: 'running' | 'saving'): void => {
      if (task.status === 'exited') return;
      task.status = status;
      this.noteStatusChange();
    };
    return {
      task: task.name,
      slowness,
      get hanging() {
        return host.paused;
      },
      run: () => show('running'),
      beginCheckpoint: () => show('saving'),
      exit: (cause, saved) => {
        if (task.status === 'exited') return;
        task.saved = saved;
        this.exit(task, cause);
      },
      after: (delayMs, run) => host.after(delayMs, run),
    };
  }

  /** Sets the timer of what comes next: completion, failure, or the next checkpoint. */
  private scheduleExit(task: WorkerTask): void {
    const { storage, defects, random } = this.environment;
    const { job } = task;
    if (!job) return;
    if (storage.results.has(task.name)) return this.exitAfter(task, 'done', 0);
    if (this.failing) return this.exitAfter(task, 'error', random.within(FAILURE_DELAY_MS));
    if (defects.has('worker-claims-done') && job.shape === 'array')
      return this.exitAfter(task, 'done', FALSE_COMPLETION_DELAY_MS);
    const remainingMs = (job.runS * 1000 - task.progressBefore) * this.slowness;
    if (Number.isFinite(remainingMs)) this.exitAfter(task, 'done', remainingMs);
  }

  private exitAfter(task: WorkerTask, cause: ExitCause, delay: number): void {
    task.timer = this.host.after(delay, () => this.exit(task, cause));
  }

  /** Run time so far, in normal speed. */
  private progressMs(task: WorkerTask): number {
    return task.progressBefore + (this.environment.queue.now - task.runningSince) / this.slowness;
  }

  private kill(task: WorkerTask, graceS: number): void {
    const { job } = task;
    if (this.environment.defects.has('worker-ignores-stops')) return;
    if (task.gang) return task.gang.attempt.stop(task.gang.member, graceS);
    const saves =
      task.status === 'running' && job && job.checkpointIntervalS > 0 && graceS >= job.checkpointDurationS;
    if (!saves) {
      if (task.status !== 'saving' || graceS <= 0) this.exit(task, 'halted');
      return;
    }
    task.timer?.cancel();
    const reached = this.progressMs(task);
    task.status = 'saving';
    task.timer = this.host.after(job.checkpointDurationS * 1000, () => {
      this.environment.storage.checkpoints.set(task.name, reached);
      task.saved = true;
      this.exit(task, 'halted');
    });
  }

  private exit(task: WorkerTask, cause: ExitCause): void {
    this.removeTask(task, cause === 'done');
    task.status = 'exited';
    task.cause = cause;
    this.environment.trace.add(`${this.spec.id} ends ${task.name} (attempt ${task.attempt}): ${cause}`);
    this.noteStatusChange();
  }

  /** Takes the task off the machine; what it saved by itself is kept. */
  private removeTask(task: WorkerTask, completed: boolean): void {
    const { observer, storage, defects } = this.environment;
    task.timer?.cancel();
    if (task.status === 'pulling' && task.job)
      this.images.abandon(task.job.image, `${task.name}#${task.attempt}`);
    if (task.status === 'pulling' || task.status === 'exited') return;
    task.gang?.attempt.leave(task.gang.member);
    if (task.status === 'running' && !task.gang && task.job && task.job.checkpointIntervalS > 0) {
      const interval = task.job.checkpointIntervalS * 1000;
      const kept = Math.floor(this.progressMs(task) / interval) * interval;
      storage.checkpoints.set(task.name, Math.max(storage.checkpoints.get(task.name) ?? 0, kept));
    }
    const reallyCompleted = completed && !defects.has('worker-claims-done');
    if (reallyCompleted) storage.results.add(task.name);
    observer.taskEnded(this.spec, task.name, reallyCompleted);
  }

  /** The machine does nothing for a while; its tasks lose that time. */
  hang(duration: number): void {
    if (this.hangingSince !== null) return;
    const { queue } = this.environment;
    const from = queue.now;
    this.hangingSince = from;
    this.host.pause(duration);
    for (const { gang } of this.tasks.values()) gang?.attempt.hang(gang.member);
    this.host.after(duration, () => {
      this.hangingSince = null;
      this.expireLease();
      for (const task of this.tasks.values()) {
        task.gang?.attempt.resume();
        if (task.status !== 'running' || task.gang) continue;
        task.timer?.cancel();
        task.runningSince += queue.now - from;
        this.rescheduleExit(task);
      }
    });
  }

  private rescheduleExit(task: WorkerTask): void {
    const done = this.environment.queue.now - task.runningSince;
    const total = ((task.job?.runS ?? 0) * 1000 - task.progressBefore) * this.slowness;
    if (Number.isFinite(total))
      this.exitAfter(task, this.failing ? 'error' : 'done', Math.max(0, total - done));
  }

  setInterruption(endsAt: number): void {
    this.interruptionAt = endsAt;
    this.noteStatusChange();
  }

  /** The machine has ended with all that was on it. */
  destroy(): void {
    this.host.end();
    for (const task of this.tasks.values()) this.removeTask(task, false);
    this.tasks.clear();
  }
}

const encodeTaskStatus = (task: WorkerTask): object => ({
  leg: task.name,
  sailing: task.attempt,
  status: task.status,
  ...(task.cause === null ? {} : { cause: task.cause }),
  ...(task.saved ? { saved: true } : {}),
});
