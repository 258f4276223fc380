/** What a user submitted, checked and in the terms of the code. `wire.ts` maps it from the protocol's words. */
import type { ImageId, JobId, Seconds, TeamId, InstanceTypeId, ZoneId } from '../model/units.js';

/** How urgent a job is: lower numbers go first. */
export const Priority = { critical: 0, urgent: 1, standard: 2, bestEffort: 3 } as const;
/** One of the values of `Priority`. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * An array's tasks complete, each by itself; a gang's complete only when all run together; a service's replicas run until
 * the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** A valid submission. */
export interface JobSpec {
  readonly id: JobId;
  /** Jobs of one class are alike: their run times are learned together. */
  readonly jobClass: string;
  readonly team: TeamId;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Of one task, like the other amounts. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Instance types that its tasks may run on; null: any. */
  readonly types: readonly InstanceTypeId[] | null;
  /** Where every task must be; null: any zone. */
  readonly zone: ZoneId | null;
  /** All tasks in one zone, whichever. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, in one zone. */
  readonly spread: boolean;
  /** Spot instances are allowed. */
  readonly spot: boolean;
  readonly image: ImageId;
  readonly imageGb: number;
  /** Run time of a task as its owner expects it, without fetching the image; often wrong. */
  readonly estimateS: Seconds;
  /** A running task writes a checkpoint after this much progress; 0: it never does. */
  readonly checkpointIntervalS: Seconds;
  /** How long a task needs to write a checkpoint when it is told to stop. */
  readonly checkpointDurationS: Seconds;
  /** When the job should be done, counted from its submission; null: no deadline. */
  readonly deadlineS: Seconds | null;
  /** What a later version stored beside these fields: kept when the record is written again. */
  readonly unknownFields?: Readonly<Record<string, unknown>>;
}
