/**
 * Determines which jobs are within their team's guaranteed quota: those that fit into it together with the team's
 * earlier unfinished jobs. The result depends only on the job records and the settings, so all controllers agree on it.
 */
import type { JobRecord } from '../jobs/record.js';
import { addTo, fits, mapResources, ZERO, type MutableResources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../model/units.js';
import type { LimitedKind } from './shard-quota.js';

const LIMITED_KINDS = ['cpus', 'gpus'] as const satisfies readonly LimitedKind[];

/**
 * Whether the job requests a resource for which the team has a guarantee. A job that requests no limited resource at
 * all counts if the team has any guarantee.
 */
function requestsGuaranteedResources({ spec }: JobRecord, { guaranteed }: Team): boolean {
  if (LIMITED_KINDS.every((kind) => spec[kind] === 0))
    return LIMITED_KINDS.some((kind) => guaranteed[kind] > 0);
  return LIMITED_KINDS.some((kind) => guaranteed[kind] > 0 && spec[kind] > 0);
}

/** Orders jobs approximately by acceptance. The order is the same on every controller. */
const byAcceptance = (first: JobRecord, second: JobRecord): number =>
  first.acceptedRevision - second.acceptedRevision || (first.spec.id < second.spec.id ? -1 : 1);

/**
 * Returns the guaranteed jobs of one team. A guarantee of 0 means that there is none: the resource is not counted.
 */
export function selectGuaranteedJobs(records: readonly JobRecord[], team: Team): Set<JobId> {
  const guaranteedJobs = new Set<JobId>();
  const guarantee = mapResources((kind) => team.guaranteed[kind] || Infinity);
  const sum: MutableResources = { ...ZERO };
  for (const record of [...records].sort(byAcceptance)) {
    addTo(sum, record.spec, record.spec.tasks - record.done.size);
    if (fits(sum, guarantee) && requestsGuaranteedResources(record, team)) guaranteedJobs.add(record.spec.id);
  }
  return guaranteedJobs;
}

/** The active jobs of one team. */
interface TeamJobs {
  readonly records: Map<JobId, JobRecord>;
  /** Null if not computed since the last change of the team's jobs. */
  guaranteedJobs: ReadonlySet<JobId> | null;
}

/**
 * Tracks the active jobs by team. After a change, the next lookup for the team recomputes the set from all its jobs.
 */
export class GuaranteedJobs {
  private readonly jobsByTeam = new Map<TeamId, TeamJobs>();
  private readonly teamByJob = new Map<JobId, TeamId>();

  constructor(private readonly teams: ReadonlyMap<TeamId, Team>) {}

  /** Records a changed job record. Null means that the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const teamId = record?.spec.team ?? this.teamByJob.get(id);
    if (teamId === undefined) return;
    const teamJobs = this.getOrCreateTeamJobs(teamId);
    teamJobs.guaranteedJobs = null;
    if (record) {
      teamJobs.records.set(id, record);
      this.teamByJob.set(id, teamId);
    } else {
      teamJobs.records.delete(id);
      this.teamByJob.delete(id);
    }
  }

  private getOrCreateTeamJobs(team: TeamId): TeamJobs {
    const existing = this.jobsByTeam.get(team);
    if (existing) return existing;
    const teamJobs: TeamJobs = { records: new Map(), guaranteedJobs: null };
    this.jobsByTeam.set(team, teamJobs);
    return teamJobs;
  }

  /** Whether the job is guaranteed. Returns false for jobs that are not active and for jobs of unknown teams. */
  has(id: JobId): boolean {
    const teamId = this.teamByJob.get(id);
    if (teamId === undefined) return false;
    const teamJobs = this.jobsByTeam.get(teamId);
    const team = this.teams.get(teamId);
    if (!teamJobs || !team) return false;
    teamJobs.guaranteedJobs ??= selectGuaranteedJobs([...teamJobs.records.values()], team);
    return teamJobs.guaranteedJobs.has(id);
  }
}
