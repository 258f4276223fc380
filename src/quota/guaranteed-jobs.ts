/** Which jobs are within their team's guarantee: those that fit into it with the team's earlier unfinished jobs. */
import type { JobRecord } from '../jobs/record.js';
import { addTo, fits, mapResources, ZERO, type MutableResources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../model/units.js';

/** What asks only for resources without a guarantee is not guaranteed; what asks for nothing always is. */
function requestsGuaranteedResources({ spec }: JobRecord, { guaranteed: guarantee }: Team): boolean {
  const limitable = ['cpus', 'gpus'] as const;
  if (limitable.every((kind) => spec[kind] === 0)) return limitable.some((kind) => guarantee[kind] > 0);
  return limitable.some((kind) => guarantee[kind] > 0 && spec[kind] > 0);
}

/** A resource with a guarantee of 0 has none, and is not counted. Every controller comes to the same answer. */
export function selectGuaranteedJobs(records: readonly JobRecord[], team: Team): Set<JobId> {
  const guaranteed = new Set<JobId>();
  const counted = mapResources((kind) => team.guaranteed[kind] || Infinity);
  const sum: MutableResources = { ...ZERO };
  for (const record of [...records].sort(
    (a, b) => a.acceptedRevision - b.acceptedRevision || (a.spec.id < b.spec.id ? -1 : 1),
  )) {
    addTo(sum, record.spec, record.spec.tasks - record.done.size);
    if (fits(sum, counted) && requestsGuaranteedResources(record, team)) guaranteed.add(record.spec.id);
  }
  return guaranteed;
}

interface TeamJobs {
  readonly records: Map<JobId, JobRecord>;
  /** null: to be found anew when somebody asks. */
  guaranteed: ReadonlySet<JobId> | null;
}

/** Follows the live records team by team; a change costs the next question about that team one pass over it. */
export class GuaranteedJobs {
  private readonly byTeam = new Map<TeamId, TeamJobs>();
  private readonly teamOf = new Map<JobId, TeamId>();

  constructor(private readonly teams: ReadonlyMap<TeamId, Team>) {}

  update(id: JobId, record: JobRecord | null): void {
    const teamId = record?.spec.team ?? this.teamOf.get(id);
    if (teamId === undefined) return;
    const team = this.byTeam.get(teamId) ?? { records: new Map<JobId, JobRecord>(), guaranteed: null };
    this.byTeam.set(teamId, team);
    team.guaranteed = null;
    if (record) {
      team.records.set(id, record);
      this.teamOf.set(id, teamId);
    } else {
      team.records.delete(id);
      this.teamOf.delete(id);
    }
  }

  has(id: JobId): boolean {
    const teamId = this.teamOf.get(id);
    const team = teamId === undefined ? undefined : this.byTeam.get(teamId);
    const limits = teamId === undefined ? undefined : this.teams.get(teamId);
    if (!team || !limits) return false;
    team.guaranteed ??= selectGuaranteedJobs([...team.records.values()], limits);
    return team.guaranteed.has(id);
  }
}
