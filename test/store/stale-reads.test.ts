/** Late responses to reads of the store, after watches have already reported newer versions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreCache } from '../../src/store/cache.js';
import type { Revision, StoreKey } from '../../src/model/units.js';
import { steady } from '../../src/model/units.js';
import { parseSettings } from '../../src/settings/settings.js';
import { KeyValueClient } from '../../src/store/client.js';
import { SimulatedClock } from '../support/simulated-clock.js';
import { settingsText, SimulatedCluster } from '../support/simulated-cluster.js';

const KEY = 'c/live/req-1' as StoreKey;
const at = (revision: number): Revision => revision as Revision;

test('a read that is older than the watch does not restore a deleted key', () => {
  const changes: unknown[] = [];
  const storeCache = new StoreCache((_, value) => changes.push(value));
  storeCache.loadSnapshot([{ key: KEY, value: 'first', version: at(5) }], at(5), steady(0));
  storeCache.applyEvents([{ key: KEY, value: undefined, version: at(7) }], at(7), steady(1));
  storeCache.apply(KEY, 'first', at(5));
  assert.equal(storeCache.get(KEY), undefined);
  storeCache.apply(KEY, 'second', at(8));
  assert.equal(storeCache.get(KEY)?.value, 'second');
  assert.deepEqual(changes, ['first', undefined, 'second']);
});

test('a list has the revision of its first page: a watch from there returns the changes made meanwhile', async () => {
  const pages = [
    { entries: [{ path: 'c/live/req-1', data: 1, entry: 3 }], hasNext: true, ledger: 10 },
    { entries: [{ path: 'c/live/req-2', data: 2, entry: 11 }], hasNext: false, ledger: 12 },
  ];
  const store = {
    call: () => Promise.resolve({ kind: 'answer', status: 200, body: pages.shift() } as const),
  };
  const settings = parseSettings(settingsText(0), 'n0.toml');
  const client = new KeyValueClient(store, store, new SimulatedClock(), settings, () => 0.5);
  const listed = await client.list('c/');
  assert.ok(listed.kind === 'listed');
  assert.equal(listed.revision, 10);
  assert.equal(listed.entries.length, 2);
  // req-1 was deleted at revision 12, when the second page was read.
  const storeCache = new StoreCache(() => undefined);
  storeCache.loadSnapshot(listed.entries, listed.revision, steady(0));
  storeCache.applyEvents([{ key: KEY, value: undefined, version: at(12) }], at(12), steady(1));
  assert.equal(storeCache.get(KEY), undefined);
});

/** Cancels a job through n0 while its last task ends. n0 has to read the job again, and that read is answered late. */
async function cancelAtItsEnd(cancelAfterMs: number): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('large', zone);
  await cluster.start();
  await cluster.submit(0, 'req-1', { tasks: 1, runMs: 3000, zone: 'east' });
  await cluster.step(cancelAfterMs);
  // The first attempt of the cancellation is not answered, and is not applied while the job runs.
  cluster.store.transactionFate = (_, body) =>
    body.apply?.some((change) => isCancelled(change.data)) ? { holdMs: 60_000 } : 'normal';
  cluster.store.readDelayMs = (node, path) => (node === 'n0' && path.startsWith('/kv/c/live/') ? 400 : 0);
  void cluster
    .request(0, 'POST', '/v2/runs/req-1/abort')
    .then((response) => cluster.trace(`cancelled: ${JSON.stringify(response?.body)}`));
  await cluster.step(1400);
  cluster.store.transactionFate = () => 'normal';
  for (let i = 0; i < 60; i += 1) {
    for (const node of [0, 1, 2]) void cluster.request(node, 'GET', '/v2/runs/req-1');
    await cluster.step(50);
  }
  cluster.store.readDelayMs = () => 0;
  await cluster.step(1000);
  for (const node of [0, 1, 2]) await cluster.sendUserRequest(node, 'GET', '/v2/runs/req-1');
  return cluster;
}

const isCancelled = (data: unknown): boolean => JSON.stringify(data ?? null).includes('cancelled');

test('a cancellation while the last task ends violates no rule, even if a read of the job is answered late', async () => {
  for (let cancelAfterMs = 800; cancelAfterMs <= 2200; cancelAfterMs += 100) {
    const cluster = await cancelAtItsEnd(cancelAfterMs);
    assert.deepEqual(
      cluster.violations,
      [],
      `cancelled ${cancelAfterMs} ms after submission\n${cluster.traceLines.join('\n')}`,
    );
  }
});
