/**
 * Others are stopped only for a start that follows.
 *
 * What happened (simulate run test/schedules/two-machines-left.toml, seed 11017): on a machine of 8 CPUs a service stopped
 * others for two replicas. In the same cycle a job that had waited for over a minute reserved the same machine without
 * preemption. Each of the two reservations was taken off what the other could use, so neither task started until the first
 * reservation expired after 6 s; then the waiting job started, and was stopped in the next cycle, 0.09 s later, for the
 * replicas. This went on for as long as the run:
 *
 *   102.73 n0 reservation made   req-23400052/1 and /2 on m-000002, withoutPreemption false
 *   102.73 n0 reservation made   req-93400015/0 on m-000002, withoutPreemption true
 *   108.83 n0 reservation ended  req-23400052/1 and /2, expired, lastObstacle "machine not free"
 *   108.83 n0 reservation ended  req-93400015/0, used
 *   108.83 n0 start              req-93400015/0 on m-000002
 *   108.92 n0 stop               req-93400015/0, reason capacity, preemptor req-23400052/1
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED } from '../../src/model/resources.js';
import { CycleRunner } from '../support/cycle-runner.js';

const CRITICAL_SERVICE = { kind: 'service', priority: 0, team: 'blue', cpus: 2, tasks: 2 };
/** Cycles are two seconds apart; after these a job may have a machine reserved in the next one. */
const CYCLES_BEFORE_RESERVATION = 30;

/** A full machine of 8 CPUs: a service has one half, a batch task the other, and a job for a half has waited for a minute. */
function fullMachine(): CycleRunner {
  const runner = new CycleRunner();
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-service', 'm-0', { kind: 'service', priority: 0, team: 'blue', cpus: 4 });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 4 });
  runner.addJob('req-large', { cpus: 4 });
  for (let cycle = 0; cycle < CYCLES_BEFORE_RESERVATION; cycle += 1)
    assert.equal(runner.runCycle(), 'nothing');
  return runner;
}

test('tasks for which others were stopped start once those are gone, also beside a job that has waited too long', () => {
  const runner = fullMachine();
  runner.addJob('req-replicas', CRITICAL_SERVICE);
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  runner.finishStops();
  assert.equal(runner.runCycle(), 'start req-replicas/0 on m-0; start req-replicas/1 on m-0');
});

/**
 * What happened, in the same run: a machine was kept for a gang that had waited too long. A replica saw no room there and
 * had nothing to stop; in the same cycle the gang started, and in the next one it was stopped for the replica:
 *
 *   96.54 n0 start  req-83000017/0 to /3 on m-000002 (reserved, withoutPreemption true)
 *   96.63 n0 stop   req-83000017/0 to /3, reason capacity, preemptor req-23400052/1
 */
test('a critical task takes the room that is kept for a job which it could stop there at once', () => {
  const runner = fullMachine();
  assert.equal(runner.runCycle(), 'nothing');
  runner.addJob('req-replicas', CRITICAL_SERVICE);
  runner.finishTasksRunningFor(0, 'req-batch');
  const decisions = Array.from({ length: 4 }, () => runner.runCycle()).join('; ');
  assert.match(decisions, /start req-replicas\/0 on m-0; start req-replicas\/1 on m-0/);
  assert.doesNotMatch(decisions, /stop/);
});

test('the room that is kept for a job which cannot be stopped for the other one stays kept', () => {
  const runner = fullMachine();
  assert.equal(runner.runCycle(), 'nothing');
  runner.addJob('req-urgent', { tasks: 2, priority: 2, cpus: 2, team: 'red', deadlineS: 600 });
  runner.finishTasksRunningFor(0, 'req-batch');
  assert.equal(runner.runCycle(), 'start req-large/0 on m-0');
});

/** Found by reading: stops for quota were decided before a machine was looked for. No task takes part of it otherwise. */
test('no task of the team is stopped for its quota while there is no machine for the critical task', () => {
  const runner = new CycleRunner(1, { shardQuota: { ...UNLIMITED, cpus: 4 } });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 4 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4, types: ['none-such'] });
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('no task of the team is stopped for its quota where all of them would not be enough', () => {
  const runner = new CycleRunner(1, { shardQuota: { ...UNLIMITED, cpus: 4 } });
  runner.addRunningTask('req-service', 'm-0', { kind: 'service', priority: 0, cpus: 2 });
  runner.addRunningTask('req-batch', 'm-0', { cpus: 2 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4 });
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('quota of which a part is free again is not taken by a job that would be stopped for the rest', () => {
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

test('a job of the team does not take the quota of a task for which others are being stopped', () => {
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

test('a stop after which no start followed is not tried again at once', () => {
  const runner = new CycleRunner();
  runner.stopsTakeEffectAtOnce = false;
  runner.addRunningTask('req-batch', 'm-0', { cpus: 8 });
  runner.addJob('req-web', { kind: 'service', priority: 0, cpus: 4 });
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  // The worker does not say for long that the task has ended; meanwhile it is taken for lost, and started anew.
  for (let cycle = 0; cycle < 4; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
  runner.withdrawStops();
  for (let cycle = 0; cycle < 10; cycle += 1) assert.equal(runner.runCycle(), 'nothing');
});

test('a machine stays reserved until the tasks stopped there have had their time to save', () => {
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
