/** Tasks of one simulated worker: launch, image fetch, run time, checkpoints, gangs and exit, as in PROTOCOL. */
import type { Host } from './clock.js';
import type { GangMember } from './gangs.js';
import type { ImageCache } from './image-cache.js';
import type { MachineSpec } from './observer.js';
import type { UserJob } from './user-jobs.js';
import {
  encodeTaskStatus,
  type ExitCause,
  type TaskEnvironment,
  type WireCommand,
  type WorkerTask,
} from './worker-task.js';

/** A task on a failing machine fails this long after its start. */
const FAILURE_DELAY_MS = { low: 200, high: 1500 };
/** With the defect `worker-claims-done`, a task reports completion this long after its start. */
const FALSE_COMPLETION_DELAY_MS = 1000;
const EPSILON = 1e-9;

/** Starts and ends tasks on one machine; calls `noteStatusChange` when the content of the next heartbeat has changed. */
export class WorkerTasks {
  /** While set, every task that starts on the machine fails. */
  failing = false;
  /** Factor by which the run time of tasks is longer than nominal. */
  slowness = 1;
  private readonly tasks = new Map<string, WorkerTask>();

  constructor(
    private readonly spec: MachineSpec,
    private readonly host: Host,
    private readonly images: ImageCache,
    private readonly environment: TaskEnvironment,
    private readonly noteStatusChange: () => void,
  ) {}

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

  /** Names of the tasks that occupy resources of the machine, including those that wait for their image. */
  occupyingTasks(): string[] {
    return [...this.tasks.values()].filter((task) => task.status !== 'exited').map((task) => task.name);
  }

  /** Encodes the statuses of all tasks for a heartbeat. */
  encodeStatuses(): object[] {
    return [...this.tasks.values()].map(encodeTaskStatus);
  }

  /** Executes a command; a command that the task's state does not allow has no effect. */
  execute(command: WireCommand): void {
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
    const isDuplicate = this.occupyingTasks().includes(command.leg);
    const task: WorkerTask = {
      name: command.leg,
      attempt: command.sailing,
      job,
      status: 'pulling',
      cause: null,
      saved: false,
      runningSince: 0,
      restoredProgressMs: 0,
      timer: null,
      gang: null,
    };
    this.tasks.set(key, task);
    if (!job) {
      this.exit(task, 'unknown');
      return;
    }
    if (isDuplicate) {
      this.exit(task, 'busy');
      return;
    }
    const fits =
      job.cpus <= free.cpus + EPSILON &&
      job.gpus <= free.gpus + EPSILON &&
      job.memoryGb <= free.memoryGb + EPSILON;
    if (!fits) {
      this.exit(task, 'full');
      return;
    }
    this.images.request(job.image, job.imageGb, key, () => this.startTask(task));
  }

