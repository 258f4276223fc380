/** A machine of a part, what is bound to it, and what is free on it. */
import type { InstanceType } from '../cloud/wire.js';
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
  InstanceTypeId,
  ZoneId,
} from '../model/units.js';

/** A direct launch without an answer: it may be carried out as long as token and session match. */
export interface UnacknowledgedLaunch {
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly sentAt: SteadyMs;
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
  launchInFlight: boolean;
  /** A direct launch is due. */
  launchPending: boolean;
  unacknowledged: UnacknowledgedLaunch | null;
  /** Number of the report whose answer carried the launch last. */
  answeredSequence: Sequence | null;
}

export interface ExitedTask {
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
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  agentEpoch: AgentEpoch;
  sequence: Sequence;
  fencingToken: FencingToken;
  /** A report of an earlier session than this describes tasks that are certainly gone. */
  minimumAgentEpoch: AgentEpoch;
  lastHeardAt: SteadyMs | null;
  /** Since when its reports come without a gap. */
  continuouslyHeardSince: SteadyMs | null;
  /** Receipt of the last report that we may have answered. */
  lastHeartbeatAt: SteadyMs | null;
  lastHeartbeatSequence: Sequence | null;
  /** When we first heard of its present session, whose lease began before that. */
  agentEpochSeenAt: SteadyMs | null;
  /** Since the claim it has reported under our token, or its lease is certainly over. */
  reconciled: boolean;
  /** When the cloud takes it, once it said so. */
  interruptedAt: SteadyMs | null;
  readonly allocations: Map<TaskId, Allocation>;
  /** What the bindings take together, kept up to date with them. */
  readonly used: MutableResources;
  /** What bindings below critical take of it, and how many bindings are of unknown size. */
  readonly preemptible: MutableResources;
  unknownSizeCount: number;
  /** How many bindings need each image: it is there, or on its way. */
  readonly requiredImages: Map<ImageId, number>;
  exitedTasks: Map<TaskId, ExitedTask>;
  /** Images it should hold, the least recently used first; `Part.sawImage` keeps them within its cache. */
  readonly images: Map<ImageId, number>;
  directRequestInFlight: boolean;
  /**
   * Since when nothing of ours has certainly arrived there; null while it is reached. Reports prove nothing: a
   * machine may be heard and not hear us. Nothing new is placed on it until it answers a direct request.
   */
  unreachableSince: SteadyMs | null;
  /** Direct requests in a row that it did not answer. */
  missedDirectRequests: number;
  /** When we first answered a report of it that did not show our token yet. */
  answeredUnreconciledAt: SteadyMs | null;
  /** Receipt of the last report that we refused because our answers do not reach the machine. */
  refusedUnreachableAt: SteadyMs | null;
  /** No new tasks before this time: it refused, failed or could not be reached. */
  quarantinedUntil: SteadyMs;
  taskFailures: { at: SteadyMs; job: JobId }[];
  /** It is to go to another pool and takes no more tasks. */
  draining: boolean;
  scalingIn: boolean;
  idleSince: SteadyMs | null;
  readonly addedAt: SteadyMs;
}

export function newMachine(
  id: MachineId,
  address: Address,
  type: InstanceTypeId,
  zone: ZoneId,
  spot: boolean,
  now: SteadyMs,
  reconciled: boolean,
): Machine {
  return {
    id,
    address,
    type,
    zone,
    spot,
    agentEpoch: 0 as AgentEpoch,
    sequence: 0 as Sequence,
    fencingToken: 0 as FencingToken,
    minimumAgentEpoch: 0 as AgentEpoch,
    lastHeardAt: null,
    continuouslyHeardSince: null,
    lastHeartbeatAt: null,
    lastHeartbeatSequence: null,
    agentEpochSeenAt: null,
    reconciled,
    interruptedAt: null,
    allocations: new Map(),
    used: { ...ZERO },
    preemptible: { ...ZERO },
    unknownSizeCount: 0,
    requiredImages: new Map(),
    exitedTasks: new Map(),
    images: new Map(),
    directRequestInFlight: false,
    unreachableSince: null,
    missedDirectRequests: 0,
    answeredUnreconciledAt: null,
    refusedUnreachableAt: null,
    quarantinedUntil: now,
    taskFailures: [],
    draining: false,
    scalingIn: false,
    idleSince: null,
    addedAt: now,
  };
}

/** A machine whose tasks, or whose tasks' sizes, we do not know in full. */
export const hasUnknownUsage = (m: Machine): boolean => !m.reconciled || m.unknownSizeCount > 0;

/** What is free on a machine; nothing while something of unknown size is on it. */
export function freeResources(machine: Machine, type: InstanceType | undefined): MutableResources {
  if (!type || machine.unknownSizeCount > 0) return { ...ZERO };
  return subtract(type, machine.used);
}
