/** Shares of the store's rate limits: borrowing, absent controllers, and lower limits that come into force. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../../src/model/units.js';
import { parseSettings, type Settings } from '../../src/settings/settings.js';
import { RequestPriority, type RateLimiter } from '../../src/store/rate-limiter.js';
import { StoreRateLimits } from '../../src/store/rate-limits.js';
import { SimulatedClock } from '../support/simulated-clock.js';
import { settingsText } from '../support/simulated-cluster.js';

/** The limits per second of this test; the other settings are irrelevant. */
const settings: Settings = {
  ...parseSettings(settingsText(0), 'n0.toml'),
  storeRps: 300,
  storeWriteRps: 90,
  nextStoreRps: 150,
  nextStoreWriteRps: 45,
};

/** Measures the requests per second that a limiter admits over ten seconds, without its initial burst. */
async function admittedPerSecond(limiter: RateLimiter, clock: SimulatedClock): Promise<number> {
  const seconds = 10;
  let admitted = 0;
  for (let ms = 0; ms < (seconds + 1) * 1000; ms += 10) {
    const isWarmUp = ms < 1000;
    for (let i = 0; i < 5; i += 1) {
      void limiter
        .acquire(1, RequestPriority.leadership, millis(20))
        .then((ok) => (admitted += ok && !isWarmUp ? 1 : 0));
    }
    await clock.advance(10);
  }
  return admitted / seconds;
}

const assertNear = (actual: number, expected: number): void =>
  assert.ok(
    Math.abs(actual - expected) <= expected * 0.05,
    `${actual} per second, expected about ${expected}`,
  );

test('each of three controllers has a third of 90 % of a limit', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  assert.equal(limits.requestRate, 90);
  assert.equal(limits.writeRate, 27);
  assertNear(await admittedPerSecond(limits.requests, clock), 90);
});

test('the unused shares of peers are borrowed, up to half of the limit', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  limits.borrowUnused([{ requests: 0, writes: 0 }]);
  assert.equal(limits.requestRate, 90, 'the controller keeps its own share');
  assertNear(await admittedPerSecond(limits.requests, clock), 150);
  limits.borrowUnused([
    { requests: 100, writes: 0 },
    { requests: 25, writes: 0 },
  ]);
  assertNear(await admittedPerSecond(limits.requests, clock), 270 - 1.2 * 125);
  limits.borrowUnused([{ requests: 300, writes: 0 }]);
  assertNear(await admittedPerSecond(limits.requests, clock), 90);
});

test('the shares of absent controllers are divided among the others', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  limits.setControllerCount(2);
  assert.equal(limits.requestRate, 135);
  assertNear(await admittedPerSecond(limits.requests, clock), 135);
});

test('three rejections in short succession show that the lower limits are in force', async () => {
  const clock = new SimulatedClock();
  const limits = new StoreRateLimits(clock, settings);
  for (const intervalMs of [2900, 3000, 2900, 2900]) {
    limits.recordRejection(limits.requests);
    await clock.advance(intervalMs);
  }
  assert.equal(limits.requestRate, 90, 'the interval between the second and the third is too long');
  limits.recordRejection(limits.requests);
  assert.equal(limits.requestRate, 45);
  assert.equal(limits.writeRate, 13.5);
});
