/**
 * Remainders of a team's quota: what a shard has left of its quota when that is too little for any of its waiting tasks.
 * They would be idle on several shards while together they were enough for a task. Pure.
 *
 * A remainder goes to a shard with a lower number whatever it comes to, and to one with a higher number only if it
 * completes the quota of a task there. So remainders that are too small even together do not go back and forth.
 */
import { fits, mapResources, RESOURCE_KINDS, type Resources } from '../model/resources.js';
import type { ShardId } from '../model/units.js';

/** Is what remains enough for one of the tasks? */
export const fitsAnyTask = (remaining: Resources, tasks: readonly Resources[]): boolean =>
  tasks.some((task) => fits(task, remaining));

/**
 * What is missing for the task that comes closest to fitting, by the largest fraction of the team's quota. null: one
 * fits, none waits, or machines of unknown size may be using more than there is.
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

/** May a remainder go from one shard to another, which misses so much for one task? */
export const mayTransferRemainder = (
  fromShard: ShardId,
  toShard: ShardId,
  remaining: Resources,
  missing: Resources,
): boolean => toShard < fromShard || fits(missing, remaining);
