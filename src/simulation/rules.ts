/** Rules of the invariant checker, and its observations of jobs and machines. */
import type { MachineSpec } from './observer.js';
import type { UserJob } from './user-jobs.js';

/** Names of the checked rules, as reported with violations. */
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
/** Name of a rule. */
export type Rule = (typeof RULES)[number];

/** A violation of a rule; reported once per rule and affected job, task or team. */
export interface Violation {
  readonly rule: Rule;
  /** Simulated seconds since the start. */
  readonly atS: number;
  /** Number of the event at which it was detected. */
  readonly event: number;
  readonly detail: string;
}

/** Quota limits of a team. */
export interface TeamQuota {
  readonly name: string;
  /** 0 means no limit, also for GPUs. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** A usable machine, as seen from outside the controllers. */
export interface MachineView {
  readonly spec: MachineSpec;
  readonly free: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number };
  /** Tasks that occupy resources of the machine, including those still fetching their image. */
  readonly occupyingTasks: readonly string[];
}

/** Limits of the deployment and the machines that the rules refer to; `cancelS` is in seconds. */
export interface InvariantCheckerOptions {
  readonly teams: readonly TeamQuota[];
  readonly cancelS: number;
  readonly machines: () => readonly MachineView[];
}

/** Observed state of one job. */
export interface JobObservation {
  readonly job: UserJob;
  readonly machineByTask: Map<string, MachineSpec>;
  readonly completed: Set<string>;
  acceptedAt: number | null;
  rejected: boolean;
  cancelRequested: boolean;
  finalState: { readonly state: 'done' | 'cancelled'; readonly at: number } | null;
  /** Time of the last answered status request, and of the first unanswered one after it. */
  lastAnswerAt: number;
  unansweredSince: number | null;
  startableSince: number | null;
  /** All tasks of the gang run; always false for jobs that are not gangs. */
  gangRunning: boolean;
}

/** Tolerance for rounding errors in sums of fractional resources. */
export const EPSILON = 1e-6;
/** Tolerance for rounding of times: a cancelled task may end this much after its deadline. */
export const CANCEL_SLACK_MS = 1;

/** Statistics that are counted in addition to the rules. */
export interface ObservationCounts {
  starts: number;
  gangStarts: number;
  startsAfterCancel: number;
  acceptedOdd: number;
  accepted: number;
  done: number;
  cancelled: number;
}

/** Reports a violation, once per rule and subject; `subject` identifies the job, task or team. */
export type ReportViolation = (rule: Rule, subject: string, detail: string) => void;

/** Returns the job id of a task name `job/index`. */
export const jobIdOf = (task: string): string => task.slice(0, task.lastIndexOf('/'));
