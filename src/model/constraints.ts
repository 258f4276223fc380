/** Where the rules let a task start. */
import type { JobSpec } from '../jobs/spec.js';
import type { InstanceTypeId, ZoneId } from './units.js';

/** May a task of this job start on such a machine at all? */
export function mayRunOn(
  spec: JobSpec,
  type: InstanceTypeId,
  zone: ZoneId,
  spot: boolean,
  requiredZone: ZoneId | null,
): boolean {
  if (spot && !spec.spot) return false;
  if (spec.types && !spec.types.includes(type)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  return requiredZone === null || requiredZone === zone;
}
