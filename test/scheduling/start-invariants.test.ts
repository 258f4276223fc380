/** Checks at the start of a task: the violation of a single invariant prevents the start. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { revision, steady, type JobId } from '../../src/model/units.js';
import { allocate, syncJob, type Machine, type Shard, type ShardJob } from '../../src/shards/model.js';
import { violatedByStart } from '../../src/scheduling/start-invariants.js';
import {
  ACQUIRED_VERSION,
  addMachineTo,
  buildAllocation,
  buildJobRecord,
  buildShard,
} from '../support/shard-builder.js';

const ASSIGNED = revision(ACQUIRED_VERSION + 1);

/** Builds a shard with a machine and a job of two tasks that may start. */
function buildStartableJob(): { shard: Shard; machine: Machine; job: ShardJob } {
  const shard = buildShard();
  const machine = addMachineTo(shard, 'm-0');
  syncJob(shard, buildJobRecord({ assigned: [[0, 2]] }), ASSIGNED, steady(0), false);
  shard.confirmUpTo(ASSIGNED);
  return { shard, machine, job: shard.jobs.get('req-1' as JobId) as ShardJob };
}

test('the start of a waiting task on a confirmed machine violates no invariant', () => {
  const { shard, machine, job } = buildStartableJob();
  assert.equal(violatedByStart(shard, { job, index: 0, machine }, shard.version), null);
});

test('a task that is allocated, has finished or is assigned elsewhere is not started', () => {
  const { shard, machine, job } = buildStartableJob();
  const violated = (index: number): string | null =>
    violatedByStart(shard, { job, index, machine }, shard.version);
  assert.equal(violated(2), 'task is not assigned to the shard');
  job.finished.add(1);
  assert.equal(violated(1), 'task has finished');
  allocate(shard, machine, buildAllocation(shard, machine, 0));
  assert.equal(violated(0), 'task is already allocated');
});

test('nothing is started from records ahead of the watch, or in a shard with another leader', () => {
  const { shard, machine, job } = buildStartableJob();
  const laterVersion = revision(ASSIGNED + 1);
  const violated = (index: number, target: Machine, storedVersion = shard.version): string | null =>
    violatedByStart(shard, { job, index, machine: target }, storedVersion);
  assert.equal(violated(0, machine, laterVersion), 'shard is led by another controller');
  const unconfirmedMachine = addMachineTo(shard, 'm-1', { registeredVersion: laterVersion });
  assert.equal(violated(0, unconfirmedMachine), 'machine record is not confirmed');
  syncJob(shard, buildJobRecord({ assigned: [[0, 3]] }), laterVersion, steady(0), false);
  assert.equal(violated(2, machine), 'job record is not confirmed');
});
