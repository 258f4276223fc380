/** The jobs that simulated users submit, and what is true of them: how long a task runs, what is saved, what is done. */

/** Priority of a job, in the names of scenario files and of the HTTP interface. */
export type UserPriority = 'critical' | 'urgent' | 'standard' | 'best_effort';

/** A job as its user knows it; times in seconds, sizes in gigabytes. */
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
  /** How long a task really runs; Infinity for services. */
  readonly runS: number;
}

const WIRE_SHAPES = { array: 'batch', gang: 'gang', service: 'standing' } as const;

/** The body of a submission, in the words of PROTOCOL. */
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

/** What workers look up: descriptions that users have uploaded, checkpoints and results, all kept outside machines. */
export class JobStorage {
  readonly jobs = new Map<string, UserJob>();
  /** Progress that was saved, in milliseconds of run time, by task; that of a gang by its job. */
  readonly checkpoints = new Map<string, number>();
  /** Tasks whose result is kept. */
  readonly results = new Set<string>();

  /** Keeps what was saved at the last of the regular checkpoints, `key` being a task or the job of a gang. */
  keepLastCheckpoint(key: string, job: UserJob, progressMs: number): void {
    const intervalMs = job.checkpointIntervalS * 1000;
    if (intervalMs <= 0) return;
    const kept = Math.floor(progressMs / intervalMs) * intervalMs;
    this.checkpoints.set(key, Math.max(this.checkpoints.get(key) ?? 0, kept));
  }

  /** The job of a task, by the task's name `job/index`; null: there is no such task. */
  jobOf(task: string): UserJob | null {
    const cut = task.lastIndexOf('/');
    const job = this.jobs.get(task.slice(0, cut));
    const index = Number(task.slice(cut + 1));
    return job && index >= 0 && index < job.tasks ? job : null;
  }
}
