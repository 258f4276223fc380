/** Jobs that simulated users submit, with their run times, and storage of their checkpoints and results. */

/** Priority of a job, as named in scenario files and in the HTTP interface. */
export type UserPriority = 'critical' | 'urgent' | 'standard' | 'best_effort';

/** A user's job; times in seconds, sizes in gigabytes. */
export interface UserJob {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly shape: 'array' | 'gang' | 'service';
  readonly priority: UserPriority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly sameZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimateS: number;
  readonly checkpointIntervalS: number;
  readonly checkpointDurationS: number;
  /** Actual run time of a task; Infinity for services. */
  readonly runS: number;
}

const WIRE_SHAPES = { array: 'batch', gang: 'gang', service: 'standing' } as const;

/** Encodes the body of a submission, with the field names of PROTOCOL. */
export const encodeSubmission = (job: UserJob): Record<string, unknown> => ({
  uid: job.id,
  lane: job.class,
  crew: job.team,
  shape: WIRE_SHAPES[job.shape],
  rank: job.priority,
  legs: job.tasks,
  vcpus: job.cpus,
  cards: job.gpus,
  memoryGb: job.memoryGb,
  cargo: job.image,
  sizeGb: job.imageGb,
  hulls: job.types,
  harbor: job.zone,
  samePlace: job.sameZone,
  apart: job.spread,
  driftboats: job.spot,
  passageS: job.shape === 'service' ? 0 : job.estimateS,
  moorS: job.checkpointIntervalS,
  stowS: job.checkpointDurationS,
  tideS: null,
});

/** Storage outside the machines that workers read and write: uploaded job descriptions, checkpoints and results. */
export class JobStorage {
  readonly jobs = new Map<string, UserJob>();
  /** Saved progress in milliseconds of run time, by task, or by job for gangs. */
  readonly checkpoints = new Map<string, number>();
  /** Names of tasks whose result is stored. */
  readonly results = new Set<string>();

  /** Stores the progress of the last regular checkpoint; `key` is a task, or the job of a gang. */
  keepLastCheckpoint(key: string, job: UserJob, progressMs: number): void {
    const intervalMs = job.checkpointIntervalS * 1000;
    if (intervalMs <= 0) return;
    const savedMs = Math.floor(progressMs / intervalMs) * intervalMs;
    this.checkpoints.set(key, Math.max(this.checkpoints.get(key) ?? 0, savedMs));
  }

  /** Returns the job of a task with the name `job/index`, or null if there is no such task. */
  jobOf(task: string): UserJob | null {
    const separator = task.lastIndexOf('/');
    const job = this.jobs.get(task.slice(0, separator));
    const index = Number(task.slice(separator + 1));
    return job && index >= 0 && index < job.tasks ? job : null;
  }
}
