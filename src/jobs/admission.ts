/**
 * Admission: which submissions can never run in this deployment, judged by its settings and the cloud's catalog. Texts
 * name the field and its bound.
 */
import type { InstanceType } from '../cloud/wire.js';
import { mayRunOn } from '../model/constraints.js';
import { covers, largestOf, RESOURCE_KINDS } from '../model/resources.js';
import type { Settings, Team } from '../settings/settings.js';
import type { JobSpec } from './spec.js';
import { FIELDS } from './wire.js';

/** Sums of a service's tasks may be off by so much. */
const ROUNDING_TOLERANCE = 1e-9;

/** An array's tasks may run one after the other; others need all of theirs at once. */
function quotaRejection(spec: JobSpec, { name, quota: limit }: Team): string | null {
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  for (const kind of RESOURCE_KINDS) {
    const need = spec[kind] * tasks;
    if (need > limit[kind] + ROUNDING_TOLERANCE)
      return `${FIELDS[kind]}: needs ${need} at once, more than the limit of ${limit[kind]} of team ${name}`;
  }
  return null;
}

/** Why no machine type can take a task, or null. */
function machineTypeRejection(spec: JobSpec, types: readonly InstanceType[]): string | null {
  const named = types.filter((type) => spec.types?.includes(type.name) ?? true);
  if (named.length === 0)
    return `${FIELDS.types}: ${spec.types?.join(', ')} not in the catalog, which has ${namesOf(types)}`;
  const placed = named.filter((type) =>
    type.zones.some((zone) => mayRunOn(spec, type.name, zone, false, null)),
  );
  if (placed.length === 0) return `${FIELDS.zone}: ${spec.zone ?? 'every zone'} has no allowed machine type`;
  if (placed.some((type) => covers(type, spec))) return null;
  const most = largestOf(placed);
  for (const kind of RESOURCE_KINDS) {
    if (spec[kind] > most[kind])
      return `${FIELDS[kind]}: a task needs ${spec[kind]}, no allowed machine type has more than ${most[kind]}`;
  }
  const fields = RESOURCE_KINDS.map((kind) => `${FIELDS[kind]} ${spec[kind]}`).join(', ');
  return `${fields}: no allowed machine type has room for all of a task`;
}

const namesOf = (types: readonly InstanceType[]): string => types.map((type) => type.name).join(', ');

/** Why a job can never run here, or null. */
export function rejectionReason(
  spec: JobSpec,
  types: Iterable<InstanceType>,
  { settings }: { readonly settings: Pick<Settings, 'teams'> },
): string | null {
  const team = settings.teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  return quotaRejection(spec, team) ?? machineTypeRejection(spec, [...types]);
}
