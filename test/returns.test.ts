/** Which machines go back when many are silent together: a wave is not a cut, and a cut is not a death. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  unlistedCheck,
  assessLiveness,
  scaleInReason,
  type ScaleInContext,
} from '../src/autoscaling/scale-in.js';
import { newMachine, Shard, type Machine } from '../src/shards/model.js';

const NOW = 1_000_000;
const TYPES = new Map([['t', { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 }]]);

interface Given {
  readonly ordinary: number;
  readonly spot: number;
  /** Silent for that long, of each. */
  readonly silentOrdinary: number;
  readonly silentSpot: number;
  readonly silentMs: number;
}

function partOf(g: Given, settled = true): Shard {
  const shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, TYPES as never);
  shard.reconciled = settled;
  const add = (n: number, spot: boolean, silent: boolean): void => {
    const id = `m-${spot ? 's' : 'o'}${String(n).padStart(3, '0')}`;
    const m: Machine = newMachine(
      id as never,
      '' as never,
      't' as never,
      'east' as never,
      spot,
      (NOW - 4000) as never,
      settled || !silent,
    );
    if (settled || !silent) m.lastHeardAt = (NOW - (silent ? g.silentMs : 100)) as never;
    else m.missedDirectRequests = 5;
    shard.addMachine(m);
  };
  for (let i = 0; i < g.ordinary; i += 1) add(i, false, i < g.silentOrdinary);
  for (let i = 0; i < g.spot; i += 1) add(i, true, i < g.silentSpot);
  return shard;
}

function returned(shard: Shard, o: Partial<ScaleInContext> = {}): string {
  const ctx: ScaleInContext = {
    now: NOW as never,
    reportMs: 2500,
    idleTimeout: 20_000 as never,
    silenceTimeout: 75_000 as never,
    hasPendingDemand: true,
    storeHealthy: true,
    isUnlisted: () => false,
    ...o,
  };
  const sight = assessLiveness(shard, ctx);
  const count = new Map<string, number>();
  for (const m of shard.machines.values()) {
    const why = scaleInReason(shard, m, sight, ctx);
    if (why) count.set(why, (count.get(why) ?? 0) + 1);
  }
  return [...count].map(([why, n]) => `${n} ${why}`).join(', ') || 'none';
}

test('spot machines that fall silent alone were taken; together with ordinary ones they are cut off', () => {
  const wave = { ordinary: 100, spot: 50, silentOrdinary: 0, silentSpot: 40, silentMs: 10_000 };
  assert.equal(returned(partOf(wave)), '40 spot machine silent');
  const cut = { ...wave, silentOrdinary: 60 };
  assert.equal(returned(partOf(cut)), 'none');
  const gone = new Set(['m-s003', 'm-s004'] as never[]);
  assert.equal(returned(partOf(cut), { isUnlisted: (id) => gone.has(id as never) }), '2 not listed any more');
  assert.equal(returned(partOf({ ...cut, silentMs: 80_000 })), 'none', 'twice the patience in a cut');
  assert.equal(returned(partOf({ ...cut, silentOrdinary: 1, silentSpot: 0, silentMs: 80_000 })), '1 silent');
});

test('after a claim the missing are deleted when they are few, or only spot machines; many are a cut', () => {
  const few = { ordinary: 100, spot: 50, silentOrdinary: 2, silentSpot: 1, silentMs: 0 };
  const missing = 'it does not answer after a claim';
  assert.equal(returned(partOf(few, false)), `3 ${missing}`);
  assert.equal(returned(partOf({ ...few, silentSpot: 40 }, false)), `42 ${missing}`);
  const cut = partOf({ ...few, silentOrdinary: 60 }, false);
  assert.equal(returned(cut), 'none');
  // The cut ends, and all but two have spoken: these have missed calls, but none since then.
  for (const m of [...cut.machines.values()].slice(2, 60)) {
    cut.markReconciled(m);
    m.lastHeardAt = NOW as never;
  }
  assert.equal(returned(cut), 'none');
  for (const m of cut.machines.values()) if (!m.reconciled) m.missedDirectRequests = 3;
  assert.equal(returned(cut), `3 ${missing}`);
  const all = { ordinary: 2, spot: 2, silentOrdinary: 2, silentSpot: 2, silentMs: 0 };
  assert.equal(returned(partOf(all, false)), 'none', 'nobody is heard: it is we who are cut off');
});

test('an idle machine is not returned while the state service is away: its deletion would be carried out late', () => {
  const shard = partOf({ ordinary: 3, spot: 0, silentOrdinary: 0, silentSpot: 0, silentMs: 0 });
  for (const m of shard.machines.values()) m.idleSince = (NOW - 60_000) as never;
  assert.equal(returned(shard, { hasPendingDemand: false, storeHealthy: false }), 'none');
  assert.equal(returned(shard, { hasPendingDemand: false }), '2 idle', 'one stays');
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
