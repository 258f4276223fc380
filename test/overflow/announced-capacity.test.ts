/**
 * A shard announces the free capacity that its own waiting tasks cannot use.
 *
 * Guards against (simulate fuzz --seed 50156 --runs 1): a service of two tasks waited for 90 s on a shard without
 * machines while another shard had 2 CPUs free. The other shard announced no capacity, because the tasks of a waiting
 * gang of eight were subtracted from it one by one, although the gang needs 16 CPUs at once. Nothing was ever
 * transferred:
 *
 *   n0 shard statistics: machines 1, free 2 CPUs, from 140 s to the end
 *   198.000 BROKEN left_waiting: req-97400042 waits for 90 s while there is room
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { computeFreeCapacity } from '../../src/overflow/announcement.js';
import { taskCapacity } from '../../src/overflow/peer-ranking.js';
import { buildJobSpec } from '../support/job-specs.js';
import { CycleRunner } from '../support/cycle-runner.js';

const GANG = { kind: 'gang', cpus: 2 };
const PEER_JOB = buildJobSpec({ id: 'req-other', cpus: 2 });

/** Returns the number of tasks of 2 CPUs for which the shard announces capacity. */
function announcedTasks(runner: CycleRunner): number {
  const core = {
    clock: { now: () => runner.currentTime() },
    heartbeatIntervalMs: 1500,
    types: runner.shard.types,
    tuning: { announcementExpiry: 10_000 },
    settings: { shards: [], zone: 'east' },
  } as unknown as Core;
  return taskCapacity(computeFreeCapacity(core, runner.shard), PEER_JOB, null);
}

/** A shard with one idle machine of 8 CPUs that has sent a heartbeat. */
function idleMachine(): CycleRunner {
  const runner = new CycleRunner(1);
  runner.runCycle();
  return runner;
}

test('a gang that is larger than the shard does not reduce the announced capacity', () => {
  const runner = idleMachine();
  runner.addJob('req-gang', { ...GANG, tasks: 8 });
  assert.equal(announcedTasks(runner), 4);
});

test('a gang that fits after tasks have ended, or has reserved machines, reduces the announced capacity', () => {
  const fitting = idleMachine();
  fitting.addJob('req-gang', { ...GANG, tasks: 3 });
  assert.equal(announcedTasks(fitting), 1);
  const waitingForTasks = idleMachine();
  waitingForTasks.addRunningTask('req-a', 'm-0', { cpus: 4 });
  waitingForTasks.addJob('req-gang', { ...GANG, tasks: 4 });
  assert.equal(announcedTasks(waitingForTasks), 0);
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

test('a gang that would fit only by preemption of critical tasks does not reduce the announced capacity', () => {
  const runner = idleMachine();
  runner.addRunningTask('req-web', 'm-0', { kind: 'service', priority: 0, cpus: 6 });
  runner.addJob('req-gang', { ...GANG, tasks: 4 });
  assert.equal(announcedTasks(runner), 1);
});
