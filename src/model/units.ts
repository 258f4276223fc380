/**
 * Branded types for ids, versions and times, so that mixing them up is a compile error. At run time they are plain
 * strings and numbers; the codec that reads a value into the process checks it.
 */
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** A time on this process's monotonic clock, in milliseconds. Times of different processes must not be compared. */
export type SteadyMs = Branded<number, 'SteadyMs'>;
/** A time on the cluster clock, which the controllers advance together in the store, in milliseconds. */
export type ClusterMs = Branded<number, 'ClusterMs'>;
/** A duration in milliseconds. */
export type Millis = Branded<number, 'Millis'>;
/** A duration in seconds, as in messages and settings. */
export type Seconds = Branded<number, 'Seconds'>;
/** Name of a job, chosen by its user. */
export type JobId = Branded<string, 'JobId'>;
/** Index of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** Name of a task: `job/index`. */
export type TaskId = Branded<string, 'TaskId'>;
/** Name of a machine, assigned by the cloud. */
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a controller. */
export type ControllerId = Branded<string, 'ControllerId'>;
/** Identifies one start of a controller process. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Number of a shard, from 0: shard `n` is the home shard of the `n`th controller in the order of their names. */
export type ShardId = Branded<number, 'ShardId'>;
/** Name of a team, as in the settings. */
export type TeamId = Branded<string, 'TeamId'>;
/** Name of a zone, as in the settings. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** Name of an instance type, as in the cloud's catalog. */
export type InstanceTypeId = Branded<string, 'InstanceTypeId'>;
/** Name of an image that tasks run. */
export type ImageId = Branded<string, 'ImageId'>;
/** A network address, `host:port`. */
export type Address = Branded<string, 'Address'>;
/** Increases with every change of a shard's leadership: a worker obeys only the highest token that it has seen. */
export type FencingToken = Branded<number, 'FencingToken'>;
/** Identifies one start of a task. No controller assigns a number twice; a later start has a larger number. */
export type Attempt = Branded<number, 'Attempt'>;
/** Epoch of a worker; it increases each time the worker's lease expires, which ends all of its tasks. */
export type AgentEpoch = Branded<number, 'AgentEpoch'>;
/** Sequence number of a worker's message within its epoch: the message with the larger (epoch, number) is newer. */
export type Sequence = Branded<number, 'Sequence'>;
/** A revision of the store. The revision of a key is the one at which it was last changed. */
export type Revision = Branded<number, 'Revision'>;
/** A lease in the store; its keys are deleted when it expires. */
export type LeaseId = Branded<number, 'LeaseId'>;
/** A key in the store. */
export type StoreKey = Branded<string, 'StoreKey'>;
/** Idempotency key of a request for machines. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;

/** Brands a number as a time on the monotonic clock, in milliseconds. */
export const steady = (n: number): SteadyMs => n as SteadyMs;
/** Brands a number as a duration in milliseconds. */
export const millis = (n: number): Millis => n as Millis;
/** Brands a number as a duration in seconds. */
export const seconds = (n: number): Seconds => n as Seconds;
/** Converts a duration from seconds to milliseconds. */
export const toMillis = (duration: Seconds): Millis => (duration * 1000) as Millis;
/** Returns the time that is `delay` after `time`. */
export const plus = (time: SteadyMs, delay: Millis): SteadyMs => (time + delay) as SteadyMs;
/** Returns the time from `then` to `now`, negative if `now` is earlier. */
export const elapsed = (now: SteadyMs, then: SteadyMs): Millis => (now - then) as Millis;
/** Brands a number as the number of a shard. */
export const shardId = (n: number): ShardId => n as ShardId;
/** Brands a number as a task index. */
export const taskIndex = (n: number): TaskIndex => n as TaskIndex;
/** Brands a number as a revision. */
export const revision = (n: number): Revision => n as Revision;
/** Brands a number as a fencing token. */
export const fencingToken = (n: number): FencingToken => n as FencingToken;
/** Brands a number as an attempt. */
export const attempt = (n: number): Attempt => n as Attempt;
/** Brands a string as a key in the store. */
export const storeKey = (s: string): StoreKey => s as StoreKey;
/** The revision of a key that does not exist. */
export const NO_REVISION = 0 as Revision;

/** Returns the name of a task. */
export function taskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

/** Splits the name of a task, `job/index`, into job and index. Returns null if the text does not have this form. */
export function splitTaskId(text: string): { job: JobId; index: TaskIndex } | null {
  const slash = text.lastIndexOf('/');
  const digits = text.slice(slash + 1);
  if (slash <= 0 || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: text.slice(0, slash) as JobId, index: Number(digits) as TaskIndex };
}

/** Clock and timers of the process; tests and the simulation substitute their own. */
export interface Clock {
  /** Returns a monotonic time, which changes of the time of day do not affect. */
  now(): SteadyMs;
  /** Runs the function once after the delay, unless the timer is cancelled before. */
  after(delay: Millis, run: () => void): { cancel(): void };
}

/** The real clock of the process. */
export const systemClock: Clock = {
  now: () => performance.now() as SteadyMs,
  /** Runs the function once after the delay, unless the timer is cancelled before. */
  after(delay, run) {
    const timer = setTimeout(run, Math.max(0, delay));
    return { cancel: () => clearTimeout(timer) };
  },
};
