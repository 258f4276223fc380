/** Job arrivals: some at the start, then a Poisson process, drawn from a seed. */
import type { EventQueue } from './clock.js';
import type { UserJob } from './user-jobs.js';
import type { RandomStream } from './random.js';
import type { Load } from './scenario.js';

/** Jobs of `at_start` arrive within this time. */
const INITIAL_ARRIVALS_MS = 2000;
const NO_CANCELLATION = null;
const MS_PER_MINUTE = 60_000;
/** A user's estimate is the actual run time multiplied by a factor in this range. */
const ESTIMATE_FACTOR = { low: 0.6, high: 1.6 };
const ID_PREFIX = { low: 100, high: 999 };
const ID_DIGITS = 5;

/** Submits a job; `cancelAfterMs` counts from its acceptance, null if its user does not cancel it. */
export type SubmitJob = (job: UserJob, cancelAfterMs: number | null) => void;

/** Generates the jobs of each load of a scenario and submits them at their arrival times. */
export class Arrivals {
  private readonly rateFactors = new Map<string, number>();
  private jobCount = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: RandomStream,
    private readonly submit: SubmitJob,
  ) {}

  /** Multiplies the arrival rate of a class; an arrival that is already scheduled keeps its time. */
  setRateFactor(jobClass: string, factor: number): void {
    this.rateFactors.set(jobClass, factor);
  }

  start(loads: readonly Load[]): void {
    for (const load of loads) {
      const random = this.random.fork(load.class);
      for (let i = 0; i < load.at_start; i += 1)
        this.queue.after(random.between(0, INITIAL_ARRIVALS_MS), () => this.arrive(load, random));
      if (load.per_minute > 0) this.scheduleNext(load, random);
    }
  }

  private scheduleNext(load: Load, random: RandomStream): void {
    const perMs = (load.per_minute * (this.rateFactors.get(load.class) ?? 1)) / MS_PER_MINUTE;
    const delayMs = -Math.log(1 - random.unit()) / perMs;
    this.queue.after(delayMs, () => {
      if (this.queue.now > load.until_s * 1000) return;
      this.arrive(load, random);
      this.scheduleNext(load, random);
    });
  }

  private arrive(load: Load, random: RandomStream): void {
    this.jobCount += 1;
    const isService = load.shape === 'service';
    const runS = random.between(load.run_s[0], load.run_s[1]);
    const job: UserJob = {
      // Users choose the ids, so the ids are in no particular order.
      id: `req-${random.integer(ID_PREFIX.low, ID_PREFIX.high)}${String(this.jobCount).padStart(ID_DIGITS, '0')}`,
      class: load.class,
      team: load.team,
      shape: load.shape,
      priority: load.priority,
      tasks: Math.max(1, random.integer(load.tasks[0], load.tasks[1])),
      cpus: load.cpus,
      gpus: load.gpus,
      memoryGb: load.memory_gb,
      types: load.types ?? null,
      zone: load.zone ?? null,
      sameZone: load.same_zone,
      spread: load.spread,
      spot: load.spot,
      image: `${load.class}-${random.integer(1, load.images)}`,
      imageGb: load.image_gb,
      estimateS: runS * random.within(ESTIMATE_FACTOR),
      checkpointIntervalS: load.checkpoint_s,
      checkpointDurationS: load.save_s,
      runS: isService ? Infinity : runS,
    };
    const isCancelled = random.chance(load.cancel_share);
    const cancelS = random.between(load.cancel_after_s[0], load.cancel_after_s[1]);
    this.submit(job, isCancelled ? cancelS * 1000 : NO_CANCELLATION);
  }
}
