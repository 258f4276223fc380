/** Tasks of a simulated worker, and the wire format of commands and task statuses. */
import type { EventQueue, ScheduledTimer } from './clock.js';
import type { Defects } from './defects.js';
import type { GangAttempt, GangExit, GangMember, GangRegistry } from './gangs.js';
import type { Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';
import type { JobStorage, UserJob } from './user-jobs.js';

/** Dependencies of a worker's tasks on the simulated cluster. */
export interface TaskEnvironment {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: GangRegistry;
  readonly defects: Defects;
}

/** A command to a worker, in its wire format. */
export interface WireCommand {
  readonly order: 'launch' | 'kill' | 'clear';
  readonly leg: string;
  readonly sailing: number;
  readonly ebbS?: number;
}

/** Body of a request with commands that a controller sends directly to a machine. */
export interface DirectCommandBody {
  readonly helm?: number;
  readonly watch?: number;
  readonly orders?: readonly WireCommand[];
}

/** Why a task has exited, in wire names. */
export type ExitCause = GangExit | 'error' | 'full' | 'busy' | 'unknown';

/** One attempt of a task on a machine. */
export interface WorkerTask {
  readonly name: string;
  readonly attempt: number;
  readonly job: UserJob | null;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: ExitCause | null;
  saved: boolean;
  /** When the current run began, and the progress that was restored at its start, in milliseconds of run time. */
  runningSince: number;
  restoredProgressMs: number;
  timer: ScheduledTimer | null;
  /** The gang attempt that it has joined, once its image is fetched; null for tasks of other jobs. */
  gang: { readonly attempt: GangAttempt; readonly member: GangMember } | null;
}

/** Encodes the status of a task for a heartbeat. */
export const encodeTaskStatus = (task: WorkerTask): object => ({
  leg: task.name,
  sailing: task.attempt,
  status: task.status,
  ...(task.cause === null ? {} : { cause: task.cause }),
  ...(task.saved ? { saved: true } : {}),
});
