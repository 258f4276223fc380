/**
 * Admission control: rejects jobs that can never run in this deployment because of the teams' quotas or the cloud's
 * instance types. The reasons are shown to the user and name the field of the submission and its limit.
 */
import type { InstanceType } from '../cloud/wire.js';
import { mayRunOn } from '../model/constraints.js';
import { covers, largestPerResource, RESOURCE_KINDS } from '../model/resources.js';
import type { TeamId } from '../model/units.js';
import type { Team } from '../settings/settings.js';
import type { JobSpec } from './spec.js';
import { FIELDS } from './wire.js';

/** Tolerance for floating-point errors in sums over a job's tasks. */
const ROUNDING_TOLERANCE = 1e-9;

/** Returns why the job can never run within its team's quota, or null if it can. */
function quotaRejection(spec: JobSpec, team: Team): string | null {
  // The tasks of an array may run one after the other; jobs of other kinds need all their tasks at once.
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  for (const kind of RESOURCE_KINDS) {
    const need = spec[kind] * concurrentTasks;
    if (need > team.quota[kind] + ROUNDING_TOLERANCE)
      return `${FIELDS[kind]}: needs ${need} at once, more than the limit of ${team.quota[kind]} of team ${team.name}`;
  }
  return null;
}

const listNames = (types: readonly InstanceType[]): string => types.map((type) => type.name).join(', ');

/** Returns why no instance type can run a task of the job, or null if one can. */
function instanceTypeRejection(spec: JobSpec, types: readonly InstanceType[]): string | null {
  const requested = types.filter((type) => spec.types?.includes(type.name) ?? true);
  if (requested.length === 0)
    return `${FIELDS.types}: ${spec.types?.join(', ')} not in the catalog, which has ${listNames(types)}`;
  const allowed = requested.filter((type) =>
    type.zones.some((zone) => mayRunOn(spec, type.name, zone, false, null)),
  );
  if (allowed.length === 0) return `${FIELDS.zone}: ${spec.zone ?? 'every zone'} has no allowed machine type`;
  return allowed.some((type) => covers(type, spec)) ? null : taskSizeRejection(spec, allowed);
}

/** Returns why a task fits none of these types: one resource exceeds all types, or no type has enough of every one. */
function taskSizeRejection(spec: JobSpec, allowed: readonly InstanceType[]): string {
  const largest = largestPerResource(allowed);
  for (const kind of RESOURCE_KINDS) {
    if (spec[kind] > largest[kind])
      return `${FIELDS[kind]}: a task needs ${spec[kind]}, no allowed machine type has more than ${largest[kind]}`;
  }
  const fields = RESOURCE_KINDS.map((kind) => `${FIELDS[kind]} ${spec[kind]}`).join(', ');
  return `${fields}: no allowed machine type has room for all of a task`;
}

/** Returns why a job can never run in this deployment, as a text for the user, or null if the job is admissible. */
export function rejectionReason(
  spec: JobSpec,
  types: Iterable<InstanceType>,
  teams: ReadonlyMap<TeamId, Team>,
): string | null {
  const team = teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  return quotaRejection(spec, team) ?? instanceTypeRejection(spec, [...types]);
}
