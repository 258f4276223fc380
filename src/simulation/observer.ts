/** What can be seen from outside: tasks on machines, and what users ask and are told. The invariant checker relies on it alone. */
import type { UserJob } from './user-jobs.js';

/** What does not change about a machine while it is up. */
export interface MachineSpec {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** What a user asks for: to submit a job, to ask for its state, to cancel it. */
export type UserRequestKind = 'submit' | 'ask' | 'cancel';

/** One request of a user with its answer. */
export interface UserResponse {
  readonly kind: UserRequestKind;
  readonly job: string;
  /** When the request was sent and answered, in simulated milliseconds. */
  readonly sentAt: number;
  readonly answeredAt: number;
  /** null: no answer. */
  readonly status: number | null;
  readonly state: string | null;
  /** The request was not a plain one: a submission that lacks a field, or a question about a job nobody submitted. */
  readonly irregular: boolean;
}

/** Notified of each event that can be seen from outside the controllers. */
export interface Observer {
  /** The task holds its image on the machine: from now on it is there. */
  taskStarted(machine: MachineSpec, task: string): void;
  /** It exited, was killed, or the machine has ended. */
  taskEnded(machine: MachineSpec, task: string, completed: boolean): void;
  /** All tasks of a gang run. */
  gangStarted(job: string): void;
  /** A task has joined an attempt of its gang that had started already, where nobody waits for it. */
  gangRejoined(job: string, task: string): void;
  jobSubmitted(job: UserJob): void;
  cancelRequested(job: string): void;
  responseReceived(answer: UserResponse): void;
}
