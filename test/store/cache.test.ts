/** Events that reach the watch cache out of order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreCache } from '../../src/store/cache.js';
import type { SteadyMs } from '../../src/model/units.js';

test('the watch cache accepts events in any order and never goes back to an older revision', () => {
  const changes: string[] = [];
  const storeCache = new StoreCache((key, value, version) =>
    changes.push(`${key}=${String(value)}@${version}`),
  );
  storeCache.apply('a' as never, 1, 5 as never);
  storeCache.apply('a' as never, 0, 4 as never);
  storeCache.apply('a' as never, undefined, 7 as never);
  storeCache.apply('a' as never, 1, 6 as never);
  storeCache.applyEvents([{ key: 'b' as never, value: 2, version: 8 as never }], 8 as never, 1 as SteadyMs);
  storeCache.loadSnapshot([{ key: 'c' as never, value: 3, version: 9 as never }], 9 as never, 2 as SteadyMs);
  assert.deepEqual(changes, ['a=1@5', 'a=undefined@7', 'b=2@8', 'b=undefined@9', 'c=3@9']);
});

test('an older watch response that arrives after a newer one does not restore a deleted key', () => {
  const changes: string[] = [];
  const storeCache = new StoreCache((key, value, version) =>
    changes.push(`${key}=${String(value)}@${version}`),
  );
  const put = { key: 'a' as never, value: 1, version: 5 as never };
  const drop = { key: 'a' as never, value: undefined, version: 6 as never };
  storeCache.applyEvents([put, drop], 6 as never, 2 as SteadyMs);
  storeCache.applyEvents([put], 5 as never, 1 as SteadyMs);
  assert.deepEqual(changes, ['a=1@5', 'a=undefined@6']);
  assert.equal(storeCache.confirmedAt, 2);
});
