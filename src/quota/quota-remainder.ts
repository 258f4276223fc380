/**
 * Remainders of a team's quota: unused quota of a shard that is too small for any of its waiting tasks. Without
 * transfers, remainders would be idle on several shards although together they are enough for a task. Pure.
 *
 * A remainder may always be transferred to a shard with a lower number, and to a shard with a higher number only if it
 * completes the quota of a task there. Otherwise, remainders that are too small even together would move back and
 * forth.
 */
import { fits, mapResources, RESOURCE_KINDS, type Resources } from '../model/resources.js';
import type { ShardId } from '../model/units.js';

/** Whether the remaining quota is enough for one of the tasks. */
export const fitsAnyTask = (remaining: Resources, tasks: readonly Resources[]): boolean =>
  tasks.some((task) => fits(task, remaining));

/**
 * Returns the quota that is missing for the task that is closest to fitting, which is the task with the smallest
 * maximum of missing amounts as fractions of the team's quota. Returns null if a task fits, no task waits, or machines
 * of unknown type and usage may be using more than the quota.
 */
export function missingForClosestTask(
  remaining: Resources,
  tasks: readonly Resources[],
  teamQuota: Resources,
): Resources | null {
  if (fitsAnyTask(remaining, tasks)) return null;
  let closest: { readonly missing: Resources; readonly fraction: number } | null = null;
  for (const task of tasks) {
    const missing = mapResources((kind) => Math.max(0, task[kind] - remaining[kind]));
    const fraction = Math.max(
      ...RESOURCE_KINDS.map((kind) => (missing[kind] > 0 ? missing[kind] / teamQuota[kind] : 0)),
    );
    if (!closest || fraction < closest.fraction) closest = { missing, fraction };
  }
  return closest && closest.fraction < Infinity ? closest.missing : null;
}

/** Whether a remainder may be transferred to a shard that lacks `missing` for one task. */
export const mayTransferRemainder = (
  fromShard: ShardId,
  toShard: ShardId,
  remaining: Resources,
  missing: Resources,
): boolean => toShard < fromShard || fits(missing, remaining);
