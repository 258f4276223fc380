/**
 * Remainders of a team's limit: what a part has left of its share when that is too little for any of its waiting tasks.
 * They would be idle on several parts while together they were enough for a task. Pure.
 *
 * They move to the part with the lower number, whatever they come to, and to one with a higher number only if they
 * complete the share of a task there. So pieces that are too small even together do not go back and forth.
 */
import { fits, mapResources, RESOURCE_KINDS, type Resources } from '../model/resources.js';
import type { ShardId } from '../model/units.js';

export const fitsAnyTask = (remaining: Resources, tasks: readonly Resources[]): boolean =>
  tasks.some((task) => fits(task, remaining));

/**
 * What is missing for the task that comes closest to fitting, by the largest share of the limit; null: one fits, none
 * waits, or machines of unknown size may be using more than there is.
 */
export function missingForClosestTask(
  remaining: Resources,
  tasks: readonly Resources[],
  limit: Resources,
): Resources | null {
  if (fitsAnyTask(remaining, tasks)) return null;
  let closest: { missing: Resources; share: number } | null = null;
  for (const task of tasks) {
    const missing = mapResources((kind) => Math.max(0, task[kind] - remaining[kind]));
    const share = Math.max(
      ...RESOURCE_KINDS.map((kind) => (missing[kind] > 0 ? missing[kind] / limit[kind] : 0)),
    );
    if (!closest || share < closest.share) closest = { missing, share };
  }
  return closest && closest.share < Infinity ? closest.missing : null;
}

/** May a remainder go from `giver` to `asker`, which misses so much for one task? */
export const mayTransferRemainder = (
  fromShard: ShardId,
  toShard: ShardId,
  remaining: Resources,
  missing: Resources,
): boolean => toShard < fromShard || fits(missing, remaining);
