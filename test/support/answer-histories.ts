/** Histories of answers and waiting jobs that violate a rule, each with a similar history that does not. */
import type { UserJob } from '../../src/simulation/user-jobs.js';
import type { CheckerFixture, HistoryPair } from './checker-fixture.js';

/** For each rule about answers and waiting jobs: a history that violates it, and its sound counterpart. */
export const ANSWER_HISTORIES: readonly HistoryPair[] = [
  {
    rule: 'forgotten',
    name: 'an accepted job gets 404',
    broken: (fixture) => {
      fixture.submit();
      fixture.answer('submit', 201, 'pending');
      fixture.answer('ask', 404, null);
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.answer('ask', 404, null);
      fixture.answer('submit', 201, 'pending');
    },
  },
  {
    rule: 'forgotten',
    name: 'an accepted job is refused when it is submitted again',
    broken: (fixture) => {
      fixture.submit();
      fixture.answer('submit', 201, 'pending');
      fixture.answer('submit', 422, null);
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.answer('submit', 422, null);
    },
  },
  {
    rule: 'forgotten',
    name: 'every status request for a job fails for 90 s while others are answered',
    broken: (fixture) => pollTwoJobs(fixture, () => null),
    sound: (fixture) => pollTwoJobs(fixture, (at) => (at === 60_000 ? 200 : null)),
  },
  {
    rule: 'forgotten',
    name: 'no status request is answered for 75 s after all faults',
    broken: (fixture) => pollWithoutAnswers(fixture, 80_000),
    sound: (fixture) => pollWithoutAnswers(fixture, 70_000),
  },
  {
    rule: 'invented',
    name: 'a status request for a job that nobody submitted gets 200',
    broken: (fixture) => fixture.answer('ask', 200, 'running'),
    sound: (fixture) => fixture.answer('ask', 404, null),
  },
  {
    rule: 'not_done',
    name: 'a job is called done before its last task',
    broken: (fixture) => {
      fixture.submit();
      completeTasks(fixture, 1);
      fixture.answer('ask', 200, 'done');
    },
    sound: (fixture) => {
      fixture.submit();
      completeTasks(fixture, 2);
      fixture.answer('ask', 200, 'done');
    },
  },
  {
    rule: 'went_back',
    name: 'a job called done is later called running',
    broken: async (fixture) => {
      fixture.submit();
      completeTasks(fixture, 2);
      fixture.answer('ask', 200, 'done');
      await fixture.queue.run(10);
      fixture.answer('ask', 200, 'running');
    },
    sound: async (fixture) => {
      fixture.submit();
      completeTasks(fixture, 2);
      await fixture.queue.run(10);
      fixture.answer('ask', 200, 'done');
      // Sent before the previous answer arrived, so the answer may report the earlier state.
      fixture.answer('ask', 200, 'running', { sentAt: 5 });
    },
  },
  {
    rule: 'went_back',
    name: 'a job that nobody cancelled is called cancelled',
    broken: (fixture) => {
      fixture.submit();
      fixture.answer('ask', 200, 'cancelled');
    },
    sound: (fixture) => {
      fixture.submit();
      fixture.checker.cancelRequested('req-1');
      fixture.answer('ask', 200, 'cancelled');
    },
  },
  {
    rule: 'left_waiting',
    name: 'a job waits while there is room',
    broken: (fixture) => waitWithFreeCapacity(fixture, 2),
    sound: (fixture) => waitWithFreeCapacity(fixture, 1),
  },
  {
    rule: 'left_waiting',
    name: 'a gang waits while there is room for all of it',
    broken: (fixture) => waitWithFreeCapacity(fixture, 4, { shape: 'gang', tasks: 2 }),
    sound: (fixture) => waitWithFreeCapacity(fixture, 3, { shape: 'gang', tasks: 2 }),
  },
  {
    rule: 'left_waiting',
    name: 'a gang gathers and never runs though there is room for all of it',
    broken: (fixture) => gatherWithFreeCapacity(fixture, false),
    sound: (fixture) => gatherWithFreeCapacity(fixture, true),
  },
];

function completeTasks(fixture: CheckerFixture, tasks: number): void {
  for (let i = 0; i < tasks; i += 1) {
    fixture.checker.taskStarted(fixture.machine('m-1'), `req-1/${i}`);
    fixture.checker.taskEnded(fixture.machine('m-1'), `req-1/${i}`, true);
  }
}

async function pollTwoJobs(fixture: CheckerFixture, status: (at: number) => number | null): Promise<void> {
  fixture.submit();
  fixture.submit({ id: 'req-2' });
  fixture.answer('submit', 201, 'pending');
  for (let at = 5000; at <= 110_000; at += 5000) {
    await fixture.queue.run(at);
    fixture.answer('ask', status(at), status(at) === null ? null : 'pending');
    fixture.answer('ask', 200, 'pending', { job: 'req-2' });
    fixture.answer('ask', 200, 'pending', { job: 'req-2' });
  }
}

async function pollWithoutAnswers(fixture: CheckerFixture, until: number): Promise<void> {
  fixture.submit();
  fixture.answer('submit', 201, 'pending');
  fixture.checker.setFaultsOver(true);
  fixture.answer('ask', null, null);
  await fixture.queue.run(until);
}

/** A job waits while a machine has `cpus` free CPUs; each task needs two. */
async function waitWithFreeCapacity(
  fixture: CheckerFixture,
  cpus: number,
  job: Partial<UserJob> = {},
): Promise<void> {
  fixture.submit(job);
  fixture.answer('submit', 201, 'pending');
  fixture.checker.setFaultsOver(true);
  fixture.machines = [
    { spec: fixture.machine('m-1'), free: { cpus, gpus: 0, memoryGb: 8 }, occupyingTasks: [] },
  ];
  await fixture.queue.run(100_000);
}

/** One of a gang's two tasks is on a machine, which has room for the other. */
async function gatherWithFreeCapacity(fixture: CheckerFixture, runs: boolean): Promise<void> {
  fixture.submit({ shape: 'gang' });
  fixture.answer('submit', 201, 'pending');
  fixture.checker.setFaultsOver(true);
  const machine = fixture.machine('m-1');
  fixture.checker.taskStarted(machine, 'req-1/0');
  if (runs) fixture.checker.gangStarted('req-1');
  fixture.machines = [
    { spec: machine, free: { cpus: 2, gpus: 0, memoryGb: 8 }, occupyingTasks: ['req-1/0'] },
  ];
  await fixture.queue.run(100_000);
}
