/**
 * Quota is reserved for a job only if the whole amount can become available.
 *
 * Guards against (simulate fuzz --seed 50232 --runs 1, without faults; seeds 50066, 50091 and 50101 likewise): services
 * use 16 of a team's 24 CPUs and do not end. The other 8 CPUs were reserved indefinitely for a gang of 16 CPUs that had
 * waited for a minute, and gangs of 8 CPUs waited although 16 CPUs were free. The shard's statistics did not change
 * until the end of the run:
 *
 *   n0 teams.tides: usage 16, shardQuota 24, reservedQuota 16, waiting 144; free 16
 *   176.000 BROKEN left_waiting: req-70800015 waits for 90 s while there is room
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED } from '../../src/model/resources.js';
import { CycleRunner } from '../support/cycle-runner.js';

const LIMIT_CPUS = 24;
const CYCLES_BEFORE_RESERVATION = 31;
const GANG = { kind: 'gang', priority: 1, cpus: 2 };

/** Four machines of 8 CPUs. Red uses 16 CPUs of its quota of 24, and a gang that needs 16 has waited for a minute. */
function withLargeGang(runningKind: string): CycleRunner {
  const runner = new CycleRunner(4, {
    team: { cpusMax: LIMIT_CPUS },
    shardQuota: { ...UNLIMITED, cpus: LIMIT_CPUS },
  });
  for (const machine of ['m-0', 'm-1'])
    runner.addRunningTask(`req-on-${machine}`, machine, { kind: runningKind, priority: 0, cpus: 8 });
  runner.addJob('req-large', { ...GANG, tasks: 8 });
  for (let cycle = 0; cycle < CYCLES_BEFORE_RESERVATION; cycle += 1) runner.runCycle();
  return runner;
}

test('quota that services use indefinitely is not reserved: smaller jobs of the team start', () => {
  const runner = withLargeGang('service');
  runner.addJob('req-small', { ...GANG, tasks: 4 });
  assert.equal(runner.runCycle().match(/start req-small/g)?.length, 4);
});

test('quota that services on other shards use indefinitely is not reserved', () => {
  const runner = new CycleRunner(2, {
    team: { cpusMax: LIMIT_CPUS },
    shardQuota: { ...UNLIMITED, cpus: 8 },
  });
  runner.servicesElsewhere = { cpus: 16, gpus: 0, memoryGb: 2 };
  runner.addJob('req-large', { ...GANG, tasks: 8 });
  for (let cycle = 0; cycle < CYCLES_BEFORE_RESERVATION; cycle += 1) runner.runCycle();
  runner.addJob('req-small', { ...GANG, tasks: 4 });
  assert.equal(runner.runCycle().match(/start req-small/g)?.length, 4);
});

test('quota that tasks release at their end is reserved for the large job', () => {
  const runner = withLargeGang('array');
  runner.addJob('req-small', { ...GANG, tasks: 4 });
  assert.doesNotMatch(runner.runCycle(), /start/);
  runner.finishTasksRunningFor(0);
  assert.equal(runner.runCycle().match(/start req-large/g)?.length, 8);
});
