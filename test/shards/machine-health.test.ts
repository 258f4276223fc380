/** Which machines may be given new tasks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { steady } from '../../src/model/units.js';
import { isSchedulable } from '../../src/shards/machine-health.js';
import type { Machine } from '../../src/shards/model.js';
import { addMachineTo, buildShard } from '../support/shard-builder.js';

const NOW = steady(100_000);
const HEARTBEAT_INTERVAL_MS = 1500;

function isSchedulableWith(changes: Partial<Machine>): boolean {
  const machine = addMachineTo(buildShard(), 'm-0');
  Object.assign(machine, { lastMessageAt: steady(NOW - 100), ...changes });
  return isSchedulable(machine, { now: NOW, heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS });
}

test('a reconciled machine that sends heartbeats and can be reached is schedulable', () => {
  assert.equal(isSchedulableWith({}), true);
});

test('a machine is not schedulable before its first message, or while it cannot be reached', () => {
  assert.equal(isSchedulableWith({ lastMessageAt: null }), false);
  assert.equal(isSchedulableWith({ unreachableSince: NOW }), false);
});

test('a machine that may hold tasks of an earlier leader is not schedulable', () => {
  assert.equal(isSchedulableWith({ reconciled: false }), false);
});

test('a machine that is draining, is being scaled in or will be interrupted is not schedulable', () => {
  assert.equal(isSchedulableWith({ draining: true }), false);
  assert.equal(isSchedulableWith({ scalingIn: true }), false);
  assert.equal(isSchedulableWith({ interruptedAt: steady(NOW + 60_000) }), false);
});

test('a machine is schedulable again at the end of its quarantine', () => {
  assert.equal(isSchedulableWith({ quarantinedUntil: steady(NOW + 1) }), false);
  assert.equal(isSchedulableWith({ quarantinedUntil: NOW }), true);
});

test('a machine counts as silent two heartbeat intervals and one second after its last message', () => {
  assert.equal(isSchedulableWith({ lastMessageAt: steady(NOW - 3999) }), true);
  assert.equal(isSchedulableWith({ lastMessageAt: steady(NOW - 4000) }), false);
});
