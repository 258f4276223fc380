/** Jobs that arrive: some at the start, then one after another at random times, drawn from a seed. */
import type { EventQueue } from './clock.js';
import type { UserJob } from './jobs.js';
import type { RandomStream } from './random.js';
import type { Load } from './scenario.js';

/** Jobs of the start come within this time. */
const START_MS = 2000;
const WITHOUT_CANCEL = null;

export type Submit = (job: UserJob, cancelAfterMs: number | null) => void;

export class Arrivals {
  private readonly times = new Map<string, number>();
  private number = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: RandomStream,
    private readonly submit: Submit,
  ) {}

  /** From now on so many times as many jobs of a class. */
  setTimes(name: string, times: number): void {
    this.times.set(name, times);
  }

  start(loads: readonly Load[]): void {
    for (const load of loads) {
      const random = this.random.fork(load.class);
      for (let i = 0; i < load.at_start; i += 1)
        this.queue.after(random.between(0, START_MS), () => this.arrive(load, random));
      if (load.per_minute > 0) this.next(load, random);
    }
  }

  private next(load: Load, random: RandomStream): void {
    const perMs = (load.per_minute * (this.times.get(load.class) ?? 1)) / 60_000;
    const gap = -Math.log(1 - random.unit()) / perMs;
    this.queue.after(gap, () => {
      if (this.queue.now > load.until_s * 1000) return;
      this.arrive(load, random);
      this.next(load, random);
    });
  }

  private arrive(load: Load, random: RandomStream): void {
    this.number += 1;
    const service = load.shape === 'service';
    const runS = random.between(load.run_s[0], load.run_s[1]);
    const job: UserJob = {
      // Ids are chosen by the users and come in no order.
      id: `req-${random.whole(100, 999)}${String(this.number).padStart(5, '0')}`,
      class: load.class,
      team: load.team,
      shape: load.shape,
      priority: load.priority,
      tasks: Math.max(1, random.whole(load.tasks[0], load.tasks[1])),
      cpus: load.cpus,
      gpus: load.gpus,
      memoryGb: load.memory_gb,
      types: load.types ?? null,
      zone: load.zone ?? null,
      sameZone: load.same_zone,
      spread: load.spread,
      spot: load.spot,
      image: `${load.class}-${random.whole(1, load.images)}`,
      imageGb: load.image_gb,
      estimateS: runS * random.between(0.6, 1.6),
      checkpointS: load.checkpoint_s,
      saveS: load.save_s,
      runS: service ? Infinity : runS,
    };
    const cancelled = random.chance(load.cancel_share);
    const cancelS = random.between(load.cancel_after_s[0], load.cancel_after_s[1]);
    this.submit(job, cancelled ? cancelS * 1000 : WITHOUT_CANCEL);
  }
}
