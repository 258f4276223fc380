/**
 * A task on a machine as the shard's leader knows it, from the launch until it is certain that the task is not there any
 * more, and the traces that it leaves. `allocation-changes.ts` puts allocations on machines and takes them off.
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
 * A launch that was sent directly and not answered. The request may be delayed on its way and carried out minutes later,
 * as long as the worker's fencing token and agent epoch are still these: until then the task may start on the machine.
 */
export interface UnacknowledgedLaunch {
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly sentAt: SteadyMs;
}

/** A task told to stop. `direct`: whether the direct command that says so is still to be sent, or has been. */
export interface StopRequest {
  /** Seconds that the task may take to save a checkpoint. */
  grace: number;
  direct: 'due' | 'sent';
}

/** A task that is on a machine or may be. It takes resources there and counts for its team's quota until it is released. */
export interface Allocation {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  /** null: a task seen on a machine whose job has ended and is not remembered; its size is unknown. */
  readonly spec: JobSpec | null;
  /** Changed by reconciliation, from what the worker shows. */
  phase: AllocationPhase;
  readonly allocatedAt: SteadyMs;
  /** When it was first seen to run; null: it has not been. Changed by reconciliation. */
  runningSince: SteadyMs | null;
  /** When it was first seen to wait for the other tasks of its gang. Changed by reconciliation. */
  waitingForGangSince: SteadyMs | null;
  /** null: it is to go on. Set by `stopOrRelease`; `direct` is changed by the direct commands. */
  stop: StopRequest | null;
  /** A direct request that carries its launch has been sent and not concluded. Changed by the direct commands. */
  launchInFlight: boolean;
  /** Its launch is to be sent directly. Set by the scheduler, cleared by whatever sends the launch or shows the task. */
  launchPending: boolean;
  /** Set when a direct launch ends without an answer; cleared by reconciliation once it can't be carried out any more. */
  unacknowledged: UnacknowledgedLaunch | null;
  /** Sequence number of the last heartbeat whose answer carried the launch; null: none did. Set with that answer. */
  answeredSequence: Sequence | null;
}

/** A task that the worker lists as exited; it is listed until the worker has been told to forget it. */
export interface ExitedTask {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly cause: ExitCause;
  /** The launch may yet come a second time: the worker must not forget the attempt before that is excluded. */
  unacknowledged: UnacknowledgedLaunch | null;
}
