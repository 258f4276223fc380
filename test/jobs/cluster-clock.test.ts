/** Tests the clock that all controllers share. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeClusterTime, ClusterClock } from '../../src/jobs/cluster-clock.js';
import { Shard, syncJob } from '../../src/shards/model.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { ShardId, ClusterMs, SteadyMs } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';

test('the cluster clock continues from the stored count, never goes back, and keeps the age of jobs across a restart', () => {
  const time = new ClusterClock();
  assert.equal(time.age(null, 5000 as SteadyMs), 0, 'a record of an earlier version');
  time.advanceTo(90_000, 1000 as SteadyMs);
  assert.equal(time.now(3000 as SteadyMs), 92_000);
  time.advanceTo(91_000, 3000 as SteadyMs);
  assert.equal(time.now(3000 as SteadyMs), 92_000, 'an older count changes nothing');
  time.advanceTo(decodeClusterTime({ ms: 'soon' }), 3000 as SteadyMs);
  assert.equal(time.age(32_000 as ClusterMs, 4000 as SteadyMs), 61_000);
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 4000 as SteadyMs, new Map());
  const assignments = [{ from: 0, to: 3, shard: shard.id, zone: null }];
  const record = { spec: buildJobSpec({ tasks: 3 }), assignments, done: RangeSet.empty() } as never;
  syncJob(shard, record, 1 as never, 4000 as SteadyMs, true, time.age(32_000 as ClusterMs, 4000 as SteadyMs));
  // Overdue jobs stay overdue, and jobs that have waited stay ahead in the queue, whichever controller leads the shard.
  assert.deepEqual(
    [...shard.jobs.values()].map((job) => job.acceptedAt),
    [-57_000],
  );
});
