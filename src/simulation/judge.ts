/**
 * Checks every rule of PROTOCOL by what can be seen from outside: tasks on machines, and what users ask and are told.
 * It shares no code and no state with the controllers, nor with the workers that it watches.
 */
import type { EventQueue } from './clock.js';
import type { UserJob } from './jobs.js';
import type { MachineFacts, Observer, UserAnswer } from './observer.js';

export const RULES = [
  'ran_twice',
  'quota',
  'wrong_place',
  'ran_cancelled',
  'forgotten',
  'invented',
  'not_done',
  'went_back',
  'nothing_ran',
  'left_waiting',
  'gang_rejoined',
] as const;
export type Rule = (typeof RULES)[number];

export interface Violation {
  readonly rule: Rule;
  /** Simulated seconds since the start. */
  readonly atS: number;
  /** Number of the event in which it was seen. */
  readonly event: number;
  readonly detail: string;
}

export interface TeamLimit {
  readonly name: string;
  /** 0: none. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** A machine that is up and well, as seen from outside. */
export interface MachineView {
  readonly facts: MachineFacts;
  readonly free: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number };
  /** Tasks that hold room there, also while they wait for their image. */
  readonly holds: readonly string[];
}

export interface JudgeOptions {
  readonly teams: readonly TeamLimit[];
  readonly cancelS: number;
  readonly machines: () => readonly MachineView[];
}

interface JobRecord {
  readonly job: UserJob;
  readonly on: Map<string, MachineFacts>;
  readonly completed: Set<string>;
  acceptedAt: number | null;
  rejected: boolean;
  cancelRequested: boolean;
  final: { readonly state: 'done' | 'cancelled'; readonly at: number } | null;
  /** When the last question was answered, and the first one after it that was not. */
  lastAnswerAt: number;
  unansweredSince: number | null;
  roomSince: number | null;
  /** All tasks of the gang run; false for other jobs. */
  gangRuns: boolean;
}

const EPSILON = 1e-6;
const REVIEW_MS = 2000;
const FORGOTTEN_AMID_OTHERS_MS = 90_000;
const FORGOTTEN_IN_QUIET_MS = 75_000;
const LEFT_WAITING_MS = 90_000;
const CANCEL_SLACK_MS = 1;

const jobOf = (task: string): string => task.slice(0, task.lastIndexOf('/'));

export class Judge implements Observer {
  readonly violations: Violation[] = [];
  /** Counted, not rules: starts after a confirmed cancellation, and accepted jobs that were malformed. */
  readonly counts = {
    starts: 0,
    gangStarts: 0,
    startsAfterCancel: 0,
    acceptedOdd: 0,
    accepted: 0,
    done: 0,
    cancelled: 0,
  };
  onViolation: (v: Violation) => void = () => undefined;
  private readonly jobs = new Map<string, JobRecord>();
  private readonly broken = new Set<string>();
  private quietSince: number | null = null;
  private polls: { readonly at: number; readonly answered: boolean }[] = [];

  constructor(
    private readonly queue: EventQueue,
    private readonly options: JudgeOptions,
  ) {
    this.scheduleReview();
  }

  /** The last fault is over, or one has begun. */
  troubles(over: boolean): void {
    this.quietSince = over ? this.queue.now : null;
  }

  private breaks(rule: Rule, about: string, detail: string): void {
    const key = `${rule} ${about}`;
    if (this.broken.has(key)) return;
    this.broken.add(key);
    const violation = { rule, atS: this.queue.now / 1000, event: this.queue.count, detail };
    this.violations.push(violation);
    this.onViolation(violation);
  }

  jobSubmitted(job: UserJob): void {
    if (this.jobs.has(job.id)) return;
    this.jobs.set(job.id, {
      job,
      on: new Map(),
      completed: new Set(),
      acceptedAt: null,
      rejected: false,
      cancelRequested: false,
      final: null,
      lastAnswerAt: this.queue.now,
      unansweredSince: null,
      roomSince: null,
      gangRuns: false,
    });
  }

