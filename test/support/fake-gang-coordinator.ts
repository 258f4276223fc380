/**
 * A fake of the coordination between the workers of a gang, written from the published protocol: the tasks of an
 * attempt start, save and complete together, and notice when one of them is lost.
 */
import type { SimulatedClock } from './simulated-clock.js';

/** Callbacks through which the coordinator runs and ends a task of a gang. */
export interface GangTask {
  readonly taskId: string;
  run(): void;
  exit(cause: 'done' | 'peers' | 'alone' | 'halted', saved?: boolean): void;
}

export interface GangSize {
  readonly tasks: number;
  readonly runMs: number;
  /** The checkpoint interval; 0 for a gang without checkpoints. */
  readonly checkpointMs: number;
}

interface GangAttempt {
  readonly size: GangSize;
  readonly members: Map<string, GangTask>;
  startedAt: number | null;
  /** When the first of its tasks was ordered to stop. */
  stopRequestedAt: number | null;
  /** Tasks that have saved a checkpoint and wait for the other tasks. */
  readonly savedTasks: Set<string>;
  timers: { cancel(): void }[];
}

export class FakeGangCoordinator {
  /** Progress that is saved in a checkpoint, by job, in milliseconds. */
  readonly savedProgressMs = new Map<string, number>();
  /** Attempts that have started, by job, in the order of their starts. */
  readonly startedAttempts = new Map<string, number[]>();
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly gangWaitMs: number,
    private readonly peerTimeoutMs: number,
  ) {}

  private getOrCreateAttempt(job: string, attempt: number, size: GangSize): GangAttempt {
    const key = `${job}#${attempt}`;
    let gang = this.attempts.get(key);
    if (!gang) {
      gang = {
        size,
        members: new Map(),
        startedAt: null,
        stopRequestedAt: null,
        savedTasks: new Set(),
        timers: [],
      };
      this.attempts.set(key, gang);
    }
    return gang;
  }

  /** A task has fetched its image and waits for the other tasks of its attempt. */
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
    const remainingMs = gang.size.runMs - (this.savedProgressMs.get(job) ?? 0);
    if (!Number.isFinite(remainingMs)) return;
    gang.timers.push(this.clock.after(Math.max(0, remainingMs), () => this.endAllTasks(gang, 'done')));
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

  /** A task has exited on its own, was killed without saving, or was lost with its machine. */
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
    const progressMs = this.progressAt(job, gang, gang.stopRequestedAt ?? this.clock.now());
    const checkpointedMs = Math.floor(progressMs / checkpointMs) * checkpointMs;
    this.savedProgressMs.set(job, Math.max(this.savedProgressMs.get(job) ?? 0, checkpointedMs));
    gang.startedAt = this.clock.now();
  }

  /**
   * A task was ordered to stop with a grace period that is long enough for a checkpoint; the progress is kept once all
   * tasks of the gang have saved.
   */
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
