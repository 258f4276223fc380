/** Which jobs are within their team's guarantee: those that fit into it with the team's earlier unfinished jobs. */
import type { JobRecord } from '../jobs/record.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../units.js';

/** A guarantee of 0 is none: that resource is not counted, and what asks for such resources alone is not guaranteed. */
function asksForGuaranteed({ spec }: JobRecord, team: Team): boolean {
  if (team.cpus === 0 && team.gpus === 0) return false;
  const asksForNone = spec.cpus === 0 && spec.gpus === 0;
  return asksForNone || (team.cpus > 0 && spec.cpus > 0) || (team.gpus > 0 && spec.gpus > 0);
}

/** Every controller sees the same records, and so comes to the same answer. */
export function guaranteedOf(records: readonly JobRecord[], team: Team): Set<JobId> {
  const out = new Set<JobId>();
  let cpus = 0;
  let gpus = 0;
  const isWithin = (total: number, guarantee: number): boolean =>
    guarantee === 0 || total <= guarantee + 1e-6;
  for (const r of [...records].sort((a, b) => a.born - b.born || (a.spec.id < b.spec.id ? -1 : 1))) {
    const open = r.spec.tasks - r.done.size;
    cpus += open * r.spec.cpus;
    gpus += open * r.spec.gpus;
    const fits = isWithin(cpus, team.cpus) && isWithin(gpus, team.gpus);
    if (fits && asksForGuaranteed(r, team)) out.add(r.spec.id);
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