  cancelRequested(job: string): void {
    const record = this.jobs.get(job);
    if (record) record.cancelRequested = true;
  }

  taskStarted(machine: MachineFacts, task: string): void {
    this.counts.starts += 1;
    const record = this.jobs.get(jobOf(task));
    if (!record) return this.breaks('invented', task, `${task} starts, and nobody has submitted its job`);
    const other = record.on.get(task);
    if (other) this.breaks('ran_twice', task, `${task} starts on ${machine.id} while it is on ${other.id}`);
    this.checkPlace(record, machine, task);
    record.on.set(task, machine);
    this.checkCancelled(record, task);
    this.checkQuota(record.job.team);
  }

  taskEnded(machine: MachineFacts, task: string, completed: boolean): void {
    const record = this.jobs.get(jobOf(task));
    if (!record) return;
    if (record.on.get(task)?.id === machine.id) record.on.delete(task);
    record.gangRuns = false;
    if (completed) record.completed.add(task);
  }

  /** The machine that a task is on. */
  machineOf(task: string): string | null {
    return this.jobs.get(jobOf(task))?.on.get(task)?.id ?? null;
  }

  gangStarted(job: string): void {
    const record = this.jobs.get(job);
    if (record) record.gangRuns = true;
    this.counts.gangStarts += 1;
  }

  /** Once a gang runs, a task that it has lost ends it: nobody waits for another. */
  gangRejoined(job: string, task: string): void {
    this.breaks('gang_rejoined', job, `${task} joins an attempt that had started`);
  }

  private checkPlace(record: JobRecord, machine: MachineFacts, task: string): void {
    const { job } = record;
    const wrong = (why: string): void => this.breaks('wrong_place', task, `${task} on ${machine.id}: ${why}`);
    if (job.types && !job.types.includes(machine.type)) wrong(`type ${machine.type} is not allowed`);
    if (job.zone !== null && job.zone !== machine.zone) wrong(`zone ${machine.zone} is not ${job.zone}`);
    if (machine.spot && !job.spot) wrong('a spot machine');
    const zones = [...record.on].filter(([name]) => name !== task).map(([, m]) => m.zone);
    if (job.sameZone && zones.some((z) => z !== machine.zone)) wrong('another zone than its other tasks');
    const here = zones.filter((z) => z === machine.zone).length + 1;
    if (job.spread && here > Math.ceil(job.tasks / 2)) wrong(`${here} of ${job.tasks} tasks in one zone`);
  }

  private checkCancelled(record: JobRecord, task: string): void {
    if (record.final?.state !== 'cancelled') return;
    this.counts.startsAfterCancel += 1;
    if (this.queue.now > record.final.at + this.options.cancelS * 1000 + CANCEL_SLACK_MS)
      this.breaks('ran_cancelled', task, `${task} starts after its job was cancelled`);
  }

  private checkQuota(team: string): void {
    const limit = this.options.teams.find((t) => t.name === team);
    if (!limit) return;
    let cpus = 0;
    let gpus = 0;
    for (const { job, on } of this.jobs.values()) {
      if (job.team !== team) continue;
      cpus += on.size * job.cpus;
      gpus += on.size * job.gpus;
    }
    if (limit.cpusMax > 0 && cpus > limit.cpusMax + EPSILON)
      this.breaks('quota', team, `${team} uses ${cpus} CPUs of at most ${limit.cpusMax}`);
    if (limit.gpusMax > 0 && gpus > limit.gpusMax + EPSILON)
      this.breaks('quota', team, `${team} uses ${gpus} GPUs of at most ${limit.gpusMax}`);
  }

