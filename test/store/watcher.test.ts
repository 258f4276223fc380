/** The store's watcher: it lists, watches, and lists again when the changes that it needs are no longer kept. */
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
const never = <T>(): Promise<T> => new Promise(() => undefined);

const listed = (key: StoreKey, revision: number): ListResult => ({
  kind: 'listed',
  entries: [{ key, value: revision, version: at(revision) }],
  revision: at(revision),
  lastRevision: at(revision),
  pages: 1,
});

/** A watcher of a store that answers lists and watches in turn, and then no more. */
function watcherOf(lists: ListResult[], watches: WatchResult[]) {
  const clock = new SimulatedClock();
  const cache = new StoreCache(() => undefined);
  const requests: string[] = [];
  const respond = <T>(request: string, results: T[]): Promise<T> => {
    requests.push(request);
    const result = results.shift();
    return result === undefined ? never() : Promise.resolve(result);
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

test('changes that the store no longer keeps are made up for by another list', async () => {
  const { watcher, cache, clock, requests } = watcherOf(
    [listed(KEY, 5), listed(OTHER_KEY, 9)],
    [{ kind: 'compacted' }],
  );
  void watcher.run();
  await clock.advance(0);
  assert.deepEqual(requests, ['list', 'watch 5', 'list', 'watch 9']);
  assert.equal(cache.get(KEY), undefined, 'deleted while nobody watched');
  assert.equal(cache.get(OTHER_KEY)?.value, 9);
  assert.equal(cache.loaded, true);
});

test('a cache without the changes that it needs is not current, whatever a refresh reads', async () => {
  const { watcher, cache, clock } = watcherOf(
    [listed(KEY, 5)],
    [{ kind: 'compacted' }, { kind: 'watched', events: [], revision: at(9) }],
  );
  void watcher.run();
  await clock.advance(0);
  assert.equal(cache.loaded, false);
  assert.equal(await watcher.refresh(), false);
  assert.equal(cache.revision, 5);
});

test('the pause after failures doubles up to a second, and ends with the first answer', async () => {
  const failed = { kind: 'failed' } as const;
  const { watcher, clock, requests } = watcherOf(
    [failed, failed, failed, failed, failed, failed, listed(KEY, 5)],
    [],
  );
  void watcher.run();
  const pauses = [100, 200, 400, 800, 1000, 1000];
  for (const [index, pause] of pauses.entries()) {
    await clock.advance(pause - 1);
    assert.equal(requests.length, index + 1, `before the end of pause ${index + 1}`);
    assert.equal(watcher.healthy, false);
    await clock.advance(1);
  }
  assert.equal(watcher.healthy, true);
  assert.deepEqual(requests.at(-1), 'watch 5');
});

test('watches that bring changes are paced, watches without any are not', async () => {
  const { watcher, cache, clock, requests } = watcherOf(
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
