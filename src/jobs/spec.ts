/** The specification of a job, as submitted by a user and validated. `wire.ts` decodes it from the protocol. */
import type { ImageId, JobId, Seconds, TeamId, InstanceTypeId, ZoneId } from '../model/units.js';

/** Priorities of jobs; lower numbers are scheduled first. */
export const Priority = { critical: 0, urgent: 1, standard: 2, bestEffort: 3 } as const;
/** One of the values of `Priority`. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * `array`: its tasks run and complete independently. `gang`: its tasks run at the same time and complete together.
 * `service`: its tasks are replicas that run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** A validated submission. */
export interface JobSpec {
  readonly id: JobId;
  /** Jobs of one class are assumed to be similar: their run times are estimated together. */
  readonly jobClass: string;
  readonly team: TeamId;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** CPUs of one task; the other resources are per task, too. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Instance types on which its tasks may run; null: any. */
  readonly types: readonly InstanceTypeId[] | null;
  /** The zone in which all tasks must run; null: any. */
  readonly zone: ZoneId | null;
  /** All tasks must run in the same zone, which may be any zone. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, may run in one zone. */
  readonly spread: boolean;
  /** Spot machines are allowed. */
  readonly spot: boolean;
  readonly image: ImageId;
  readonly imageGb: number;
  /** The user's estimate of a task's run time, without fetching the image; often wrong. */
  readonly estimateS: Seconds;
  /** A running task writes a checkpoint after each interval of this length; 0: never. */
  readonly checkpointIntervalS: Seconds;
  /** Time that a task needs to write a checkpoint when it is stopped. */
  readonly checkpointDurationS: Seconds;
  /** Time from submission by which the job should be done; null: no deadline. */
  readonly deadlineS: Seconds | null;
  /** Fields stored by a later version, which are kept when the record is written again. */
  readonly unknownFields?: Readonly<Record<string, unknown>>;
}

/**
 * Whether finished tasks of the job make room in a zone for others, or let them leave it: a gang ends as a whole, a
 * service does not end, and a job that may use one given zone completely stays there.
 */
export const releasesZones = ({ kind, spread, oneZone, zone }: JobSpec): boolean =>
  kind === 'array' && (spread || (oneZone && zone === null));
