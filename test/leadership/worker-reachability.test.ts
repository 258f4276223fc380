/** When a leader that hears few of its machines releases the shard. */
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

/** A shard with machines that were last heard so many milliseconds ago. */
function shardHeard(...heardMsAgo: number[]): Shard {
  const shard = new Shard(SHARD, fencingToken(1), revision(1), steady(0), new Map());
  heardMsAgo.forEach((ago, i) => {
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
    machine.lastHeartbeatAt = steady(NOW - ago);
    shard.addMachine(machine);
  });
  return shard;
}

const machineOf = (shard: Shard, index: number): Machine =>
  shard.machines.get(`m-${index}` as MachineId) ?? assert.fail(`no machine ${index}`);

/** One peer, whose announcements arrive or do not, and which hears so many machines of the shard. */
function peerHearing(redirected: number, announcementsArrive = true): ReachabilityContext {
  return {
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    settings: { peers: [{ node: PEER } as Peer] },
    peers: new Map([[PEER, { redirectedHeartbeats: new Map([[SHARD, redirected]]) }]]),
    heardWithin: (node) => node === PEER && announcementsArrive,
  };
}

const SILENT = SILENCE_LIMIT_MS + 1;

test('a shard is released when two thirds of its machines are silent and a peer hears one of them', () => {
  const context = peerHearing(1);
  const silence = findUnreachableMachines(context, shardHeard(SILENT, SILENT, 0), NOW);
  assert.deepEqual(silence, { expected: 3, silent: 2 });
  assert.equal(findUnreachableMachines(context, shardHeard(SILENT, 0), NOW), null, 'half of them');
  assert.equal(
    findUnreachableMachines(context, shardHeard(SILENCE_LIMIT_MS, SILENCE_LIMIT_MS), NOW),
    null,
    'the next heartbeat may still arrive in time',
  );
  assert.equal(findUnreachableMachines(context, shardHeard(SILENT), NOW), null, 'one machine shows nothing');
});

test('machines that were added just now or are being scaled in do not count', () => {
  const shard = shardHeard(SILENT, SILENT, SILENT);
  machineOf(shard, 0).scalingIn = true;
  assert.deepEqual(findUnreachableMachines(peerHearing(1), shard, NOW), { expected: 2, silent: 2 });
  const opened = shardHeard(SILENT, SILENT);
  assert.equal(findUnreachableMachines(peerHearing(1), opened, steady(SILENCE_LIMIT_MS)), null);
});

test('a machine whose heartbeats arrive but are refused, because commands do not reach it, is not silent', () => {
  const shard = shardHeard(SILENT, SILENT);
  machineOf(shard, 0).refusedUnreachableAt = NOW;
  assert.equal(findUnreachableMachines(peerHearing(1), shard, NOW), null);
});

test('machines that no peer hears either are kept, unless this controller hears no peer at all', () => {
  const shard = shardHeard(SILENT, SILENT);
  assert.equal(findUnreachableMachines(peerHearing(0), shard, NOW), null, 'the machines are cut off');
  assert.notEqual(findUnreachableMachines(peerHearing(0, false), shard, NOW), null, 'this controller is');
  const alone = { ...peerHearing(1), settings: { peers: [] } };
  assert.equal(findUnreachableMachines(alone, shard, NOW), null, 'there is nobody else to lead the shard');
});
