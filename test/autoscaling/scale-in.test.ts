/** Which machines go back when many are silent together: a wave is not a cut, and a cut is not a death. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  unlistedCheck,
  assessLiveness,
  scaleInReason,
  type ScaleInContext,
} from '../../src/autoscaling/scale-in.js';
import { newMachine, Shard, type Machine } from '../../src/shards/model.js';

const NOW = 1_000_000;
const TYPES = new Map([['t', { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 }]]);

interface ShardSetup {
  readonly ordinary: number;
  readonly spot: number;
  /** Silent for that long, of each. */
  readonly silentOrdinary: number;
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
    });
    if (reconciled || !silent) machine.lastHeardAt = (NOW - (silent ? setup.silentMs : 100)) as never;
    else machine.missedDirectRequests = 5;
    shard.addMachine(machine);
  };
  for (let i = 0; i < setup.ordinary; i += 1) add(i, false, i < setup.silentOrdinary);
  for (let i = 0; i < setup.spot; i += 1) add(i, true, i < setup.silentSpot);
  return shard;
}

function countReturned(shard: Shard, changes: Partial<ScaleInContext> = {}): string {
  const ctx: ScaleInContext = {
    now: NOW as never,
    reportMs: 2500,
    idleTimeout: 20_000 as never,
    silenceTimeout: 75_000 as never,
    hasPendingDemand: true,
    storeHealthy: true,
    isUnlisted: () => false,
    ...changes,
  };
  const sight = assessLiveness(shard, ctx);
  const count = new Map<string, number>();
  for (const machine of shard.machines.values()) {
    const why = scaleInReason(shard, machine, sight, ctx);
    if (why) count.set(why, (count.get(why) ?? 0) + 1);
  }
  return [...count].map(([why, total]) => `${total} ${why}`).join(', ') || 'none';
}

test('spot machines that fall silent alone were interrupted; together with ordinary ones they are partitioned', () => {
  const wave = { ordinary: 100, spot: 50, silentOrdinary: 0, silentSpot: 40, silentMs: 10_000 };
  assert.equal(countReturned(shardWith(wave)), '40 spot machine silent');
  const cut = { ...wave, silentOrdinary: 60 };
  assert.equal(countReturned(shardWith(cut)), 'none');
  const gone = new Set(['m-s003', 'm-s004'] as never[]);
  assert.equal(
    countReturned(shardWith(cut), { isUnlisted: (id) => gone.has(id as never) }),
    '2 not listed any more',
  );
  assert.equal(countReturned(shardWith({ ...cut, silentMs: 80_000 })), 'none', 'twice the patience in a cut');
  assert.equal(
    countReturned(shardWith({ ...cut, silentOrdinary: 1, silentSpot: 0, silentMs: 80_000 })),
    '1 silent',
  );
});

test('after a failover missing machines are deleted when they are few, or only spot machines; many are a partition', () => {
  const few = { ordinary: 100, spot: 50, silentOrdinary: 2, silentSpot: 1, silentMs: 0 };
  const missing = 'it does not answer after a claim';
  assert.equal(countReturned(shardWith(few, false)), `3 ${missing}`);
  assert.equal(countReturned(shardWith({ ...few, silentSpot: 40 }, false)), `42 ${missing}`);
  const cut = shardWith({ ...few, silentOrdinary: 60 }, false);
  assert.equal(countReturned(cut), 'none');
  // The cut ends, and all but two have spoken: these have missed calls, but none since then.
  for (const machine of [...cut.machines.values()].slice(2, 60)) {
    cut.markReconciled(machine);
    machine.lastHeardAt = NOW as never;
  }
  assert.equal(countReturned(cut), 'none');
  for (const machine of cut.machines.values()) if (!machine.reconciled) machine.missedDirectRequests = 3;
  assert.equal(countReturned(cut), `3 ${missing}`);
  const all = { ordinary: 2, spot: 2, silentOrdinary: 2, silentSpot: 2, silentMs: 0 };
  assert.equal(countReturned(shardWith(all, false)), 'none', 'nobody is heard: it is we who are cut off');
});

test('an idle machine is not returned while the state service is away: its deletion would be carried out late', () => {
  const shard = shardWith({ ordinary: 3, spot: 0, silentOrdinary: 0, silentSpot: 0, silentMs: 0 });
  for (const machine of shard.machines.values()) machine.idleSince = (NOW - 60_000) as never;
  assert.equal(countReturned(shard, { hasPendingDemand: false, storeHealthy: false }), 'none');
  assert.equal(countReturned(shard, { hasPendingDemand: false }), '2 idle', 'one stays');
});

test('a machine is unlisted when the list shows one that came after it, longer ago than a list can be old', () => {
  const listed = (id: string, ageS: number): never => ({ id, ageS }) as never;
  const absent = (list: never[]): string =>
    ['m-007', 'm-008', 'm-010', 'm-012']
      .filter((id) => unlistedCheck(list, 8 as never)(id as never))
      .join(' ');
  const list = [listed('m-007', 100), listed('m-009', 60), listed('m-011', 20)];
  assert.equal(absent(list), 'm-008', 'm-010 may only be too new for the page it belongs on');
  assert.equal(absent([listed('m-011', 30)]), 'm-007 m-008 m-010');
  assert.equal(absent([]), '', 'an empty list proves nothing');
});
