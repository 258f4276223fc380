/** Divides the rate limits of the store among the controllers. */
import { millis, type ControllerId, type Incarnation, type Millis } from '../model/units.js';
import type { PeerDirectory } from '../peers/peer-directory.js';
import type { Peer, Settings } from '../settings/settings.js';
import { ALIVE_PREFIX } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { KeyValueClient } from '../store/client.js';

/** The store usage that a peer announced is valid for this time. */
const USAGE_TIMEOUT_MS = 3000;

/** The part of the controller that the division of limits uses; it sets the limits of the client `store`. */
export interface LimitDivisionContext {
  readonly settings: { readonly shards: Pick<Settings['shards'], 'length'> };
  readonly storeCache: Pick<StoreCache, 'entriesUnder'>;
  readonly store: Pick<KeyValueClient, 'setControllerCount'>;
}

/** The part of the controller that borrowing limits uses; it sets the limits of the client `store`. */
export interface LimitBorrowingContext {
  readonly settings: { readonly peers: readonly Pick<Peer, 'node'>[] };
  readonly peers: Pick<PeerDirectory, 'get'>;
  readonly store: Pick<KeyValueClient, 'requestRate' | 'writeRate' | 'borrowUnusedLimits'>;
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
  hasAnnouncedWithin(node: ControllerId, within: Millis): boolean;
}

/** Divides the limits among the live controllers: the share of controllers that are not alive goes to the others. */
export function divideStoreLimits({ settings, store, storeCache }: LimitDivisionContext): void {
  const alive = [...storeCache.entriesUnder(ALIVE_PREFIX)].length;
  store.setControllerCount(Math.max(1, Math.min(alive, settings.shards.length)));
}

/**
 * Borrows the store limits that live peers leave unused. A live peer without a recent announcement may be using all of
 * its share.
 */
export function borrowStoreLimits(context: LimitBorrowingContext): void {
  const { peers, settings, store } = context;
  const wholeShare = { requests: store.requestRate, writes: store.writeRate };
  const usages = settings.peers
    .filter(({ node }) => context.isAlive(node, null))
    .map(({ node }) =>
      context.hasAnnouncedWithin(node, millis(USAGE_TIMEOUT_MS))
        ? (peers.get(node)?.storeUsage ?? wholeShare)
        : wholeShare,
    );
  store.borrowUnusedLimits(usages);
}
