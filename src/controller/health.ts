/**
 * The answer of `/up`, by which the load balancer decides whether users and workers reach this controller. Relies on
 * the watch cache and on what peers announced.
 */
import type { HttpResponse } from '../http/server.js';
import { millis, type Clock, type SteadyMs } from '../model/units.js';
import type { PeerDirectory } from '../peers/peer-directory.js';
import type { Settings } from '../settings/settings.js';
import type { StoreCache } from '../store/cache.js';

/** The watch cache counts as stale when it was last confirmed longer ago than this. */
const STORE_STALE_AFTER_MS = 4500;
/** A peer that was heard more recently than this is reachable. */
const PEER_LIVENESS_TIMEOUT_MS = 2500;
/** How long the controller must have been cut off before it says so. */
const CUT_OFF_GRACE_MS = 2500;

/** What the answer is computed from. */
export interface HealthContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly peers: Pick<PeerDirectory, 'allHeardWithin'>;
  readonly settings: { readonly peers: Pick<Settings['peers'], 'length'> };
  readonly storeCache: Pick<StoreCache, 'loaded' | 'confirmedAt'>;
  /** The instance types that are known: none before the first list of the cloud or the store has been read. */
  readonly types: { readonly size: number };
}

/** Whether this controller should get requests. */
export class HealthCheck {
  private cutOffSince: SteadyMs | null = null;

  constructor(private readonly context: HealthContext) {}

  /** 200 or 503. Each call takes note of whether the controller is cut off at this moment. */
  answer(): HttpResponse {
    const { storeCache, types, clock } = this.context;
    const started = storeCache.loaded && types.size > 0;
    const cutOff = this.isCutOff(clock.now());
    if (started && !cutOff) return { status: 200, body: { ok: true } };
    return { status: 503, body: { error: started ? 'cut off from the state service' : 'starting' } };
  }

  /** When an outage ends some controllers are served a moment before the others: nobody leaves for that. */
  private isCutOff(now: SteadyMs): boolean {
    this.cutOffSince = this.isWorseOffThanPeers(now) ? (this.cutOffSince ?? now) : null;
    return this.cutOffSince !== null && now - this.cutOffSince >= CUT_OFF_GRACE_MS;
  }

  /**
   * Whether the store answers peers and not this controller, or neither the store nor any peer is heard. In an outage
   * for all, every controller stays in.
   */
  private isWorseOffThanPeers(now: SteadyMs): boolean {
    const { peers, settings, storeCache } = this.context;
    const storeStale = now - storeCache.confirmedAt > STORE_STALE_AFTER_MS;
    if (!storeStale) return false;
    const reachablePeers = peers.allHeardWithin(millis(PEER_LIVENESS_TIMEOUT_MS), now);
    const isolated = settings.peers.length > 0 && reachablePeers.length === 0;
    return isolated || reachablePeers.some((peer) => peer.storeHealthy);
  }
}
