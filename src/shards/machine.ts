/**
 * A machine of a shard: what is known of its worker, what is allocated on it, and what is free there. It exists for one
 * leadership of the shard; a later leader builds it anew from the machine's record.
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
 * Each field names the code that may change it: "reconciliation" is workers/reconciliation.ts, "the shard" the
 * functions of this folder, which keep the totals of the shard consistent with the field. Any code may read the
 * fields.
 */
export interface Machine {
  readonly id: MachineId;
  /** Where direct commands are sent, by the machine's last message. Changed by reconciliation. */
  address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  /** From the newest message that was applied, like the next two fields; 0: none yet. Changed by reconciliation. */
  agentEpoch: AgentEpoch;
  sequence: Sequence;
  /** The fencing token of the leader that the worker obeys. */
  fencingToken: FencingToken;
  /** The token that this leader raised for this machine alone; 0: none. Changed only by `LeadershipTokens`. */
  raisedToken: FencingToken;
  /** Messages of earlier agent epochs list tasks that are certainly gone: they are refused. Raised on lease expiry. */
  minimumAgentEpoch: AgentEpoch;
  /** When the last heartbeat or answer to a direct command arrived; null: none yet. Changed by reconciliation. */
  lastMessageAt: SteadyMs | null;
  /** Since when heartbeats have arrived without a gap. Changed by reconciliation. */
  continuousHeartbeatsSince: SteadyMs | null;
  /** When the last heartbeat arrived whose answer may have renewed the lease. Changed by reconciliation. */
  lastHeartbeatAt: SteadyMs | null;
  /** Sequence number of that heartbeat. Changed by reconciliation. */
  lastHeartbeatSequence: Sequence | null;
  /** When its current epoch was first seen; the epoch's lease began before that. Changed by reconciliation. */
  agentEpochSeenAt: SteadyMs | null;
  /**
   * Whether it has shown this leader's fencing token since the shard was acquired, or its lease has expired: it holds
   * no tasks of an earlier leader that are unknown here. Changed only by `Shard.markReconciled`.
   */
  reconciled: boolean;
  /** Revision of the record that registered it for the shard. */
  readonly registeredVersion: Revision;
  /** Whether this leader knows all changes up to that record. Changed only by `RecordConfirmation`. */
  confirmed: boolean;
  /** When the cloud will take the spot machine back, by its notice. Changed only by `Shard.setInterruption`. */
  interruptedAt: SteadyMs | null;
  /** Tasks that are or may be on it. Changed by the shard, like the next four fields. */
  readonly allocations: Map<TaskId, Allocation>;
  /** Sum of the allocations of known size. */
  readonly used: MutableResources;
  /** Sum of the allocations of known size below critical priority. */
  readonly preemptible: MutableResources;
  /** How many allocations are of unknown size. */
  unknownSizeTaskCount: number;
  /** How many allocations need each image, which is on the machine or being fetched. */
  readonly requiredImages: Map<ImageId, number>;
  /** Tasks that the worker lists as exited. Changed by reconciliation. */
  exitedTasks: Map<TaskId, ExitedTask>;
  /** Images that it should hold, with sizes in GB, least recently used first. Changed by `Shard.recordImage`. */
  readonly images: Map<ImageId, number>;
  /** Only one direct request may be in progress at a time. Changed by the direct commands. */
  directRequestInFlight: boolean;
  /** Whether that request carries launches. */
  directLaunchInFlight: boolean;
  /**
   * Since when no command is known to have reached the machine; null: it is reachable. Heartbeats prove nothing: in a
   * one-way network fault they arrive although no command gets through. No task is started on the machine until it
   * answers a direct request. Set by reconciliation and the direct commands, cleared by the latter.
   */
  unreachableSince: SteadyMs | null;
  /** Consecutive direct requests without an answer. Counted by the direct commands, reset by scale-in. */
  missedDirectRequests: number;
  /** When a heartbeat without this leader's fencing token was first answered. Set by the heartbeat handler. */
  answeredUnreconciledAt: SteadyMs | null;
  /** When a heartbeat was last refused because answers do not reach the machine. Set by the heartbeat handler. */
  heartbeatRefusedAt: SteadyMs | null;
  /**
   * No new tasks before this time: it refused or failed tasks, or did not answer. Set by reconciliation and the direct
   * commands.
   */
  quarantinedUntil: SteadyMs;
  /** The latest failures of tasks on it. Changed by reconciliation. */
  taskFailures: TaskFailure[];
  /** Whether it is being transferred to another shard and takes no more tasks. Changed by the transfer of machines. */
  draining: boolean;
  /** Whether it is being deleted, which returns it to the cloud. Set by the autoscaler, never cleared. */
  scalingIn: boolean;
  /** Since when nothing has been allocated on it. Changed by scale-in. */
  idleSince: SteadyMs | null;
  readonly addedAt: SteadyMs;
}

/** What is known of a machine before the first message of its worker. */
export interface MachineOptions {
  readonly id: MachineId;
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  /** A spot machine. */
  readonly spot: boolean;
  readonly addedAt: SteadyMs;
  /** True: it was registered after the shard was acquired, so that no earlier leader can have started tasks on it. */
  readonly reconciled: boolean;
  /** Revision of its registration. */
  readonly registeredVersion: Revision;
}

/** Creates a machine that has sent no message yet and has no known allocations. */
export function newMachine(options: MachineOptions): Machine {
  return {
    ...options,
    confirmed: false,
    agentEpoch: 0 as AgentEpoch,
    sequence: 0 as Sequence,
    fencingToken: 0 as FencingToken,
    raisedToken: 0 as FencingToken,
    minimumAgentEpoch: 0 as AgentEpoch,
    lastMessageAt: null,
    continuousHeartbeatsSince: null,
    lastHeartbeatAt: null,
    lastHeartbeatSequence: null,
    agentEpochSeenAt: null,
    interruptedAt: null,
    allocations: new Map(),
    used: { ...ZERO },
    preemptible: { ...ZERO },
    unknownSizeTaskCount: 0,
    requiredImages: new Map(),
    exitedTasks: new Map(),
    images: new Map(),
    directRequestInFlight: false,
    directLaunchInFlight: false,
    unreachableSince: null,
    missedDirectRequests: 0,
    answeredUnreconciledAt: null,
    heartbeatRefusedAt: null,
    quarantinedUntil: options.addedAt,
    taskFailures: [],
    draining: false,
    scalingIn: false,
    idleSince: null,
  };
}

/** Whether the machine may hold tasks that are unknown here, or tasks of unknown size. */
export const hasUnknownUsage = (machine: Machine): boolean =>
  !machine.reconciled || machine.unknownSizeTaskCount > 0;

/**
 * Returns the free resources: none while a task of unknown size is on the machine or its type is not in the catalog.
 */
export function freeResources(machine: Machine, type: InstanceType | undefined): MutableResources {
  if (!type || machine.unknownSizeTaskCount > 0) return { ...ZERO };
  return subtract(type, machine.used);
}
