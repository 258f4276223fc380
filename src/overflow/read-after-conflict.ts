/**
 * Reads a key after a write that ended in a conflict. Either the cache is behind the store, or an earlier attempt of
 * the same write was applied and its response was lost. The caller must not decide anything before it is known which of
 * the two is the case.
 */
import type { Core } from '../core.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Entry } from '../store/wire.js';
import { millis, type StoreKey } from '../model/units.js';

const READ_RETRY_DELAY = millis(200);

/**
 * Retries the read until the store answers, and applies the entry to the cache. Returns null if the key does not exist.
 */
export async function readAfterConflict(
  core: Pick<Core, 'exclusive' | 'sleep' | 'store' | 'storeCache'>,
  key: StoreKey,
): Promise<Entry | null> {
  for (;;) {
    const read = await core.store.get(key, RequestPriority.transfer);
    if (read.kind === 'found') {
      const { value, version } = read.entry;
      await core.exclusive(() => core.storeCache.apply(key, value, version));
      return read.entry;
    }
    if (read.kind === 'absent') return null;
    await core.sleep(READ_RETRY_DELAY);
  }
}
