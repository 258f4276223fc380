/** Admission: which submissions can never run in this deployment, judged by its settings and the cloud's catalog. */
import type { MachineType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { allowed } from '../placement/round.js';
import type { JobSpec } from './spec.js';

/** Why a job can never run here, or null. */
export function impossible(
  spec: JobSpec,
  types: Iterable<MachineType>,
  core: Pick<Core, 'settings'>,
): string | null {
  const team = core.settings.teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const count = spec.shape === 'array' ? 1 : spec.tasks;
  // A limit of 0 is none.
  const exceeds = (need: number, limit: number): boolean => limit > 0 && need > limit + 1e-9;
  if (exceeds(spec.cpus * count, team.cpusMax)) return `needs more CPUs than the limit of team ${spec.team}`;
  if (exceeds(spec.gpus * count, team.gpusMax)) return `needs more GPUs than the limit of team ${spec.team}`;
  for (const t of types) {
    if (t.cpus < spec.cpus || t.gpus < spec.gpus || t.memoryGb < spec.memoryGb) continue;
    if (t.zones.some((z) => allowed(spec, t.name, z, false, null))) return null;
  }
  return 'no allowed machine type has room for a task';
}
