/**
 * Tasks are preempted for a gang only on machines where its members will start.
 *
 * Guards against two faults. A member whose machine was still being emptied was placed on the machine reserved for another
 * member, and its own reservation was replaced: both members relied on the same resources, other jobs took what had been
 * freed on the first machine, and more tasks were stopped for the gang. In addition, preemption ignored that a member that
 * replaces another one must not use the machines that its attempt has left.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { preemptForTask } from '../../src/scheduling/preemption.js';
import type { SchedulingCycle } from '../../src/scheduling/scheduling-cycle.js';
import { CycleRunner } from '../support/cycle-runner.js';

const CRITICAL_SERVICE = { kind: 'service', priority: 0, team: 'blue', cpus: 4 };
const GANG = { kind: 'gang', priority: 1, tasks: 2, cpus: 4 };
const LOW_PRIORITY = 3;

test('members of a gang that wait for preempted tasks to end do not rely on the same resources', () => {
  const runner = new CycleRunner(2);
  runner.stopsTakeEffectAtOnce = false;
  for (const machine of ['m-0', 'm-1']) {
    runner.addRunningTask(`req-service-${machine}`, machine, CRITICAL_SERVICE);
    for (const half of ['a', 'b'])
      runner.addRunningTask(`req-${half}-${machine}`, machine, { priority: LOW_PRIORITY, team: 'blue' });
  }
  runner.addJob('req-gang', GANG);
  runner.addJob('req-small', { priority: LOW_PRIORITY });
  assert.equal(runner.runCycle(), 'nothing');
  assert.equal(runner.runCycle().match(/stop/g)?.length, 4);
  const reservations = runner.shard.jobs.get('req-gang' as never)?.reservations;
  const secondMachine = String(reservations?.get(1)?.machine);
  for (const half of ['a', 'b']) runner.finishStops(`req-${half}-${secondMachine}`);
  assert.equal(runner.runCycle(), 'nothing');
  assert.deepEqual([...new Set([...(reservations?.values() ?? [])].map(({ machine }) => machine))].sort(), [
    'm-0',
    'm-1',
  ]);
  runner.finishStops(`req-a-${secondMachine === 'm-0' ? 'm-1' : 'm-0'}`);
  assert.equal(runner.runCycle(), 'nothing');
  runner.finishStops();
  assert.match(runner.runCycle(), /^start req-gang\/0 on m-[01]; start req-gang\/1 on m-[01]/);
});

test('nothing is stopped on a machine that a member may not use', () => {
  const runner = new CycleRunner();
  runner.addRunningTask('req-batch', 'm-0', { cpus: 8, priority: LOW_PRIORITY });
  runner.addJob('req-gang', { ...GANG, priority: 0 });
  const { plan, preempted } = runner.decideWithoutApplying((cycle: SchedulingCycle) => {
    const job = runner.shard.jobs.get('req-gang' as never);
    return job !== undefined && preemptForTask(cycle, job, 0, null, { mayUse: () => false });
  });
  assert.equal(preempted, false);
  assert.equal(plan.stops.length, 0);
});
