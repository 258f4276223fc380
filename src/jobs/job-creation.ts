/**
 * The write that creates a job. It also proves, where it can, that this process still leads the shards that the job's
 * tasks are assigned to: these may then be started without waiting for the watch to show the record.
 */
import { SHARDS_PREFIX } from '../shards/codec.js';
import type { Shard } from '../shards/model.js';
import type { CompareAndSwapResult } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Condition } from '../store/wire.js';
import { NO_REVISION, type ShardId } from '../model/units.js';
import { activeJobKey, encodeRecord, finalStateKey } from './codec.js';
import type { StoreAccess } from './dependencies.js';
import type { Assignment, JobRecord } from './record.js';

/** What creating a job uses of the controller. */
export interface JobCreationContext extends StoreAccess {
  /** The shards that this controller leads. */
  readonly shards: ReadonlyMap<ShardId, Shard>;
  /** Holds as long as the shard's record is the one that this leader knows. */
  leaderCondition(shard: Shard): Condition;
}

/**
 * Writes the record on condition that no job of its id is active or has ended. On `done` the watch cache has it;
 * `conflict`: there is such a job.
 */
export async function createJobRecord(
  context: JobCreationContext,
  record: JobRecord,
): Promise<CompareAndSwapResult> {
  const { store, storeCache } = context;
  const key = activeJobKey(record.spec.id);
  const value = encodeRecord(record);
  const isNew: readonly Condition[] = [
    { key, version: NO_REVISION },
    { key: finalStateKey(record.spec.id), version: NO_REVISION },
  ];
  const create = (conditions: readonly Condition[]): Promise<CompareAndSwapResult> =>
    store.compareAndSwap(conditions, [{ op: 'put', key, value }], RequestPriority.submission);
  let provenShards = shardsLedHere(context, record.assignments);
  const leadership = provenShards.map((shard) => context.leaderCondition(shard));
  let result = await create([...isNew, ...leadership]);
  // Outcome unknown, or a shard is not led any more: a second try creates the job or shows that there is one.
  if (result.kind === 'unknown' || failedOnLeadership(result)) {
    provenShards = [];
    result = await create(isNew);
  }
  if (result.kind !== 'done') return result;
  const { revision } = result;
  await context.exclusive(() => {
    storeCache.apply(key, value, revision);
    for (const shard of provenShards) shard.confirmUpTo(revision);
  });
  return result;
}

function shardsLedHere({ shards }: JobCreationContext, assignments: readonly Assignment[]): Shard[] {
  const ids = new Set(assignments.map(({ shard }) => shard));
  return [...shards.values()].filter(({ id }) => ids.has(id));
}

const failedOnLeadership = (result: CompareAndSwapResult): boolean =>
  result.kind === 'conflict' && result.failed.every((key) => key.startsWith(SHARDS_PREFIX));
