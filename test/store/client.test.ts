/** The store's client: what each answer lets a caller conclude, and retries after 429. */
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

const answer = (status: number, body: unknown = {}): CallOutcome => ({ kind: 'answer', status, body });
const UNSENT: CallOutcome = { kind: 'unsent' };
const UNKNOWN: CallOutcome = { kind: 'unknown' };

/** A client whose transport answers with these outcomes in turn, and then with the last one again. */
function clientAnswering(...outcomes: CallOutcome[]): {
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

/** The value of a promise that needs at most a second of the clock. */
async function settle<T>(clock: SimulatedClock, promise: Promise<T>): Promise<T> {
  await clock.advance(1000);
  await flushPromises();
  return promise;
}

test('a compare-and-swap is certain only where the store says so', async () => {
  const cases: [CallOutcome, unknown][] = [
    [answer(200, { ledger: 9 }), { kind: 'done', revision: 9 }],
    [answer(200, 'unreadable'), { kind: 'unknown' }],
    [answer(409, { failed: [KEY] }), { kind: 'conflict', failed: [KEY] }],
    [answer(409, 'unreadable'), { kind: 'unknown' }],
    [answer(400), { kind: 'refused' }],
    [answer(429), { kind: 'refused' }],
    [answer(503), { kind: 'refused' }],
    [answer(500), { kind: 'unknown' }],
    [answer(404), { kind: 'unknown' }],
    [UNSENT, { kind: 'refused' }],
    [UNKNOWN, { kind: 'unknown' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientAnswering(outcome);
    const result = await settle(clock, client.compareAndSwap([], [], PRIORITY));
    assert.deepEqual(result, expected, JSON.stringify(outcome));
  }
});

test('a key is absent only when the store itself says so, with its revision', async () => {
  const entry = { path: KEY, data: 1, entry: 3 };
  const cases: [CallOutcome, unknown][] = [
    [answer(200, entry), { kind: 'found', entry: { key: KEY, value: 1, version: 3 } }],
    [answer(200, { ...entry, path: 'c/live/req-2' }), { kind: 'failed' }],
    [answer(404, { ledger: 9 }), { kind: 'absent' }],
    [answer(404, { error: 'not found' }), { kind: 'failed' }],
    [answer(503), { kind: 'failed' }],
    [UNSENT, { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientAnswering(outcome);
    assert.deepEqual(await settle(clock, client.get(KEY, PRIORITY)), expected, JSON.stringify(outcome));
  }
});

test('a watch tells compacted changes from a failure', async () => {
  const news = [
    { put: KEY, data: 2, entry: 9 },
    { drop: KEY, entry: 8 },
  ];
  const events = [
    { key: KEY, value: undefined, version: 8 },
    { key: KEY, value: 2, version: 9 },
  ];
  const cases: [CallOutcome, unknown][] = [
    [answer(200, { ledger: 9, news }), { kind: 'watched', events, revision: 9 }],
    [answer(200, { ledger: 9, news: [{ entry: 9 }] }), { kind: 'failed' }],
    [answer(410), { kind: 'compacted' }],
    [answer(429), { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of cases) {
    const { client, clock } = clientAnswering(outcome);
    const result = await settle(clock, client.watch('c/', 7 as Revision, millis(0)));
    assert.deepEqual(result, expected, JSON.stringify(outcome));
  }
});

test('a lease is expired only when the store does not know it', async () => {
  const renewals: [CallOutcome, unknown][] = [
    [answer(200), { kind: 'renewed' }],
    [answer(404), { kind: 'expired' }],
    [answer(503), { kind: 'failed' }],
    [UNSENT, { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of renewals) {
    const { client, clock } = clientAnswering(outcome);
    assert.deepEqual(await settle(clock, client.renewLease(LEASE)), expected, JSON.stringify(outcome));
  }
  const grants: [CallOutcome, unknown][] = [
    [answer(200, { mooring: 7 }), { kind: 'granted', lease: 7 }],
    [answer(200, {}), { kind: 'failed' }],
    [answer(503), { kind: 'failed' }],
    [UNKNOWN, { kind: 'failed' }],
  ];
  for (const [outcome, expected] of grants) {
    const { client, clock } = clientAnswering(outcome);
    assert.deepEqual(await settle(clock, client.grantLease(millis(5000))), expected, JSON.stringify(outcome));
  }
});

test('a request refused for the rate limit is sent again, after a pause', async () => {
  const { client, clock, calls } = clientAnswering(answer(429), answer(200, { ledger: 9 }));
  const result = client.compareAndSwap([], [], PRIORITY);
  await flushPromises();
  assert.equal(calls.length, 1);
  assert.deepEqual(await settle(clock, result), { kind: 'done', revision: 9 });
  assert.equal(calls.length, 2);
  assert.deepEqual(calls[1], calls[0]);
});

test('a request that may have been carried out is not sent again', async () => {
  for (const outcome of [UNKNOWN, UNSENT, answer(503), answer(500)]) {
    const { client, clock, calls } = clientAnswering(outcome);
    await settle(clock, client.compareAndSwap([], [], PRIORITY));
    assert.equal(calls.length, 1, JSON.stringify(outcome));
  }
});

test('a failed page fails the whole list', async () => {
  const page = { entries: [{ path: KEY, data: 1, entry: 3 }], hasNext: true, ledger: 10 };
  const { client, clock, calls } = clientAnswering(answer(200, page), answer(503));
  assert.deepEqual(await settle(clock, client.list('c/')), { kind: 'failed' });
  assert.equal(calls.length, 2);
});
