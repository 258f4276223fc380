/**
 * Checks every rule of PROTOCOL against what is visible from outside the controllers: tasks on machines, and users'
 * requests with their answers. Shares no code and no state with the controllers or the workers that it observes.
 */
import type { EventQueue } from './clock.js';
import type { UserJob } from './user-jobs.js';
import type { MachineSpec, Observer, UserResponse } from './observer.js';
import {
  CANCEL_SLACK_MS,
  EPSILON,
  jobIdOf,
  type InvariantCheckerOptions,
  type JobObservation,
  type MachineView,
  type ObservationCounts,
  type Rule,
  type Violation,
} from './rules.js';
import { isStartable } from './startable-jobs.js';
import { UserResponseChecker } from './user-response-checker.js';

export { RULES, type MachineView, type Rule, type Violation } from './rules.js';

const REVIEW_INTERVAL_MS = 2000;
const MAX_STARTABLE_WAIT_MS = 90_000;
/** Observes the simulated cluster and collects violations; `finish` checks the rules that apply to the whole run. */
export class InvariantChecker implements Observer {
  readonly violations: Violation[] = [];
  /** Statistics. Accepted malformed jobs and starts up to `cancelS` after a cancellation are only counted. */
  readonly counts: ObservationCounts = {
    starts: 0,
    gangStarts: 0,
    startsAfterCancel: 0,
    acceptedOdd: 0,
    accepted: 0,
    done: 0,
    cancelled: 0,
  };
  onViolation: (violation: Violation) => void = () => undefined;
  private readonly jobs = new Map<string, JobObservation>();
  private readonly reportedViolations = new Set<string>();
  private faultFreeSince: number | null = null;
  private readonly responses: UserResponseChecker;
  private readonly cluster: Parameters<typeof isStartable>[2];

  constructor(
    private readonly queue: EventQueue,
    private readonly options: InvariantCheckerOptions,
  ) {
    const { jobs, counts } = this;
    this.cluster = { jobs, teams: options.teams };
    this.responses = new UserResponseChecker(queue, {
      jobs,
      counts,
      cancelS: options.cancelS,
      report: (rule, subject, detail) => this.reportViolation(rule, subject, detail),
    });
    this.scheduleReview();
  }

  /** Records whether all faults have ended; `over` is false while a fault is active or has yet to reach its time. */
  setFaultsOver(over: boolean): void {
    this.faultFreeSince = over ? this.queue.now : null;
  }

  private reportViolation(rule: Rule, subject: string, detail: string): void {
    const key = `${rule} ${subject}`;
    if (this.reportedViolations.has(key)) return;
    this.reportedViolations.add(key);
    const violation = { rule, atS: this.queue.now / 1000, event: this.queue.processedEvents, detail };
    this.violations.push(violation);
    this.onViolation(violation);
  }

  jobSubmitted(job: UserJob): void {
    if (this.jobs.has(job.id)) return;
    this.jobs.set(job.id, {
      job,
      machineByTask: new Map(),
      completed: new Set(),
      acceptedAt: null,
      rejected: false,
      cancelRequested: false,
      finalState: null,
      lastAnswerAt: this.queue.now,
      unansweredSince: null,
      startableSince: null,
      gangRunning: false,
    });
  }

  cancelRequested(job: string): void {
    const record = this.jobs.get(job);
    if (record) record.cancelRequested = true;
  }

  taskStarted(machine: MachineSpec, task: string): void {
    this.counts.starts += 1;
    const record = this.jobs.get(jobIdOf(task));
    if (!record) {
      this.reportViolation('invented', task, `${task} starts, and nobody has submitted its job`);
      return;
    }
    const otherMachine = record.machineByTask.get(task);
    if (otherMachine)
      this.reportViolation(
        'ran_twice',
        task,
        `${task} starts on ${machine.id} while it is on ${otherMachine.id}`,
      );
    this.checkPlacement(record, machine, task);
    record.machineByTask.set(task, machine);
    this.checkCancelled(record, task);
    this.checkQuota(record.job.team);
  }

  taskEnded(machine: MachineSpec, task: string, completed: boolean): void {
    const record = this.jobs.get(jobIdOf(task));
    if (!record) return;
    if (record.machineByTask.get(task)?.id === machine.id) record.machineByTask.delete(task);
    record.gangRunning = false;
    if (completed) record.completed.add(task);
  }

