/**
 * Simulates the coordination of a gang's tasks across machines, as in PROTOCOL's page on gangs: the tasks of one attempt
 * start together, run at the speed of the slowest, checkpoint together, complete together, and exit if one is lost.
 */
import type { EventQueue, ScheduledTimer } from './clock.js';
import type { JobStorage, UserJob } from './user-jobs.js';
import type { Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';

/** Timeouts of gangs. */
export interface GangTimes {
  /** How long a task waits for the others to start before it exits, in milliseconds. */
  readonly startTimeoutMs: number;
  /** Within this time in milliseconds a task detects the loss of another, and an orderly stop must reach all tasks. */
  readonly peerTimeoutMs: number;
}

/** Why a task of a gang exits: done, another task was lost, the gang stayed incomplete, or a command stopped it. */
export type GangExit = 'done' | 'peers' | 'alone' | 'halted';

/** One task of a gang on its machine. Timers and exits are delayed while the machine hangs. */
export interface GangMember {
  readonly task: string;
  readonly slowness: number;
  readonly hanging: boolean;
  run(): void;
  beginCheckpoint(): void;
  exit(cause: GangExit, saved: boolean): void;
  after(delayMs: number, run: () => void): ScheduledTimer;
}

/** Earliest detection of a lost task, as a share of `peerTimeoutMs`. */
const MIN_DETECTION_SHARE = 0.1;
/** The tasks of a gang exit within this time after its last task has saved. */
const EXIT_SPREAD_MS = 60;

type AttemptPhase = 'gathering' | 'running' | 'stopping' | 'failed' | 'ended';

interface GangEnvironment {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly storage: JobStorage;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly times: GangTimes;
}

/** One attempt of a gang: its tasks, its phase and its progress. */
class GangAttempt {
  private phase: AttemptPhase = 'gathering';
  private readonly members = new Set<GangMember>();
  /** Tasks that were present when the attempt started. */
  private readonly startedMembers = new Set<GangMember>();
  private readonly stoppingMembers = new Set<GangMember>();
  private readonly savedMembers = new Set<GangMember>();
  /** Progress of the job in milliseconds of run time, up to `runningSince`. */
  private accumulatedProgressMs = 0;
  /** Null while the gang makes no progress. */
  private runningSince: number | null = null;
  private slowness = 1;
  private completion: ScheduledTimer | null = null;

  constructor(
    private readonly job: UserJob,
    private readonly attempt: number,
    private readonly environment: GangEnvironment,
  ) {}

  join(member: GangMember): void {
    const { queue, observer, times } = this.environment;
    this.members.add(member);
    member.after(times.startTimeoutMs, () => {
      if (this.phase === 'gathering' || this.joinedAfterStart(member)) this.exitMember(member, 'alone', 0);
    });
    if (this.phase !== 'gathering') {
      observer.gangRejoined(this.job.id, member.task);
      return;
    }
    if (this.members.size === this.job.tasks) queue.after(0, () => this.start());
  }

  /** Returns whether the task joined after the attempt had started; it can never run. */
  private joinedAfterStart(member: GangMember): boolean {
    return this.members.has(member) && !this.startedMembers.has(member);
  }

  private start(): void {
    if (this.phase !== 'gathering' || this.members.size < this.job.tasks) return;
    const { storage, observer, trace } = this.environment;
    this.phase = 'running';
    this.accumulatedProgressMs = storage.checkpoints.get(this.job.id) ?? 0;
    this.slowness = Math.max(...[...this.members].map((m) => m.slowness));
    trace.add(`gang ${this.job.id} (attempt ${this.attempt}) runs`);
    for (const member of this.members) {
      this.startedMembers.add(member);
      member.run();
    }
    observer.gangStarted(this.job.id);
    this.resumeProgress();
    for (const member of this.members) if (member.hanging) this.hang(member);
  }

  private resumeProgress(): void {
    const { queue } = this.environment;
    if (this.phase !== 'running' || this.runningSince !== null) return;
    this.runningSince = queue.now;
    const remainingMs = (this.job.runS * 1000 - this.accumulatedProgressMs) * this.slowness;
    if (Number.isFinite(remainingMs)) this.completion = queue.after(remainingMs, () => this.complete());
  }

  private pauseProgress(): void {
    this.completion?.cancel();
    this.accumulatedProgressMs = this.progressMs();
    this.runningSince = null;
  }

  private progressMs(): number {
    if (this.runningSince === null) return this.accumulatedProgressMs;
    return this.accumulatedProgressMs + (this.environment.queue.now - this.runningSince) / this.slowness;
  }

  private complete(): void {
    this.phase = 'ended';
    for (let i = 0; i < this.job.tasks; i += 1) this.environment.storage.results.add(`${this.job.id}/${i}`);
    for (const member of [...this.members]) this.exitMember(member, 'done', 0);
  }

  private exitMember(member: GangMember, cause: GangExit, delayMs: number, saved = false): void {
    const exit = (): void => {
      if (this.members.delete(member)) member.exit(cause, saved);
    };
    if (delayMs === 0 && !member.hanging) exit();
    else member.after(delayMs, exit);
  }

  /** Removes a task that was killed, failed, or was lost with its machine or its lease. */
  leave(member: GangMember): void {
    if (!this.members.delete(member) || !this.startedMembers.has(member)) return;
    if (this.phase === 'running' || this.phase === 'stopping') this.failAttempt();
  }

  /** Fails the attempt: progress since the last checkpoint is lost, and the remaining tasks exit one after another. */
  private failAttempt(detectedWithinMs = this.environment.times.peerTimeoutMs): void {
    const { storage, random } = this.environment;
    this.pauseProgress();
    this.phase = 'failed';
    storage.keepLastCheckpoint(this.job.id, this.job, this.accumulatedProgressMs);
    for (const member of [...this.members])
      this.exitMember(member, 'peers', detectedWithinMs * random.between(MIN_DETECTION_SHARE, 1));
  }

  /** Stops a task: its gang takes a checkpoint if the grace period allows it, otherwise the task exits at once. */
  stop(member: GangMember, graceS: number): void {
    if (!this.members.has(member)) return;
    const takesCheckpoint =
      (this.phase === 'running' || this.phase === 'stopping') &&
      this.job.checkpointIntervalS > 0 &&
      graceS >= this.job.checkpointDurationS;
    if (takesCheckpoint) {
      this.beginCheckpoint(member);
      return;
    }
    this.members.delete(member);
    member.exit('halted', false);
    if (this.phase === 'running' || this.phase === 'stopping') this.failAttempt();
  }

  private beginCheckpoint(member: GangMember): void {
    if (this.stoppingMembers.has(member)) return;
    const { queue, times } = this.environment;
    if (this.phase === 'running') {
      this.pauseProgress();
      this.phase = 'stopping';
      queue.after(times.peerTimeoutMs, () => {
        if (this.phase === 'stopping' && this.stoppingMembers.size < this.job.tasks) this.failAttempt();
      });
    }
    this.stoppingMembers.add(member);
    member.beginCheckpoint();
    member.after(this.job.checkpointDurationS * 1000, () => this.checkpointCompleted(member));
  }

  private checkpointCompleted(member: GangMember): void {
    if (this.phase !== 'stopping' || !this.members.has(member)) return;
    this.savedMembers.add(member);
    if (this.savedMembers.size < this.job.tasks) return;
    const { storage, random } = this.environment;
    this.phase = 'ended';
    storage.checkpoints.set(this.job.id, this.accumulatedProgressMs);
    for (const other of [...this.members])
      this.exitMember(other, 'halted', random.between(0, EXIT_SPREAD_MS), true);
  }

  /** Handles a hang of a task's machine: progress stops, and a hang beyond the detection time fails the attempt. */
  hang(member: GangMember): void {
    if (!this.startedMembers.has(member) || (this.phase !== 'running' && this.phase !== 'stopping')) return;
    const { queue, times, random } = this.environment;
    this.pauseProgress();
    const detectedAfterMs = times.peerTimeoutMs * random.between(MIN_DETECTION_SHARE, 1);
    queue.after(detectedAfterMs, () => {
      const active = this.phase === 'running' || this.phase === 'stopping';
      const stillHanging = this.members.has(member) && member.hanging;
      if (active && stillHanging) this.failAttempt(times.peerTimeoutMs - detectedAfterMs);
    });
  }

  resume(): void {
    if (![...this.members].some((m) => m.hanging)) this.resumeProgress();
  }
}

/** All gang attempts of the simulated cluster, by job and attempt number. */
export class GangRegistry {
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(private readonly environment: GangEnvironment) {}

  /** Returns the attempt with this number, which all its tasks share; creates it for the first task. */
  attempt(job: UserJob, number: number): GangAttempt {
    const key = `${job.id}#${number}`;
    let attempt = this.attempts.get(key);
    if (!attempt) this.attempts.set(key, (attempt = new GangAttempt(job, number, this.environment)));
    return attempt;
  }
}

export type { GangAttempt };
