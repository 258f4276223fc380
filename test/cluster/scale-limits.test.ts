/** Limits that large or long-running deployments reach: attempts of one fencing token, pages of a long machine list. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient } from '../../src/cloud/client.js';
import type { Call, CallOutcome } from '../../src/http/client.js';
import { Shard } from '../../src/shards/model.js';
import { parseSettings } from '../../src/settings/settings.js';
import type { FencingToken } from '../../src/model/units.js';
import { SimulatedClock } from '../support/simulated-clock.js';
import { settingsText } from '../support/simulated-cluster.js';

const ATTEMPTS_PER_TOKEN = 2 ** 20;

test('attempt numbers of one fencing token stay below those of the next, and a new token is requested in time', () => {
  const shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, new Map());
  let last = 0;
  for (let i = 0; i < ATTEMPTS_PER_TOKEN * 0.7; i += 1) last = shard.tokens.nextAttempt();
  assert.equal(shard.tokens.needsNewRange, false);
  for (let i = 0; i < ATTEMPTS_PER_TOKEN * 0.1; i += 1) last = shard.tokens.nextAttempt();
  assert.equal(shard.tokens.needsNewRange, true);
  assert.throws(() => {
    for (;;) last = shard.tokens.nextAttempt();
  }, /used all attempts/);
  assert.ok(last < 8 * ATTEMPTS_PER_TOKEN, 'no attempt belongs to another token');
  shard.tokens.adopt(9 as FencingToken);
  assert.equal(shard.tokens.needsNewRange, false);
  const next = shard.tokens.nextAttempt();
  assert.ok(next > last);
  assert.ok(shard.tokens.issuedAttempt(next));
});

/** Returns a page of the cloud's list of machines. */
const machinePage = (firstNumber: number, count: number): object[] =>
  Array.from({ length: count }, (_, i) => ({
    uid: `m-${String(firstNumber + i).padStart(6, '0')}`,
    endpoint: '10.1.0.1:9000',
    hull: 't',
    harbor: 'east',
    driftboats: false,
    status: 'running',
    ageS: 1,
  }));

test('a list of 4,000 machines is read to its end, also when some of its pages are refused', async () => {
  const clock = new SimulatedClock();
  const settings = parseSettings(settingsText(0), 'n0.toml');
  let calls = 0;
  const http = {
    call: ({ path }: Call): Promise<CallOutcome> => {
      calls += 1;
      if (calls % 3 === 2) return Promise.resolve({ kind: 'answer', status: 429, body: {} });
      const after = /from=m-0*(\d+)/.exec(path);
      const firstNumber = after ? Number(after[1]) + 1 : 0;
      const body = { berths: machinePage(firstNumber, 500), hasNext: firstNumber + 500 < 4000 };
      return Promise.resolve({ kind: 'answer', status: 200, body });
    },
  };
  const cloud = new CloudClient(http, clock, settings);
  let listedCount: number | null = null;
  void cloud.listMachines().then((machines) => (listedCount = new Set(machines?.map((m) => m.id)).size));
  for (let ms = 0; ms < 60_000 && listedCount === null; ms += 100) await clock.advance(100);
  assert.equal(listedCount, 4000);
});
