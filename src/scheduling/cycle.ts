/** What a scheduling cycle reads, and what it decides. */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import type { Resources } from '../model/resources.js';
import type { Allocation, Machine, Reservation, ShardJob } from '../shards/model.js';
import type { Team } from '../settings/settings.js';
import type { Attempt, JobId, MachineId, SteadyMs, TeamId, InstanceTypeId } from '../model/units.js';

/**
 * A job that has waited this long without any start goes before all but critical work, whatever its priority. Its first
 * start ends that.
 */
export const OVERDUE_AFTER_MS = 150_000;

/** What a cycle reads beside the shard. Valid for one cycle. */
export interface SchedulingContext {
  readonly now: SteadyMs;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** How much of the team's quota this shard may use. */
  readonly shardQuota: (team: TeamId) => Resources;
  /** What the team uses on other shards, by their announcements. */
  readonly usageOnOtherShards: (team: TeamId) => Resources;
  /** What services of the team use on other shards, at most; they do not end by themselves. */
  readonly servicesOnOtherShards: (team: TeamId) => Resources;
  /** Does the job fit into its team's guaranteed quota together with the team's earlier unfinished jobs? */
  readonly guaranteed: (job: JobId) => boolean;
  /** Has a peer announced capacity for such a task? Then overflow is tried before preemption. */
  readonly peerHasCapacity: (spec: JobSpec) => boolean;
  /** The largest multiple of its deadline within which a job of this class is still of use. */
  readonly maxLatenessFactor: (jobClass: string) => number;
  /** Actual over estimated run time, as observed for this job class. */
  readonly runtimeCorrection: (jobClass: string) => number;
  /** The interval between two heartbeats of a worker, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** How long a member of a gang waits for the others before it gives up, in milliseconds. */
  readonly gangWaitMs: number;
}

/** Decision: this task starts on this machine. */
export interface TaskStart {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: Machine;
  /** The running attempt of its gang that the task joins; absent: a new attempt. */
  readonly attempt?: Attempt;
}

/** Why a cycle stops a task: which rule asks for it, and for which task or job room is made. */
export type StopCause =
  | {
      readonly reason: 'capacity';
      readonly preemptor: JobId;
      readonly preemptorIndex: number;
      readonly reservedMachine: MachineId;
    }
  | { readonly reason: 'quota'; readonly preemptor: JobId }
  | { readonly reason: 'broken gang' };

/** Decision: this task stops, and has the grace period to write a checkpoint. */
export interface TaskStop {
  readonly allocation: Allocation;
  readonly graceS: number;
  readonly cause: StopCause;
}

/** Waiting tasks of a job that the cycle could not place. */
export interface UnplacedTasks {
  readonly job: ShardJob;
  /** `capacity`: no machine has enough free; `quota`: the team's quota on this shard is used up. */
  readonly reason: 'capacity' | 'quota';
  /** `all`: all waiting tasks of a job without required zones, without a list of thousands in every cycle. */
  readonly indices: readonly number[] | 'all';
}

/** How many tasks the entry stands for. */
export const unplacedCount = (unplaced: UnplacedTasks): number =>
  unplaced.indices === 'all' ? unplaced.job.waiting.size : unplaced.indices.length;

/** A gang that does not fit on its shard even if all preemptible work left, and how many members have no machine. */
export interface OversizedGang {
  readonly job: ShardJob;
  readonly missingTasks: number;
}

/** Decision: resources of a machine are kept free for a task. */
export interface PlannedReservation {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: MachineId;
  /** The machine becomes free as its tasks end; otherwise tasks were stopped there for this one. */
  readonly withoutPreemption: boolean;
  /** The longest time to save, in seconds, of the tasks that are stopped for it. */
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
  /** For the log and its counters alone. */
  readonly endedReservations: EndedReservation[];
  readonly unplaced: UnplacedTasks[];
  /** By team: quota that one task, or one gang, needs and that smaller tasks now leave unused. */
  readonly quotaReservations: Map<TeamId, Resources>;
  /** The first such gang that has waited too long. */
  oversizedGang: OversizedGang | null;
}

/** A plan without any decision. */
export const newPlan = (): SchedulingPlan => ({
  starts: [],
  stops: [],
  reservations: [],
  endedReservations: [],
  unplaced: [],
  quotaReservations: new Map(),
  oversizedGang: null,
});
