/** Stand-in for a worker, from its published protocol: reports, orders, tokens, sessions, leases. */
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { HttpResponse } from '../../src/http/server.js';
import type { SimulatedClock } from './simulated-clock.js';
import type { GangSize, FakeGangCoordinator } from './fake-gang-coordinator.js';

interface WorkerTask {
  taskId: string;
  attempt: number;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause?: string;
  timer: { cancel(): void } | null;
}

export interface WorkerCommand {
  order: 'launch' | 'kill' | 'clear';
  leg: string;
  sailing: number;
  ebbS?: number;
}

export interface JobBehaviour {
  readonly runMs: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly checkpointDurationS: number;
  readonly fails: boolean;
  /** Its tasks run together or not at all. */
  readonly gang?: GangSize;
}

export interface WorkerEnvironment {
  readonly clock: SimulatedClock;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /** Whether its lease ends to the millisecond, and what reaches it while it hangs waits until it goes on. */
  readonly exactLeases: boolean;
  /** The nodes' answers to a report; null: nothing answers. */
  readonly sendHeartbeat: (node: number, from: FakeWorker, body: unknown) => Promise<HttpResponse | null>;
  readonly nodes: readonly string[];
  readonly jobOfTask: (taskId: string) => JobBehaviour | null;
  readonly gangs: FakeGangCoordinator;
  readonly onCommandExecuted: (from: FakeWorker, command: WorkerCommand) => void;
  readonly trace: (line: string) => void;
  /** It holds the task's image, and has it until the second call; `done`: it completed. */
  readonly onTaskStarted: (worker: FakeWorker, taskId: string) => void;
  readonly onTaskEnded: (worker: FakeWorker, taskId: string, done: boolean) => void;
}

export class FakeWorker {
  readonly tasks = new Map<string, WorkerTask>();
  private agentEpoch = 1;
  private sequence = 0;
  fencingToken = 0;
  private node = 0;
  private leaseStartedAt: number;
  alive = true;
  /** A hanging machine executes nothing, and may go on within its lease. */
  hanging = false;
  /** A faulty machine: every task on it fails. */
  faulty = false;
  interruptionAt: number | null = null;
  private leaseTimer: { cancel(): void } | null = null;
  /** Direct requests and answers that came while it hangs, in their order. */
  private readonly deferredActions: (() => void)[] = [];
  readonly images = new Set<string>();

  constructor(
    readonly id: string,
    readonly address: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    readonly cpus: number,
    private readonly environment: WorkerEnvironment,
    readonly gpus = 0,
  ) {
    this.leaseStartedAt = environment.clock.now();
    this.scheduleLeaseCheck();
    environment.clock.after(10, () => void this.run());
  }

  runningTasks(): WorkerTask[] {
    return [...this.tasks.values()].filter((t) => t.status === 'running' || t.status === 'saving');
  }

  /** Tasks that hold their image, those that wait for their gang included. */
  presentTasks(): WorkerTask[] {
    return [...this.tasks.values()].filter((t) => t.status !== 'pulling' && t.status !== 'exited');
  }

  private forgetTasks(): void {
    for (const task of this.tasks.values()) task.timer?.cancel();
    const present = this.presentTasks();
    for (const task of present) this.environment.onTaskEnded(this, task.taskId, false);
    for (const task of present)
      this.environment.gangs.loseTask(jobOfTask(task.taskId), task.attempt, task.taskId);
    this.tasks.clear();
  }

  private nextHeartbeat(): unknown {
    this.sequence += 1;
    const now = this.environment.clock.now();
    return {
      berth: this.id,
      endpoint: this.address,
      hull: this.type,
      harbor: this.zone,
      driftboats: this.spot,
      watch: this.agentEpoch,
      logNo: this.sequence,
      helm: this.fencingToken,
      recallS: this.interruptionAt === null ? null : Math.max(0, (this.interruptionAt - now) / 1000),
      legs: [...this.tasks.values()].map((task) => ({
        leg: task.taskId,
        sailing: task.attempt,
        status: task.status,
        ...(task.cause ? { cause: task.cause } : {}),
      })),
    };
  }

  /** Checks the lease on its own timer: a worker that nobody answers kills everything by itself. */
  private checkLease(): void {
    const { clock, leaseMs, trace } = this.environment;
    if (clock.now() - this.leaseStartedAt <= leaseMs) return;
    if (this.tasks.size > 0) trace(`${this.id} lease over, forgets ${this.tasks.size} tasks`);
    this.forgetTasks();
    this.agentEpoch += 1;
    this.leaseStartedAt = clock.now();
    this.scheduleLeaseCheck();
  }

