/** Where the constraints of a job let its tasks run. */
import type { JobSpec } from '../jobs/spec.js';
import type { InstanceTypeId, ZoneId } from './units.js';

/**
 * May a task of this job run on a machine of this type, in this zone, a spot instance or not? `requiredZone` is that of
 * the task in the job's record, beside the one that the job itself may name; null: any zone.
 */
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
