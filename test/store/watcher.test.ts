/** The store watcher lists, watches, and lists again when the changes that it needs have been compacted. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../../src/logging/log.js';
import type { Revision, StoreKey } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';
import { StoreCache } from '../../src/store/cache.js';
import type { ListResult, WatchResult } from '../../src/store/outcomes.js';
import { StoreWatcher } from '../../src/store/watcher.js';
import { SimulatedClock } from '../support/simulated-clock.js';

const KEY = 'c/live/req-1' as StoreKey;
const OTHER_KEY = 'c/live/req-2' as StoreKey;
const at = (revision: number): Revision => revision as Revision;
const neverResolves = <T>(): Promise<T> => new Promise(() => undefined);

const listed = (key: StoreKey, revision: number): ListResult => ({
  kind: 'listed',
  entries: [{ key, value: revision, version: at(revision) }],
  revision: at(revision),
  lastRevision: at(revision),
  pages: 1,
});

/** Creates a watcher of a store that answers with the given lists and watches in turn, and then stops answering. */
function createWatcher(lists: ListResult[], watches: WatchResult[]) {
  const clock = new SimulatedClock();
  const cache = new StoreCache(() => undefined);
  const requests: string[] = [];
  const respond = <T>(request: string, results: T[]): Promise<T> => {
    requests.push(request);
    const result = results.shift();
    return result === undefined ? neverResolves() : Promise.resolve(result);
  };
  const client = {
    list: () => respond('list', lists),
    watch: (_: string, after: Revision) => respond(`watch ${after}`, watches),
  };
  const watcher = new StoreWatcher(
    client,
    cache,
    'c/',
    millis(10_000),
    millis(200),
    clock,
    () => 0.5,
    silentLog(),
  );
  return { watcher, cache, clock, requests };
}

test('a new list replaces changes that the store has compacted', async () => {
  const { watcher, cache, clock, requests } = createWatcher(
    [listed(KEY, 5), listed(OTHER_KEY, 9)],
    [{ kind: 'compacted' }],
  );
  void watcher.run();
  await clock.advance(0);
  assert.deepEqual(requests, ['list', 'watch 5', 'list', 'watch 9']);
  assert.equal(cache.get(KEY), undefined, 'deleted between the watch and the list');
  assert.equal(cache.get(OTHER_KEY)?.value, 9);
  assert.equal(cache.loaded, true);
});

test('a refresh does not make a cache current whose changes have been compacted', async () => {
  const { watcher, cache, clock } = createWatcher(
    [listed(KEY, 5)],
    [{ kind: 'compacted' }, { kind: 'watched', events: [], revision: at(9) }],
  );
  void watcher.run();
  await clock.advance(0);
  assert.equal(cache.loaded, false);
  assert.equal(await watcher.refresh(), false);
  assert.equal(cache.revision, 5);
});

test('the backoff doubles up to one second after each failure, and ends with the first response', async () => {
  const failed = { kind: 'failed' } as const;
  const { watcher, clock, requests } = createWatcher(
    [failed, failed, failed, failed, failed, failed, listed(KEY, 5)],
    [],
  );
  void watcher.run();
  const backoffsMs = [100, 200, 400, 800, 1000, 1000];
  for (const [index, backoffMs] of backoffsMs.entries()) {
    await clock.advance(backoffMs - 1);
    assert.equal(requests.length, index + 1, `before the end of backoff ${index + 1}`);
    assert.equal(watcher.healthy, false);
    await clock.advance(1);
  }
  assert.equal(watcher.healthy, true);
  assert.deepEqual(requests.at(-1), 'watch 5');
});

test('watches that return changes are followed by a delay, watches without changes are not', async () => {
  const { watcher, cache, clock, requests } = createWatcher(
    [listed(KEY, 5)],
    [
      { kind: 'watched', events: [], revision: at(6) },
      { kind: 'watched', events: [{ key: KEY, value: 'new', version: at(7) }], revision: at(7) },
    ],
  );
  void watcher.run();
  await clock.advance(199);
  assert.deepEqual(requests, ['list', 'watch 5', 'watch 6']);
  assert.equal(cache.get(KEY)?.value, 'new');
  await clock.advance(1);
  assert.deepEqual(requests, ['list', 'watch 5', 'watch 6', 'watch 7']);
});
