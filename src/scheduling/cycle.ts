/** Input and output of a scheduling cycle: `SchedulingContext` and `SchedulingPlan`. */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import type { Resources } from '../model/resources.js';
import type { Allocation, Machine, Reservation, ShardJob } from '../shards/model.js';
import type { Team } from '../settings/settings.js';
import type { Attempt, JobId, MachineId, SteadyMs, TeamId, InstanceTypeId } from '../model/units.js';

/**
 * A job that has waited this long without any start is overdue: until its first start it is scheduled before
 * all jobs that are not critical, whatever its priority.
 */
export const OVERDUE_AFTER_MS = 150_000;

/** Input of a cycle in addition to the shard. Valid for one cycle. */
export interface SchedulingContext {
  readonly now: SteadyMs;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** Returns how much of the team's quota this shard may use. */
  readonly shardQuota: (team: TeamId) => Resources;
  /**
   * Returns the usage of the team on all other shards. For shards led by other controllers it comes from
   * their announcements.
   */
  readonly usageOnOtherShards: (team: TeamId) => Resources;
  /**
   * Returns an upper bound of what the team's services use on other shards. Services do not end by
   * themselves.
   */
  readonly maxServiceUsageOnOtherShards: (team: TeamId) => Resources;
  /**
   * Returns true if the job fits into its team's guaranteed quota together with the team's earlier unfinished
   * jobs.
   */
  readonly guaranteed: (job: JobId) => boolean;
  /**
   * Returns true if a peer has announced capacity for such a task. Overflow is then tried before preemption.
   */
  readonly peerHasCapacity: (spec: JobSpec) => boolean;
  /** Returns the multiple of its deadline up to which a job of this class is still useful. */
  readonly maxLatenessFactor: (jobClass: string) => number;
  /** Returns the ratio of actual to estimated run time observed for this job class. */
  readonly runtimeCorrection: (jobClass: string) => number;
  /** The interval between two heartbeats of a worker, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** How long a member of a gang waits for the others before it gives up, in milliseconds. */
  readonly gangWaitMs: number;
}

/** Decision to start a task on a machine. */
export interface TaskStart {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: Machine;
  /** The existing attempt of its gang that the task joins; absent if the task starts in a new attempt. */
  readonly attempt?: Attempt;
}

/** Why a cycle stops a task: the rule that applies, and the job or task for which the task is preempted. */
export type StopCause =
  | {
      readonly reason: 'capacity';
      readonly preemptor: JobId;
      readonly preemptorIndex: number;
      readonly reservedMachine: MachineId;
    }
  | { readonly reason: 'quota'; readonly preemptor: JobId }
  | { readonly reason: 'broken gang' };

/** Decision to stop a task, with a grace period in which it can write a checkpoint. */
export interface TaskStop {
  readonly allocation: Allocation;
  readonly graceS: number;
  readonly cause: StopCause;
}

/** Waiting tasks of a job that the cycle could not place. */
export interface UnplacedTasks {
  readonly job: ShardJob;
  /** `capacity`: no machine has enough free resources; `quota`: the team's quota on this shard is used up. */
  readonly reason: 'capacity' | 'quota';
  /**
   * `all` means all waiting tasks of a job without required zones; it avoids a list of thousands of indices
   * in every cycle.
   */
  readonly indices: readonly number[] | 'all';
}

/** Returns the number of tasks in the entry. */
export const unplacedCount = (unplaced: UnplacedTasks): number =>
  unplaced.indices === 'all' ? unplaced.job.waiting.size : unplaced.indices.length;

/**
 * A gang that would not fit on its shard even if all preemptible tasks were stopped, with the number of
 * members for which there is no machine.
 */
export interface OversizedGang {
  readonly job: ShardJob;
  readonly missingTasks: number;
}

/** Decision to reserve resources of a machine for a task. */
export interface PlannedReservation {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: MachineId;
  /**
   * True if the task waits until other tasks on the machine end by themselves, false if tasks are stopped to
   * make room.
   */
  readonly withoutPreemption: boolean;
  /** Longest grace period of the tasks that are stopped for the reservation, in seconds. */
  readonly graceS: number;
}

/** How the reservation of a machine ended. */
export type ReservationOutcome =
  | 'used'
  | 'started elsewhere'
  | 'expired'
  | 'machine gone'
  | 'machine not schedulable'
  | 'task no longer waits'
  | 'turn over'
  | 'replaced';

/** A reservation that a cycle has ended. */
export interface EndedReservation {
  readonly job: JobId;
  readonly index: number;
  readonly reservation: Reservation;
  readonly outcome: ReservationOutcome;
}

/** All decisions of a cycle. */
export interface SchedulingPlan {
  readonly starts: TaskStart[];
  readonly stops: TaskStop[];
  readonly reservations: PlannedReservation[];
  /** Used only by the log and its counters. */
  readonly endedReservations: EndedReservation[];
  readonly unplaced: UnplacedTasks[];
  /** By team, the quota reserved for one of its tasks or gangs, so that smaller tasks leave it unused. */
  readonly quotaReservations: Map<TeamId, Resources>;
  /** The first oversized gang that has waited long enough to reserve machines; null if there is none. */
  oversizedGang: OversizedGang | null;
}

/** Returns a plan without any decision. */
export const newPlan = (): SchedulingPlan => ({
  starts: [],
  stops: [],
  reservations: [],
  endedReservations: [],
  unplaced: [],
  quotaReservations: new Map(),
  oversizedGang: null,
});
