/** Simulated worker of one machine: heartbeats, agent epochs, fencing tokens, lease and commands, as in PROTOCOL. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { Host, ScheduledTimer } from './clock.js';
import { ImageCache } from './image-cache.js';
import type { DirectCommandBody, TaskEnvironment, WireCommand } from './worker-task.js';
import { WorkerTasks } from './worker-tasks.js';
import type { Response } from './network.js';
import type { MachineSpec } from './observer.js';

/** Heartbeat interval and lease duration of workers, from the settings. */
export interface WorkerTimes {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
}

/** Sends a heartbeat to the controller with an index; resolves to null without an answer. */
export type HeartbeatLink = (controller: number, body: object) => Promise<Response | null>;

/** Dependencies of a worker on the simulated cluster. */
export interface WorkerEnvironment extends TaskEnvironment {
  readonly controllers: readonly string[];
  readonly times: WorkerTimes;
  readonly sendHeartbeat: HeartbeatLink;
}

const MIN_HEARTBEAT_INTERVAL_MS = 500;
const LEASE_CHECK_INTERVAL_MS = 100;
/** Each heartbeat interval is the configured interval multiplied by a factor in this range. */
const HEARTBEAT_INTERVAL_FACTOR = { low: 0.75, high: 1.25 };
/** A redirected worker sends its heartbeat to the shard leader within this time. */
const REDIRECT_DELAY_MS = { low: 0, high: 500 };
const RETRY_DELAY_MS = 1000;

/** Simulated worker of one machine: `serve` handles direct requests, heartbeats go out through the environment. */
export class Worker {
  interruptionAt: number | null = null;
  readonly tasks: WorkerTasks;
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
    imageOptions: { gbPerS: number; cacheGb: number },
    private readonly environment: WorkerEnvironment,
  ) {
    const images = new ImageCache(environment.queue, imageOptions.gbPerS, imageOptions.cacheGb);
    this.tasks = new WorkerTasks(spec, host, images, environment, () => this.noteStatusChange());
    this.controllerIndex = environment.random.integer(0, environment.controllers.length - 1);
    this.leaseRenewedAt = environment.queue.now;
    this.scheduleHeartbeat(0);
    this.scheduleLeaseCheck();
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
      legs: omitTasks ? [] : this.tasks.encodeStatuses(),
    };
  }

  private scheduleHeartbeat(delay: number): void {
    this.nextHeartbeat?.cancel();
    const minDelay = this.lastHeartbeatAt + MIN_HEARTBEAT_INTERVAL_MS - this.environment.queue.now;
    this.nextHeartbeat = this.host.after(Math.max(delay, minDelay), () => void this.sendHeartbeat());
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
      const isCurrentEpoch =
        agentEpoch === this.agentEpoch || this.environment.defects.has('worker-ignores-sessions');
      if (isCurrentEpoch) this.acceptResponse(response.body, sentAt);
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
    for (const command of reply.orders ?? []) this.tasks.execute(command);
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

  /** Checks the lease by timers that fire even while the machine hangs: its tasks must not outlive the lease. */
  private scheduleLeaseCheck(): void {
    const { lifetime } = this.host;
    this.environment.queue.after(LEASE_CHECK_INTERVAL_MS, () => {
      if (this.host.lifetime !== lifetime) return;
      this.expireLease();
      this.scheduleLeaseCheck();
    });
  }

  /** If the lease was not renewed in time, kills and forgets every task and starts the next agent epoch. */
  private expireLease(): void {
    const { queue, times, defects, trace } = this.environment;
    if (queue.now - this.leaseRenewedAt <= times.leaseMs) return;
    if (defects.has('worker-ignores-its-lease')) return;
    if (this.tasks.size > 0) trace.add(`${this.spec.id} lease over, forgets ${this.tasks.size} tasks`);
    this.tasks.forgetAll();
    this.agentEpoch += 1;
    this.leaseRenewedAt = queue.now;
    this.noteStatusChange();
  }

  /** Handles a request sent directly to the machine's address. */
  serve(call: Call): Response {
    this.expireLease();
    if (call.path === '/status') return { status: HTTP_STATUS.ok, body: this.buildHeartbeat() };
    const body = JSON.parse(JSON.stringify(call.body ?? {})) as DirectCommandBody;
    if (body.helm === undefined || body.watch === undefined)
      return { status: HTTP_STATUS.badRequest, body: {} };
    const isCurrentEpoch =
      body.watch === this.agentEpoch || this.environment.defects.has('worker-ignores-sessions');
    if (!isCurrentEpoch || !this.acceptFencingToken(body.helm))
      return { status: HTTP_STATUS.conflict, body: this.buildHeartbeat() };
    for (const command of body.orders ?? []) this.tasks.execute(command);
    return { status: HTTP_STATUS.ok, body: this.buildHeartbeat() };
  }

  setInterruption(endsAt: number): void {
    this.interruptionAt = endsAt;
    this.noteStatusChange();
  }

  /** Makes the machine hang for a while; its tasks make no progress meanwhile. */
  hang(duration: number): void {
    if (this.hangingSince !== null) return;
    const hangStartedAt = this.environment.queue.now;
    this.hangingSince = hangStartedAt;
    this.host.pause(duration);
    this.tasks.hang();
    this.host.after(duration, () => {
      this.hangingSince = null;
      this.expireLease();
      this.tasks.resumeAfterHang(hangStartedAt);
    });
  }

  /** Ends the machine and all tasks on it. */
  destroy(): void {
    this.host.stop();
    this.tasks.forgetAll();
  }
}
