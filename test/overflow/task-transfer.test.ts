/** Choice of the tasks that are transferred to a peer. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { chooseTaskTransfer } from '../../src/overflow/task-transfer.js';
import { seededRandom } from '../../src/model/random.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import { Shard, type ShardJob } from '../../src/shards/model.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { ShardId, SteadyMs } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

test('a job whose record would become too large does not block the transfer of other jobs', () => {
  const now = 10_000 as SteadyMs;
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  const machines = [{ type: 't', zone: 'east', spot: false, cpus: 64, gpus: 0, memoryGb: 64, count: 4 }];
  const capacity = { shard: 1, zone: 'east', expiresAt: 99_000, machines } as unknown as FreeCapacity;
  const settings = { shards: [], zone: 'east', maxValueBytes: 1000 };
  const core = { settings, freeCapacity: new Map([[capacity.shard, capacity]]), random: seededRandom(1) };
  const unplaced = ['req-scattered', 'req-plain'].map((id, jobIndex) => {
    // Every other task of the first job is already assigned to another shard.
    const ranges =
      jobIndex === 0
        ? Array.from({ length: 200 }, (_, task) => [task, task + 1, 2 * (task % 2)] as const)
        : [[0, 200, 0] as const];
    const assignments = ranges.map(([from, to, shardId]) => ({
      from,
      to,
      shard: shardId as ShardId,
      zone: null,
    }));
    const record = {
      spec: buildJobSpec({ id, tasks: 200 }),
      homeShard: 0,
      assignments,
      done: RangeSet.empty(),
    } as never;
    syncConfirmedJob(shard, record, (jobIndex + 1) as never, 0 as SteadyMs, false);
    const job = shard.jobs.get(id as never) as ShardJob;
    return { job, reason: 'capacity' as const, indices: [...job.waiting] };
  });
  const choice = chooseTaskTransfer(core as unknown as Core, shard, unplaced, now);
  assert.equal(choice?.job.id, 'req-plain');
  assert.equal(choice.tasks.size, 128);
});
