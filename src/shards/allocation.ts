/**
 * The allocation of a task to a machine as the shard's leader knows it, from the launch until it is certain that the
 * task is no longer there, and what remains of it afterwards. `allocation-changes.ts` adds and removes allocations.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { AllocationPhase } from '../model/allocation-phase.js';
import type { ExitCause } from '../model/exit-cause.js';
import type {
  AgentEpoch,
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  Sequence,
  SteadyMs,
  TaskId,
  TaskIndex,
} from '../model/units.js';

/**
 * A launch that was sent directly and not answered. The request may be delayed and carried out minutes later: the task
 * may start on the machine as long as the worker's fencing token and agent epoch are unchanged.
 */
export interface UnacknowledgedLaunch {
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly sentAt: SteadyMs;
}

/** A request to stop a task. `direct`: whether the direct command for it is yet to be sent, or has been sent. */
export interface StopRequest {
  /** Grace period in seconds: how long the task may take to save a checkpoint. */
  grace: number;
  direct: 'due' | 'sent';
}

/** A task that is or may be on a machine. It uses resources there and quota of its team until it is released. */
export interface Allocation {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  /** null: the task was seen on a machine, but its job has ended and is no longer known; its size is unknown. */
  readonly spec: JobSpec | null;
  /** Changed by reconciliation, from the worker's messages. */
  phase: AllocationPhase;
  readonly allocatedAt: SteadyMs;
  /** When it was first seen running; null: not yet. Changed by reconciliation. */
  runningSince: SteadyMs | null;
  /** When it was first seen waiting for the other tasks of its gang; null: not yet. Changed by reconciliation. */
  waitingForGangSince: SteadyMs | null;
  /** null: the task is not to stop. Set by `stopOrRelease`; the direct commands change `direct`. */
  stop: StopRequest | null;
  /** Whether a direct request with its launch has been sent and has not ended. Changed by the direct commands. */
  launchInFlight: boolean;
  /**
   * Whether its launch is yet to be sent directly. Set by the scheduler, cleared when it is sent or the task is seen.
   */
  launchPending: boolean;
  /**
   * Set when a direct launch ends without an answer; cleared by reconciliation once it can no longer be carried out.
   */
  unacknowledged: UnacknowledgedLaunch | null;
  /** Sequence number of the last heartbeat whose answer carried the launch; null: none. Set with that answer. */
  launchAnswerSequence: Sequence | null;
}

/** A task that the worker lists as exited, until it is told to forget the task. */
export interface ExitedTask {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly cause: ExitCause;
  /** A launch that may still arrive a second time: until that is excluded the worker must not forget the attempt. */
  unacknowledged: UnacknowledgedLaunch | null;
}
