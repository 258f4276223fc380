/**
 * What workers know of each other's gang tasks, from the published protocol: the tasks of one attempt start together,
 * lose each other, save together and complete together.
 */
import type { SimulatedClock } from './simulated-clock.js';

/** How a task of a gang is told what becomes of it. */
export interface GangTask {
  readonly taskId: string;
  run(): void;
  exit(cause: 'done' | 'peers' | 'alone' | 'halted', saved?: boolean): void;
}

export interface GangSize {
  readonly tasks: number;
  readonly runMs: number;
  /** 0: it never saves. */
  readonly checkpointMs: number;
}

interface GangAttempt {
  readonly size: GangSize;
  readonly members: Map<string, GangTask>;
  startedAt: number | null;
  /** When the first of its tasks was told to stop. */
  stopRequestedAt: number | null;
  /** Tasks that have saved and wait for the others. */
  readonly savedTasks: Set<string>;
  timers: { cancel(): void }[];
}

export class FakeGangCoordinator {
  /** Progress that is safe, by job, in milliseconds. */
  readonly savedProgressMs = new Map<string, number>();
  /** Attempts that have started, by job, in their order. */
  readonly startedAttempts = new Map<string, number[]>();
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly gangWaitMs: number,
    private readonly peerTimeoutMs: number,
  ) {}

  private getOrCreateAttempt(job: string, attempt: number, size: GangSize): GangAttempt {
    const key = `${job}#${attempt}`;
    let known = this.attempts.get(key);
    if (!known) {
      known = {
        size,
        members: new Map(),
        startedAt: null,
        stopRequestedAt: null,
        savedTasks: new Set(),
        timers: [],
      };
      this.attempts.set(key, known);
    }
    return known;
  }

  /** The task has its image, and waits for the others of its attempt. */
  join(job: string, attempt: number, size: GangSize, task: GangTask): void {
    const gang = this.getOrCreateAttempt(job, attempt, size);
    gang.members.set(task.taskId, task);
    this.clock.after(this.gangWaitMs, () => {
      if (gang.startedAt === null && gang.members.get(task.taskId) === task) {
        gang.members.delete(task.taskId);
        task.exit('alone');
      }
    });
    if (gang.members.size === size.tasks && gang.startedAt === null) this.start(job, attempt, gang);
  }

  private start(job: string, attempt: number, gang: GangAttempt): void {
    gang.startedAt = this.clock.now();
    this.startedAttempts.set(job, [...(this.startedAttempts.get(job) ?? []), attempt]);
    for (const task of gang.members.values()) task.run();
    const left = gang.size.runMs - (this.savedProgressMs.get(job) ?? 0);
    if (!Number.isFinite(left)) return;
    gang.timers.push(this.clock.after(Math.max(0, left), () => this.endAllTasks(gang, 'done')));
  }

  private endAllTasks(gang: GangAttempt, cause: 'done' | 'peers'): void {
    for (const timer of gang.timers) timer.cancel();
    gang.timers = [];
    const members = [...gang.members.values()];
    gang.members.clear();
    for (const task of members) task.exit(cause);
  }

  private progressAt(job: string, gang: GangAttempt, until: number): number {
    return (this.savedProgressMs.get(job) ?? 0) + (until - (gang.startedAt ?? until));
  }

  /** The task is gone: exited for a reason of its own, killed without saving, or lost with its machine. */
  loseTask(job: string, attempt: number, taskId: string): void {
    const gang = this.attempts.get(`${job}#${attempt}`);
    if (!gang?.members.delete(taskId) || gang.startedAt === null) return;
    for (const timer of gang.timers) timer.cancel();
    this.revertToCheckpoint(job, gang);
    gang.timers = [this.clock.after(this.peerTimeoutMs, () => this.endAllTasks(gang, 'peers'))];
  }

  private revertToCheckpoint(job: string, gang: GangAttempt): void {
    const { checkpointMs } = gang.size;
    if (checkpointMs <= 0) return;
    const reached = this.progressAt(job, gang, gang.stopRequestedAt ?? this.clock.now());
    const kept = Math.floor(reached / checkpointMs) * checkpointMs;
    this.savedProgressMs.set(job, Math.max(this.savedProgressMs.get(job) ?? 0, kept));
    gang.startedAt = this.clock.now();
  }

  /** The task was told to stop with enough grace, and has saved: its work is safe once all of them have. */
  requestStop(job: string, attempt: number, taskId: string, saveMs: number): void {
    const gang = this.attempts.get(`${job}#${attempt}`);
    if (!gang?.members.has(taskId) || gang.startedAt === null) return;
    if (gang.stopRequestedAt === null) {
      gang.stopRequestedAt = this.clock.now();
      for (const timer of gang.timers) timer.cancel();
      gang.timers = [this.clock.after(this.peerTimeoutMs + saveMs, () => this.endAllTasks(gang, 'peers'))];
    }
    this.clock.after(saveMs, () => this.recordSavedTask(job, gang, taskId));
  }

  private recordSavedTask(job: string, gang: GangAttempt, taskId: string): void {
    if (!gang.members.has(taskId)) return;
    gang.savedTasks.add(taskId);
    if (gang.savedTasks.size < gang.size.tasks) return;
    this.savedProgressMs.set(job, this.progressAt(job, gang, gang.stopRequestedAt ?? this.clock.now()));
    for (const timer of gang.timers) timer.cancel();
    const members = [...gang.members.values()];
    gang.members.clear();
    for (const task of members) task.exit('halted', true);
  }
}
