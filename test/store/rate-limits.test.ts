/** The shares of the store's rate limits: borrowing, absent controllers, and lower limits that come into force. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../../src/model/units.js';
import { parseSettings, type Settings } from '../../src/settings/settings.js';
import { RequestPriority, type RateLimiter } from '../../src/store/rate-limiter.js';
import { StoreRateLimits } from '../../src/store/rate-limits.js';
import { SimulatedClock } from '../support/simulated-clock.js';
import { settingsText } from '../support/simulated-cluster.js';

/** The limits of this test, a second; the other settings do not matter here. */
const settings: Settings = {
  ...parseSettings(settingsText(0), 'n0.toml'),
  storeRps: 300,
  storeWriteRps: 90,
  nextStoreRps: 150,
  nextStoreWriteRps: 45,
};

/** How many requests a second a limiter grants over ten seconds, its first burst aside. */
async function grantedPerSecond(limiter: RateLimiter, clock: SimulatedClock): Promise<number> {
  const seconds = 10;
  let granted = 0;
  for (let ms = 0; ms < (seconds + 1) * 1000; ms += 10) {
    const beforeMeasuring = ms < 1000;
    for (let i = 0; i < 5; i += 1) {
      void limiter
        .acquire(1, RequestPriority.leadership, millis(20))
        .then((ok) => (granted += ok && !beforeMeasuring ? 1 : 0));
    }
    await clock.advance(10);
  }
  return granted / seconds;
}

const assertNear = (actual: number, expected: number): void =>
  assert.ok(Math.abs(actual - expected) <= expected * 0.05, `${actual} a second, not about ${expected}`);

test('each of three controllers has a third of nine tenths of a limit', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  assert.equal(limits.requestRate, 90);
  assert.equal(limits.writeRate, 27);
  assertNear(await grantedPerSecond(limits.requests, clock), 90);
});

test('what peers leave of a limit is borrowed, up to half of it', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  limits.borrowUnused([{ requests: 0, writes: 0 }]);
  assert.equal(limits.requestRate, 90, 'the own share stays');
  assertNear(await grantedPerSecond(limits.requests, clock), 150);
  limits.borrowUnused([
    { requests: 100, writes: 0 },
    { requests: 25, writes: 0 },
  ]);
  assertNear(await grantedPerSecond(limits.requests, clock), 270 - 1.2 * 125);
  limits.borrowUnused([{ requests: 300, writes: 0 }]);
  assertNear(await grantedPerSecond(limits.requests, clock), 90);
});

test('the shares of absent controllers go to the others', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  limits.setControllerCount(2);
  assert.equal(limits.requestRate, 135);
  assertNear(await grantedPerSecond(limits.requests, clock), 135);
});

test('three refusals, each soon after the one before, show that the lower limits are in force', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  for (const pause of [2900, 3000, 2900, 2900]) {
    limits.recordRefusal(limits.requests);
    await clock.advance(pause);
  }
  assert.equal(limits.requestRate, 90, 'the second and third are too far apart');
  limits.recordRefusal(limits.requests);
  assert.equal(limits.requestRate, 45);
  assert.equal(limits.writeRate, 13.5);
});
