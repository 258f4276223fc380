import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis, steady, type ControllerId, type Incarnation } from '../../src/model/units.js';
import { PeerDirectory, type PeerStatus } from '../../src/peers/peer-directory.js';

const peer = (name: string): ControllerId => name as ControllerId;

const heardAt = (time: number): PeerStatus => ({
  heardAt: steady(time),
  incarnation: 'first' as Incarnation,
  storeHealthy: true,
  storeUsage: { requests: 1, writes: 1 },
  runningTasks: new Map(),
  redirectedHeartbeats: new Map(),
});

test('a peer is heard within a time that is longer than the age of its last announcement', () => {
  const directory = new PeerDirectory();
  directory.set(peer('n1'), heardAt(1000));
  const heard = (now: number): boolean => directory.heardWithin(peer('n1'), millis(500), steady(now));
  assert.deepEqual([heard(1000), heard(1499), heard(1500)], [true, true, false]);
});

test('a peer that never announced anything is not heard', () => {
  assert.equal(new PeerDirectory().heardWithin(peer('n1'), millis(1e9), steady(0)), false);
});

test('only the peers heard recently are listed, each with its last status', () => {
  const directory = new PeerDirectory();
  directory.set(peer('n1'), heardAt(1000));
  directory.set(peer('n2'), heardAt(1000));
  directory.set(peer('n2'), heardAt(2000));
  assert.deepEqual(directory.allHeardWithin(millis(500), steady(2100)), [heardAt(2000)]);
  assert.equal([...directory.values()].length, 2);
});
