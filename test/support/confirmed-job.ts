/** Updates a shard's copy of a job from a record that the watch has delivered, which is the usual case in tests. */
import { syncJob, type Shard } from '../../src/shards/model.js';

/** Calls `syncJob` and marks the watch cache as complete up to the record's revision. */
export function syncConfirmedJob(
  shard: Shard,
  ...args: Parameters<typeof syncJob> extends [Shard, ...infer Rest] ? Rest : never
): void {
  syncJob(shard, ...args);
  const [, revision] = args;
  shard.confirmUpTo(revision);
}
