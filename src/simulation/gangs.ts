/**
 * What the tasks of one gang do to each other, whichever machines they are on: those of one attempt start together, run
 * at the speed of the slowest, save together, complete together, and lose each other. As PROTOCOL's page on gangs says.
 */
import type { EventQueue, Scheduled } from './clock.js';
import type { JobStorage, UserJob } from './jobs.js';
import type { Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';

export interface GangTimes {
  /** How long a task waits for the others before it gives up, in milliseconds. */
  readonly waitMs: number;
  /** Within this time a task notices that another is gone, and must all be told to stop, in milliseconds. */
  readonly peerMs: number;
}

export type GangExit = 'done' | 'peers' | 'alone' | 'halted';

/** One task of a gang on its machine. Timers and exits stand still while the machine hangs. */
export interface GangMember {
  readonly task: string;
  readonly slowness: number;
  readonly hanging: boolean;
  run(): void;
  save(): void;
  exit(cause: GangExit, saved: boolean): void;
  after(delayMs: number, run: () => void): Scheduled;
}

/** A task notices the loss of another after this share of `peerMs` at the earliest. */
const EARLIEST_NOTICE = 0.1;
/** The tasks of a gang that has saved exit within this time of each other. */
const EXIT_SPREAD_MS = 60;

type Phase = 'gathering' | 'running' | 'stopping' | 'broken' | 'over';

interface Surroundings {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly storage: JobStorage;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly times: GangTimes;
}

class GangAttempt {
  private phase: Phase = 'gathering';
  private readonly members = new Set<GangMember>();
  /** Those that were there when it started. */
  private readonly started = new Set<GangMember>();
  private readonly told = new Set<GangMember>();
  private readonly saved = new Set<GangMember>();
  /** Progress of the job in milliseconds of run time, up to `runningSince`. */
  private progressBefore = 0;
  /** null: it makes no progress at present. */
  private runningSince: number | null = null;
  private slowness = 1;
  private completion: Scheduled | null = null;

  constructor(
    private readonly job: UserJob,
    private readonly attempt: number,
    private readonly around: Surroundings,
  ) {}

  join(member: GangMember): void {
    const { queue, observer, times } = this.around;
    this.members.add(member);
    member.after(times.waitMs, () => {
      if (this.phase === 'gathering' || this.isLatecomer(member)) this.dismiss(member, 'alone', 0);
    });
    if (this.phase !== 'gathering') {
      observer.gangRejoined(this.job.id, member.task);
      return;
    }
    if (this.members.size === this.job.tasks) queue.after(0, () => this.start());
  }

  /** It came after the others had started: nobody waits for it. */
  private isLatecomer(member: GangMember): boolean {
    return this.members.has(member) && !this.started.has(member);
  }

  private start(): void {
    if (this.phase !== 'gathering' || this.members.size < this.job.tasks) return;
    const { storage, observer, trace } = this.around;
    this.phase = 'running';
    this.progressBefore = storage.saved.get(this.job.id) ?? 0;
    this.slowness = Math.max(...[...this.members].map((m) => m.slowness));
    trace.add(`gang ${this.job.id} (attempt ${this.attempt}) runs`);
    for (const member of this.members) {
      this.started.add(member);
      member.run();
    }
    observer.gangStarted(this.job.id);
    this.proceed();
    for (const member of this.members) if (member.hanging) this.hang(member);
  }

  private proceed(): void {
    const { queue } = this.around;
    if (this.phase !== 'running' || this.runningSince !== null) return;
    this.runningSince = queue.now;
    const left = (this.job.runS * 1000 - this.progressBefore) * this.slowness;
    if (Number.isFinite(left)) this.completion = queue.after(left, () => this.complete());
  }

  private halt(): void {
    this.completion?.cancel();
    this.progressBefore = this.progress();
    this.runningSince = null;
  }

  private progress(): number {
    if (this.runningSince === null) return this.progressBefore;
    return this.progressBefore + (this.around.queue.now - this.runningSince) / this.slowness;
  }

  private complete(): void {
    this.phase = 'over';
    for (let i = 0; i < this.job.tasks; i += 1) this.around.storage.results.add(`${this.job.id}/${i}`);
    for (const member of [...this.members]) this.dismiss(member, 'done', 0);
  }

  private dismiss(member: GangMember, cause: GangExit, delayMs: number, saved = false): void {
    const exit = (): void => {
      if (this.members.delete(member)) member.exit(cause, saved);
    };
    if (delayMs === 0 && !member.hanging) exit();
    else member.after(delayMs, exit);
  }

  /** The task is gone: killed, failed, or lost with its machine or its lease. */
  leave(member: GangMember): void {
    if (!this.members.delete(member) || !this.started.has(member)) return;
    if (this.phase === 'running' || this.phase === 'stopping') this.fallApart();
  }

  /** What was done since the last checkpoint is lost; the others notice one after the other. */
  private fallApart(noticedWithinMs = this.around.times.peerMs): void {
    const { storage, random } = this.around;
    this.halt();
    this.phase = 'broken';
    const interval = this.job.checkpointS * 1000;
    if (interval > 0) {
      const kept = Math.floor(this.progressBefore / interval) * interval;
      storage.saved.set(this.job.id, Math.max(storage.saved.get(this.job.id) ?? 0, kept));
    }
    for (const member of [...this.members])
      this.dismiss(member, 'peers', noticedWithinMs * random.between(EARLIEST_NOTICE, 1));
  }

  /** The task was told to stop. */
  stop(member: GangMember, graceS: number): void {
    if (!this.members.has(member)) return;
    const saves =
      (this.phase === 'running' || this.phase === 'stopping') &&
      this.job.checkpointS > 0 &&
      graceS >= this.job.saveS;
    if (saves) return this.beginSaving(member);
    this.members.delete(member);
    member.exit('halted', false);
    if (this.phase === 'running' || this.phase === 'stopping') this.fallApart();
  }

  private beginSaving(member: GangMember): void {
    if (this.told.has(member)) return;
    const { queue, times } = this.around;
    if (this.phase === 'running') {
      this.halt();
      this.phase = 'stopping';
      queue.after(times.peerMs, () => {
        if (this.phase === 'stopping' && this.told.size < this.job.tasks) this.fallApart();
      });
    }
    this.told.add(member);
    member.save();
    member.after(this.job.saveS * 1000, () => this.hasSaved(member));
  }

  private hasSaved(member: GangMember): void {
    if (this.phase !== 'stopping' || !this.members.has(member)) return;
    this.saved.add(member);
    if (this.saved.size < this.job.tasks) return;
    const { storage, random } = this.around;
    this.phase = 'over';
    storage.saved.set(this.job.id, this.progressBefore);
    for (const other of [...this.members])
      this.dismiss(other, 'halted', random.between(0, EXIT_SPREAD_MS), true);
  }

  /** A machine hangs: no progress, and after a while the others take its task for lost. */
  hang(member: GangMember): void {
    if (!this.started.has(member) || (this.phase !== 'running' && this.phase !== 'stopping')) return;
    const { queue, times, random } = this.around;
    this.halt();
    const noticedAfterMs = times.peerMs * random.between(EARLIEST_NOTICE, 1);
    queue.after(noticedAfterMs, () => {
      const open = this.phase === 'running' || this.phase === 'stopping';
      const stillHanging = this.members.has(member) && member.hanging;
      if (open && stillHanging) this.fallApart(times.peerMs - noticedAfterMs);
    });
  }

  resume(): void {
    if (![...this.members].some((m) => m.hanging)) this.proceed();
  }
}

/** All gangs of the modelled world, by job and attempt. */
export class Gangs {
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(private readonly around: Surroundings) {}

  /** The attempt that the tasks with this number share. */
  attempt(job: UserJob, number: number): GangAttempt {
    const key = `${job.id}#${number}`;
    let attempt = this.attempts.get(key);
    if (!attempt) this.attempts.set(key, (attempt = new GangAttempt(job, number, this.around)));
    return attempt;
  }
}

export type { GangAttempt };
