/**
 * The pages of a list are read at different revisions.
 *
 * Guards against: the page with the jobs is read at revision 3, then a job is created (revision 4) and its shard is
 * acquired (revision 5), and the page with the shards shows the acquisition. The cache reported itself as loaded and
 * complete up to revision 3, with the shard's record of revision 5 but without the job of revision 4. Code that relies
 * on the absence of a key then assumed that a running job had ended: the result of its task was lost, and the task ran
 * again after it was done.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../../src/logging/log.js';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { StoreKey } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';
import { parseSettings } from '../../src/settings/settings.js';
import { StoreCache } from '../../src/store/cache.js';
import { KeyValueClient } from '../../src/store/client.js';
import { StoreWatcher } from '../../src/store/watcher.js';
import { FakeStore } from '../support/fake-store.js';
import { SimulatedClock } from '../support/simulated-clock.js';
import { settingsText, SMALL_CLUSTER } from '../support/simulated-cluster.js';

const JOB = 'c/live/req-1' as StoreKey;
const SHARD = 'c/parts/0' as StoreKey;
const KEYS_PER_PAGE = 1;

/** A watcher of a store whose lists have one key per page. Tests can change the store between the pages. */
class PagedStore {
  readonly clock = new SimulatedClock();
  readonly store = new FakeStore(this.clock, SMALL_CLUSTER.storeLimits);
  readonly cache = new StoreCache(
    () => undefined,
    () => this.onComplete(),
  );
  readonly requests: string[] = [];
  beforePage: (page: number) => void = () => undefined;
  onComplete: () => void = () => undefined;
  interceptResponse: (path: string, outcome: CallOutcome) => CallOutcome = (_, outcome) => outcome;
  private pages = 0;

  put(key: string, value: unknown): void {
    this.store.applyTransaction({ when: [], apply: [{ put: key, data: value }] });
  }

  start(): void {
    const caller = { call: (call: Call) => this.call(call) };
    const settings = parseSettings(settingsText(0), 'n0.toml');
    const client = new KeyValueClient(caller, caller, this.clock, settings, () => 0.5);
    const watcher = new StoreWatcher(
      client,
      this.cache,
      'c/',
      millis(2000),
      millis(25),
      this.clock,
      () => 0.5,
      silentLog(),
    );
    void watcher.run();
  }

  private async call(call: Call): Promise<CallOutcome> {
    this.requests.push(call.path);
    if (!call.path.startsWith('/kv?'))
      return this.interceptResponse(call.path, await this.store.call('n0', call));
    this.pages += 1;
    this.beforePage(this.pages);
    const path = call.path.replace(/most=\d+/, `most=${KEYS_PER_PAGE}`);
    return this.interceptResponse(path, await this.store.call('n0', { ...call, path }));
  }
}

/** A store with three keys. After the second page has been read, a job is created and its shard is acquired. */
function storeThatChangesBetweenPages(): PagedStore {
  const paged = new PagedStore();
  paged.put('c/alive/n0', 'a');
  paged.put('c/live/req-5', 'old');
  paged.put(SHARD, 'n1');
  paged.beforePage = (page) => {
    if (page !== 3) return;
    paged.put(JOB, 'new');
    paged.put(SHARD, 'n0');
  };
  return paged;
}

test('a list whose pages differ in revision is loaded as the state at one revision', async () => {
  const paged = storeThatChangesBetweenPages();
  let stateAtLoad: unknown = null;
  paged.onComplete = () => {
    stateAtLoad ??= [paged.cache.get(SHARD)?.value, paged.cache.get(JOB)?.value, paged.cache.revision];
  };
  paged.start();
  await paged.clock.advance(1000);
  assert.deepEqual(stateAtLoad, ['n0', 'new', 5]);
});

test('keys that are deleted while the pages of a list are read are not in the loaded cache', async () => {
  const paged = storeThatChangesBetweenPages();
  paged.beforePage = (page) => {
    if (page !== 3) return;
    paged.store.applyTransaction({ when: [], apply: [{ drop: 'c/live/req-5' }] });
    paged.put(SHARD, 'n0');
  };
  let stateAtLoad: unknown = null;
  paged.onComplete = () => {
    stateAtLoad ??= [paged.cache.get(SHARD)?.value, paged.cache.get('c/live/req-5' as StoreKey)?.value];
  };
  paged.start();
  await paged.clock.advance(1000);
  assert.deepEqual(stateAtLoad, ['n0', undefined]);
});

test('the cache is not loaded until the changes between the pages are known', async () => {
  const paged = storeThatChangesBetweenPages();
  paged.beforePage = () => {
    paged.put(JOB, 'new');
    paged.put(SHARD, 'n0');
  };
  paged.interceptResponse = (path, outcome) => (path.startsWith('/follow') ? { kind: 'unknown' } : outcome);
  paged.start();
  await paged.clock.advance(5000);
  assert.equal(paged.cache.loaded, false);
  paged.interceptResponse = (_, outcome) => outcome;
  await paged.clock.advance(3000);
  assert.equal(paged.cache.loaded, true);
  assert.equal(paged.cache.get(JOB)?.value, 'new');
});

test('a list that ends early, goes back in revision or repeats keys is read again', async () => {
  const badPages: ((body: Record<string, unknown>) => Record<string, unknown>)[] = [
    (body) => ({ ...body, entries: [], hasNext: true }),
    (body) => ({ ...body, ledger: 1 }),
    (body) => ({ ...body, entries: [{ path: 'c/alive/n0', data: 'a', entry: 1 }] }),
  ];
  for (const [index, corrupt] of badPages.entries()) {
    const paged = storeThatChangesBetweenPages();
    paged.interceptResponse = (path, outcome) =>
      path.includes('from=c%2Flive') && outcome.kind === 'answer'
        ? { ...outcome, body: corrupt(outcome.body as Record<string, unknown>) }
        : outcome;
    paged.start();
    await paged.clock.advance(3000);
    assert.equal(paged.cache.loaded, false, `page ${index}`);
    paged.interceptResponse = (_, outcome) => outcome;
    await paged.clock.advance(5000);
    assert.equal(paged.cache.get(SHARD)?.value, 'n0', `page ${index}`);
  }
});
