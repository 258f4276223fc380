/** The state of a task after it is certainly no longer on its machine. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { revision, steady, type JobId } from '../../src/model/units.js';
import {
  addToMachine,
  allocate,
  freeResources,
  release,
  stopOrRelease,
  type Shard,
  type ShardJob,
} from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import {
  ACQUIRED_VERSION,
  addMachineTo,
  buildAllocation,
  buildJobRecord,
  buildShard,
  EARLIER_ATTEMPT,
} from '../support/shard-builder.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

function shardWithJob(record: Parameters<typeof buildJobRecord>[0], atAcquisition = false): Shard {
  const shard = buildShard();
  const version = atAcquisition ? ACQUIRED_VERSION : revision(ACQUIRED_VERSION + 1);
  syncConfirmedJob(shard, buildJobRecord(record), version, steady(1000), atAcquisition);
  return shard;
}

function jobOf(shard: Shard): ShardJob {
  const job = shard.jobs.get('req-1' as JobId);
  assert.ok(job, 'the shard has a copy of the job');
  return job;
}

test('a released task waits again and its resources are free', () => {
  const shard = shardWithJob({ assigned: [[0, 1]] });
  const machine = addMachineTo(shard, 'm-0');
  const type = shard.types.get(machine.type);
  const allocation = buildAllocation(shard, machine, 0);
  allocate(shard, machine, allocation);
  assert.equal(freeResources(machine, type).cpus, 2);
  release(shard, machine, allocation);
  assert.equal(freeResources(machine, type).cpus, 4);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 1]]);
  assert.equal(shard.allocations.size + shard.allocationsByJob.size, 0);
});

test('a released task that has finished does not wait', () => {
  const shard = shardWithJob({ assigned: [[0, 1]] });
  const machine = addMachineTo(shard, 'm-0');
  const allocation = buildAllocation(shard, machine, 0);
  allocate(shard, machine, allocation);
  jobOf(shard).finished.add(0);
  release(shard, machine, allocation);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
});

test('a task of an earlier leader is unaccounted when it is released before the shard is reconciled', () => {
  const shard = shardWithJob({ assigned: [[0, 1]] }, true);
  const machine = addMachineTo(shard, 'm-0', { reconciled: false });
  const allocation = { ...buildAllocation(shard, machine, 0), attempt: EARLIER_ATTEMPT };
  allocate(shard, machine, allocation);
  release(shard, machine, allocation);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
  assert.deepEqual(jobOf(shard).unaccounted.ranges(), [[0, 1]]);
});

test('a task seen on two machines keeps its allocation when it is gone from the other machine, and its stop is withdrawn', () => {
  const shard = shardWithJob({ assigned: [[0, 1]] });
  const formerMachine = addMachineTo(shard, 'm-0');
  const currentMachine = addMachineTo(shard, 'm-1');
  const stopped = buildAllocation(shard, currentMachine, 0);
  allocate(shard, currentMachine, stopped);
  stopOrRelease(shard, currentMachine, stopped, 0);
  const delayed = buildAllocation(shard, formerMachine, 0);
  allocate(shard, formerMachine, delayed);
  release(shard, formerMachine, delayed);
  assert.equal(shard.allocations.get(stopped.id), stopped);
  assert.equal(stopped.stop, null);
  assert.equal(shard.stopping.size, 0);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
});

test('a task that should not be on a machine uses resources there and does not wait when it is gone', () => {
  const shard = shardWithJob({ assigned: [[0, 1]] });
  const machine = addMachineTo(shard, 'm-0');
  const unassigned = buildAllocation(shard, machine, 5);
  addToMachine(shard, machine, unassigned);
  assert.equal(freeResources(machine, shard.types.get(machine.type)).cpus, 2);
  release(shard, machine, unassigned);
  assert.equal(freeResources(machine, shard.types.get(machine.type)).cpus, 4);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 1]]);
});

test('unaccounted tasks wait again as soon as every machine on which they may be is reconciled', () => {
  const shard = shardWithJob({ assigned: [[0, 2]], zone: 'east' }, true);
  const east = addMachineTo(shard, 'm-0', { reconciled: false });
  const west = addMachineTo(shard, 'm-1', { zone: 'west', reconciled: false });
  assert.equal(requeueAccountedTasks(shard), false);
  assert.deepEqual(jobOf(shard).unaccounted.ranges(), [[0, 2]]);
  shard.markReconciled(east);
  assert.equal(requeueAccountedTasks(shard), false, 'the machine in the other zone is not reconciled yet');
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]]);
  shard.markReconciled(west);
  assert.equal(requeueAccountedTasks(shard), true);
  assert.equal(requeueAccountedTasks(shard), false, 'reported once');
});
