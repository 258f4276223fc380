/** A fake worker, written from the published protocol: heartbeats, commands, fencing tokens, agent epochs, leases. */
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
  /** Set for a gang, whose tasks run all together or not at all. */
  readonly gang?: GangSize;
}

export interface WorkerEnvironment {
  readonly clock: SimulatedClock;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /**
   * Whether the worker detects the expiry of its lease to the millisecond, and requests and answers that arrive while
   * it hangs wait until it resumes.
   */
  readonly exactLeases: boolean;
  /** Sends a heartbeat to a node; null if there is no answer. */
  readonly sendHeartbeat: (node: number, worker: FakeWorker, body: unknown) => Promise<HttpResponse | null>;
  readonly nodes: readonly string[];
  readonly behaviourOfTask: (taskId: string) => JobBehaviour | null;
  readonly gangs: FakeGangCoordinator;
  readonly onCommandExecuted: (worker: FakeWorker, command: WorkerCommand) => void;
  readonly trace: (line: string) => void;
  /** Called when a task has its image, and when it ends; `done` tells whether it completed. */
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
  /** A hanging machine executes nothing; it may resume within its lease. */
  hanging = false;
  /** A faulty machine: every task on it fails. */
  faulty = false;
  interruptionAt: number | null = null;
  private leaseTimer: { cancel(): void } | null = null;
  /** Handle the direct requests and answers that arrived while the machine hung, in the order of their arrival. */
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

  /** Tasks that have their image, including tasks that wait for their gang. */
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

  /** Kills all tasks if the lease has expired: a worker that gets no answers stops its tasks on its own. */
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
    const remainingMs = this.leaseStartedAt + this.environment.leaseMs - this.environment.clock.now();
    this.leaseTimer = this.environment.clock.after(remainingMs + 1e-3, () => {
      if (this.alive) this.checkLease();
    });
  }

  /** The machine executes nothing until `resume`. */
  hang(): void {
    this.hanging = true;
    this.environment.trace(`${this.id} hangs`);
  }

  /** Resumes; ends the tasks if the lease has expired, and then handles the messages that arrived in the meantime. */
  resume(): void {
    if (!this.hanging) return;
    this.hanging = false;
    this.environment.trace(`${this.id} goes on`);
    if (this.alive) this.checkLease();
    for (const action of this.deferredActions.splice(0)) action();
  }

  /** Queues a request that arrives while the machine hangs; its answer is discarded. */
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
      const sentAt = clock.now();
      const agentEpoch = this.agentEpoch;
      const timeout = clock.sleep(4000).then(() => null);
      const answer = await Promise.race([this.sendHeartbeat(this.nextHeartbeat()), timeout]);
      this.checkLease();
      if (answer?.status === 200 && agentEpoch === this.agentEpoch && !this.hanging)
        this.acceptAnswer(answer.body, sentAt);
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
    const target = this.environment.nodes.indexOf((body as { harbormaster?: string }).harbormaster ?? '');
    this.node = target < 0 || target === this.node ? (this.node + 1) % this.environment.nodes.length : target;
  }

  private acceptAnswer(body: unknown, sentAt: number): void {
    const reply = body as { helm: number; orders: WorkerCommand[] };
    if (reply.helm < this.fencingToken) return;
    this.fencingToken = reply.helm;
    this.leaseStartedAt = sentAt;
    this.scheduleLeaseCheck();
    for (const command of reply.orders) this.execute(command);
  }

  /** Handles a direct request at once; the caller models the delay of the network. */
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
    const task = this.tasks.get(command.leg);
    if (command.order === 'launch') {
      if (task?.attempt === command.sailing) return;
      if (task && task.status !== 'exited') return;
      this.launch(command);
    } else if (task?.attempt === command.sailing && command.order === 'kill' && task.status !== 'exited') {
      const behaviour = this.environment.behaviourOfTask(command.leg);
      if (behaviour?.gang && task.status === 'running' && canCheckpointWithin(behaviour, command)) {
        task.status = 'saving';
        this.environment.gangs.requestStop(
          jobOfTask(command.leg),
          command.sailing,
          command.leg,
          behaviour.checkpointDurationS * 1000,
        );
        return;
      }
      if (task.status === 'saving' && (command.ebbS ?? 0) > 0) return;
      task.timer?.cancel();
      if (
        behaviour &&
        behaviour.checkpointDurationS > 0 &&
        (command.ebbS ?? 0) >= behaviour.checkpointDurationS &&
        task.status === 'running'
      ) {
        task.status = 'saving';
        task.timer = this.environment.clock.after(behaviour.checkpointDurationS * 1000, () =>
          this.exit(task, 'halted'),
        );
      } else this.exit(task, 'halted');
    } else if (task?.attempt === command.sailing && command.order === 'clear' && task.status === 'exited')
      this.tasks.delete(command.leg);
  }

  private launch(command: WorkerCommand): void {
    const behaviour = this.environment.behaviourOfTask(command.leg);
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
    const activeTasks = [...this.tasks.values()].filter((t) => t.status !== 'exited');
    const used = (kind: 'cpus' | 'gpus'): number =>
      activeTasks.reduce((sum, t) => sum + (this.environment.behaviourOfTask(t.taskId)?.[kind] ?? 0), 0);
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
      const durationMs = fails ? 500 : behaviour.runMs;
      task.timer = Number.isFinite(durationMs)
        ? this.environment.clock.after(durationMs, () => this.exit(task, fails ? 'error' : 'done'))
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
    const wasPresent = task.status !== 'pulling' && task.status !== 'exited';
    task.status = 'exited';
    task.cause = cause;
    this.environment.trace(`${this.id} ends ${task.taskId}: ${cause}`);
    if (wasPresent) this.environment.onTaskEnded(this, task.taskId, cause === 'done');
    if (wasPresent) this.environment.gangs.loseTask(jobOfTask(task.taskId), task.attempt, task.taskId);
  }

  /** Restarts the machine: its tasks are lost, and the worker begins a new agent epoch. */
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

/** Whether the grace period of the command is long enough for a checkpoint. */
const canCheckpointWithin = (behaviour: JobBehaviour, command: WorkerCommand): boolean =>
  behaviour.checkpointDurationS > 0 && (command.ebbS ?? 0) >= behaviour.checkpointDurationS;
