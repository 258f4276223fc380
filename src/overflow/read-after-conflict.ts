/**
 * What the store holds after a write met a conflict: the cache is older than the store, or an earlier copy of the same write
 * was carried out and its answer lost. Nothing may be decided before one of the two is known.
 */
import type { Core } from '../core.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Entry } from '../store/wire.js';
import { millis, type StoreKey } from '../model/units.js';

const READ_RETRY_DELAY = millis(200);

/** Reads until the store answers, and brings the cache up to that. null: the key does not exist. */
export async function readAfterConflict(
  core: Pick<Core, 'exclusive' | 'sleep' | 'store' | 'storeCache'>,
  key: StoreKey,
): Promise<Entry | null> {
  for (;;) {
    const read = await core.store.get(key, RequestPriority.handOver);
    if (read.kind === 'found') {
      const { value, version } = read.entry;
      await core.exclusive(() => core.storeCache.apply(key, value, version));
      return read.entry;
    }
    if (read.kind === 'absent') return null;
    await core.sleep(READ_RETRY_DELAY);
  }
}
