/** Placement constraints of jobs. */
import type { JobSpec } from '../jobs/spec.js';
import type { InstanceTypeId, ZoneId } from './units.js';

/**
 * Returns whether a task of the job may run on a machine of this type and zone, which may be a spot machine.
 * `requiredZone` is the zone that the job's record sets for the task, in addition to a zone that the job itself may
 * specify; null: any zone.
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
