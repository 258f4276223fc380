/**
 * Detects jobs that wait although a suitable machine has free capacity and their team is below its quota. Uses only
 * what machines and users see, not the state in the controllers' memory.
 */
import type { SimulatedCluster } from './simulated-cluster.js';

/** Measures how long each job has been waiting despite idle capacity, and records the longest wait in milliseconds. */
export class IdleCapacityMonitor {
  private readonly waitingSince = new Map<string, number>();
  private readonly completedTasks = new Set<string>();
  private linesRead = 0;
  longestWaitMs = 0;
  longestWaitingJob = '';

  constructor(
    private readonly cluster: SimulatedCluster,
    /** Jobs that need all their tasks in one zone. */
    private readonly singleZoneJobs: ReadonlySet<string> = new Set(),
  ) {}

  /** Advances the cluster and checks it every second. */
  async step(ms: number): Promise<void> {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= 1000) {
      await this.cluster.step(Math.min(1000, remainingMs));
      this.check();
    }
  }

  check(): void {
    this.readCompletedTasks();
    const now = this.cluster.clock.now();
    for (const id of this.cluster.jobs.keys()) {
      if (!this.waitsDespiteCapacity(id)) this.waitingSince.delete(id);
      else {
        const since = this.waitingSince.get(id) ?? now;
        this.waitingSince.set(id, since);
        if (now - since > this.longestWaitMs) this.longestWaitingJob = id;
        this.longestWaitMs = Math.max(this.longestWaitMs, now - since);
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
    const tasksByZone = new Map<string, number>();
    let waitingTasks = 0;
    for (let i = 0; i < job.tasks; i += 1) {
      const taskId = `${id}/${i}`;
      const holder = [...this.cluster.workers.values()].find((machine) =>
        isOnMachine(machine.tasks.get(taskId)),
      );
      if (holder) tasksByZone.set(holder.zone, (tasksByZone.get(holder.zone) ?? 0) + 1);
      else if (!this.completedTasks.has(taskId)) waitingTasks += 1;
    }
    if (waitingTasks === 0) return false;
    const cpusMax = this.cluster.config.teams.find((team) => team.name === job.team)?.cpusMax ?? 0;
    if (this.cpusUsedByTeam(job.team) + job.cpus > cpusMax + 1e-9) return false;
    return [...this.cluster.workers.values()].some((machine) => {
      if (machine.hanging || (machine.spot && !job.spot) || (job.types && !job.types.includes(machine.type)))
        return false;
      if (job.zone !== null && job.zone !== machine.zone) return false;
      if (job.spread && (tasksByZone.get(machine.zone) ?? 0) >= Math.ceil(job.tasks / 2)) return false;
      if (this.singleZoneJobs.has(id) && tasksByZone.size > 0 && !tasksByZone.has(machine.zone)) return false;
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
