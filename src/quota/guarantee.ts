/** Which jobs are within their team's guarantee: those that fit into it with the team's earlier unfinished jobs. */
import type { JobRecord } from '../jobs/record.js';
import type { Team } from '../settings/settings.js';
import type { JobId, TeamId } from '../units.js';

/** Every controller sees the same records, and so comes to the same answer. */
export function guaranteedJobs(live: Iterable<JobRecord>, teams: ReadonlyMap<TeamId, Team>): Set<JobId> {
  const byTeam = new Map<TeamId, JobRecord[]>();
  for (const r of live) byTeam.set(r.spec.team, [...(byTeam.get(r.spec.team) ?? []), r]);
  const out = new Set<JobId>();
  for (const [name, records] of byTeam) {
    const team = teams.get(name);
    if (!team) continue;
    records.sort((a, b) => a.born - b.born || (a.spec.id < b.spec.id ? -1 : 1));
    let cpus = 0;
    let gpus = 0;
    for (const r of records) {
      const open = r.spec.tasks - r.done.size;
      cpus += open * r.spec.cpus;
      gpus += open * r.spec.gpus;
      if (cpus <= team.cpus + 1e-6 && gpus <= team.gpus + 1e-6) out.add(r.spec.id);
    }
  }
  return out;
}
