/**
 * The health check at `/up`, by which the load balancer decides whether to route users and workers to this controller.
 * Computed from the state of the watch cache and from the announcements of peers.
 */
import type { HttpResponse } from '../http/server.js';
import { millis, type Clock, type SteadyMs } from '../model/units.js';
import type { PeerDirectory } from '../peers/peer-directory.js';
import type { Settings } from '../settings/settings.js';
import type { StoreCache } from '../store/cache.js';

/** The watch cache is stale if its last confirmation is older than this. */
const STORE_STALE_AFTER_MS = 4500;
/** A peer is reachable if its last announcement is more recent than this. */
const PEER_LIVENESS_TIMEOUT_MS = 2500;
/** How long the controller must have been cut off before it reports itself unhealthy. */
const CUT_OFF_GRACE_MS = 2500;

/** The part of the controller that the health check uses. */
export interface HealthContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly peers: Pick<PeerDirectory, 'peersAnnouncedWithin'>;
  readonly settings: { readonly peers: Pick<Settings['peers'], 'length'> };
  readonly storeCache: Pick<StoreCache, 'loaded' | 'confirmedAt'>;
  /** The known instance types; empty until the first catalog has been read from the cloud or the store. */
  readonly types: { readonly size: number };
}

/** Decides whether this controller should receive requests. */
export class HealthCheck {
  private cutOffSince: SteadyMs | null = null;

  constructor(private readonly context: HealthContext) {}

  /** Answers 200 or 503. Each call also records whether the controller is cut off at this moment. */
  answer(): HttpResponse {
    const { storeCache, types, clock } = this.context;
    const started = storeCache.loaded && types.size > 0;
    const cutOff = this.isCutOff(clock.now());
    if (started && !cutOff) return { status: 200, body: { ok: true } };
    return { status: 503, body: { error: started ? 'cut off from the state service' : 'starting' } };
  }

  /**
   * Returns whether the controller has been cut off for the grace time. Prevents: when a store outage ends, some
   * controllers are served a moment before the others, and the others report themselves unhealthy.
   */
  private isCutOff(now: SteadyMs): boolean {
    this.cutOffSince = this.isCutOffNow(now) ? (this.cutOffSince ?? now) : null;
    return this.cutOffSince !== null && now - this.cutOffSince >= CUT_OFF_GRACE_MS;
  }

  /**
   * Returns whether the store answers peers but not this controller, or neither the store nor any peer can be reached.
   * In a store outage that affects all controllers, every controller remains healthy.
   */
  private isCutOffNow(now: SteadyMs): boolean {
    const { peers, settings, storeCache } = this.context;
    const storeStale = now - storeCache.confirmedAt > STORE_STALE_AFTER_MS;
    if (!storeStale) return false;
    const reachablePeers = peers.peersAnnouncedWithin(millis(PEER_LIVENESS_TIMEOUT_MS), now);
    const isolated = settings.peers.length > 0 && reachablePeers.length === 0;
    return isolated || reachablePeers.some((peer) => peer.storeHealthy);
  }
}