  answered(a: UserAnswer): void {
    const record = this.jobs.get(a.job);
    if (a.kind === 'ask' && record) this.notePoll(record, a);
    if (a.status === null) return;
    const ok = a.status === 200 || a.status === 201;
    if (!record) {
      if (ok && !a.odd) this.breaks('invented', a.job, `${a.job} was never submitted and gets ${a.status}`);
      if (ok && a.odd && a.kind === 'submit') this.counts.acceptedOdd += 1;
      else if (ok && a.odd)
        this.breaks('invented', a.job, `${a.job} was never accepted and gets ${a.status}`);
      return;
    }
    if (ok) this.checkState(record, a);
    else this.checkRefusal(record, a);
  }

  private notePoll(record: JobRecord, a: UserAnswer): void {
    const answered = a.status === 200 || a.status === 404;
    this.polls.push({ at: a.answeredAt, answered });
    if (answered) {
      record.lastAnswerAt = a.answeredAt;
      record.unansweredSince = null;
    } else record.unansweredSince ??= a.sentAt;
  }

  private checkRefusal(record: JobRecord, a: UserAnswer): void {
    const known = record.acceptedAt !== null && a.sentAt >= record.acceptedAt;
    if (known && a.status === 404) this.breaks('forgotten', a.job, `${a.job} was accepted and gets 404`);
    if (a.kind !== 'submit' || (a.status !== 400 && a.status !== 422)) return;
    if (known)
      this.breaks('forgotten', a.job, `${a.job} was accepted, and submitted again it gets ${a.status}`);
    else record.rejected = true;
  }

  private checkState(record: JobRecord, a: UserAnswer): void {
    if (record.acceptedAt === null) this.counts.accepted += 1;
    record.acceptedAt ??= a.answeredAt;
    const { final } = record;
    const differs = final !== null && a.state !== final.state;
    const opposite = a.state === 'done' || a.state === 'cancelled';
    if (differs && (opposite || a.sentAt >= final.at))
      this.breaks('went_back', a.job, `${a.job} was called ${final.state} and then ${a.state}`);
    if (a.state === 'done' && record.completed.size < record.job.tasks) {
      const left = record.job.tasks - record.completed.size;
      this.breaks('not_done', a.job, `${a.job} is called done while ${left} of its tasks are not`);
    }
    if (a.state === 'cancelled' && !record.cancelRequested)
      this.breaks('went_back', a.job, `${a.job} is called cancelled and nobody cancelled it`);
    if (final === null && (a.state === 'done' || a.state === 'cancelled')) this.settle(record, a.state, a);
  }

  private settle(record: JobRecord, state: 'done' | 'cancelled', a: UserAnswer): void {
    record.final = { state, at: a.answeredAt };
    this.counts[state] += 1;
    if (state !== 'cancelled') return;
    this.queue.after(this.options.cancelS * 1000 + 2 * CANCEL_SLACK_MS, () => {
      for (const [task, machine] of record.on)
        this.breaks(
          'ran_cancelled',
          task,
          `${task} is still on ${machine.id} ${this.options.cancelS} s after`,
        );
    });
  }

  private scheduleReview(): void {
    this.queue.after(REVIEW_MS, () => {
      this.review();
      this.scheduleReview();
    });
  }

  private review(): void {
    const { now } = this.queue;
    this.polls = this.polls.filter((p) => p.at > now - FORGOTTEN_AMID_OTHERS_MS);
    const answered = this.polls.filter((p) => p.answered).length;
    const othersServed = answered * 2 > this.polls.length;
    const machines = this.quietSince === null ? [] : this.options.machines();
    for (const record of this.jobs.values()) {
      if (record.acceptedAt === null || record.final) continue;
      this.checkForgotten(record, now, othersServed);
      this.checkLeftWaiting(record, now, machines);
    }
  }

