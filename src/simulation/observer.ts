/**
 * Events visible from outside the controllers, of tasks on machines and of users' requests. The invariant checker
 * receives no other events.
 */
import type { UserJob } from './user-jobs.js';

/** Immutable properties of a machine. */
export interface MachineSpec {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Kind of a user's request: submit a job, ask for its state, or cancel it. */
export type UserRequestKind = 'submit' | 'ask' | 'cancel';

/** One request of a user with its answer. */
export interface UserResponse {
  readonly kind: UserRequestKind;
  readonly job: string;
  /** When the request was sent and answered, in simulated milliseconds. */
  readonly sentAt: number;
  readonly answeredAt: number;
  /** HTTP status; null without an answer. */
  readonly status: number | null;
  readonly state: string | null;
  /** The request was deliberately irregular: a malformed submission, or a status request for a job nobody submitted. */
  readonly irregular: boolean;
}

/** Receives each event that is visible from outside the controllers. */
export interface Observer {
  /** The task's image is on the machine; from this moment the task counts as being on it. */
  taskStarted(machine: MachineSpec, task: string): void;
  /** The task exited or was killed, or its machine ended. */
  taskEnded(machine: MachineSpec, task: string, completed: boolean): void;
  /** All tasks of a gang run. */
  gangStarted(job: string): void;
  /** A task has joined an attempt of its gang that had already started. */
  gangRejoined(job: string, task: string): void;
  jobSubmitted(job: UserJob): void;
  cancelRequested(job: string): void;
  responseReceived(answer: UserResponse): void;
}
