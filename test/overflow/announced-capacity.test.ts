/**
 * What a shard announces as free is what its own waiting tasks cannot use.
 *
 * What happened (simulate fuzz --seed 50156 --runs 1): a service of two tasks waited for 90 s on a shard without machines,
 * beside a shard with 2 CPUs free. That one announced nothing: a gang of eight tasks that waited there was counted on them,
 * task by task, though it needs 16 CPUs at once. Nothing was ever transferred:
 *
 *   n0 shard statistics: machines 1, free 2 CPUs, from 140 s to the end
 *   198.000 BROKEN left_waiting: req-97400042 waits for 90 s while there is room
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { freeCapacityOf } from '../../src/overflow/announcement.js';
import { taskCapacity } from '../../src/overflow/peer-ranking.js';
import { buildJobSpec } from '../support/job-specs.js';
import { CycleRunner } from '../support/cycle-runner.js';

const GANG = { kind: 'gang', cpus: 2 };
const ASKED_FOR = buildJobSpec({ id: 'req-other', cpus: 2 });

/** For how many tasks of 2 CPUs the shard announces room. */
function announcedTasks(runner: CycleRunner): number {
  const core = {
    clock: { now: () => runner.currentTime() },
    heartbeatIntervalMs: 1500,
    types: runner.shard.types,
    tuning: { announcementExpiry: 10_000 },
    settings: { shards: [], zone: 'east' },
  } as unknown as Core;
  return taskCapacity(freeCapacityOf(core, runner.shard), ASKED_FOR, null);
}

/** A machine of 8 CPUs that has been heard. */
function idleMachine(): CycleRunner {
  const runner = new CycleRunner(1);
  runner.runCycle();
  return runner;
}

test('a gang that is larger than the shard does not hide free capacity from peers', () => {
  const runner = idleMachine();
  runner.addJob('req-gang', { ...GANG, tasks: 8 });
  assert.equal(announcedTasks(runner), 4);
});

test('a gang that fits once work has ended, or for which machines are reserved, hides what it will use', () => {
  const fitting = idleMachine();
  fitting.addJob('req-gang', { ...GANG, tasks: 3 });
  assert.equal(announcedTasks(fitting), 1);
  const waitsForWork = idleMachine();
  waitsForWork.addRunningTask('req-a', 'm-0', { cpus: 4 });
  waitsForWork.addJob('req-gang', { ...GANG, tasks: 4 });
  assert.equal(announcedTasks(waitsForWork), 0);
  const reserved = idleMachine();
  reserved.addJob('req-gang', { ...GANG, tasks: 8 });
  reserved.shard.jobs.get('req-gang' as never)?.reservations.set(0, {
    machine: 'm-0' as never,
    reservedUntil: Infinity as never,
    withoutPreemption: true,
    lastObstacle: 'not looked at',
  });
  assert.equal(announcedTasks(reserved), 0);
});

test('nor does one that would fit if critical work, which nothing can be stopped for, were gone', () => {
  const runner = idleMachine();
  runner.addRunningTask('req-web', 'm-0', { kind: 'service', priority: 0, cpus: 6 });
  runner.addJob('req-gang', { ...GANG, tasks: 4 });
  assert.equal(announcedTasks(runner), 1);
});
