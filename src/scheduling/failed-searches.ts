/**
 * Records failed searches for preemption victims. With hundreds of jobs waiting, each job would otherwise
 * examine every machine and find nothing.
 */
import type { JobSpec } from '../jobs/spec.js';
import { covers } from '../model/resources.js';
import { millis, plus, type SteadyMs, type ZoneId } from '../model/units.js';
import type { Shard, ShardJob } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';

/**
 * How long a failed search is not repeated. Its outcome changes with the running tasks, not from one cycle to
 * the next.
 */
export const SEARCH_RETRY_DELAY_MS = 700;
const MAX_FAILED_SEARCHES = 200;

/**
 * Returns the key of a search. Which tasks may be stopped depends only on the key and on the resources
 * needed.
 */
export function failedSearchKey(
  { id, spec }: ShardJob,
  zone: ZoneId | null,
  context: SchedulingContext,
): string {
  const team = context.guaranteed(id) ? spec.team : '';
  return [spec.priority, team, spec.spot, spec.zone, zone, spec.types?.join()].join('/');
}

/** Returns true if a search for the same or fewer resources has failed recently. */
export function hasRecentFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): boolean {
  const failed = shard.failedPreemptionSearches.get(key);
  return failed !== undefined && now < failed.until && covers(spec, failed.need);
}

/**
 * Records a failed search. The number of records is limited: users may name any list of instance types, and
 * each list makes a new key.
 */
export function recordFailedSearch(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): void {
  const { cpus, gpus, memoryGb } = spec;
  if (shard.failedPreemptionSearches.size >= MAX_FAILED_SEARCHES) shard.failedPreemptionSearches.clear();
  shard.failedPreemptionSearches.set(key, {
    need: { cpus, gpus, memoryGb },
    until: plus(now, millis(SEARCH_RETRY_DELAY_MS)),
  });
}
