/** Each row of the decision table of `decideGang`, and states that are easily confused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideGang, newGangHistory, type GangDecisionInput, type GangMember } from '../../src/model/gang.js';
import { millis, type Attempt, type SteadyMs } from '../../src/model/units.js';

const NOW = 100_000 as SteadyMs;
const FIRST_OWN_ATTEMPT = 1000;

const member = (changes: Partial<Record<keyof GangMember, unknown>> = {}): GangMember =>
  ({
    attempt: FIRST_OWN_ATTEMPT,
    phase: 'gathering',
    stop: null,
    waitingForGangSince: NOW - 1000,
    ...changes,
  }) as GangMember;

function decide(members: GangMember[], facts: Partial<GangDecisionInput> = {}): string {
  const { state, action } = decideGang({
    now: NOW,
    hasMissingTasks: false,
    members,
    history: newGangHistory(),
    isFinished: false,
    hasUnaccountedTasks: false,
    isIssuedByThisLeader: (attempt) => attempt >= FIRST_OWN_ATTEMPT,
    gangWaitTimeout: millis(20_000),
    ...facts,
  });
  if (action.kind === 'stop') return `${state}: stop (${action.grace} s) ${action.reason}`;
  if (action.kind === 'replace') return `${state}: replace under ${action.attempt}`;
  return `${state}: ${action.kind}`;
}

const history = (options: {
  started?: number;
  failed?: number;
  mayHaveStarted?: boolean;
}): GangDecisionInput['history'] => ({
  ...newGangHistory(),
  lastStartedAttempt: (options.started ?? null) as Attempt | null,
  lastFailedAttempt: (options.failed ?? null) as Attempt | null,
  mayHaveStarted: options.mayHaveStarted ?? false,
});

test('a gang without a task on a machine starts all its tasks, once all of them are reconciled', () => {
  assert.equal(decide([], { hasMissingTasks: true }), 'waiting: start');
  assert.equal(decide([], { hasMissingTasks: true, hasUnaccountedTasks: true }), 'waiting: wait');
});

test('before a gang has started, missing tasks are replaced under the same attempt', () => {
  assert.equal(decide([member(), member({ phase: 'ordered' })]), 'gathering: wait');
  assert.equal(decide([member()], { hasMissingTasks: true }), 'gathering: replace under 1000');
  assert.equal(
    decide([member({ stop: { grace: 0 } }), member()], { hasMissingTasks: true }),
    'gathering: replace under 1000',
    'a task whose machine will be interrupted stops without the others',
  );
  assert.equal(decide([member()], { hasMissingTasks: true, hasUnaccountedTasks: true }), 'gathering: wait');
});

test('an attempt whose remaining tasks are all being stopped is not completed', () => {
  const stoppingMember = member({ stop: { grace: 0 } });
  assert.equal(decide([stoppingMember], { hasMissingTasks: true }), 'stopping: wait');
  assert.equal(decide([stoppingMember, stoppingMember]), 'stopping: wait');
});

test('missing tasks are not replaced while the others may have started to run unnoticed', () => {
  const startUnnoticed = history({ mayHaveStarted: true });
  assert.equal(decide([member()], { hasMissingTasks: true, history: startUnnoticed }), 'gathering: wait');
  assert.equal(
    decide([], { hasMissingTasks: true, history: startUnnoticed }),
    'waiting: start',
    'a new attempt',
  );
});

test('an attempt that can no longer be completed is stopped', () => {
  assert.equal(
    decide([member({ attempt: 7 })], { hasMissingTasks: true }),
    'stopping: stop (0 s) incomplete after a failover',
  );
  assert.equal(
    decide([member(), member({ attempt: 1001 })]),
    'stopping: stop (0 s) attempts differ',
    'tasks of different attempts',
  );
  assert.equal(
    decide([member()], { hasMissingTasks: true, history: history({ failed: FIRST_OWN_ATTEMPT }) }),
    'stopping: stop (0 s) a task gave up waiting',
  );
  assert.equal(
    decide([
      member({ waitingForGangSince: NOW - 14_001 }),
      member({ phase: 'fetching', waitingForGangSince: null }),
    ]),
    'stopping: stop (0 s) not complete in time',
  );
  assert.equal(
    decide([
      member({ waitingForGangSince: NOW - 13_999 }),
      member({ phase: 'fetching', waitingForGangSince: null }),
    ]),
    'gathering: wait',
  );
  assert.equal(
    decide([member()], { hasMissingTasks: true, history: history({ failed: 999 }) }),
    'gathering: replace under 1000',
    'the outcome of an earlier attempt is irrelevant',
  );
});

test('missing tasks of a gang that has started are not replaced: it starts again once the others are gone', () => {
  const running = member({ phase: 'running', waitingForGangSince: NOW - 50_000 });
  assert.equal(decide([running, running]), 'running: wait');
  assert.equal(decide([running, member()]), 'running: wait', 'it has just started');
  assert.equal(decide([running], { hasMissingTasks: true }), 'stopping: stop (0 s) a task of it is gone');
  assert.equal(decide([running], { hasMissingTasks: true, hasUnaccountedTasks: true }), 'running: wait');
  assert.equal(
    decide([member()], { hasMissingTasks: true, history: history({ started: FIRST_OWN_ATTEMPT }) }),
    'stopping: stop (0 s) a task of it is gone',
    'another task has lost its peers, so the attempt had started',
  );
});

test('a graceful stop of one task stops all tasks, with the same grace period', () => {
  const saving = member({ phase: 'saving', stop: { grace: 4 } });
  const running = member({ phase: 'running' });
  assert.equal(decide([running, saving]), 'stopping: stop (4 s) one of its tasks is stopped');
  assert.equal(decide([saving, saving]), 'stopping: wait');
  assert.equal(
    decide([saving], { hasMissingTasks: true }),
    'stopping: wait',
    'the end of the first task to save must not end the others',
  );
});

test('a gang whose result is known is neither stopped nor started', () => {
  assert.equal(
    decide([member({ phase: 'running' })], { isFinished: true, hasMissingTasks: true }),
    'done: wait',
  );
  assert.equal(decide([], { isFinished: true }), 'done: wait');
});
