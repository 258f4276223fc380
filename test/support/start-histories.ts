/** Histories of starts that violate a rule, each with a similar history that does not. */
import type { HistoryPair } from './checker-fixture.js';

/** For each rule about starts: a history that violates it, and its sound counterpart. */
export const START_HISTORIES: readonly HistoryPair[] = [
  {
    rule: 'ran_twice',
    name: 'a task starts on a second machine',
    broken: (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2'), 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskEnded(fixture.machine('m-1'), 'req-1/0', false);
      fixture.checker.taskStarted(fixture.machine('m-2'), 'req-1/0');
    },
  },
  {
    rule: 'quota',
    name: 'a team uses 10 CPUs of 8',
    broken: (fixture) => {
      fixture.submit({ cpus: 5 });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2'), 'req-1/1');
    },
    sound: (fixture) => {
      fixture.submit({ cpus: 4 });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2'), 'req-1/1');
    },
  },
  {
    rule: 'wrong_place',
    name: 'another type',
    broken: (fixture) => {
      fixture.submit({ types: ['spruce'] });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit({ types: ['birch'] });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
  },
  {
    rule: 'wrong_place',
    name: 'another zone',
    broken: (fixture) => {
      fixture.submit({ zone: 'ridge' });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit({ zone: 'fjord' });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
  },
  {
    rule: 'wrong_place',
    name: 'a spot machine',
    broken: (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1', { spot: true }), 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit({ spot: true });
      fixture.checker.taskStarted(fixture.machine('m-1', { spot: true }), 'req-1/0');
    },
  },
  {
    rule: 'wrong_place',
    name: 'two zones for a job of one',
    broken: (fixture) => {
      fixture.submit({ sameZone: true });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2', { zone: 'ridge' }), 'req-1/1');
    },
    sound: (fixture) => {
      fixture.submit({ sameZone: true });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskEnded(fixture.machine('m-1'), 'req-1/0', true);
      fixture.checker.taskStarted(fixture.machine('m-2', { zone: 'ridge' }), 'req-1/1');
    },
  },
  {
    rule: 'wrong_place',
    name: 'more than half of a spread job in one zone',
    broken: (fixture) => {
      fixture.submit({ spread: true });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2'), 'req-1/1');
    },
    sound: (fixture) => {
      fixture.submit({ spread: true });
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.taskStarted(fixture.machine('m-2', { zone: 'ridge' }), 'req-1/1');
    },
  },
  {
    rule: 'wrong_place',
    name: 'the place of a task that is still on a machine is taken',
    broken: (fixture) => {
      fixture.submit({ spread: true, tasks: 4 });
      for (const index of [0, 1, 2]) fixture.checker.taskStarted(fixture.machine('m-1'), `req-1/${index}`);
    },
    sound: (fixture) => {
      fixture.submit({ spread: true, tasks: 4 });
      for (const index of [0, 1]) fixture.checker.taskStarted(fixture.machine('m-1'), `req-1/${index}`);
      fixture.checker.taskEnded(fixture.machine('m-1'), 'req-1/0', true);
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/2');
    },
  },
  {
    rule: 'ran_cancelled',
    name: 'a task stays after its job was cancelled',
    broken: async (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.cancelRequested('req-1');
      fixture.answer('cancel', 200, 'cancelled');
      await fixture.queue.run(31_000);
    },
    sound: async (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.cancelRequested('req-1');
      fixture.answer('cancel', 200, 'cancelled');
      await fixture.queue.run(29_000);
      fixture.checker.taskEnded(fixture.machine('m-1'), 'req-1/0', false);
      await fixture.queue.run(31_000);
    },
  },
  {
    rule: 'ran_cancelled',
    name: 'a task starts long after its job was cancelled',
    broken: async (fixture) => {
      fixture.submit();
      fixture.checker.cancelRequested('req-1');
      fixture.answer('cancel', 200, 'cancelled');
      await fixture.queue.run(31_000);
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
    },
  },
  {
    rule: 'nothing_ran',
    name: 'no task is started at all',
    broken: (fixture) => {
      fixture.submit();
      fixture.answer('submit', 201, 'pending');
      fixture.checker.finish();
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.answer('submit', 201, 'pending');
      fixture.checker.taskStarted(fixture.machine('m-1'), 'req-1/0');
      fixture.checker.finish();
    },
  },
  {
    rule: 'gang_rejoined',
    name: 'a task joins an attempt of its gang that had started',
    broken: (fixture) => {
      fixture.submit({ shape: 'gang' });
      fixture.checker.gangStarted('req-1');
      fixture.checker.gangRejoined('req-1', 'req-1/0');
    },
    sound: (fixture) => {
      fixture.submit({ shape: 'gang' });
      fixture.checker.gangStarted('req-1');
    },
  },
];