  private checkForgotten(record: JobRecord, now: number, othersServed: boolean): void {
    const { unansweredSince, job } = record;
    if (unansweredSince === null) return;
    if (othersServed && now - unansweredSince > FORGOTTEN_AMID_OTHERS_MS)
      this.breaks('forgotten', job.id, `no question about ${job.id} is answered for 90 s, others are`);
    const from = this.quietSince === null ? null : Math.max(this.quietSince, unansweredSince);
    if (from !== null && now - from > FORGOTTEN_IN_QUIET_MS)
      this.breaks('forgotten', job.id, `no question about ${job.id} is answered for 75 s after the faults`);
  }

  /**
   * No task of the job is anywhere, though a machine has had room for one and the team was under its limit. A gang: it
   * does not run, though there has been room for all of its tasks.
   */
  private checkLeftWaiting(record: JobRecord, now: number, machines: readonly MachineView[]): void {
    const could = this.quietSince !== null && !record.cancelRequested && this.couldStart(record, machines);
    if (!could) {
      record.roomSince = null;
      return;
    }
    record.roomSince ??= now;
    if (now - record.roomSince > LEFT_WAITING_MS)
      this.breaks('left_waiting', record.job.id, `${record.job.id} waits for 90 s while there is room`);
  }

  private underLimit(record: JobRecord, machines: readonly MachineView[]): boolean {
    const { job } = record;
    const limit = this.options.teams.find((t) => t.name === job.team);
    // What a gang holds itself is among its tasks already.
    const tasks = job.shape === 'gang' ? job.tasks : 1;
    let cpus = job.cpus * tasks;
    let gpus = job.gpus * tasks;
    for (const task of machines.flatMap((m) => m.holds)) {
      const other = this.jobs.get(jobOf(task))?.job;
      if (other?.team !== job.team || other === job) continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    const under = (used: number, most: number): boolean => most === 0 || used <= most + EPSILON;
    return limit !== undefined && under(cpus, limit.cpusMax) && under(gpus, limit.gpusMax);
  }

  private couldStart(record: JobRecord, machines: readonly MachineView[]): boolean {
    const { job } = record;
    if (!this.underLimit(record, machines)) return false;
    if (job.shape === 'gang') return !record.gangRuns && roomForGang(job, machines);
    const held = machines.some((m) => m.holds.some((t) => jobOf(t) === job.id));
    return !held && record.on.size === 0 && machines.some((m) => slotsFor(m, job) > 0);
  }

  /** The end of the simulation. */
  finish(): void {
    if (this.counts.starts === 0 && this.counts.accepted > 0)
      this.breaks('nothing_ran', 'all', 'no task was started');
  }
}

/** How many tasks of the job the machine has room for, those of the job that are there already included. */
function slotsFor(m: MachineView, job: UserJob): number {
  const { facts, free } = m;
  if (job.types && !job.types.includes(facts.type)) return 0;
  if (job.zone !== null && job.zone !== facts.zone) return 0;
  if (facts.spot && !job.spot) return 0;
  const fit = (has: number, needs: number): number =>
    needs > 0 ? Math.floor(has / needs + EPSILON) : Infinity;
  const more = Math.min(fit(free.cpus, job.cpus), fit(free.gpus, job.gpus), fit(free.memoryGb, job.memoryGb));
  return more + m.holds.filter((t) => jobOf(t) === job.id).length;
}

/** Room for all tasks of a gang, in one zone if it asks for that, spread over zones if it asks for that. */
function roomForGang(job: UserJob, machines: readonly MachineView[]): boolean {
  const byZone = new Map<string, number>();
  for (const m of machines)
    byZone.set(m.facts.zone, (byZone.get(m.facts.zone) ?? 0) + Math.min(job.tasks, slotsFor(m, job)));
  const zones = [...byZone.values()];
  if (job.sameZone) return zones.some((slots) => slots >= job.tasks);
  const most = job.spread ? Math.ceil(job.tasks / 2) : job.tasks;
  return zones.reduce((sum, slots) => sum + Math.min(most, slots), 0) >= job.tasks;
}
