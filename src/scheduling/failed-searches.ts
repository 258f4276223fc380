/**
 * Remembers which searches for tasks to preempt have failed. With hundreds of jobs waiting, each would otherwise look
 * at every machine for itself and find nothing.
 */
import type { JobSpec } from '../jobs/spec.js';
import { covers } from '../model/resources.js';
import { millis, plus, type SteadyMs, type ZoneId } from '../model/units.js';
import type { Shard, ShardJob } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';

/** How long a failed search speaks for others: the outcome changes with what runs, not from one cycle to the next. */
export const SEARCH_RETRY_DELAY_MS = 700;
const MAX_FAILED_SEARCHES = 200;

/** Which tasks may be stopped depends on this alone, and on how much must become free. */
export function failedSearchKey(
  { id, spec }: ShardJob,
  zone: ZoneId | null,
  context: SchedulingContext,
): string {
  const team = context.guaranteed(id) ? spec.team : '';
  return [spec.priority, team, spec.spot, spec.zone, zone, spec.types?.join()].join('/');
}

/** Has a search for no more resources failed a moment ago? */
export function hasFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): boolean {
  const failed = shard.failedSearches.get(key);
  return failed !== undefined && now < failed.until && covers(spec, failed.need);
}

/** Bounded: users may name any list of instance types, and each makes a key. */
export function rememberFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): void {
  const { cpus, gpus, memoryGb } = spec;
  if (shard.failedSearches.size >= MAX_FAILED_SEARCHES) shard.failedSearches.clear();
  shard.failedSearches.set(key, {
    need: { cpus, gpus, memoryGb },
    until: plus(now, millis(SEARCH_RETRY_DELAY_MS)),
  });
}
