/** A machine of a part, what is bound to it, and what is free on it. */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { subtract, ZERO, type MutableResources } from '../model/resources.js';
import type { ExitCause } from '../model/exit-cause.js';
import type {
  Address,
  Attempt,
  ImageId,
  JobId,
  MachineId,
  Sequence,
  AgentEpoch,
  SteadyMs,
  TaskId,
  TaskIndex,
  FencingToken,
  TypeId,
  ZoneId,
} from '../units.js';

/** A direct launch without an answer: it may be carried out as long as token and session match. */
export interface UnacknowledgedLaunch {
  readonly token: FencingToken;
  readonly session: AgentEpoch;
  readonly since: SteadyMs;
}

export interface Allocation {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  /** null: a task seen on a machine whose job is gone; its size is unknown. */
  readonly spec: JobSpec | null;
  /** `ordered`: the worker has not shown it yet. `gathering`: it waits for the other tasks of its gang. */
  phase: 'ordered' | 'fetching' | 'gathering' | 'running' | 'saving';
  readonly allocatedAt: SteadyMs;
  runningSince: SteadyMs | null;
  /** When it was first seen to wait for its gang. */
  gatheringSince: SteadyMs | null;
  stop: { grace: number; direct: 'due' | 'sent' } | null;
  /** A direct request carrying its launch is on its way. */
  inFlight: boolean;
  /** A direct launch is due. */
  due: boolean;
  unacknowledged: UnacknowledgedLaunch | null;
  /** Number of the report whose answer carried the launch last. */
  answered: Sequence | null;
}

export interface Exited {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly cause: ExitCause;
  unacknowledged: UnacknowledgedLaunch | null;
}

export interface Machine {
  readonly id: MachineId;
  address: Address;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  session: AgentEpoch;
  sequence: Sequence;
  token: FencingToken;
  /** A report of an earlier session than this describes tasks that are certainly gone. */
  leastSession: AgentEpoch;
  lastHeard: SteadyMs | null;
  /** Since when its reports come without a gap. */
  heardSince: SteadyMs | null;
  /** Receipt of the last report that we may have answered. */
  lastReport: SteadyMs | null;
  lastReportSequence: Sequence | null;
  /** When we first heard of its present session, whose lease began before that. */
  sessionSeen: SteadyMs | null;
  /** Since the claim it has reported under our token, or its lease is certainly over. */
  reconciled: boolean;
  /** When the cloud takes it, once it said so. */
  interruptedAt: SteadyMs | null;
  readonly allocations: Map<TaskId, Allocation>;
  /** What the bindings take together, kept up to date with them. */
  readonly used: MutableResources;
  /** What bindings below critical take of it, and how many bindings are of unknown size. */
  readonly preemptible: MutableResources;
  unknownSize: number;
  /** How many bindings need each image: it is there, or on its way. */
  readonly wanted: Map<ImageId, number>;
  exited: Map<TaskId, Exited>;
  /** Images it should hold, the least recently used first; `Part.sawImage` keeps them within its cache. */
  readonly images: Map<ImageId, number>;
  directBusy: boolean;
  /**
   * Since when nothing of ours has certainly arrived there; null while it is reached. Reports prove nothing: a
   * machine may be heard and not hear us. Nothing new is placed on it until it answers a direct request.
   */
  unreachedSince: SteadyMs | null;
  /** Direct requests in a row that it did not answer. */
  missedCalls: number;
  /** When we first answered a report of it that did not show our token yet. */
  answeredUnreconciled: SteadyMs | null;
  /** Receipt of the last report that we refused because our answers do not reach the machine. */
  refusedUnreachable: SteadyMs | null;
  /** No new tasks before this time: it refused, failed or could not be reached. */
  quarantinedUntil: SteadyMs;
  faults: { at: SteadyMs; job: JobId }[];
  /** It is to go to another pool and takes no more tasks. */
  draining: boolean;
  returning: boolean;
  idleSince: SteadyMs | null;
  readonly since: SteadyMs;
}

export function newMachine(
  id: MachineId,
  address: Address,
  type: TypeId,
  zone: ZoneId,
  spot: boolean,
  now: SteadyMs,
  settled: boolean,
): Machine {
  return {
    id,
    address,
    type,
    zone,
    spot,
    session: 0 as AgentEpoch,
    sequence: 0 as Sequence,
    token: 0 as FencingToken,
    leastSession: 0 as AgentEpoch,
    lastHeard: null,
    heardSince: null,
    lastReport: null,
    lastReportSequence: null,
    sessionSeen: null,
    reconciled: settled,
    interruptedAt: null,
    allocations: new Map(),
    used: { ...ZERO },
    preemptible: { ...ZERO },
    unknownSize: 0,
    wanted: new Map(),
    exited: new Map(),
    images: new Map(),
    directBusy: false,
    unreachedSince: null,
    missedCalls: 0,
    answeredUnreconciled: null,
    refusedUnreachable: null,
    quarantinedUntil: now,
    faults: [],
    draining: false,
    returning: false,
    idleSince: null,
    since: now,
  };
}

/** A machine whose tasks, or whose tasks' sizes, we do not know in full. */
export const isUnclear = (m: Machine): boolean => !m.reconciled || m.unknownSize > 0;

/** What is free on a machine; nothing while something of unknown size is on it. */
export function roomOn(machine: Machine, type: MachineType | undefined): MutableResources {
  if (!type || machine.unknownSize > 0) return { ...ZERO };
  return subtract(type, machine.used);
}
