/** What is kept for a task that has waited too long, by whichever resource it needs most of. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED } from '../src/model/resources.js';
import type { Reservation } from '../src/shards/model.js';
import { OVERDUE_AFTER_MS } from '../src/scheduling/cycle.js';
import { Rounds } from './standins/rounds.js';

const CAPACITY = { cpus: 32, gpus: 8, memoryGb: 64 };
const ROUND = 2000;

function pass(rounds: Rounds, ms: number): void {
  for (let at = 0; at < ms; at += ROUND) assert.equal(rounds.round(), 'nothing');
}

const holdOf = (rounds: Rounds, job: string): Reservation | undefined =>
  rounds.part.jobs.get(job as never)?.reservations.get(0);

test('for a task that needs most of the GPUs the machine with most GPUs free is reserved', () => {
  const rounds = new Rounds(2, { capacity: CAPACITY });
  rounds.place('req-a', 'm-0', { cpus: 1, gpus: 6 });
  rounds.place('req-b', 'm-1', { cpus: 20, gpus: 4 });
  rounds.job('req-large', { cpus: 1, gpus: 8 });
  pass(rounds, 58_000);
  assert.equal(holdOf(rounds, 'req-large'), undefined);
  pass(rounds, 10_000);
  const { machine, withoutPreemption: reserved } = holdOf(rounds, 'req-large') as Reservation;
  assert.deepEqual([machine, reserved], ['m-1', true]);
});

test('for a task that needs most of the memory a machine is reserved, and none for one that needs little', () => {
  for (const [memoryGb, kept] of [
    [40, true],
    [20, false],
  ] as const) {
    const rounds = new Rounds(1, { capacity: CAPACITY });
    rounds.place('req-a', 'm-0', { memoryGb: 50 });
    rounds.job('req-large', { cpus: 1, memoryGb });
    pass(rounds, 70_000);
    assert.equal(holdOf(rounds, 'req-large')?.withoutPreemption ?? false, kept, `${memoryGb} GB`);
  }
});

test('smaller tasks of the team do not take the GPUs of its limit that an overdue one waits for', () => {
  const share = { ...UNLIMITED, gpus: 7 };
  const fresh = new Rounds(2, { capacity: CAPACITY, share });
  fresh.job('req-large', { gpus: 8 });
  fresh.job('req-small', { gpus: 1, tasks: 10 });
  assert.equal(fresh.round().split('; ').length, 7);

  const overdue = new Rounds(2, { capacity: CAPACITY, share });
  overdue.job('req-large', { gpus: 8 });
  pass(overdue, OVERDUE_AFTER_MS + ROUND);
  overdue.job('req-small', { gpus: 1, tasks: 10 });
  assert.equal(overdue.round(), 'nothing');
});
