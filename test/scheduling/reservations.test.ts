/** Reservations for tasks that have waited too long, by their dominant resource. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED } from '../../src/model/resources.js';
import type { Reservation } from '../../src/shards/model.js';
import { OVERDUE_AFTER_MS } from '../../src/scheduling/cycle.js';
import { CycleRunner } from '../support/cycle-runner.js';

const CAPACITY = { cpus: 32, gpus: 8, memoryGb: 64 };
const CYCLE_MS = 2000;

function runCyclesFor(runner: CycleRunner, ms: number): void {
  for (let at = 0; at < ms; at += CYCLE_MS) assert.equal(runner.runCycle(), 'nothing');
}

const reservationOf = (runner: CycleRunner, job: string): Reservation | undefined =>
  runner.shard.jobs.get(job as never)?.reservations.get(0);

test('a task that needs most of the GPUs of a machine reserves the machine with most free GPUs', () => {
  const runner = new CycleRunner(2, { capacity: CAPACITY });
  runner.addRunningTask('req-a', 'm-0', { cpus: 1, gpus: 6 });
  runner.addRunningTask('req-b', 'm-1', { cpus: 20, gpus: 4 });
  runner.addJob('req-large', { cpus: 1, gpus: 8 });
  runCyclesFor(runner, 58_000);
  assert.equal(reservationOf(runner, 'req-large'), undefined);
  runCyclesFor(runner, 10_000);
  const { machine, withoutPreemption } = reservationOf(runner, 'req-large') as Reservation;
  assert.deepEqual([machine, withoutPreemption], ['m-1', true]);
});

test('a task that needs most of the memory of a machine reserves one, and a task that needs little does not', () => {
  for (const [memoryGb, reserved] of [
    [40, true],
    [20, false],
  ] as const) {
    const runner = new CycleRunner(1, { capacity: CAPACITY });
    runner.addRunningTask('req-a', 'm-0', { memoryGb: 50 });
    runner.addJob('req-large', { cpus: 1, memoryGb });
    runCyclesFor(runner, 70_000);
    assert.equal(reservationOf(runner, 'req-large')?.withoutPreemption ?? false, reserved, `${memoryGb} GB`);
  }
});

test('smaller tasks of a team do not take the GPU quota that an overdue task of the team waits for', () => {
  const shardQuota = { ...UNLIMITED, gpus: 7 };
  const fresh = new CycleRunner(2, { capacity: CAPACITY, shardQuota });
  fresh.addJob('req-large', { gpus: 8 });
  fresh.addJob('req-small', { gpus: 1, tasks: 10 });
  assert.equal(fresh.runCycle().split('; ').length, 7);

  const overdue = new CycleRunner(2, { capacity: CAPACITY, shardQuota });
  overdue.addJob('req-large', { gpus: 8 });
  runCyclesFor(overdue, OVERDUE_AFTER_MS + CYCLE_MS);
  overdue.addJob('req-small', { gpus: 1, tasks: 10 });
  assert.equal(overdue.runCycle(), 'nothing');
});
