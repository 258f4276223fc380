/** Each row of the decision table of gangs, and states that must not be confused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideGang, newGangHistory, type GangFacts, type GangMember } from '../../src/model/gang.js';
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

function decide(members: GangMember[], facts: Partial<GangFacts> = {}): string {
  const { state, action } = decideGang({
    now: NOW,
    missing: false,
    members,
    history: newGangHistory(),
    finished: false,
    unaccounted: false,
    issued: (attempt) => attempt >= FIRST_OWN_ATTEMPT,
    waitLimit: millis(20_000),
    ...facts,
  });
  if (action.kind === 'stop') return `${state}: stop (${action.grace} s) ${action.reason}`;
  if (action.kind === 'replace') return `${state}: replace under ${action.attempt}`;
  return `${state}: ${action.kind}`;
}

const history = (o: {
  started?: number;
  failed?: number;
  mayHaveStarted?: boolean;
}): GangFacts['history'] => ({
  ...newGangHistory(),
  started: (o.started ?? null) as Attempt | null,
  failed: (o.failed ?? null) as Attempt | null,
  mayHaveStarted: o.mayHaveStarted ?? false,
});

test('a gang without a task on a machine starts whole, once all of its tasks are reconciled', () => {
  assert.equal(decide([], { missing: true }), 'waiting: start');
  assert.equal(decide([], { missing: true, unaccounted: true }), 'waiting: wait');
});

test('before it has started, what is missing is replaced under the same attempt', () => {
  assert.equal(decide([member(), member({ phase: 'ordered' })]), 'gathering: wait');
  assert.equal(decide([member()], { missing: true }), 'gathering: replace under 1000');
  assert.equal(
    decide([member({ stop: { grace: 0 } }), member()], { missing: true }),
    'gathering: replace under 1000',
    'one whose machine will be taken leaves alone',
  );
  assert.equal(decide([member()], { missing: true, unaccounted: true }), 'gathering: wait');
});

test('an attempt of which all that is left is being stopped is not completed', () => {
  const leaving = member({ stop: { grace: 0 } });
  assert.equal(decide([leaving], { missing: true }), 'stopping: wait');
  assert.equal(decide([leaving, leaving]), 'stopping: wait');
});

test('what is missing is not replaced while the others may have begun to run without being seen', () => {
  const unseen = history({ mayHaveStarted: true });
  assert.equal(decide([member()], { missing: true, history: unseen }), 'gathering: wait');
  assert.equal(decide([], { missing: true, history: unseen }), 'waiting: start', 'a new attempt');
});

test('an attempt that cannot become whole any more is given up', () => {
  assert.equal(
    decide([member({ attempt: 7 })], { missing: true }),
    'stopping: stop (0 s) incomplete after a failover',
  );
  assert.equal(
    decide([member(), member({ attempt: 1001 })]),
    'stopping: stop (0 s) attempts differ',
    'attempts that disagree',
  );
  assert.equal(
    decide([member()], { missing: true, history: history({ failed: FIRST_OWN_ATTEMPT }) }),
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
    decide([member()], { missing: true, history: history({ failed: 999 }) }),
    'gathering: replace under 1000',
    'what became of an earlier attempt says nothing',
  );
});

test('a gang that has started is never completed: it begins anew once the rest is gone', () => {
  const running = member({ phase: 'running', waitingForGangSince: NOW - 50_000 });
  assert.equal(decide([running, running]), 'running: wait');
  assert.equal(decide([running, member()]), 'running: wait', 'it started a moment ago');
  assert.equal(decide([running], { missing: true }), 'stopping: stop (0 s) a task of it is gone');
  assert.equal(decide([running], { missing: true, unaccounted: true }), 'running: wait');
  assert.equal(
    decide([member()], { missing: true, history: history({ started: FIRST_OWN_ATTEMPT }) }),
    'stopping: stop (0 s) a task of it is gone',
    'another task has lost its peers: it had started',
  );
});

test('an orderly stop reaches all tasks, with the grace of the first', () => {
  const saving = member({ phase: 'saving', stop: { grace: 4 } });
  const running = member({ phase: 'running' });
  assert.equal(decide([running, saving]), 'stopping: stop (4 s) one of its tasks is stopped');
  assert.equal(decide([saving, saving]), 'stopping: wait');
  assert.equal(
    decide([saving], { missing: true }),
    'stopping: wait',
    'the first to have saved must not end the others',
  );
});

test('a gang whose result is known is neither stopped nor started', () => {
  assert.equal(decide([member({ phase: 'running' })], { finished: true, missing: true }), 'done: wait');
  assert.equal(decide([], { finished: true }), 'done: wait');
});