  /** Starts a task whose image has been fetched; it counts as being on the machine from now on. */
  private startTask(task: WorkerTask): void {
    const { observer, storage, queue, trace } = this.environment;
    if (task.status !== 'pulling') return;
    if (task.job?.shape === 'gang') {
      this.joinGang(task, task.job);
      return;
    }
    task.status = 'running';
    task.runningSince = queue.now;
    task.restoredProgressMs = storage.checkpoints.get(task.name) ?? 0;
    trace.add(`${this.spec.id} starts ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.spec, task.name);
    this.scheduleExit(task);
    this.noteStatusChange();
  }

  /** Starts a gang's task whose image has been fetched; it waits for the other tasks of its attempt. */
  private joinGang(task: WorkerTask, job: UserJob): void {
    const { observer, storage, trace, random, gangs } = this.environment;
    task.status = 'gathering';
    trace.add(`${this.spec.id} has ${task.name} (attempt ${task.attempt})`);
    observer.taskStarted(this.spec, task.name);
    this.noteStatusChange();
    if (storage.results.has(task.name)) {
      this.exitAfter(task, 'done', 0);
      return;
    }
    if (this.failing) this.exitAfter(task, 'error', random.within(FAILURE_DELAY_MS));
    const attempt = gangs.attempt(job, task.attempt);
    const member = this.gangMember(task);
    task.gang = { attempt, member };
    attempt.join(member);
  }

  private gangMember(task: WorkerTask): GangMember {
    const { slowness, host } = this;
    const setStatus = (status: 'running' | 'saving'): void => {
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
      run: () => setStatus('running'),
      beginCheckpoint: () => setStatus('saving'),
      exit: (cause, saved) => {
        if (task.status === 'exited') return;
        task.saved = saved;
        this.exit(task, cause);
      },
      after: (delayMs, run) => host.after(delayMs, run),
    };
  }

  /** Schedules the exit of a task that has just started: completion or failure. */
  private scheduleExit(task: WorkerTask): void {
    const { storage, defects, random } = this.environment;
    const { job } = task;
    if (!job) return;
    if (storage.results.has(task.name)) {
      this.exitAfter(task, 'done', 0);
      return;
    }
    if (this.failing) {
      this.exitAfter(task, 'error', random.within(FAILURE_DELAY_MS));
      return;
    }
    if (defects.has('worker-claims-done') && job.shape === 'array') {
      this.exitAfter(task, 'done', FALSE_COMPLETION_DELAY_MS);
      return;
    }
    const remainingMs = (job.runS * 1000 - task.restoredProgressMs) * this.slowness;
    if (Number.isFinite(remainingMs)) this.exitAfter(task, 'done', remainingMs);
  }

  private exitAfter(task: WorkerTask, cause: ExitCause, delay: number): void {
    task.timer = this.host.after(delay, () => this.exit(task, cause));
  }

  /** Progress so far, in milliseconds of run time at nominal speed. */
  private progressMs(task: WorkerTask): number {
    return task.restoredProgressMs + (this.environment.queue.now - task.runningSince) / this.slowness;
  }

  private kill(task: WorkerTask, graceS: number): void {
    const { job } = task;
    if (this.environment.defects.has('worker-ignores-stops')) return;
    if (task.gang) {
      task.gang.attempt.stop(task.gang.member, graceS);
      return;
    }
    const savesProgress =
      task.status === 'running' && job && job.checkpointIntervalS > 0 && graceS >= job.checkpointDurationS;
    if (!savesProgress) {
      if (task.status !== 'saving' || graceS <= 0) this.exit(task, 'halted');
      return;
    }
    task.timer?.cancel();
    const savedProgressMs = this.progressMs(task);
    task.status = 'saving';
    task.timer = this.host.after(job.checkpointDurationS * 1000, () => {
      this.environment.storage.checkpoints.set(task.name, savedProgressMs);
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

  /** Removes the task from the machine; keeps the progress up to its last regular checkpoint. */
  private removeTask(task: WorkerTask, completed: boolean): void {
    const { observer, storage, defects } = this.environment;
    task.timer?.cancel();
    if (task.status === 'pulling' && task.job)
      this.images.cancelRequest(task.job.image, `${task.name}#${task.attempt}`);
    if (task.status === 'pulling' || task.status === 'exited') return;
    task.gang?.attempt.leave(task.gang.member);
    if (task.status === 'running' && !task.gang && task.job)
      storage.keepLastCheckpoint(task.name, task.job, this.progressMs(task));
    const reallyCompleted = completed && !defects.has('worker-claims-done');
    if (reallyCompleted) storage.results.add(task.name);
    observer.taskEnded(this.spec, task.name, reallyCompleted);
  }

  /** Handles the start of a hang: the gangs of the machine's tasks stop making progress. */
  hang(): void {
    for (const { gang } of this.tasks.values()) gang?.attempt.hang(gang.member);
  }

  /** Resumes tasks after a hang that began at `hangStartedAt`; their exits are postponed by its duration. */
  resumeAfterHang(hangStartedAt: number): void {
    const { queue } = this.environment;
    for (const task of this.tasks.values()) {
      task.gang?.attempt.resume();
      if (task.status !== 'running' || task.gang) continue;
      task.timer?.cancel();
      task.runningSince += queue.now - hangStartedAt;
      this.rescheduleExit(task);
    }
  }

  private rescheduleExit(task: WorkerTask): void {
    const elapsedMs = this.environment.queue.now - task.runningSince;
    const totalMs = ((task.job?.runS ?? 0) * 1000 - task.restoredProgressMs) * this.slowness;
    if (Number.isFinite(totalMs))
      this.exitAfter(task, this.failing ? 'error' : 'done', Math.max(0, totalMs - elapsedMs));
  }

  /** Ends and forgets every task. */
  forgetAll(): void {
    for (const task of this.tasks.values()) this.removeTask(task, false);
    this.tasks.clear();
  }

  get size(): number {
    return this.tasks.size;
  }
}
