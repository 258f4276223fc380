/**
 * What the other controllers announced last. All of it are hints: an announcement may be lost or late, so nothing here
 * permits a command or a write.
 */
import type { Resources } from '../model/resources.js';
import type { ControllerId, Incarnation, JobId, Millis, ShardId, SteadyMs, TeamId } from '../model/units.js';
import type { RateUsage } from './messages.js';

/** What a peer last announced about itself. */
export interface PeerStatus {
  /** When the announcement arrived, on this process's clock. */
  readonly heardAt: SteadyMs;
  readonly incarnation: Incarnation;
  /** Whether the store answered the peer. */
  readonly storeHealthy: boolean;
  /** Requests and writes per second that the peer sends to the store. */
  readonly storeUsage: RateUsage;
  readonly runningTasks: ReadonlyMap<JobId, number>;
  /** Machines that sent their heartbeats to the peer because the leader of their shard does not answer them. */
  readonly redirectedHeartbeats: ReadonlyMap<ShardId, number>;
}

/** What the leader of a shard last announced about the teams in it. */
export interface ShardAnnouncement {
  readonly expiresAt: SteadyMs;
  /** Resources in use, by team. */
  readonly usage: ReadonlyMap<TeamId, Resources>;
  /** Quota that the shard could transfer, by team. */
  readonly unusedQuota: ReadonlyMap<TeamId, Resources>;
}

/** The last status of every peer that was ever heard. */
export class PeerDirectory {
  private readonly statuses = new Map<ControllerId, PeerStatus>();

  get(peer: ControllerId): PeerStatus | undefined {
    return this.statuses.get(peer);
  }

  /** Replaces what the peer announced before. */
  set(peer: ControllerId, status: PeerStatus): void {
    this.statuses.set(peer, status);
  }

  /** Every status, however old. */
  values(): Iterable<PeerStatus> {
    return this.statuses.values();
  }

  /** Whether an announcement of the peer arrived less than `within` ago. */
  heardWithin(peer: ControllerId, within: Millis, now: SteadyMs): boolean {
    const status = this.statuses.get(peer);
    return status !== undefined && now - status.heardAt < within;
  }

  /** The peers whose last announcement arrived less than `within` ago. */
  allHeardWithin(within: Millis, now: SteadyMs): PeerStatus[] {
    return [...this.statuses.values()].filter((status) => now - status.heardAt < within);
  }
}
