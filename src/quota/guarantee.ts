/** Which jobs are within their team's guarantee: those that fit into it with the team's earlier unfinished jobs. */
import type { JobRecord } from '../jobs/record.js';
import { addTo, fits, mapResources, ZERO, type MutableResources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../model/units.js';

/** What asks only for resources without a guarantee is not guaranteed; what asks for nothing always is. */
function asksForGuaranteed({ spec }: JobRecord, { guarantee }: Team): boolean {
  const limitable = ['cpus', 'gpus'] as const;
  if (limitable.every((kind) => spec[kind] === 0)) return limitable.some((kind) => guarantee[kind] > 0);
  return limitable.some((kind) => guarantee[kind] > 0 && spec[kind] > 0);
}

/** A resource with a guarantee of 0 has none, and is not counted. Every controller comes to the same answer. */
export function guaranteedOf(records: readonly JobRecord[], team: Team): Set<JobId> {
  const out = new Set<JobId>();
  const counted = mapResources((kind) => team.guarantee[kind] || Infinity);
  const sum: MutableResources = { ...ZERO };
  for (const r of [...records].sort((a, b) => a.born - b.born || (a.spec.id < b.spec.id ? -1 : 1))) {
    addTo(sum, r.spec, r.spec.tasks - r.done.size);
    if (fits(sum, counted) && asksForGuaranteed(r, team)) out.add(r.spec.id);
  }
  return out;
}

interface TeamJobs {
  readonly records: Map<JobId, JobRecord>;
  /** null: to be found anew when somebody asks. */
  within: ReadonlySet<JobId> | null;
}

/** Follows the live records team by team; a change costs the next question about that team one pass over it. */
export class Guarantees {
  private readonly byTeam = new Map<TeamId, TeamJobs>();
  private readonly teamOf = new Map<JobId, TeamId>();

  constructor(private readonly teams: ReadonlyMap<TeamId, Team>) {}

  learn(id: JobId, record: JobRecord | null): void {
    const name = record?.spec.team ?? this.teamOf.get(id);
    if (name === undefined) return;
    const team = this.byTeam.get(name) ?? { records: new Map<JobId, JobRecord>(), within: null };
    this.byTeam.set(name, team);
    team.within = null;
    if (record) {
      team.records.set(id, record);
      this.teamOf.set(id, name);
    } else {
      team.records.delete(id);
      this.teamOf.delete(id);
    }
  }

  has(id: JobId): boolean {
    const name = this.teamOf.get(id);
    const team = name === undefined ? undefined : this.byTeam.get(name);
    const limits = name === undefined ? undefined : this.teams.get(name);
    if (!team || !limits) return false;
    team.within ??= guaranteedOf([...team.records.values()], limits);
    return team.within.has(id);
  }
}
