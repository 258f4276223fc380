/** Decides which jobs could start, from the machines' free resources and the teams' quotas as seen from outside. */
import { EPSILON, jobIdOf, type JobObservation, type MachineView, type TeamQuota } from './rules.js';
import type { UserJob } from './user-jobs.js';

/** All observed jobs, and the quotas of the teams. */
interface Cluster {
  readonly jobs: ReadonlyMap<string, JobObservation>;
  readonly teams: readonly TeamQuota[];
}

/** Returns whether the team's quota has room for a task of the job, or for all tasks of a gang. */
function fitsTeamQuota(
  record: JobObservation,
  machines: readonly MachineView[],
  { jobs, teams }: Cluster,
): boolean {
  const { job } = record;
  const quota = teams.find((t) => t.name === job.team);
  // All tasks of a gang are counted here, so the loop skips the tasks of the job itself.
  const tasks = job.shape === 'gang' ? job.tasks : 1;
  let cpus = job.cpus * tasks;
  let gpus = job.gpus * tasks;
  for (const task of machines.flatMap((m) => m.occupyingTasks)) {
    const other = jobs.get(jobIdOf(task))?.job;
    if (other?.team !== job.team || other === job) continue;
    cpus += other.cpus;
    gpus += other.gpus;
  }
  const isWithinLimit = (used: number, maximum: number): boolean =>
    maximum === 0 || used <= maximum + EPSILON;
  return quota !== undefined && isWithinLimit(cpus, quota.cpusMax) && isWithinLimit(gpus, quota.gpusMax);
}

/** Returns whether a job that occupies no machine could start a task now; for a gang that does not run, all tasks. */
export function isStartable(
  record: JobObservation,
  machines: readonly MachineView[],
  cluster: Cluster,
): boolean {
  const { job } = record;
  if (!fitsTeamQuota(record, machines, cluster)) return false;
  if (job.shape === 'gang') return !record.gangRunning && gangFits(job, machines);
  const occupiesMachine = machines.some((m) => m.occupyingTasks.some((t) => jobIdOf(t) === job.id));
  return !occupiesMachine && record.machineByTask.size === 0 && machines.some((m) => slotsOn(m, job) > 0);
}

/** Returns how many tasks of the job fit on the machine, including those that occupy it already. */
function slotsOn(machine: MachineView, job: UserJob): number {
  const { spec, free } = machine;
  if (job.types && !job.types.includes(spec.type)) return 0;
  if (job.zone !== null && job.zone !== spec.zone) return 0;
  if (spec.spot && !job.spot) return 0;
  const slotsFor = (available: number, needed: number): number =>
    needed > 0 ? Math.floor(available / needed + EPSILON) : Infinity;
  const additionalTasks = Math.min(
    slotsFor(free.cpus, job.cpus),
    slotsFor(free.gpus, job.gpus),
    slotsFor(free.memoryGb, job.memoryGb),
  );
  return additionalTasks + machine.occupyingTasks.filter((t) => jobIdOf(t) === job.id).length;
}

/** Returns whether all tasks of a gang fit, under its single-zone or spread constraint. */
function gangFits(job: UserJob, machines: readonly MachineView[]): boolean {
  const byZone = new Map<string, number>();
  for (const machine of machines)
    byZone.set(
      machine.spec.zone,
      (byZone.get(machine.spec.zone) ?? 0) + Math.min(job.tasks, slotsOn(machine, job)),
    );
  const zones = [...byZone.values()];
  if (job.sameZone) return zones.some((slots) => slots >= job.tasks);
  const maxPerZone = job.spread ? Math.ceil(job.tasks / 2) : job.tasks;
  return zones.reduce((sum, slots) => sum + Math.min(maxPerZone, slots), 0) >= job.tasks;
}
