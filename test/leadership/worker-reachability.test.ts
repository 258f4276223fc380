/** When a leader releases a shard because most of its machines are silent. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  findUnreachableMachines,
  type ReachabilityContext,
} from '../../src/leadership/worker-reachability.js';
import type { Peer } from '../../src/settings/settings.js';
import { newMachine, Shard, type Machine } from '../../src/shards/model.js';
import {
  fencingToken,
  revision,
  shardId,
  steady,
  type Address,
  type ControllerId,
  type InstanceTypeId,
  type MachineId,
  type ZoneId,
  NO_REVISION,
} from '../../src/model/units.js';

const SHARD = shardId(0);
const PEER = 'n1' as ControllerId;
const NOW = steady(100_000);
const HEARTBEAT_INTERVAL_MS = 2500;
/** 3.2 heartbeat intervals. */
const SILENCE_LIMIT_MS = 8000;

/** A shard with a machine for each age of its last heartbeat in milliseconds. */
function shardWithHeartbeats(...heartbeatAgesMs: number[]): Shard {
  const shard = new Shard(SHARD, fencingToken(1), revision(1), steady(0), new Map());
  heartbeatAgesMs.forEach((ageMs, i) => {
    const machine = newMachine({
      id: `m-${i}` as MachineId,
      address: `10.0.0.${i}:1` as Address,
      type: 'small' as InstanceTypeId,
      zone: 'east' as ZoneId,
      spot: false,
      addedAt: steady(0),
      reconciled: true,
      registeredVersion: NO_REVISION,
    });
    machine.lastHeartbeatAt = steady(NOW - ageMs);
    shard.addMachine(machine);
  });
  return shard;
}

const machineOf = (shard: Shard, index: number): Machine =>
  shard.machines.get(`m-${index}` as MachineId) ?? assert.fail(`no machine ${index}`);

/** One peer that receives heartbeats of `redirected` machines, and whose announcements arrive or do not. */
function contextWithPeer(redirected: number, announcementsArrive = true): ReachabilityContext {
  return {
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    settings: { peers: [{ node: PEER } as Peer] },
    peers: new Map([[PEER, { redirectedHeartbeats: new Map([[SHARD, redirected]]) }]]),
    hasAnnouncedWithin: (node) => node === PEER && announcementsArrive,
    isAlive: (node) => node === PEER,
  };
}

const SILENT_AGE_MS = SILENCE_LIMIT_MS + 1;

test('a shard is released when two thirds of its machines are silent and a peer receives heartbeats of one of them', () => {
  const context = contextWithPeer(1);
  const silence = findUnreachableMachines(context, shardWithHeartbeats(SILENT_AGE_MS, SILENT_AGE_MS, 0), NOW);
  assert.deepEqual(silence, { expected: 3, silent: 2 });
  assert.equal(
    findUnreachableMachines(context, shardWithHeartbeats(SILENT_AGE_MS, 0), NOW),
    null,
    'only half of the machines are silent',
  );
  assert.equal(
    findUnreachableMachines(context, shardWithHeartbeats(SILENCE_LIMIT_MS, SILENCE_LIMIT_MS), NOW),
    null,
    'the next heartbeat may still arrive in time',
  );
  assert.equal(
    findUnreachableMachines(context, shardWithHeartbeats(SILENT_AGE_MS), NOW),
    null,
    'a single machine proves nothing',
  );
});

test('machines that were just added or are being scaled in are not counted', () => {
  const shard = shardWithHeartbeats(SILENT_AGE_MS, SILENT_AGE_MS, SILENT_AGE_MS);
  machineOf(shard, 0).scalingIn = true;
  assert.deepEqual(findUnreachableMachines(contextWithPeer(1), shard, NOW), { expected: 2, silent: 2 });
  const newShard = shardWithHeartbeats(SILENT_AGE_MS, SILENT_AGE_MS);
  assert.equal(findUnreachableMachines(contextWithPeer(1), newShard, steady(SILENCE_LIMIT_MS)), null);
});

test('a machine whose heartbeats arrive but are refused, because commands do not reach it, is not silent', () => {
  const shard = shardWithHeartbeats(SILENT_AGE_MS, SILENT_AGE_MS);
  machineOf(shard, 0).heartbeatRefusedAt = NOW;
  assert.equal(findUnreachableMachines(contextWithPeer(1), shard, NOW), null);
});

test('a shard whose machines reach no peer either is kept, unless this controller receives no announcements at all', () => {
  const shard = shardWithHeartbeats(SILENT_AGE_MS, SILENT_AGE_MS);
  assert.equal(findUnreachableMachines(contextWithPeer(0), shard, NOW), null, 'the machines are cut off');
  assert.notEqual(
    findUnreachableMachines(contextWithPeer(0, false), shard, NOW),
    null,
    'this controller is cut off',
  );
  assert.equal(
    findUnreachableMachines({ ...contextWithPeer(0, false), isAlive: () => false }, shard, NOW),
    null,
    'no other controller is alive',
  );
  const withoutPeers = { ...contextWithPeer(1), settings: { peers: [] } };
  assert.equal(
    findUnreachableMachines(withoutPeers, shard, NOW),
    null,
    'no other controller can lead the shard',
  );
});
