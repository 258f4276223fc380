/**
 * Checks the rules of the protocol from outside the controllers: on which machine each task is and when, and which
 * answers users got. Each such event is reported to the checker, which evaluates the rules at once.
 */

/** The fields of a job specification that the rules refer to. */
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
  /** Absent or 0: no limit, as the protocol defines it. */
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

/** What users had been told about a job when a request about it was sent. */
export interface KnowledgeAtRequest {
  readonly acknowledged: boolean;
  readonly finalState: string | null;
}

/** What is known about one job from outside the controllers. */
interface JobHistory {
  readonly id: string;
  /** Null if the id was submitted in a body that the test did not describe. */
  job: JobDescription | null;
  /** Whether a submission has been sent to any node. */
  submitted: boolean;
  cancelRequested: boolean;
  /** When a user was first told that the job is cancelled, in milliseconds of the simulated clock. */
  cancelledAt: number | null;
  /** Whether any user has got 200 or 201 for the job. */
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

/** Tolerance for sums of decimal fractions, which are not exact. */
const ROUNDING_TOLERANCE = 1e-6;

export class InvariantChecker {
  /** Tasks that started after a user was told that the job is cancelled: allowed within the cancellation limit. */
  readonly startsAfterCancellation: string[] = [];
  /**
   * The least time, in milliseconds, that remained of the cancellation limit when a task of a cancelled job ended;
   * infinite if no task was on a machine after the cancellation.
   */
  minRemainingMs = Infinity;
  private readonly histories = new Map<string, JobHistory>();
  /** The machines on which each task is now. */
  private readonly machinesByTask = new Map<string, Map<string, MachineDescription>>();
  private readonly usageByTeam = new Map<string, Usage>();
  private readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Cancelled jobs that still have tasks on machines. */
  private readonly cancelledAndRunning = new Set<JobHistory>();

  constructor(
    private readonly now: () => number,
    private readonly cancellationLimitMs: number,
    teams: readonly TeamQuota[],
    /** Violations of the rules, each reported once; tests may add their own. */
    readonly violations: string[],
  ) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  /** Describes a job before it is submitted; ignored once the job is accepted and while its tasks are on machines. */
  describeJob(job: JobDescription): void {
    const history = this.historyOf(job.id);
    if (!history.acknowledged && history.runningTasks === 0) history.job = job;
  }

  /** Returns the description of a job, or null if the test did not give one. */
  descriptionOf(id: string): JobDescription | null {
    return this.historyOf(id).job;
  }

  /** Whether any user has been told that the job is accepted. */
  isAcknowledged(id: string): boolean {
    return this.historyOf(id).acknowledged;
  }

  /** Returns `done` or `cancelled` once any user has been told so. */
  finalState(id: string): string | null {
    return this.historyOf(id).finalState;
  }

  /** Records that a user sends a request, whether or not it is answered. */
  requestSent(method: string, path: string, body: unknown): KnowledgeAtRequest {
    const id = path === '/v2/runs' ? jobIdInBody(body) : jobIdInPath(path);
    if (id === null) return { acknowledged: false, finalState: null };
    const history = this.historyOf(id);
    if (method === 'POST' && path === '/v2/runs') history.submitted = true;
    else if (method === 'POST' && path.endsWith('/abort')) history.cancelRequested = true;
    return { acknowledged: history.acknowledged, finalState: history.finalState };
  }

  /**
   * Checks an answer that a user got. It must not be older than what any user had been told, by any node, when the
   * request was sent; it may be older than answers to other requests that arrived in the meantime.
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
    const knownState = isFinal ? history.finalState : knowledge.finalState;
    if (knownState !== null && state !== knownState)
      this.reportViolation(`went_back ${id}: ${knownState} then ${state}`);
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

  /** Records that a machine has the image of a task, and checks the rules for starts. */
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

  /** Records that a task has exited, was killed or was lost with its machine; `done` tells whether it completed. */
  taskEnded(machine: MachineDescription, task: string, done: boolean): void {
    const machines = this.machinesByTask.get(task);
    if (!machines?.delete(machine.id))
      throw new Error(`${task} ends on ${machine.id} without having started`);
    if (machines.size === 0) this.machinesByTask.delete(task);
    const history = this.historyOf(jobOfTask(task));
    if (done) history.completedTasks.add(task);
    history.runningTasks -= 1;
    const remainingTasks = (history.tasksByZone.get(machine.zone) ?? 0) - 1;
    if (remainingTasks > 0) history.tasksByZone.set(machine.zone, remainingTasks);
    else history.tasksByZone.delete(machine.zone);
    if (history.job) this.addUsage(history.job, -1);
    this.checkEndAfterCancellation(history, task);
  }

  private checkEndAfterCancellation(history: JobHistory, task: string): void {
    if (history.cancelledAt === null) return;
    const remainingMs = history.cancelledAt + this.cancellationLimitMs - this.now();
    this.minRemainingMs = Math.min(this.minRemainingMs, remainingMs);
    if (remainingMs < 0) this.reportViolation(`ran_cancelled ${task}`);
    if (history.runningTasks === 0) this.cancelledAndRunning.delete(history);
  }

  /** Reports tasks of cancelled jobs that still run after the cancellation limit, for which no event arrives. */
  checkOverdue(): void {
    for (const history of this.cancelledAndRunning) {
      const remainingMs = (history.cancelledAt ?? 0) + this.cancellationLimitMs - this.now();
      if (remainingMs >= 0) continue;
      this.minRemainingMs = Math.min(this.minRemainingMs, remainingMs);
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

  private reportViolation(violation: string): void {
    if (!this.violations.includes(violation)) this.violations.push(violation);
  }
}

const jobOfTask = (task: string): string => task.slice(0, task.lastIndexOf('/'));

/** The job in `/v2/runs/ID` or `/v2/runs/ID/abort`. */
const jobIdInPath = (path: string): string | null => /^\/v2\/runs\/([^/?]+)/.exec(path)?.[1] ?? null;

function jobIdInBody(body: unknown): string | null {
  const uid = typeof body === 'object' && body !== null ? (body as Record<string, unknown>)['uid'] : null;
  return typeof uid === 'string' ? uid : null;
}