  /** Returns the id of the machine that the task is on, or null. */
  machineOf(task: string): string | null {
    return this.jobs.get(jobIdOf(task))?.machineByTask.get(task)?.id ?? null;
  }

  gangStarted(job: string): void {
    const record = this.jobs.get(job);
    if (record) record.gangRunning = true;
    this.counts.gangStarts += 1;
  }

  /** Reports a task that joins an attempt that has started: an attempt that loses a task must end, not replace it. */
  gangRejoined(job: string, task: string): void {
    this.reportViolation('gang_rejoined', job, `${task} joins an attempt that had started`);
  }

  private checkPlacement(record: JobObservation, machine: MachineSpec, task: string): void {
    const { job } = record;
    const reject = (reason: string): void =>
      this.reportViolation('wrong_place', task, `${task} on ${machine.id}: ${reason}`);
    if (job.types && !job.types.includes(machine.type)) reject(`type ${machine.type} is not allowed`);
    if (job.zone !== null && job.zone !== machine.zone) reject(`zone ${machine.zone} is not ${job.zone}`);
    if (machine.spot && !job.spot) reject('a spot machine');
    const zones = [...record.machineByTask]
      .filter(([name]) => name !== task)
      .map(([, otherMachine]) => otherMachine.zone);
    if (job.sameZone && zones.some((z) => z !== machine.zone)) reject('another zone than its other tasks');
    const tasksInZone = zones.filter((z) => z === machine.zone).length + 1;
    if (job.spread && tasksInZone > Math.ceil(job.tasks / 2))
      reject(`${tasksInZone} of ${job.tasks} tasks in one zone`);
  }

  responseReceived(response: UserResponse): void {
    this.responses.receive(response);
  }

  private checkCancelled(record: JobObservation, task: string): void {
    if (record.finalState?.state !== 'cancelled') return;
    this.counts.startsAfterCancel += 1;
    if (this.queue.now > record.finalState.at + this.options.cancelS * 1000 + CANCEL_SLACK_MS)
      this.reportViolation('ran_cancelled', task, `${task} starts after its job was cancelled`);
  }

  private checkQuota(team: string): void {
    const quota = this.options.teams.find((t) => t.name === team);
    if (!quota) return;
    let cpus = 0;
    let gpus = 0;
    for (const { job, machineByTask } of this.jobs.values()) {
      if (job.team !== team) continue;
      cpus += machineByTask.size * job.cpus;
      gpus += machineByTask.size * job.gpus;
    }
    if (quota.cpusMax > 0 && cpus > quota.cpusMax + EPSILON)
      this.reportViolation('quota', team, `${team} uses ${cpus} CPUs of at most ${quota.cpusMax}`);
    if (quota.gpusMax > 0 && gpus > quota.gpusMax + EPSILON)
      this.reportViolation('quota', team, `${team} uses ${gpus} GPUs of at most ${quota.gpusMax}`);
  }

  private scheduleReview(): void {
    this.queue.after(REVIEW_INTERVAL_MS, () => {
      this.review();
      this.scheduleReview();
    });
  }

  private review(): void {
    const { now } = this.queue;
    const machines = this.faultFreeSince === null ? [] : this.options.machines();
    const unfinished = [...this.jobs.values()].filter(
      (record) => record.acceptedAt !== null && !record.finalState,
    );
    this.responses.review(unfinished, this.faultFreeSince);
    for (const record of unfinished) this.checkLeftWaiting(record, now, machines);
  }

  /**
   * Reports a job that has no task on any machine although, for `MAX_STARTABLE_WAIT_MS`, a machine has had room for a
   * task and the team was below its quota; and a gang that does not run although there has been room for all of its
   * tasks.
   */
  private checkLeftWaiting(record: JobObservation, now: number, machines: readonly MachineView[]): void {
    const startable =
      this.faultFreeSince !== null && !record.cancelRequested && isStartable(record, machines, this.cluster);
    if (!startable) {
      record.startableSince = null;
      return;
    }
    record.startableSince ??= now;
    if (now - record.startableSince > MAX_STARTABLE_WAIT_MS)
      this.reportViolation(
        'left_waiting',
        record.job.id,
        `${record.job.id} waits for 90 s while there is room`,
      );
  }

  /** Runs the checks at the end of the simulation. */
  finish(): void {
    if (this.counts.starts === 0 && this.counts.accepted > 0)
      this.reportViolation('nothing_ran', 'all', 'no task was started');
  }
}
