/** What a user asked for, in our terms. */
import type { ImageId, JobId, Seconds, TeamId, InstanceTypeId, ZoneId } from '../model/units.js';

/** Lower goes first. */
export const Priority = { critical: 0, urgent: 1, standard: 2, bestEffort: 3 } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/** A submission, checked. */
export interface JobSpec {
  readonly id: JobId;
  /** Jobs of one lane are alike: their run times are learned together. */
  readonly jobClass: string;
  readonly team: TeamId;
  /**
   * An array's tasks complete, each by itself; a gang's only when all run together; a service's replicas run
   * until the job is cancelled.
   */
  readonly kind: 'array' | 'gang' | 'service';
  readonly priority: Priority;
  readonly tasks: number;
  /** Of one task, like the other amounts. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Machine types that it may run on; null: any. */
  readonly types: readonly InstanceTypeId[] | null;
  /** Where every task must be; null: any zone. */
  readonly zone: ZoneId | null;
  /** All tasks in one zone, whichever. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, in one zone. */
  readonly spread: boolean;
  /** Spot machines are allowed. */
  readonly spot: boolean;
  readonly image: ImageId;
  readonly imageGb: number;
  /** Run time of a task as its owner expects it, without fetching the image; often wrong. */
  readonly estimateS: Seconds;
  /** A running task saves its work after this much progress; 0: it never saves. */
  readonly checkpointIntervalS: Seconds;
  /** How long a task needs to save when it is told to stop. */
  readonly checkpointDurationS: Seconds;
  /** When the job should be done, counted from its submission; null: no deadline. */
  readonly deadlineS: Seconds | null;
  /** What a later version stored beside these fields: kept when the record is written again. */
  readonly unknownFields?: Readonly<Record<string, unknown>>;
}
