/**
 * The latest announcements of the other controllers. They are only hints: an announcement may be lost or late, so they
 * must never authorize a command or a write.
 */
import type { Resources } from '../model/resources.js';
import type { ControllerId, Incarnation, JobId, Millis, ShardId, SteadyMs, TeamId } from '../model/units.js';
import type { RateUsage } from './messages.js';

/** A peer's latest announcement about itself. */
export interface PeerStatus {
  /** When the announcement arrived, on this process's clock. */
  readonly lastAnnouncementAt: SteadyMs;
  readonly incarnation: Incarnation;
  /** Whether the store answered the peer. */
  readonly storeHealthy: boolean;
  /** The peer's use of the store's rate limits, per second. */
  readonly storeUsage: RateUsage;
  readonly runningTasks: ReadonlyMap<JobId, number>;
  /** By shard, the machines that send their heartbeats to the peer because the shard's leader does not answer them. */
  readonly redirectedHeartbeats: ReadonlyMap<ShardId, number>;
}

/** The latest announcement of a shard's leader about the teams in the shard. */
export interface ShardAnnouncement {
  readonly expiresAt: SteadyMs;
  /** Resources in use, by team. */
  readonly usage: ReadonlyMap<TeamId, Resources>;
  /** Quota that the shard could transfer, by team. */
  readonly unusedQuota: ReadonlyMap<TeamId, Resources>;
}

/** Holds the latest status of every peer that has sent an announcement. */
export class PeerDirectory {
  private readonly statuses = new Map<ControllerId, PeerStatus>();

  get(peer: ControllerId): PeerStatus | undefined {
    return this.statuses.get(peer);
  }

  /** Replaces the peer's previous status. */
  set(peer: ControllerId, status: PeerStatus): void {
    this.statuses.set(peer, status);
  }

  /** Returns the status of all peers, regardless of age. */
  values(): Iterable<PeerStatus> {
    return this.statuses.values();
  }

  /** Whether an announcement of the peer arrived less than `within` ago. */
  hasAnnouncedWithin(peer: ControllerId, within: Millis, now: SteadyMs): boolean {
    const status = this.statuses.get(peer);
    return status !== undefined && now - status.lastAnnouncementAt < within;
  }

  /** Returns the status of the peers whose last announcement arrived less than `within` ago. */
  peersAnnouncedWithin(within: Millis, now: SteadyMs): PeerStatus[] {
    return [...this.statuses.values()].filter((status) => now - status.lastAnnouncementAt < within);
  }
}
