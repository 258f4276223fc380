/**
 * A machine of a shard: what is known of its worker, what is allocated on it, and what is free there. It lives as long
 * as the leadership under which it was created; a later leader of the shard starts from the machine's record again.
 */
import type { InstanceType } from '../cloud/wire.js';
import { subtract, ZERO, type MutableResources } from '../model/resources.js';
import type {
  Address,
  AgentEpoch,
  FencingToken,
  ImageId,
  InstanceTypeId,
  JobId,
  MachineId,
  Revision,
  Sequence,
  SteadyMs,
  TaskId,
  ZoneId,
} from '../model/units.js';
import type { Allocation, ExitedTask } from './allocation.js';

/** A task that ended in an error on a machine. */
export interface TaskFailure {
  readonly at: SteadyMs;
  readonly job: JobId;
}

/**
 * The fields are written by few, named at each: "reconciliation" is workers/reconciliation.ts, "the shard" the functions
 * of this folder, which keep the totals of the shard up to date with the field. Everybody reads.
 */
export interface Machine {
  readonly id: MachineId;
  /** Where direct commands go, as its last message says. Changed by reconciliation. */
  address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  /** Of the newest message that was applied, like the next two; 0: none has been yet. Changed by reconciliation. */
  agentEpoch: AgentEpoch;
  sequence: Sequence;
  /** The fencing token of the leader whom the worker obeys. */
  fencingToken: FencingToken;
  /** A message of an earlier epoch lists tasks that are certainly gone, and is refused. Raised by the lease's expiry. */
  minimumAgentEpoch: AgentEpoch;
  /** Receipt of the last message, heartbeat or answer to a direct command; null: none yet. Changed by reconciliation. */
  lastHeardAt: SteadyMs | null;
  /** Since when heartbeats have come without a gap. Changed by reconciliation. */
  continuouslyHeardSince: SteadyMs | null;
  /** Receipt of the last heartbeat that may have been answered, which renews the lease. Changed by reconciliation. */
  lastHeartbeatAt: SteadyMs | null;
  /** Sequence number of that heartbeat. Changed by reconciliation. */
  lastHeartbeatSequence: Sequence | null;
  /** When its present epoch was first heard of; the epoch's lease began before that. Changed by reconciliation. */
  agentEpochSeenAt: SteadyMs | null;
  /**
   * Since the shard was acquired it has shown this leader's fencing token, or its lease has expired: it holds nothing of
   * an earlier leader that is not known here. Changed by `Shard.markReconciled` alone.
   */
  reconciled: boolean;
  /** Revision of the record that registered it for the shard. */
  readonly registeredVersion: Revision;
  /** This leader knows all that was written before that record. Changed by `RecordConfirmation` alone. */
  confirmed: boolean;
  /** When the cloud takes the spot instance, once it has given notice. Changed by `Shard.setInterruption` alone. */
  interruptedAt: SteadyMs | null;
  /** What is on it or may be, by task. Changed by the shard, like the next four. */
  readonly allocations: Map<TaskId, Allocation>;
  /** What the allocations of known size take together. */
  readonly used: MutableResources;
  /** What those of them below critical priority take. */
  readonly preemptible: MutableResources;
  /** How many allocations are of unknown size. */
  unknownSizeCount: number;
  /** How many allocations need each image: it is on the machine, or being fetched. */
  readonly requiredImages: Map<ImageId, number>;
  /** Tasks that the worker lists as exited. Changed by reconciliation. */
  exitedTasks: Map<TaskId, ExitedTask>;
  /** Images that it should hold, with their GB, the least recently used first. Changed by `Shard.recordImage`. */
  readonly images: Map<ImageId, number>;
  /** At most one direct request to it at a time. Changed by the direct commands. */
  directRequestInFlight: boolean;
  /**
   * Since when nothing that was sent has certainly arrived there; null while it is reached. Heartbeats prove nothing: in
   * a fault of one direction a machine is heard and hears nothing. No task is started on it until it answers a direct
   * request. Set by reconciliation and the direct commands, cleared by the latter.
   */
  unreachableSince: SteadyMs | null;
  /** Direct requests in a row without an answer. Counted by the direct commands; scale-in sets it back. */
  missedDirectRequests: number;
  /** When a heartbeat that did not show this leader's fencing token was first answered. Set by the heartbeat handler. */
  answeredUnreconciledAt: SteadyMs | null;
  /** Receipt of the last heartbeat refused since answers do not reach the machine. Set by the heartbeat handler. */
  refusedUnreachableAt: SteadyMs | null;
  /** No new tasks before this: it refused or failed tasks, or did not answer. Set by reconciliation, direct commands. */
  quarantinedUntil: SteadyMs;
  /** The latest failures of tasks on it. Changed by reconciliation. */
  taskFailures: TaskFailure[];
  /** It goes to another shard and takes no more tasks. Changed by the transfer of machines. */
  draining: boolean;
  /** It is returned to the cloud. Set by the autoscaler, for good. */
  scalingIn: boolean;
  /** Since when nothing has been allocated on it. Changed by scale-in. */
  idleSince: SteadyMs | null;
  readonly addedAt: SteadyMs;
}

/** What is known of a machine before its worker has been heard. */
export interface MachineOptions {
  readonly id: MachineId;
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  /** A spot instance. */
  readonly spot: boolean;
  readonly addedAt: SteadyMs;
  /** It was registered after the shard was acquired: no earlier leader can have started anything on it. */
  readonly reconciled: boolean;
  /** Revision of its registration. */
  readonly registeredVersion: Revision;
}

/** A machine that has not been heard of and holds nothing that is known. */
export function newMachine(options: MachineOptions): Machine {
  return {
    ...options,
    confirmed: false,
    agentEpoch: 0 as AgentEpoch,
    sequence: 0 as Sequence,
    fencingToken: 0 as FencingToken,
    minimumAgentEpoch: 0 as AgentEpoch,
    lastHeardAt: null,
    continuouslyHeardSince: null,
    lastHeartbeatAt: null,
    lastHeartbeatSequence: null,
    agentEpochSeenAt: null,
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
    quarantinedUntil: options.addedAt,
    taskFailures: [],
    draining: false,
    scalingIn: false,
    idleSince: null,
  };
}

/** The machine may hold tasks that are not known here, or tasks of unknown size. */
export const hasUnknownUsage = (machine: Machine): boolean =>
  !machine.reconciled || machine.unknownSizeCount > 0;

/** What is free on a machine; nothing while something of unknown size is on it, or its type is not in the catalog. */
export function freeResources(machine: Machine, type: InstanceType | undefined): MutableResources {
  if (!type || machine.unknownSizeCount > 0) return { ...ZERO };
  return subtract(type, machine.used);
}
