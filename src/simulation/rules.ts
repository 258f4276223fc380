/** The rules that the invariant checker knows, and what it observes of jobs and machines. */
import type { MachineSpec } from './observer.js';
import type { UserJob } from './user-jobs.js';

/** The rules that are checked, by the names under which violations are reported. */
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

/** One breach of a rule; each rule is reported once for each job, task or machine concerned. */
export interface Violation {
  readonly rule: Rule;
  /** Simulated seconds since the start. */
  readonly atS: number;
  /** Number of the event in which it was seen. */
  readonly event: number;
  readonly detail: string;
}

/** A team's quota as the settings give it. */
export interface TeamQuota {
  readonly name: string;
  /** 0: none. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** A machine that is up and well, as seen from outside. */
export interface MachineView {
  readonly spec: MachineSpec;
  readonly free: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number };
  /** Tasks that hold room there, also while they wait for their image. */
  readonly occupyingTasks: readonly string[];
}

/** What the rules are checked against; `cancelS` is in seconds. */
export interface InvariantCheckerOptions {
  readonly teams: readonly TeamQuota[];
  readonly cancelS: number;
  readonly machines: () => readonly MachineView[];
}

/** What has been seen of one job. */
export interface JobObservation {
  readonly job: UserJob;
  readonly machineByTask: Map<string, MachineSpec>;
  readonly completed: Set<string>;
  acceptedAt: number | null;
  rejected: boolean;
  cancelRequested: boolean;
  finalState: { readonly state: 'done' | 'cancelled'; readonly at: number } | null;
  /** When the last question was answered, and the first one after it that was not. */
  lastAnswerAt: number;
  unansweredSince: number | null;
  startableSince: number | null;
  /** All tasks of the gang run; false for other jobs. */
  gangRunning: boolean;
}

/** Sums of fractions may differ by this much. */
export const EPSILON = 1e-6;
/** A cancelled task may end this much later than it must, by the rounding of times. */
export const CANCEL_SLACK_MS = 1;

/** What is counted beside the rules. */
export interface ObservationCounts {
  starts: number;
  gangStarts: number;
  startsAfterCancel: number;
  acceptedOdd: number;
  accepted: number;
  done: number;
  cancelled: number;
}

/** Reports a violation, once for each rule and what it is about. */
export type ReportViolation = (rule: Rule, about: string, detail: string) => void;

/** The job of a task's name. */
export const jobIdOf = (task: string): string => task.slice(0, task.lastIndexOf('/'));
