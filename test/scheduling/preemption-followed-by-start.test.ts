/**
 * Tasks are preempted only for a start that follows.
 *
 * Guards against a fault seen in `simulate run test/schedules/two-machines-left.toml`, seed 11017: on a machine of 8 CPUs a
 * service preempted others for two replicas. In the same cycle a job that had waited for over a minute reserved the same
 * machine without preemption. Each reservation was subtracted from what the other could use, so neither task started until
 * the first reservation expired after 6 s. Then the waiting job started, and 0.09 s later, in the next cycle, it was stopped
 * for the replicas. This repeated until the end of the run.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED } from '../../src/model/resources.js';
import { CycleRunner } from '../support/cycle-runner.js';

const CRITICAL_SERVICE = { kind: 'service', priority: 0, team: 'blue', cpus: 2, tasks: 2 };
/** Cycles are two seconds apart; after this many cycles, a job may reserve a machine in the next one. */
const CYCLES_BEFORE_RESERVATION = 30;

/**
 * Sets up a full machine of 8 CPUs: a service uses one half and a batch task the other, and a job that needs half of the
 * machine has waited for a minute.
 */
function runnerWithFullMachine(): CycleRunner {
  const runner = new CycleRunner();
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-service', 'm-0', { kind: 'service', priority: 0, team: 'blue', cpus: 4 });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 4 });
  runner.addJob('req-large', { cpus: 4 });
  for (let cycle = 0; cycle < CYCLES_BEFORE_RESERVATION; cycle += 1)
    assert.equal(runner.runCycle(), 'nothing');
  return runner;
}

test('tasks start once their preemption victims are gone, even if another job has waited too long', () => {
  const runner = runnerWithFullMachine();
  runner.addJob('req-replicas', CRITICAL_SERVICE);
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  runner.finishStops();
  assert.equal(runner.runCycle(), 'start req-replicas/0 on m-0; start req-replicas/1 on m-0');
});

/**
 * Guards against another fault of the same run: a machine was reserved without preemption for a gang that had waited too
 * long. A replica had no room there and nothing to preempt. In the same cycle the gang started, and 0.09 s later, in the
 * next cycle, it was stopped for the replica.
 */
test('a critical task takes resources that are reserved for a job which it could preempt at once', () => {
  const runner = runnerWithFullMachine();
  assert.equal(runner.runCycle(), 'nothing');
  runner.addJob('req-replicas', CRITICAL_SERVICE);
  runner.finishTasksRunningFor(0, 'req-batch');
  const decisions = Array.from({ length: 4 }, () => runner.runCycle()).join('; ');
  assert.match(decisions, /start req-replicas\/0 on m-0; start req-replicas\/1 on m-0/);
  assert.doesNotMatch(decisions, /stop/);
});

test('resources stay reserved for a job that the other job could not preempt', () => {
  const runner = runnerWithFullMachine();
  assert.equal(runner.runCycle(), 'nothing');
  runner.addJob('req-urgent', { tasks: 2, priority: 2, cpus: 2, team: 'red', deadlineS: 600 });
  runner.finishTasksRunningFor(0, 'req-batch');
  assert.equal(runner.runCycle(), 'start req-large/0 on m-0');
});

/**
 * This and the next tests guard against tasks that are stopped for quota before a machine is found, and against other
 * tasks that take a part of the quota that is being freed.
 */
test('no task of the team is stopped for quota while there is no machine for the critical task', () => {
  const runner = new CycleRunner(1, { shardQuota: { ...UNLIMITED, cpus: 4 } });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 4 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4, types: ['none-such'] });
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('no task of the team is stopped for quota if stopping all of them would not be enough', () => {
  const runner = new CycleRunner(1, { shardQuota: { ...UNLIMITED, cpus: 4 } });
  runner.addRunningTask('req-service', 'm-0', { kind: 'service', priority: 0, cpus: 2 });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 2 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4 });
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('partly freed quota is not taken by a job that would be preempted for the rest', () => {
  const runner = new CycleRunner(1, { shardQuota: { ...UNLIMITED, cpus: 4 } });
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-a', 'm-0', {});
  runner.addRunningTask('req-b', 'm-0', {});
  runner.addJob('req-more', {});
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4 });
  assert.equal(runner.runCycle(), 'stop req-a/0; stop req-b/0');
  runner.finishStops('req-a');
  assert.equal(runner.runCycle(), 'nothing');
  runner.finishStops('req-b');
  assert.equal(runner.runCycle(), 'start req-web/0 on m-0');
});

test('a job does not take quota that a task of its team needs for which other tasks are being stopped', () => {
  const runner = new CycleRunner(2, { shardQuota: { ...UNLIMITED, cpus: 8 } });
  runner.stopsTakeEffectAtOnce = false;
  const service = { kind: 'service', priority: 0, cpus: 4 };
  runner.addRunningTask('req-blue-service', 'm-0', { ...service, team: 'blue' });
  runner.addRunningTask('req-blue-batch', 'm-0', { cpus: 4, team: 'blue' });
  runner.addRunningTask('req-red-service', 'm-1', { ...service, cpus: 4 });
  runner.addRunningTask('req-other', 'm-1', { cpus: 2, team: 'blue', priority: 0, kind: 'service' });
  runner.addJob('req-web', service);
  assert.equal(runner.runCycle(), 'stop req-blue-batch/0');
  runner.addJob('req-more', {});
  assert.equal(runner.runCycle(), 'nothing');
  runner.finishStops();
  assert.equal(runner.runCycle(), 'start req-web/0 on m-0');
});

test('a preemption that no start followed is not repeated at once', () => {
  const runner = new CycleRunner();
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-batch', 'm-0', { cpus: 8 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4 });
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  // The worker does not report the end of the task for a long time. Meanwhile the task is considered lost and started
  // again.
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
  runner.withdrawStops();
  for (let cycle = 0; cycle < 10; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('a machine stays reserved until the grace period of the tasks stopped there has passed', () => {
  const runner = new CycleRunner();
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-batch', 'm-0', { cpus: 8, checkpointIntervalS: 10, checkpointDurationS: 9 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 8 });
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  runner.addJob('req-more', { cpus: 8, team: 'blue' });
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
  const reserved = runner.shard.jobs.get('req-web' as never)?.reservations.get(0);
  assert.equal(reserved?.machine, 'm-0');
  runner.finishStops();
  assert.equal(runner.runCycle(), 'start req-web/0 on m-0');
});
