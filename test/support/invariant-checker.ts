/**
 * Judges the rules of the protocol by what the outside sees: when a task is on which machine, and what users were
 * answered. It is told of each such event and checks the rules there; it never looks into a controller.
 */

/** What its user asked for, as far as the rules speak of it. */
export interface JobDescription {
  readonly id: string;
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly spread: boolean;
  readonly oneZone: boolean;
  readonly spot: boolean;
  readonly zone: string | null;
  readonly types: readonly string[] | null;
}

export interface MachineDescription {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export interface TeamQuota {
  readonly name: string;
  readonly cpusMax: number;
  /** Absent: none. A limit of 0 is none too, as the protocol has it. */
  readonly gpusMax?: number;
}

/** A user's request and its answer. */
export interface HttpExchange {
  readonly method: string;
  readonly path: string;
  readonly status: number;
  /** The `status` field of the answer's body. */
  readonly jobState: unknown;
}

/** What users had been told of a job when a question about it was sent. */
export interface KnowledgeAtRequest {
  readonly acknowledged: boolean;
  readonly finalState: string | null;
}

/** Everything known of one job from outside. */
interface JobHistory {
  readonly id: string;
  /** null: somebody sent this id in a body that the test did not describe. */
  job: JobDescription | null;
  /** A submission of it has been sent to some node. */
  submitted: boolean;
  cancelRequested: boolean;
  /** Milliseconds by the world's clock. */
  cancelledAt: number | null;
  /** Some user has been answered 200 or 201 about it. */
  acknowledged: boolean;
  finalState: string | null;
  readonly completedTasks: Set<string>;
  /** Tasks on machines, by zone. */
  readonly tasksByZone: Map<string, number>;
  runningTasks: number;
}

interface Usage {
  cpus: number;
  gpus: number;
}

/** Sums of decimals are not exact. */
const ROUNDING_TOLERANCE = 1e-6;

export class InvariantChecker {
  /** Starts of a task after its user was told that the job is cancelled: allowed within the cancel time, and counted. */
  readonly startsAfterCancellation: string[] = [];
  /**
   * Milliseconds that were left of the cancel time when a task of a cancelled job was gone, at the least; infinite
   * while none has been on a machine after its cancellation.
   */
  minRemainingMs = Infinity;
  private readonly histories = new Map<string, JobHistory>();
  /** By task: the machines on which it is now. */
  private readonly machinesByTask = new Map<string, Map<string, MachineDescription>>();
  private readonly usageByTeam = new Map<string, Usage>();
  private readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Cancelled jobs with tasks on machines. */
  private readonly cancelledAndRunning = new Set<JobHistory>();

  constructor(
    private readonly now: () => number,
    private readonly cancellationLimitMs: number,
    teams: readonly TeamQuota[],
    /** Broken rules, each said once; tests may add their own. */
    readonly violations: string[],
  ) {
    this.teams = new Map(teams.map((t) => [t.name, t]));
  }

  /** What a job asks for; said before it is sent to anybody. Once accepted it stays what it was. */
  describeJob(job: JobDescription): void {
    const history = this.historyOf(job.id);
    if (!history.acknowledged && history.runningTasks === 0) history.job = job;
  }

  /** What a job asks for, or null if the test did not say. */
  descriptionOf(id: string): JobDescription | null {
    return this.historyOf(id).job;
  }

  /** Some user has been told that it is accepted. */
  isAcknowledged(id: string): boolean {
    return this.historyOf(id).acknowledged;
  }

  /** `done` or `cancelled` once some user was told so. */
  finalState(id: string): string | null {
    return this.historyOf(id).finalState;
  }

  /** A user sends a request, whatever becomes of it. */
  requestSent(method: string, path: string, body: unknown): KnowledgeAtRequest {
    const id = path === '/v2/runs' ? jobIdInBody(body) : jobIdInPath(path);
    if (id === null) return { acknowledged: false, finalState: null };
    const history = this.historyOf(id);
    if (method === 'POST' && path === '/v2/runs') history.submitted = true;
    else if (method === 'POST' && path.endsWith('/abort')) history.cancelRequested = true;
    return { acknowledged: history.acknowledged, finalState: history.finalState };
  }

