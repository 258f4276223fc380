/** Brings a shard's copy of a job up to a record that the watch has shown, as most tests mean it. */
import { syncJob, type Shard } from '../../src/shards/model.js';

/** `syncJob`, and the watch cache is complete up to the record's version. */
export function syncConfirmedJob(
  shard: Shard,
  ...args: Parameters<typeof syncJob> extends [Shard, ...infer Rest] ? Rest : never
): void {
  syncJob(shard, ...args);
  const [, version] = args;
  shard.confirmUpTo(version);
}
