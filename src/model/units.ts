/** Ids, versions and times as small types of their own: mixing them up is a compile error. */
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** A point on this process's steady clock, in milliseconds. Never compared between processes. */
export type SteadyMs = Branded<number, 'SteadyMs'>;
/** Time that the controllers have counted together, in milliseconds. */
export type ClusterMs = Branded<number, 'SharedMs'>;
/** A length of time in milliseconds. */
export type Millis = Branded<number, 'Millis'>;
/** A length of time in seconds, as the wire gives it. */
export type Seconds = Branded<number, 'Seconds'>;
export type JobId = Branded<string, 'JobId'>;
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** `job/index`, the name of one task. */
export type TaskId = Branded<string, 'TaskId'>;
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a controller. */
export type ControllerId = Branded<string, 'NodeId'>;
/** One start of a controller process. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Number of a part: the share of the machines of the controller at that place in name order. */
export type ShardId = Branded<number, 'PartId'>;
export type TeamId = Branded<string, 'TeamId'>;
export type ZoneId = Branded<string, 'ZoneId'>;
export type InstanceTypeId = Branded<string, 'TypeId'>;
export type ImageId = Branded<string, 'ImageId'>;
/** `host:port`. */
export type Address = Branded<string, 'Address'>;
/** Says who may command machines; the higher one wins. */
export type FencingToken = Branded<number, 'Token'>;
/** One start of one task. Never repeated, by nobody. */
export type Attempt = Branded<number, 'Attempt'>;
/** A worker's session and the number of a message in it. */
export type AgentEpoch = Branded<number, 'Session'>;
export type Sequence = Branded<number, 'Sequence'>;
/** A revision of the state service. */
export type Revision = Branded<number, 'Revision'>;
export type LeaseId = Branded<number, 'LeaseId'>;
export type StoreKey = Branded<string, 'StateKey'>;
export type RentalId = Branded<string, 'RentalId'>;

export const steady = (n: number): SteadyMs => n as SteadyMs;
export const millis = (n: number): Millis => n as Millis;
export const seconds = (n: number): Seconds => n as Seconds;
export const toMillis = (s: Seconds): Millis => (s * 1000) as Millis;
export const plus = (t: SteadyMs, d: Millis): SteadyMs => (t + d) as SteadyMs;
export const elapsed = (now: SteadyMs, then: SteadyMs): Millis => (now - then) as Millis;
export const shardId = (n: number): ShardId => n as ShardId;
export const taskIndex = (n: number): TaskIndex => n as TaskIndex;
export const revision = (n: number): Revision => n as Revision;
export const fencingToken = (n: number): FencingToken => n as FencingToken;
export const attempt = (n: number): Attempt => n as Attempt;
export const storeKey = (s: string): StoreKey => s as StoreKey;
export const NO_REVISION = 0 as Revision;

export function taskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

/** Splits `job/index`; null when the text has another form. */
export function splitTaskId(text: string): { job: JobId; index: TaskIndex } | null {
  const cut = text.lastIndexOf('/');
  const digits = text.slice(cut + 1);
  if (cut <= 0 || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: text.slice(0, cut) as JobId, index: Number(digits) as TaskIndex };
}

/** The process's two sources of time; tests and stand-ins give their own. */
export interface Clock {
  now(): SteadyMs;
  after(delay: Millis, run: () => void): { cancel(): void };
}

export const systemClock: Clock = {
  now: () => performance.now() as SteadyMs,
  after(delay, run) {
    const timer = setTimeout(run, Math.max(0, delay));
    return { cancel: () => clearTimeout(timer) };
  },
};
