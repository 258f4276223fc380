/** What a user asked for, in our terms. */
import type { ImageId, JobId, Seconds, TeamId, TypeId, ZoneId } from '../units.js';

/** Lower goes first. */
export const Priority = { critical: 0, urgent: 1, standard: 2, bestEffort: 3 } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

export interface JobSpec {
  readonly id: JobId;
  readonly lane: string;
  readonly team: TeamId;
  /**
   * An array's tasks complete, each by itself; a gang's only when all run together; a service's replicas run
   * until the job is cancelled.
   */
  readonly shape: 'array' | 'gang' | 'service';
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly TypeId[] | null;
  readonly zone: ZoneId | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: ImageId;
  readonly imageGb: number;
  readonly estimateS: Seconds;
  readonly checkpointS: Seconds;
  readonly saveS: Seconds;
  readonly deadlineS: Seconds | null;
}
