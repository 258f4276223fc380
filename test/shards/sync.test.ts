/** Updates of a shard's copies of jobs from their records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { revision, steady, type JobId } from '../../src/model/units.js';
import { allocate, isAssignedTo, syncJob, type Shard, type ShardJob } from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import {
  ACQUIRED_VERSION,
  addMachineTo,
  buildAllocation,
  buildJobRecord,
  buildShard,
} from '../support/shard-builder.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const JOB = 'req-1' as JobId;
const LATER = revision(ACQUIRED_VERSION + 1);
const MUCH_LATER = revision(ACQUIRED_VERSION + 2);

const jobOf = (shard: Shard): ShardJob => {
  const job = shard.jobs.get(JOB);
  assert.ok(job, 'the shard has a copy of the job');
  return job;
};

const sync = (
  shard: Shard,
  record: Parameters<typeof buildJobRecord>[0],
  version = LATER,
  atAcquisition = false,
): void => syncConfirmedJob(shard, buildJobRecord(record), version, steady(1000), atAcquisition);

test('tasks of a record that is newer than the acquisition wait at once', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 4]], done: [[1, 2]] });
  assert.deepEqual(jobOf(shard).waiting.ranges(), [
    [0, 1],
    [2, 4],
  ]);
  assert.equal(jobOf(shard).unaccounted.isEmpty, true);
  assert.ok(shard.queue.has(jobOf(shard)));
});

test('tasks that an earlier leader may have started are unaccounted', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 4]] }, ACQUIRED_VERSION, true);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
  assert.deepEqual(jobOf(shard).unaccounted.ranges(), [[0, 4]]);
});

test('an older record that is read after the acquisition makes the shard unreconciled again', () => {
  const shard = buildShard();
  shard.reconciled = true;
  sync(shard, { assigned: [[0, 4]] }, ACQUIRED_VERSION);
  assert.deepEqual(jobOf(shard).unaccounted.ranges(), [[0, 4]]);
  assert.equal(shard.reconciled, false);
});

test('a record without unfinished tasks of the shard creates no copy', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 4]], done: [[0, 4]] });
  assert.equal(shard.jobs.size, 0);
});

test('a record that is not newer than the copy changes nothing', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 4]] }, MUCH_LATER);
  sync(shard, { assigned: [[0, 2]] }, LATER);
  sync(shard, { assigned: [[0, 2]] }, MUCH_LATER);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 4]]);
});

test('tasks that are transferred to the shard wait, and tasks that are transferred away do not', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 4]] });
  sync(shard, { assigned: [[2, 6]] }, MUCH_LATER);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[2, 6]]);
  assert.equal(isAssignedTo(shard, JOB, 1), false);
  assert.equal(isAssignedTo(shard, JOB, 5), true);
});

test('a task that is on a machine does not wait, and its job is kept when all tasks are recorded as done', () => {
  const shard = buildShard();
  const machine = addMachineTo(shard, 'm-0');
  sync(shard, { assigned: [[0, 2]] });
  allocate(shard, machine, buildAllocation(shard, machine, 0));
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[1, 2]]);
  sync(shard, { assigned: [[0, 2]], done: [[0, 2]] }, MUCH_LATER);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
});

test('tasks of a record ahead of the watch are not started before the watch has passed it', () => {
  const shard = buildShard();
  syncJob(shard, buildJobRecord({ assigned: [[0, 4]] }), MUCH_LATER, steady(1000), false);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
  assert.deepEqual(jobOf(shard).unconfirmed.ranges(), [[0, 4]]);
  assert.equal(shard.confirmUpTo(LATER).changed, false);
  assert.equal(jobOf(shard).waiting.isEmpty, true, 'changes before the record are not known yet');
  assert.deepEqual(shard.confirmUpTo(MUCH_LATER).jobs, [jobOf(shard)]);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 4]]);
  assert.equal(jobOf(shard).unconfirmed.isEmpty, true);
});

test('tasks added by a record ahead of the watch are unconfirmed, and tasks assigned before keep waiting', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 2]] });
  syncJob(shard, buildJobRecord({ assigned: [[0, 4]] }), MUCH_LATER, steady(1000), false);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]]);
  assert.deepEqual(jobOf(shard).unconfirmed.ranges(), [[2, 4]]);
  syncJob(
    shard,
    buildJobRecord({ assigned: [[0, 3]], done: [[2, 3]] }),
    revision(MUCH_LATER + 1),
    steady(1000),
    false,
  );
  assert.equal(
    jobOf(shard).unconfirmed.isEmpty,
    true,
    'tasks done or assigned elsewhere in the meantime are removed',
  );
  shard.confirmUpTo(revision(MUCH_LATER + 1));
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]]);
});

// Guards against: an earlier leader gave a waiting task the place of a finished one and started it, and its successor,
// which has read only the record without the place, starts the task again.
test('tasks that an earlier leader assigned to another zone are unaccounted, also if the record is read late', () => {
  const shard = buildShard();
  const machine = addMachineTo(shard, 'm-0', { reconciled: false });
  sync(shard, { assigned: [[0, 2]], zone: '' }, revision(ACQUIRED_VERSION - 1), true);
  requeueAccountedTasks(shard);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]], 'no machine is in that zone');
  sync(shard, { assigned: [[0, 2]], zone: 'east' }, ACQUIRED_VERSION);
  assert.equal(jobOf(shard).waiting.isEmpty, true);
  assert.deepEqual(jobOf(shard).unaccounted.ranges(), [[0, 2]]);
  assert.equal(shard.reconciled, false);
  requeueAccountedTasks(shard);
  assert.equal(jobOf(shard).waiting.isEmpty, true, 'the machine may have the tasks');
  shard.markReconciled(machine);
  requeueAccountedTasks(shard);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]]);
});

test('tasks that this leader assigned to another zone keep waiting', () => {
  const shard = buildShard();
  sync(shard, { assigned: [[0, 2]], zone: '' });
  sync(shard, { assigned: [[0, 2]], zone: 'east' }, MUCH_LATER);
  assert.deepEqual(jobOf(shard).waiting.ranges(), [[0, 2]]);
});

test('a machine registered by a record ahead of the watch takes no task before the watch has passed it', () => {
  const shard = buildShard();
  shard.confirmUpTo(LATER);
  const known = addMachineTo(shard, 'm-0', { registeredVersion: LATER });
  const ahead = addMachineTo(shard, 'm-1', { registeredVersion: MUCH_LATER });
  assert.deepEqual([known.confirmed, ahead.confirmed], [true, false]);
  shard.confirmUpTo(MUCH_LATER);
  assert.equal(ahead.confirmed, true);
});
