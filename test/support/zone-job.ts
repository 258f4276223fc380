/** Builds a shard's copy of a job whose tasks are assigned to zones, in text-like rows. */
import type { JobRecord } from '../../src/jobs/record.js';
import { RangeSet, type Range } from '../../src/model/ranges.js';
import type { ShardId, SteadyMs } from '../../src/model/units.js';
import { Shard, type ShardJob } from '../../src/shards/model.js';
import { syncConfirmedJob } from './confirmed-job.js';
import { buildJobSpec } from './job-specs.js';

/** Assigns the tasks [from, to) to a shard and a zone; an empty zone: no zone, null: any zone. */
export type AssignmentRow = readonly [from: number, to: number, shard: number, zone: string | null];

/** Returns the record of the job `req-1`, which has as many tasks as the rows. */
export function recordWithZones(
  specification: Parameters<typeof buildJobSpec>[0],
  rows: readonly AssignmentRow[],
  done: Range[] = [],
): JobRecord {
  const tasks = Math.max(...rows.map(([, to]) => to));
  return {
    spec: buildJobSpec({ id: 'req-1', tasks, ...specification }),
    homeShard: 0,
    acceptedRevision: 1,
    acceptedAt: null,
    assignments: rows.map(([from, to, shard, zone]) => ({ from, to, shard, zone })),
    done: RangeSet.of(done),
  } as unknown as JobRecord;
}

/** Returns the copy of the job at the leader of a shard that has tasks of it; all that are not done wait. */
export function jobWithZones(shardId: ShardId, ...job: Parameters<typeof recordWithZones>): ShardJob {
  const shard = new Shard(shardId, 7 as never, 10 as never, 0 as SteadyMs, new Map());
  syncConfirmedJob(shard, recordWithZones(...job), 20 as never, 0 as SteadyMs, false);
  return [...shard.jobs.values()][0] as ShardJob;
}
