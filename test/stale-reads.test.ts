/** Reads of the state service that are answered late: what they say has been overtaken by what the feed showed since. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreCache } from '../src/store/cache.js';
import type { Revision, StoreKey } from '../src/model/units.js';
import { steady } from '../src/model/units.js';
import { parseSettings } from '../src/settings/settings.js';
import { KeyValueClient } from '../src/store/client.js';
import { SimClock } from './standins/clock.js';
import { settingsText, World } from './standins/world.js';

const KEY = 'c/live/req-1' as StoreKey;
const at = (n: number): Revision => n as Revision;

test('a read that is older than what the feed has shown brings no dropped key back', () => {
  const seen: unknown[] = [];
  const view = new StoreCache((_, value) => seen.push(value));
  view.loadSnapshot([{ key: KEY, value: 'first', version: at(5) }], at(5), steady(0));
  view.applyEvents([{ key: KEY, value: undefined, version: at(7) }], at(7), steady(1));
  view.apply(KEY, 'first', at(5));
  assert.equal(view.get(KEY), undefined);
  view.apply(KEY, 'second', at(8));
  assert.equal(view.get(KEY)?.value, 'second');
  assert.deepEqual(seen, ['first', undefined, 'second']);
});

test('a list read page by page is as old as its first page: what changes meanwhile is followed from there', async () => {
  const pages = [
    { entries: [{ path: 'c/live/req-1', data: 1, entry: 3 }], hasNext: true, ledger: 10 },
    { entries: [{ path: 'c/live/req-2', data: 2, entry: 11 }], hasNext: false, ledger: 12 },
  ];
  const store = {
    call: () => Promise.resolve({ kind: 'answer', status: 200, body: pages.shift() } as const),
  };
  const settings = parseSettings(settingsText(0), 'n0.toml');
  const client = new KeyValueClient(store, store, new SimClock(), settings, () => 0.5);
  const listed = await client.list('c/');
  assert.equal(listed?.revision, 10);
  assert.equal(listed.entries.length, 2);
  // req-1 was dropped at 12, while the second page was read.
  const view = new StoreCache(() => undefined);
  view.loadSnapshot(listed.entries, listed.revision, steady(0));
  view.applyEvents([{ key: KEY, value: undefined, version: at(12) }], at(12), steady(1));
  assert.equal(view.get(KEY), undefined);
});

/** A job is cancelled through n0, which must look at it again while it ends; the look is answered late. */
async function cancelAtItsEnd(from: number): Promise<World> {
  const w = new World();
  for (const zone of ['east', 'west', 'east']) w.addWorker('large', zone);
  await w.start();
  await w.submit(0, 'req-1', { tasks: 1, runMs: 3000, zone: 'east' });
  await w.step(from);
  // Its first try has no answer, and is not carried out while it could be.
  w.state.fate = (_, body) => (body.apply?.some((a) => isCancelled(a.data)) ? { holdMs: 60_000 } : 'normal');
  w.state.readDelay = (node, path) => (node === 'n0' && path.startsWith('/kv/c/live/') ? 400 : 0);
  void w
    .request(0, 'POST', '/v2/runs/req-1/abort')
    .then((a) => w.trace(`cancelled: ${JSON.stringify(a?.body)}`));
  await w.step(1400);
  w.state.fate = () => 'normal';
  for (let i = 0; i < 60; i += 1) {
    for (const n of [0, 1, 2]) void w.request(n, 'GET', '/v2/runs/req-1');
    await w.step(50);
  }
  w.state.readDelay = () => 0;
  await w.step(1000);
  for (const n of [0, 1, 2]) await w.ask(n, 'GET', '/v2/runs/req-1');
  return w;
}

const isCancelled = (data: unknown): boolean => JSON.stringify(data ?? null).includes('cancelled');

test('a cancellation that meets the end of the last task, and a look at the job that is answered late', async () => {
  for (let from = 800; from <= 2200; from += 100) {
    const w = await cancelAtItsEnd(from);
    assert.deepEqual(w.broken, [], `cancelled ${from} ms after submission\n${w.lines.join('\n')}`);
  }
});
