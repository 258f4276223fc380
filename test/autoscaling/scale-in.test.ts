/** Scale-in of silent machines must distinguish interrupted spot machines, network partitions and lost machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_REVISION } from '../../src/model/units.js';
import {
  createUnlistedCheck,
  assessLiveness,
  scaleInReason,
  type ScaleInContext,
} from '../../src/autoscaling/scale-in.js';
import { newMachine, Shard, type Machine } from '../../src/shards/model.js';

const NOW = 1_000_000;
const TYPES = new Map([['t', { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 }]]);

interface ShardSetup {
  readonly onDemand: number;
  readonly spot: number;
  /** How many machines of each kind have been silent for `silentMs`. */
  readonly silentOnDemand: number;
  readonly silentSpot: number;
  readonly silentMs: number;
}

function shardWith(setup: ShardSetup, reconciled = true): Shard {
  const shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, TYPES as never);
  shard.reconciled = reconciled;
  const add = (number: number, spot: boolean, silent: boolean): void => {
    const id = `m-${spot ? 's' : 'o'}${String(number).padStart(3, '0')}`;
    const machine: Machine = newMachine({
      id: id as never,
      address: '' as never,
      type: 't' as never,
      zone: 'east' as never,
      spot,
      addedAt: (NOW - 4000) as never,
      reconciled: reconciled || !silent,
      registeredVersion: NO_REVISION,
    });
    if (reconciled || !silent) machine.lastMessageAt = (NOW - (silent ? setup.silentMs : 100)) as never;
    else machine.missedDirectRequests = 5;
    shard.addMachine(machine);
  };
  for (let i = 0; i < setup.onDemand; i += 1) add(i, false, i < setup.silentOnDemand);
  for (let i = 0; i < setup.spot; i += 1) add(i, true, i < setup.silentSpot);
  return shard;
}

/** Returns how many machines are to be deleted for each reason, as text. */
function countScaleIns(shard: Shard, changes: Partial<ScaleInContext> = {}): string {
  const context: ScaleInContext = {
    now: NOW as never,
    heartbeatIntervalMs: 2500,
    idleTimeout: 20_000 as never,
    silenceTimeout: 75_000 as never,
    hasPendingDemand: true,
    storeHealthy: true,
    isUnlisted: () => false,
    ...changes,
  };
  const liveness = assessLiveness(shard, context);
  const count = new Map<string, number>();
  for (const machine of shard.machines.values()) {
    const reason = scaleInReason(shard, machine, liveness, context);
    if (reason) count.set(reason, (count.get(reason) ?? 0) + 1);
  }
  return [...count].map(([reason, total]) => `${total} ${reason}`).join(', ') || 'none';
}

test('silent spot machines are deleted, unless many on-demand machines are silent too: a partition', () => {
  const interrupted = { onDemand: 100, spot: 50, silentOnDemand: 0, silentSpot: 40, silentMs: 10_000 };
  assert.equal(countScaleIns(shardWith(interrupted)), '40 spot machine silent');
  const partitioned = { ...interrupted, silentOnDemand: 60 };
  assert.equal(countScaleIns(shardWith(partitioned)), 'none');
  const gone = new Set(['m-s003', 'm-s004'] as never[]);
  assert.equal(
    countScaleIns(shardWith(partitioned), { isUnlisted: (id) => gone.has(id as never) }),
    '2 not listed any more',
  );
  assert.equal(
    countScaleIns(shardWith({ ...partitioned, silentMs: 80_000 })),
    'none',
    'the timeout is doubled in a partition',
  );
  assert.equal(
    countScaleIns(shardWith({ ...partitioned, silentOnDemand: 1, silentSpot: 0, silentMs: 80_000 })),
    '1 silent',
  );
});

test('after a failover missing machines are deleted, unless many on-demand machines are missing: a partition', () => {
  const few = { onDemand: 100, spot: 50, silentOnDemand: 2, silentSpot: 1, silentMs: 0 };
  const missing = 'it does not answer after a failover';
  assert.equal(countScaleIns(shardWith(few, false)), `3 ${missing}`);
  assert.equal(countScaleIns(shardWith({ ...few, silentSpot: 40 }, false)), `42 ${missing}`);
  const partitioned = shardWith({ ...few, silentOnDemand: 60 }, false);
  assert.equal(countScaleIns(partitioned), 'none');
  // The partition ends, and all but two on-demand machines have sent a message. Those two left requests unanswered
  // during the partition, but none since.
  for (const machine of [...partitioned.machines.values()].slice(2, 60)) {
    partitioned.markReconciled(machine);
    machine.lastMessageAt = NOW as never;
  }
  assert.equal(countScaleIns(partitioned), 'none');
  for (const machine of partitioned.machines.values())
    if (!machine.reconciled) machine.missedDirectRequests = 3;
  assert.equal(countScaleIns(partitioned), `3 ${missing}`);
  const all = { onDemand: 2, spot: 2, silentOnDemand: 2, silentSpot: 2, silentMs: 0 };
  assert.equal(
    countScaleIns(shardWith(all, false)),
    'none',
    'no machine is live: this controller is cut off',
  );
});

test('an idle machine is not scaled in while the store is down: its deletion would be carried out late', () => {
  const shard = shardWith({ onDemand: 3, spot: 0, silentOnDemand: 0, silentSpot: 0, silentMs: 0 });
  for (const machine of shard.machines.values()) machine.idleSince = (NOW - 60_000) as never;
  assert.equal(countScaleIns(shard, { hasPendingDemand: false, storeHealthy: false }), 'none');
  assert.equal(countScaleIns(shard, { hasPendingDemand: false }), '2 idle', 'one machine is kept');
});

test('a machine is unlisted if the list lacks it but shows a newer one that is older than the list can lag', () => {
  const listed = (id: string, ageS: number): never => ({ id, ageS }) as never;
  const unlistedIds = (list: never[]): string =>
    ['m-007', 'm-008', 'm-010', 'm-012']
      .filter((id) => createUnlistedCheck(list, 8 as never)(id as never))
      .join(' ');
  const list = [listed('m-007', 100), listed('m-009', 60), listed('m-011', 20)];
  assert.equal(unlistedIds(list), 'm-008', 'm-010 may be too new for a page that lags');
  assert.equal(unlistedIds([listed('m-011', 30)]), 'm-007 m-008 m-010');
  assert.equal(unlistedIds([]), '', 'an empty list proves nothing');
});