  private scheduleLeaseCheck(): void {
    if (!this.environment.exactLeases) return;
    this.leaseTimer?.cancel();
    const left = this.leaseStartedAt + this.environment.leaseMs - this.environment.clock.now();
    this.leaseTimer = this.environment.clock.after(left + 1e-3, () => {
      if (this.alive) this.checkLease();
    });
  }

  /** It executes nothing until it goes on. */
  hang(): void {
    this.hanging = true;
    this.environment.trace(`${this.id} hangs`);
  }

  /** It goes on where it was, unless its lease has ended meanwhile; first with what has come in the meantime. */
  resume(): void {
    if (!this.hanging) return;
    this.hanging = false;
    this.environment.trace(`${this.id} goes on`);
    if (this.alive) this.checkLease();
    for (const act of this.deferredActions.splice(0)) act();
  }

  /** A request that reaches the machine while it hangs; nobody waits for its answer any more. */
  deferUntilResumed(call: Call): void {
    this.deferredActions.push(() => void this.receive(call));
  }

  private waitUntilResumed(): Promise<void> {
    if (!this.hanging || !this.environment.exactLeases) return Promise.resolve();
    return new Promise((resolve) => this.deferredActions.push(resolve));
  }

  private async run(): Promise<void> {
    const { clock, heartbeatIntervalMs } = this.environment;
    while (this.alive) {
      this.checkLease();
      if (this.hanging) {
        await clock.sleep(100);
        continue;
      }
      const sent = clock.now();
      const agentEpoch = this.agentEpoch;
      const timeout = clock.sleep(4000).then(() => null);
      const answer = await Promise.race([this.sendHeartbeat(this.nextHeartbeat()), timeout]);
      this.checkLease();
      if (answer?.status === 200 && agentEpoch === this.agentEpoch && !this.hanging)
        this.acceptAnswer(answer.body, sent);
      else if (answer?.status === 421) this.followRedirect(answer.body);
      else if (answer?.status !== 200) this.node = (this.node + 1) % this.environment.nodes.length;
      await clock.sleep(answer?.status === 200 ? heartbeatIntervalMs : answer?.status === 421 ? 300 : 1000);
    }
  }

  private async sendHeartbeat(body: unknown): Promise<HttpResponse | null> {
    const answer = await this.environment.sendHeartbeat(this.node, this, body);
    if (this.hanging) await this.waitUntilResumed();
    return answer;
  }

  private followRedirect(body: unknown): void {
    const to = this.environment.nodes.indexOf((body as { harbormaster?: string }).harbormaster ?? '');
    this.node = to < 0 || to === this.node ? (this.node + 1) % this.environment.nodes.length : to;
  }

  private acceptAnswer(body: unknown, sent: number): void {
    const reply = body as { helm: number; orders: WorkerCommand[] };
    if (reply.helm < this.fencingToken) return;
    this.fencingToken = reply.helm;
    this.leaseStartedAt = sent;
    this.scheduleLeaseCheck();
    for (const command of reply.orders) this.execute(command);
  }

  /** A request straight to the worker; the caller decides when it arrives. */
  receive(call: Call): CallOutcome {
    if (!this.alive) return { kind: 'unsent' };
    this.checkLease();
    if (call.path === '/status') return { kind: 'answer', status: 200, body: this.nextHeartbeat() };
    const body = JSON.parse(JSON.stringify(call.body)) as {
      helm: number;
      watch: number;
      orders: WorkerCommand[];
    };
    if (body.helm < this.fencingToken || body.watch !== this.agentEpoch) {
      return { kind: 'answer', status: 409, body: this.nextHeartbeat() };
    }
    this.fencingToken = body.helm;
    for (const command of body.orders) this.execute(command);
    return { kind: 'answer', status: 200, body: this.nextHeartbeat() };
  }

  private execute(command: WorkerCommand): void {
    this.applyCommand(command);
    this.environment.onCommandExecuted(this, command);
  }

