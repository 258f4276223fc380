/** How the controllers divide the rate limits of the store among themselves. */
import type { Core } from '../core.js';
import { millis } from '../model/units.js';
import { ALIVE_PREFIX } from '../shards/codec.js';

/** A peer that was heard more recently than this says what it draws from the store. */
const USAGE_TIMEOUT = millis(3000);

type StoreLimitContext = Pick<
  Core,
  'isAlive' | 'heardWithin' | 'peers' | 'settings' | 'store' | 'storeCache'
>;

/** Controllers that are not alive leave their share of the limits to the others. */
export function divideStoreLimits({ settings, store, storeCache }: StoreLimitContext): void {
  let alive = 0;
  for (const entry of storeCache.entriesUnder(ALIVE_PREFIX)) if (entry) alive += 1;
  store.setControllerCount(Math.max(1, Math.min(alive, settings.shards.length)));
}

/** What live peers leave unused is borrowed. A peer that is alive and silent may be using all of its share. */
export function borrowStoreLimits(context: StoreLimitContext): void {
  const { peers, settings, store } = context;
  const wholeShare = { requests: store.requestRate, writes: store.writeRate };
  const usages = settings.peers
    .filter(({ node }) => context.isAlive(node, null))
    .map(({ node }) =>
      context.heardWithin(node, USAGE_TIMEOUT) ? (peers.get(node)?.storeUsage ?? wholeShare) : wholeShare,
    );
  store.borrowUnusedLimits(usages);
}
