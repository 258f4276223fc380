/**
 * Ids, versions and times as types of their own: mixing them up is a compile error. At run time they are plain strings
 * and numbers; where one enters the process it is checked by the codec that reads it.
 */
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** A point on this process's steady clock, in milliseconds. Never compared between processes. */
export type SteadyMs = Branded<number, 'SteadyMs'>;
/** Time that the controllers have counted together, in milliseconds. */
export type ClusterMs = Branded<number, 'ClusterMs'>;
/** A length of time in milliseconds. */
export type Millis = Branded<number, 'Millis'>;
/** A length of time in seconds, as the wire gives it. */
export type Seconds = Branded<number, 'Seconds'>;
/** Name of a job, as its user chose it. */
export type JobId = Branded<string, 'JobId'>;
/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** `job/index`, the name of one task. */
export type TaskId = Branded<string, 'TaskId'>;
/** Name of a machine, as the cloud gave it. */
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a controller. */
export type ControllerId = Branded<string, 'ControllerId'>;
/** One start of a controller process. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Number of a shard: it is the home shard of the controller at that place in the order of names, from 0. */
export type ShardId = Branded<number, 'ShardId'>;
/** Name of a team, as in the settings. */
export type TeamId = Branded<string, 'TeamId'>;
/** Name of a zone, as in the settings. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** Name of an instance type, as in the cloud's catalog. */
export type InstanceTypeId = Branded<string, 'InstanceTypeId'>;
/** Name of an image that tasks run. */
export type ImageId = Branded<string, 'ImageId'>;
/** `host:port`. */
export type Address = Branded<string, 'Address'>;
/** Grows with every change of a shard's leadership: a worker obeys only the highest one that it has seen. */
export type FencingToken = Branded<number, 'FencingToken'>;
/** Numbers one start of one task. No controller ever gives a number twice; a later start has a larger one. */
export type Attempt = Branded<number, 'Attempt'>;
/** Of a worker; it grows each time the worker's lease expires, which ends all of its tasks. */
export type AgentEpoch = Branded<number, 'AgentEpoch'>;
/** Number of a worker's message within its epoch: of two messages the one with the larger (epoch, number) is newer. */
export type Sequence = Branded<number, 'Sequence'>;
/** A revision of the store; that of a key is the one that last changed it. */
export type Revision = Branded<number, 'Revision'>;
/** A lease in the store, with which its keys go. */
export type LeaseId = Branded<number, 'LeaseId'>;
/** A key in the store. */
export type StoreKey = Branded<string, 'StoreKey'>;
/** Idempotency key of a request for machines. */
export type RentalId = Branded<string, 'RentalId'>;

/** A reading of the steady clock. */
export const steady = (n: number): SteadyMs => n as SteadyMs;
/** A length in milliseconds. */
export const millis = (n: number): Millis => n as Millis;
/** A length in seconds. */
export const seconds = (n: number): Seconds => n as Seconds;
/** The same length in milliseconds. */
export const toMillis = (length: Seconds): Millis => (length * 1000) as Millis;
/** The time so much later. */
export const plus = (time: SteadyMs, delay: Millis): SteadyMs => (time + delay) as SteadyMs;
/** The time between the two, negative if `now` is earlier. */
export const elapsed = (now: SteadyMs, then: SteadyMs): Millis => (now - then) as Millis;
/** The number as a shard. */
export const shardId = (n: number): ShardId => n as ShardId;
/** The number as a task index. */
export const taskIndex = (n: number): TaskIndex => n as TaskIndex;
/** The number as a revision. */
export const revision = (n: number): Revision => n as Revision;
/** The number as a fencing token. */
export const fencingToken = (n: number): FencingToken => n as FencingToken;
/** The number as an attempt. */
export const attempt = (n: number): Attempt => n as Attempt;
/** The text as a key. */
export const storeKey = (s: string): StoreKey => s as StoreKey;
/** Of a key that does not exist. */
export const NO_REVISION = 0 as Revision;

/** The name of a task. */
export function taskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

/** Splits the name of a task, `job/index`, into its parts; null: the text has another form. */
export function splitTaskId(text: string): { job: JobId; index: TaskIndex } | null {
  const cut = text.lastIndexOf('/');
  const digits = text.slice(cut + 1);
  if (cut <= 0 || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: text.slice(0, cut) as JobId, index: Number(digits) as TaskIndex };
}

/** The time of this process and its timers; tests and the simulation give their own. */
export interface Clock {
  /** Never goes back, whatever is done to the time of day. */
  now(): SteadyMs;
  /** Runs the function once, after the delay, unless it is cancelled before. */
  after(delay: Millis, run: () => void): { cancel(): void };
}

/** The clock of the process itself. */
export const systemClock: Clock = {
  now: () => performance.now() as SteadyMs,
  /** Runs the function once, after the delay, unless it is cancelled before. */
  after(delay, run) {
    const timer = setTimeout(run, Math.max(0, delay));
    return { cancel: () => clearTimeout(timer) };
  },
};