  /**
   * A user hears an answer. It may not be older than what any user had been told, at any node, when the question was
   * sent; an answer that another one overtakes on its way may be.
   */
  responseReceived(exchange: HttpExchange, body: unknown, knowledge: KnowledgeAtRequest): void {
    const { method, path, status, jobState: state } = exchange;
    const id = path === '/v2/runs' ? jobIdInBody(body) : jobIdInPath(path);
    if (id === null) return;
    const history = this.historyOf(id);
    if (status === 404 && knowledge.acknowledged) this.reportViolation(`forgotten ${id}: 404`);
    if (
      path === '/v2/runs' &&
      method === 'POST' &&
      knowledge.acknowledged &&
      (status === 400 || status === 422)
    )
      this.reportViolation(`forgotten ${id}: a repeated submission got ${status}`);
    if (status !== 200 && status !== 201) return;
    if (!history.submitted) this.reportViolation(`invented ${id}`);
    history.acknowledged = true;
    this.observeState(history, String(state), knowledge);
  }

  private observeState(history: JobHistory, state: string, knowledge: KnowledgeAtRequest): void {
    const { id, job } = history;
    const isFinal = state === 'done' || state === 'cancelled';
    const before = isFinal ? history.finalState : knowledge.finalState;
    if (before !== null && state !== before) this.reportViolation(`went_back ${id}: ${before} then ${state}`);
    if (state === 'cancelled' && !history.cancelRequested)
      this.reportViolation(`went_back ${id}: cancelled, and its user did not cancel it`);
    if (state === 'done' && job && history.completedTasks.size < job.tasks)
      this.reportViolation(`not_done ${id}: ${history.completedTasks.size} of ${job.tasks} tasks`);
    if (!isFinal) return;
    history.finalState ??= state;
    if (state !== 'cancelled' || history.cancelledAt !== null) return;
    history.cancelledAt = this.now();
    if (history.runningTasks > 0) this.cancelledAndRunning.add(history);
  }

  /** A machine holds a task's image from now on. */
  taskStarted(machine: MachineDescription, task: string): void {
    const history = this.historyOf(jobOfTask(task));
    const machines = this.machinesByTask.get(task) ?? new Map<string, MachineDescription>();
    for (const other of machines.keys())
      this.reportViolation(`ran_twice ${task} on ${other} and ${machine.id}`);
    this.machinesByTask.set(task, machines.set(machine.id, machine));
    history.runningTasks += 1;
    history.tasksByZone.set(machine.zone, (history.tasksByZone.get(machine.zone) ?? 0) + 1);
    this.checkStartAfterCancellation(history, task);
    if (!history.job) return;
    this.checkPlacement(history, history.job, task, machine);
    this.addUsage(history.job, 1);
  }

  private checkStartAfterCancellation(history: JobHistory, task: string): void {
    if (history.cancelledAt === null) return;
    this.cancelledAndRunning.add(history);
    this.startsAfterCancellation.push(task);
    if (this.now() > history.cancelledAt + this.cancellationLimitMs)
      this.reportViolation(`ran_cancelled ${task}: started`);
  }

  private checkPlacement(
    history: JobHistory,
    job: JobDescription,
    task: string,
    machine: MachineDescription,
  ): void {
    if (machine.spot && !job.spot) this.reportViolation(`wrong_place ${task} on spot`);
    if (job.zone !== null && job.zone !== machine.zone)
      this.reportViolation(`wrong_place ${task} in ${machine.zone}`);
    if (job.types && !job.types.includes(machine.type))
      this.reportViolation(`wrong_place ${task} on ${machine.type}`);
    if (job.spread && (history.tasksByZone.get(machine.zone) ?? 0) > Math.ceil(job.tasks / 2))
      this.reportViolation(`wrong_place ${job.id} not spread`);
    if (job.oneZone && history.tasksByZone.size > 1)
      this.reportViolation(`wrong_place ${job.id} in several zones`);
  }

