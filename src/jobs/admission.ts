/** Admission: which submissions can never run in this deployment, judged by its settings and the cloud's catalog. */
import type { MachineType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { aboveLimit, fitsNoType } from './limits.js';
import type { JobSpec } from './spec.js';

/** Why a job can never run here, or null. */
export function impossible(
  spec: JobSpec,
  types: Iterable<MachineType>,
  core: Pick<Core, 'settings'>,
): string | null {
  const team = core.settings.teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  return aboveLimit(spec, team) ?? fitsNoType(spec, [...types]);
}
