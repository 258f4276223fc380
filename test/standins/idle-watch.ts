/**
 * Watches a world from outside for jobs that wait although a machine that fits has room and their team is under its
 * limit: only what machines and users see, nothing of the controllers' memory.
 */
import type { World } from './world.js';

/** How long each task has been waiting for nothing, in milliseconds; the longest of all. */
export class IdleWatch {
  private readonly since = new Map<string, number>();
  private readonly done = new Set<string>();
  private read = 0;
  longest = 0;
  longestJob = '';

  constructor(
    private readonly world: World,
    /** Jobs all of whose tasks must be in one zone. */
    private readonly oneZone: ReadonlySet<string> = new Set(),
  ) {}

  /** Steps the world and looks every second. */
  async step(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 1000) {
      await this.world.step(Math.min(1000, left));
      this.look();
    }
  }

  look(): void {
    this.learnDone();
    const now = this.world.clock.now();
    for (const id of this.world.jobs.keys()) {
      if (!this.waitsForNothing(id)) this.since.delete(id);
      else {
        const from = this.since.get(id) ?? now;
        this.since.set(id, from);
        if (now - from > this.longest) this.longestJob = id;
        this.longest = Math.max(this.longest, now - from);
      }
    }
  }

  private learnDone(): void {
    const { lines } = this.world;
    for (; this.read < lines.length; this.read += 1) {
      const ended = / ends (\S+): done$/.exec(lines[this.read] ?? '');
      if (ended) this.done.add(ended[1] as string);
    }
  }

  private waitsForNothing(id: string): boolean {
    const { judge } = this.world;
    const job = judge.described(id);
    if (!job || !judge.isKnown(id) || judge.finalState(id) === 'cancelled') return false;
    const present = new Map<string, number>();
    let open = 0;
    for (let i = 0; i < job.tasks; i += 1) {
      const leg = `${id}/${i}`;
      const at = [...this.world.workers.values()].find((m) => isPresent(m.tasks.get(leg)));
      if (at) present.set(at.zone, (present.get(at.zone) ?? 0) + 1);
      else if (!this.done.has(leg)) open += 1;
    }
    if (open === 0) return false;
    const limit = this.world.shape.teams.find((t) => t.name === job.team)?.cpusMax ?? 0;
    if (this.usedBy(job.team) + job.cpus > limit + 1e-9) return false;
    return [...this.world.workers.values()].some((m) => {
      if (m.hanging || (m.spot && !job.spot) || (job.types && !job.types.includes(m.type))) return false;
      if (job.zone !== null && job.zone !== m.zone) return false;
      if (job.spread && (present.get(m.zone) ?? 0) >= Math.ceil(job.tasks / 2)) return false;
      if (this.oneZone.has(id) && present.size > 0 && !present.has(m.zone)) return false;
      return m.cpus - this.usedOn(m) >= job.cpus - 1e-9;
    });
  }

  private usedOn(m: { tasks: ReadonlyMap<string, { status: string }> }): number {
    let cpus = 0;
    for (const [leg, t] of m.tasks)
      if (t.status !== 'exited') cpus += this.world.jobs.get(leg.split('/')[0] ?? '')?.cpus ?? 0;
    return cpus;
  }

  private usedBy(team: string): number {
    let cpus = 0;
    for (const m of this.world.workers.values())
      for (const [leg, t] of m.tasks) {
        const job = this.world.judge.described(leg.split('/')[0] ?? '');
        if (t.status !== 'exited' && job?.team === team) cpus += job.cpus;
      }
    return cpus;
  }
}

const isPresent = (t: { status: string } | undefined): boolean => t !== undefined && t.status !== 'exited';