  private addUsage(job: JobDescription, sign: 1 | -1): void {
    const used = this.usageByTeam.get(job.team) ?? { cpus: 0, gpus: 0 };
    used.cpus += sign * job.cpus;
    used.gpus += sign * job.gpus;
    this.usageByTeam.set(job.team, used);
    if (sign < 0) return;
    const limit = this.teams.get(job.team);
    if (limit && limit.cpusMax > 0 && used.cpus > limit.cpusMax + ROUNDING_TOLERANCE)
      this.reportViolation(`quota ${job.team}: ${used.cpus} CPUs`);
    const gpusMax = limit?.gpusMax ?? 0;
    if (gpusMax > 0 && used.gpus > gpusMax + ROUNDING_TOLERANCE)
      this.reportViolation(`quota ${job.team}: ${used.gpus} GPUs`);
  }

  /** It has exited, was killed, or its machine is gone. `done`: it completed. */
  taskEnded(machine: MachineDescription, task: string, done: boolean): void {
    const machines = this.machinesByTask.get(task);
    if (!machines?.delete(machine.id))
      throw new Error(`${task} ends on ${machine.id} without having started`);
    if (machines.size === 0) this.machinesByTask.delete(task);
    const history = this.historyOf(jobOfTask(task));
    if (done) history.completedTasks.add(task);
    history.runningTasks -= 1;
    const left = (history.tasksByZone.get(machine.zone) ?? 0) - 1;
    if (left > 0) history.tasksByZone.set(machine.zone, left);
    else history.tasksByZone.delete(machine.zone);
    if (history.job) this.addUsage(history.job, -1);
    this.checkEndAfterCancellation(history, task);
  }

  private checkEndAfterCancellation(history: JobHistory, task: string): void {
    if (history.cancelledAt === null) return;
    const left = history.cancelledAt + this.cancellationLimitMs - this.now();
    this.minRemainingMs = Math.min(this.minRemainingMs, left);
    if (left < 0) this.reportViolation(`ran_cancelled ${task}`);
    if (history.runningTasks === 0) this.cancelledAndRunning.delete(history);
  }

  /** Tasks that should have ended by now: no event of theirs says so. */
  checkOverdue(): void {
    for (const history of this.cancelledAndRunning) {
      const left = (history.cancelledAt ?? 0) + this.cancellationLimitMs - this.now();
      if (left >= 0) continue;
      this.minRemainingMs = Math.min(this.minRemainingMs, left);
      for (const task of this.machinesByTask.keys())
        if (jobOfTask(task) === history.id) this.reportViolation(`ran_cancelled ${task}`);
    }
  }

  private historyOf(id: string): JobHistory {
    let history = this.histories.get(id);
    if (!history) {
      history = {
        id,
        job: null,
        submitted: false,
        cancelRequested: false,
        cancelledAt: null,
        acknowledged: false,
        finalState: null,
        completedTasks: new Set(),
        tasksByZone: new Map(),
        runningTasks: 0,
      };
      this.histories.set(id, history);
    }
    return history;
  }

  private reportViolation(what: string): void {
    if (!this.violations.includes(what)) this.violations.push(what);
  }
}

const jobOfTask = (task: string): string => task.slice(0, task.lastIndexOf('/'));

/** The job in `/v2/runs/ID` or `/v2/runs/ID/abort`. */
const jobIdInPath = (path: string): string | null => /^\/v2\/runs\/([^/?]+)/.exec(path)?.[1] ?? null;

function jobIdInBody(body: unknown): string | null {
  const uid = typeof body === 'object' && body !== null ? (body as Record<string, unknown>)['uid'] : null;
  return typeof uid === 'string' ? uid : null;
}