  private applyCommand(command: WorkerCommand): void {
    const known = this.tasks.get(command.leg);
    if (command.order === 'launch') {
      if (known?.attempt === command.sailing) return;
      if (known && known.status !== 'exited') return;
      this.launch(command);
    } else if (known?.attempt === command.sailing && command.order === 'kill' && known.status !== 'exited') {
      const behaviour = this.environment.jobOfTask(command.leg);
      if (behaviour?.gang && known.status === 'running' && canCheckpointWithin(behaviour, command)) {
        known.status = 'saving';
        this.environment.gangs.requestStop(
          jobOfTask(command.leg),
          command.sailing,
          command.leg,
          behaviour.checkpointDurationS * 1000,
        );
        return;
      }
      if (known.status === 'saving' && (command.ebbS ?? 0) > 0) return;
      known.timer?.cancel();
      if (
        behaviour &&
        behaviour.checkpointDurationS > 0 &&
        (command.ebbS ?? 0) >= behaviour.checkpointDurationS &&
        known.status === 'running'
      ) {
        known.status = 'saving';
        known.timer = this.environment.clock.after(behaviour.checkpointDurationS * 1000, () =>
          this.exit(known, 'halted'),
        );
      } else this.exit(known, 'halted');
    } else if (known?.attempt === command.sailing && command.order === 'clear' && known.status === 'exited')
      this.tasks.delete(command.leg);
  }

  private launch(command: WorkerCommand): void {
    const behaviour = this.environment.jobOfTask(command.leg);
    const task: WorkerTask = {
      taskId: command.leg,
      attempt: command.sailing,
      status: 'pulling',
      timer: null,
    };
    this.tasks.set(command.leg, task);
    if (!behaviour) {
      this.exit(task, 'unknown');
      return;
    }
    const present = [...this.tasks.values()].filter((t) => t.status !== 'exited');
    const used = (kind: 'cpus' | 'gpus'): number =>
      present.reduce((sum, t) => sum + (this.environment.jobOfTask(t.taskId)?.[kind] ?? 0), 0);
    if (used('cpus') > this.cpus + 1e-9 || used('gpus') > this.gpus + 1e-9) {
      this.exit(task, 'full');
      return;
    }
    task.timer = this.environment.clock.after(200, () => {
      if (behaviour.gang) {
        this.joinGang(task, behaviour.gang);
        return;
      }
      task.status = 'running';
      this.environment.trace(`${this.id} runs ${task.taskId}`);
      this.environment.onTaskStarted(this, task.taskId);
      const fails = behaviour.fails || this.faulty;
      const ends = fails ? 500 : behaviour.runMs;
      task.timer = Number.isFinite(ends)
        ? this.environment.clock.after(ends, () => this.exit(task, fails ? 'error' : 'done'))
        : null;
    });
  }

  private joinGang(task: WorkerTask, size: GangSize): void {
    task.status = 'gathering';
    this.environment.trace(`${this.id} gathers ${task.taskId}`);
    this.environment.onTaskStarted(this, task.taskId);
    if (this.faulty) {
      task.timer = this.environment.clock.after(500, () => this.exit(task, 'error'));
      return;
    }
    this.environment.gangs.join(jobOfTask(task.taskId), task.attempt, size, {
      taskId: task.taskId,
      run: () => {
        task.status = 'running';
        this.environment.trace(`${this.id} runs ${task.taskId}`);
      },
      exit: (cause) => {
        if (task.status !== 'exited') this.exit(task, cause);
      },
    });
  }

  private exit(task: WorkerTask, cause: string): void {
    task.timer?.cancel();
    task.timer = null;
    const ran = task.status !== 'pulling' && task.status !== 'exited';
    task.status = 'exited';
    task.cause = cause;
    this.environment.trace(`${this.id} ends ${task.taskId}: ${cause}`);
    if (ran) this.environment.onTaskEnded(this, task.taskId, cause === 'done');
    if (ran) this.environment.gangs.loseTask(jobOfTask(task.taskId), task.attempt, task.taskId);
  }

  /** Off and on again: everything is gone, and the worker is in a new session. */
  restart(): void {
    this.forgetTasks();
    this.agentEpoch += 1;
    this.sequence = 0;
    this.fencingToken = 0;
    this.leaseStartedAt = this.environment.clock.now();
  }

  destroy(): void {
    this.alive = false;
    this.forgetTasks();
  }
}

const jobOfTask = (taskId: string): string => taskId.slice(0, taskId.lastIndexOf('/'));

/** Is the grace of the order enough for the task to save? */
const canCheckpointWithin = (behaviour: JobBehaviour, command: WorkerCommand): boolean =>
  behaviour.checkpointDurationS > 0 && (command.ebbS ?? 0) >= behaviour.checkpointDurationS;
