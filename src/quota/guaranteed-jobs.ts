/**
 * Which jobs are within their team's guaranteed quota: those that fit into it together with the team's earlier
 * unfinished jobs. It follows from the job records and the settings alone, so every controller comes to the same answer.
 */
import type { JobRecord } from '../jobs/record.js';
import { addTo, fits, mapResources, ZERO, type MutableResources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../model/units.js';
import type { LimitedKind } from './shard-quota.js';

const LIMITED_KINDS = ['cpus', 'gpus'] as const satisfies readonly LimitedKind[];

/** A job that requests only resources without a guarantee is not; one that requests none is, if the team has any. */
function requestsGuaranteedResources({ spec }: JobRecord, { guaranteed }: Team): boolean {
  if (LIMITED_KINDS.every((kind) => spec[kind] === 0))
    return LIMITED_KINDS.some((kind) => guaranteed[kind] > 0);
  return LIMITED_KINDS.some((kind) => guaranteed[kind] > 0 && spec[kind] > 0);
}

/** In the order in which the jobs were accepted, near enough, and the same on every controller. */
const byAcceptance = (a: JobRecord, b: JobRecord): number =>
  a.acceptedRevision - b.acceptedRevision || (a.spec.id < b.spec.id ? -1 : 1);

/** The guaranteed jobs of one team. A guarantee of 0 means that there is none; the resource is not counted. */
export function selectGuaranteedJobs(records: readonly JobRecord[], team: Team): Set<JobId> {
  const guaranteedJobs = new Set<JobId>();
  const counted = mapResources((kind) => team.guaranteed[kind] || Infinity);
  const sum: MutableResources = { ...ZERO };
  for (const record of [...records].sort(byAcceptance)) {
    addTo(sum, record.spec, record.spec.tasks - record.done.size);
    if (fits(sum, counted) && requestsGuaranteedResources(record, team)) guaranteedJobs.add(record.spec.id);
  }
  return guaranteedJobs;
}

/** The active jobs of one team. */
interface TeamJobs {
  readonly records: Map<JobId, JobRecord>;
  /** null: not known since the last change. */
  guaranteedJobs: ReadonlySet<JobId> | null;
}

/** Follows the active jobs team by team; a change costs the next question about its team one pass over the team's jobs. */
export class GuaranteedJobs {
  private readonly jobsByTeam = new Map<TeamId, TeamJobs>();
  private readonly teamByJob = new Map<JobId, TeamId>();

  constructor(private readonly teams: ReadonlyMap<TeamId, Team>) {}

  /** A job's record has changed; null: the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const teamId = record?.spec.team ?? this.teamByJob.get(id);
    if (teamId === undefined) return;
    const teamJobs = this.jobsOf(teamId);
    teamJobs.guaranteedJobs = null;
    if (record) {
      teamJobs.records.set(id, record);
      this.teamByJob.set(id, teamId);
    } else {
      teamJobs.records.delete(id);
      this.teamByJob.delete(id);
    }
  }

  private jobsOf(team: TeamId): TeamJobs {
    const known = this.jobsByTeam.get(team);
    if (known) return known;
    const teamJobs: TeamJobs = { records: new Map(), guaranteedJobs: null };
    this.jobsByTeam.set(team, teamJobs);
    return teamJobs;
  }

  /** Is the job guaranteed? Jobs that are not active and jobs of unknown teams are not. */
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
