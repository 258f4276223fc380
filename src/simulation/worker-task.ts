/** Tasks of a simulated worker, and commands and statuses as they travel. */
import type { EventQueue, ScheduledTimer } from './clock.js';
import type { Defects } from './defects.js';
import type { GangAttempt, GangExit, GangMember, GangRegistry } from './gangs.js';
import type { Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';
import type { JobStorage, UserJob } from './user-jobs.js';

/** What the tasks of a worker use of the simulated cluster. */
export interface TaskEnvironment {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: GangRegistry;
  readonly defects: Defects;
}

/** A command as it travels to a worker. */
export interface WireCommand {
  readonly order: 'launch' | 'kill' | 'clear';
  readonly leg: string;
  readonly sailing: number;
  readonly ebbS?: number;
}

/** The body of a request with commands that comes straight to a machine. */
export interface DirectCommandBody {
  readonly helm?: number;
  readonly watch?: number;
  readonly orders?: readonly WireCommand[];
}

/** Why a task has exited, in the words of the wire. */
export type ExitCause = GangExit | 'error' | 'full' | 'busy' | 'unknown';

/** One attempt of a task on a machine. */
export interface WorkerTask {
  readonly name: string;
  readonly attempt: number;
  readonly job: UserJob | null;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: ExitCause | null;
  saved: boolean;
  /** When the present run began, and how much was saved before it, in milliseconds. */
  runningSince: number;
  progressBefore: number;
  timer: ScheduledTimer | null;
  /** Its place among the tasks of its gang, once it has its image. */
  gang: { readonly attempt: GangAttempt; readonly member: GangMember } | null;
}

/** What a heartbeat says of a task. */
export const encodeTaskStatus = (task: WorkerTask): object => ({
  leg: task.name,
  sailing: task.attempt,
  status: task.status,
  ...(task.cause === null ? {} : { cause: task.cause }),
  ...(task.saved ? { saved: true } : {}),
});
