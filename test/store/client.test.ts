/** The store client: the outcome that it reports for each response, and retries after 429. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { LeaseId, Revision, StoreKey } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';
import { parseSettings } from '../../src/settings/settings.js';
import { KeyValueClient } from '../../src/store/client.js';
import { RequestPriority } from '../../src/store/rate-limiter.js';
import { flushPromises, SimulatedClock } from '../support/simulated-clock.js';
import { settingsText } from '../support/simulated-cluster.js';

const KEY = 'c/live/req-1' as StoreKey;
const LEASE = 7 as LeaseId;
const PRIORITY = RequestPriority.submission;

const response = (status: number, body: unknown = {}): CallOutcome => ({ kind: 'answer', status, body });
const UNSENT: CallOutcome = { kind: 'unsent' };
const UNKNOWN: CallOutcome = { kind: 'unknown' };

/** Creates a client whose transport returns these outcomes in turn and then repeats the last one. */
function clientWithOutcomes(...outcomes: CallOutcome[]): {
  client: KeyValueClient;
  clock: SimulatedClock;
  calls: Call[];
} {
  const clock = new SimulatedClock();
  const calls: Call[] = [];
  const transport = {
    call: (call: Call) => {
      const outcome = outcomes[Math.min(calls.length, outcomes.length - 1)] ?? UNKNOWN;
      calls.push(call);
      return Promise.resolve(outcome);
    },
  };
  const settings = parseSettings(settingsText(0), 'n0.toml');
  return { client: new KeyValueClient(transport, transport, clock, settings, () => 0.5), clock, calls };
}

/** Advances the clock by a second, which is enough for the promise to resolve, and returns its value. */
async function resultWithinSecond<T>(clock: SimulatedClock, promise: Promise<T>): Promise<T> {
  await clock.advance(1000);
  await flushPromises();
  return promise;
}

test('the outcome of a compare-and-swap is certain only if the store states it', async () => {
  const cases: [CallOutcome, unknown][] = [
    [response(200, { ledger: 9 }), { kind: 'done', revision: 9 }],
    [response(200, 'unreadable'), { kind: 'unknown' }],
    [response(409, { failed: [KEY] }), { kind: 'conflict', failed: [KEY] }],
    [response(409, 'unreadable'), { kind: 'unknown' }],
    [response(400), { kind: 'refused' }],
    [response(429), { kind: 'refused' }],
    [response(503), { kind: 'refused' }],
    [response(500), { kind: 'unknown' }],
    [response(404), { kind: 'unknown' }],
    [UNSENT, { kind: 'refused' }],
    [UNKNOWN, { kind: 'unknown' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientWithOutcomes(outcome);
    const result = await resultWithinSecond(clock, client.compareAndSwap([], [], PRIORITY));
    assert.deepEqual(result, expected, JSON.stringify(outcome));
  }
});

test('a key is absent only if the store itself answers so, with its revision', async () => {
  const entry = { path: KEY, data: 1, entry: 3 };
  const cases: [CallOutcome, unknown][] = [
    [response(200, entry), { kind: 'found', entry: { key: KEY, value: 1, version: 3 } }],
    [response(200, { ...entry, path: 'c/live/req-2' }), { kind: 'failed' }],
    [response(404, { ledger: 9 }), { kind: 'absent' }],
    [response(404, { error: 'not found' }), { kind: 'failed' }],
    [response(503), { kind: 'failed' }],
    [UNSENT, { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientWithOutcomes(outcome);
    assert.deepEqual(
      await resultWithinSecond(clock, client.get(KEY, PRIORITY)),
      expected,
      JSON.stringify(outcome),
    );
  }
});

test('a watch distinguishes compacted changes from a failure', async () => {
  const news = [
    { put: KEY, data: 2, entry: 9 },
    { drop: KEY, entry: 8 },
  ];
  const events = [
    { key: KEY, value: undefined, version: 8 },
    { key: KEY, value: 2, version: 9 },
  ];
  const cases: [CallOutcome, unknown][] = [
    [response(200, { ledger: 9, news }), { kind: 'watched', events, revision: 9 }],
    [response(200, { ledger: 9, news: [{ entry: 9 }] }), { kind: 'failed' }],
    [response(410), { kind: 'compacted' }],
    [response(429), { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientWithOutcomes(outcome);
    const result = await resultWithinSecond(clock, client.watch('c/', 7 as Revision, millis(0)));
    assert.deepEqual(result, expected, JSON.stringify(outcome));
  }
});

test('a lease is expired only if the store does not know it', async () => {
  const renewals: [CallOutcome, unknown][] = [
    [response(200), { kind: 'renewed' }],
    [response(404), { kind: 'expired' }],
    [response(503), { kind: 'failed' }],
    [UNSENT, { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of renewals) {
    const { client, clock } = clientWithOutcomes(outcome);
    assert.deepEqual(
      await resultWithinSecond(clock, client.renewLease(LEASE)),
      expected,
      JSON.stringify(outcome),
    );
  }
  const grants: [CallOutcome, unknown][] = [
    [response(200, { mooring: 7 }), { kind: 'granted', lease: 7 }],
    [response(200, {}), { kind: 'failed' }],
    [response(503), { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of grants) {
    const { client, clock } = clientWithOutcomes(outcome);
    assert.deepEqual(
      await resultWithinSecond(clock, client.grantLease(millis(5000))),
      expected,
      JSON.stringify(outcome),
    );
  }
});

test('a rate-limited request is retried after a delay', async () => {
  const { client, clock, calls } = clientWithOutcomes(response(429), response(200, { ledger: 9 }));
  const result = client.compareAndSwap([], [], PRIORITY);
  await flushPromises();
  assert.equal(calls.length, 1);
  assert.deepEqual(await resultWithinSecond(clock, result), { kind: 'done', revision: 9 });
  assert.equal(calls.length, 2);
  assert.deepEqual(calls[1], calls[0]);
});

test('a request that fails for another reason than the rate limit is not retried', async () => {
  for (const outcome of [UNKNOWN, UNSENT, response(503), response(500)]) {
    const { client, clock, calls } = clientWithOutcomes(outcome);
    await resultWithinSecond(clock, client.compareAndSwap([], [], PRIORITY));
    assert.equal(calls.length, 1, JSON.stringify(outcome));
  }
});

test('a failed page fails the whole list', async () => {
  const page = { entries: [{ path: KEY, data: 1, entry: 3 }], hasNext: true, ledger: 10 };
  const { client, clock, calls } = clientWithOutcomes(response(200, page), response(503));
  assert.deepEqual(await resultWithinSecond(clock, client.list('c/')), { kind: 'failed' });
  assert.equal(calls.length, 2);
});
