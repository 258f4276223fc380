/**
 * Watches a world from outside for jobs that wait although a machine that fits has room and their team is under its
 * limit: only what machines and users see, nothing of the controllers' memory.
 */
import type { SimulatedCluster } from './simulated-cluster.js';

/** How long each task has been waiting for nothing, in milliseconds; the longest of all. */
export class IdleCapacityMonitor {
  private readonly waitingSince = new Map<string, number>();
  private readonly completedTasks = new Set<string>();
  private linesRead = 0;
  longestWaitMs = 0;
  longestWaitingJob = '';

  constructor(
    private readonly cluster: SimulatedCluster,
    /** Jobs all of whose tasks must be in one zone. */
    private readonly singleZoneJobs: ReadonlySet<string> = new Set(),
  ) {}

  /** Steps the world and looks every second. */
  async step(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 1000) {
      await this.cluster.step(Math.min(1000, left));
      this.check();
    }
  }

  check(): void {
    this.readCompletedTasks();
    const now = this.cluster.clock.now();
    for (const id of this.cluster.jobs.keys()) {
      if (!this.waitsDespiteCapacity(id)) this.waitingSince.delete(id);
      else {
        const from = this.waitingSince.get(id) ?? now;
        this.waitingSince.set(id, from);
        if (now - from > this.longestWaitMs) this.longestWaitingJob = id;
        this.longestWaitMs = Math.max(this.longestWaitMs, now - from);
      }
    }
  }

  private readCompletedTasks(): void {
    const { traceLines: lines } = this.cluster;
    for (; this.linesRead < lines.length; this.linesRead += 1) {
      const ended = / ends (\S+): done$/.exec(lines[this.linesRead] ?? '');
      if (ended) this.completedTasks.add(ended[1] as string);
    }
  }

  private waitsDespiteCapacity(id: string): boolean {
    const { invariantChecker } = this.cluster;
    const job = invariantChecker.descriptionOf(id);
    if (!job || !invariantChecker.isAcknowledged(id) || invariantChecker.finalState(id) === 'cancelled')
      return false;
    const present = new Map<string, number>();
    let waitingTasks = 0;
    for (let i = 0; i < job.tasks; i += 1) {
      const taskId = `${id}/${i}`;
      const holder = [...this.cluster.workers.values()].find((machine) =>
        isOnMachine(machine.tasks.get(taskId)),
      );
      if (holder) present.set(holder.zone, (present.get(holder.zone) ?? 0) + 1);
      else if (!this.completedTasks.has(taskId)) waitingTasks += 1;
    }
    if (waitingTasks === 0) return false;
    const limit = this.cluster.config.teams.find((task) => task.name === job.team)?.cpusMax ?? 0;
    if (this.cpusUsedByTeam(job.team) + job.cpus > limit + 1e-9) return false;
    return [...this.cluster.workers.values()].some((machine) => {
      if (machine.hanging || (machine.spot && !job.spot) || (job.types && !job.types.includes(machine.type)))
        return false;
      if (job.zone !== null && job.zone !== machine.zone) return false;
      if (job.spread && (present.get(machine.zone) ?? 0) >= Math.ceil(job.tasks / 2)) return false;
      if (this.singleZoneJobs.has(id) && present.size > 0 && !present.has(machine.zone)) return false;
      return machine.cpus - this.cpusUsedOnMachine(machine) >= job.cpus - 1e-9;
    });
  }

  private cpusUsedOnMachine(machine: { tasks: ReadonlyMap<string, { status: string }> }): number {
    let cpus = 0;
    for (const [taskId, task] of machine.tasks)
      if (task.status !== 'exited') cpus += this.cluster.jobs.get(taskId.split('/')[0] ?? '')?.cpus ?? 0;
    return cpus;
  }

  private cpusUsedByTeam(team: string): number {
    let cpus = 0;
    for (const machine of this.cluster.workers.values())
      for (const [taskId, task] of machine.tasks) {
        const job = this.cluster.invariantChecker.descriptionOf(taskId.split('/')[0] ?? '');
        if (task.status !== 'exited' && job?.team === team) cpus += job.cpus;
      }
    return cpus;
  }
}

const isOnMachine = (task: { status: string } | undefined): boolean =>
  task !== undefined && task.status !== 'exited';
