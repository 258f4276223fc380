/**
 * Creates jobs in the store. If possible, the same write also proves that this controller still leads the shards to
 * which the job's tasks are assigned, so that the tasks can be started before the watch delivers the record.
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

/** The parts of the controller that creating a job uses. */
export interface JobCreationContext extends StoreAccess {
  /** The shards that this controller leads. */
  readonly shards: ReadonlyMap<ShardId, Shard>;
  /** Returns a condition that holds as long as the shard's record is unchanged since this leader acquired the shard. */
  leaderCondition(shard: Shard): Condition;
}

/**
 * Writes the record, on the condition that no job with its id is active or has ended. On `done` the record is in the
 * watch cache; `conflict` means that such a job exists.
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
  // The outcome is unknown, or a shard is no longer led here: a second attempt creates the job or finds it existing.
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
