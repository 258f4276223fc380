import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis, steady, type ControllerId, type Incarnation } from '../../src/model/units.js';
import { PeerDirectory, type PeerStatus } from '../../src/peers/peer-directory.js';

const peer = (name: string): ControllerId => name as ControllerId;

const statusAt = (time: number): PeerStatus => ({
  lastAnnouncementAt: steady(time),
  incarnation: 'first' as Incarnation,
  storeHealthy: true,
  storeUsage: { requests: 1, writes: 1 },
  runningTasks: new Map(),
  redirectedHeartbeats: new Map(),
});

test('a peer is recent while the age of its last announcement is less than the given time', () => {
  const directory = new PeerDirectory();
  directory.set(peer('n1'), statusAt(1000));
  const isRecent = (now: number): boolean =>
    directory.hasAnnouncedWithin(peer('n1'), millis(500), steady(now));
  assert.deepEqual([isRecent(1000), isRecent(1499), isRecent(1500)], [true, true, false]);
});

test('a peer that has sent no announcement is not recent', () => {
  assert.equal(new PeerDirectory().hasAnnouncedWithin(peer('n1'), millis(1e9), steady(0)), false);
});

test('only peers with a recent announcement are listed, each with its latest status', () => {
  const directory = new PeerDirectory();
  directory.set(peer('n1'), statusAt(1000));
  directory.set(peer('n2'), statusAt(1000));
  directory.set(peer('n2'), statusAt(2000));
  assert.deepEqual(directory.peersAnnouncedWithin(millis(500), steady(2100)), [statusAt(2000)]);
  assert.equal([...directory.values()].length, 2);
});
