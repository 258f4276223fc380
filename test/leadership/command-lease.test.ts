import assert from 'node:assert/strict';
import { test } from 'node:test';
import { commandLeaseDuration, workerLeaseDuration } from '../../src/leadership/command-lease.js';
import { seconds } from '../../src/model/units.js';

const MAX_CLOCK_DRIFT = 0.0005;
const SETTINGS = [
  { leaseS: seconds(12), cancelS: seconds(32) },
  { leaseS: seconds(5), cancelS: seconds(30) },
  { leaseS: seconds(30), cancelS: seconds(120) },
];

test('a lease renewed at the end of the command lease ends within the cancel time on the slowest clocks', () => {
  for (const settings of SETTINGS) {
    const slowestCommandLeaseMs = commandLeaseDuration(settings) * (1 + MAX_CLOCK_DRIFT);
    const slowestLeaseMs = settings.leaseS * 1000 * (1 + MAX_CLOCK_DRIFT);
    assert.ok(slowestCommandLeaseMs + slowestLeaseMs < settings.cancelS * 1000, JSON.stringify(settings));
  }
});

test('a worker that runs for its whole lease on the slowest clock still counts as running', () => {
  for (const settings of SETTINGS) {
    const slowestLeaseMs = (settings.leaseS * 1000 * (1 + MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT);
    assert.ok(workerLeaseDuration(settings) > slowestLeaseMs, JSON.stringify(settings));
  }
});

test('the margins are subtracted from the command lease and added to the worker lease', () => {
  assert.equal(commandLeaseDuration({ leaseS: seconds(12), cancelS: seconds(32) }), 20_000 - 1000 - 32);
  assert.equal(workerLeaseDuration({ leaseS: seconds(12) }), 12_000 * 1.001 + 500);
});
