/**
 * Checks a shard's machines periodically for expired leases, and for unacknowledged launches that a higher fencing
 * token must rule out. The rules are in `release-rules.ts`.
 */
import type { Log } from '../logging/log.js';
import type { Settings } from '../settings/settings.js';
import type { Machine, Shard, UnacknowledgedLaunch } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { AgentEpoch, Clock, SteadyMs } from '../model/units.js';
import { elapsed, millis } from '../model/units.js';
import type { ShardUpdates } from './shard-updates.js';
import {
  hasUnacknowledgedLaunch,
  isLeaseExpired,
  previousLeaderTimeout,
  releaseAll,
  type LeaseTerms,
} from './release-rules.js';

/** The fencing token is raised to rule out a direct launch that has had no reply for this time. */
const UNACKNOWLEDGED_LAUNCH_TIMEOUT_MS = 3000;
/** A machine without a message for this many heartbeat intervals would not receive a higher token either. */
const MAX_SILENT_INTERVALS = 2;

/** The parts of the controller that lease expiry uses. */
export interface LeaseExpiryDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'cancelS'>;
  readonly storeCache: Pick<StoreCache, 'confirmedAt'>;
  readonly heartbeatIntervalMs: number;
  readonly leaseDurationMs: number;
}

/** Raises the fencing token of a shard that this controller leads; the promise also resolves if the attempt fails. */
export interface FencingTokenIssuer {
  raiseFencingToken(shard: Shard): Promise<void>;
}

/** Expires leases, and requests a higher fencing token where a launch remains unacknowledged. */
export class LeaseExpiry {
  constructor(
    private readonly controller: LeaseExpiryDependencies,
    private readonly tokenIssuer: FencingTokenIssuer,
    private readonly shardUpdates: Pick<ShardUpdates, 'onShardChanged'>,
  ) {}

  /** Checks all machines of a shard. */
  expire(shard: Shard): void {
    const now = this.controller.clock.now();
    const terms = this.leaseTerms();
    for (const machine of shard.machines.values()) this.expireLease(shard, machine, now, terms);
    this.raiseFencingTokenIfNeeded(shard, now);
    this.shardUpdates.onShardChanged(shard);
  }

  private leaseTerms(): LeaseTerms {
    const { settings, storeCache, leaseDurationMs } = this.controller;
    return {
      leaseDuration: millis(leaseDurationMs),
      previousLeaderTimeout: previousLeaderTimeout(settings.cancelS),
      confirmedAt: storeCache.confirmedAt,
    };
  }

  private expireLease(shard: Shard, machine: Machine, now: SteadyMs, terms: LeaseTerms): void {
    if (hasNothingToRelease(machine) || !isLeaseExpired(shard, machine, now, terms)) return;
    this.controller.log.info(
      {
        machine: machine.id,
        shard: shard.id,
        allocations: machine.allocations.size,
        fencingToken: shard.fencingToken,
        agentEpoch: machine.agentEpoch,
        sequence: machine.sequence,
        silentMs: machine.lastHeartbeatAt === null ? null : elapsed(now, machine.lastHeartbeatAt),
        confirmedMsAgo: now - terms.confirmedAt,
      },
      'lease expired',
    );
    releaseAll(shard, machine, this.controller.log);
    machine.minimumAgentEpoch = Math.max(machine.minimumAgentEpoch, machine.agentEpoch + 1) as AgentEpoch;
    shard.markReconciled(machine);
  }

  /** Does not await the result: the next check reads the shard's fencing token and retries if necessary. */
  private raiseFencingTokenIfNeeded(shard: Shard, now: SteadyMs): void {
    if (this.hasOverdueLaunch(shard, now)) {
      this.controller.log.info(
        { shard: shard.id },
        'raising the fencing token to rule out unacknowledged launches',
      );
      void this.tokenIssuer.raiseFencingToken(shard);
    }
    if (shard.tokens.needsNewRange) void this.tokenIssuer.raiseFencingToken(shard);
  }

  /**
   * Considers only machines that are not silent and have not seen a higher token: otherwise one silent machine would
   * cause the token to be raised again and again.
   */
  private hasOverdueLaunch(shard: Shard, now: SteadyMs): boolean {
    for (const machine of shard.machines.values()) {
      const token = shard.tokens.tokenOf(machine);
      const isOverdue = (launch: UnacknowledgedLaunch): boolean =>
        launch.fencingToken >= token && elapsed(now, launch.sentAt) > UNACKNOWLEDGED_LAUNCH_TIMEOUT_MS;
      if (this.isSilent(machine, now) || machine.fencingToken > token) continue;
      if (hasUnacknowledgedLaunch(machine, isOverdue)) return true;
    }
    return false;
  }

  private isSilent({ lastMessageAt }: Machine, now: SteadyMs): boolean {
    return (
      lastMessageAt === null ||
      elapsed(now, lastMessageAt) > this.controller.heartbeatIntervalMs * MAX_SILENT_INTERVALS
    );
  }
}

/**
 * Returns true for a reconciled machine that has never sent a status, or that has no allocation or exited task left.
 */
function hasNothingToRelease(machine: Machine): boolean {
  if (!machine.reconciled) return false;
  if (machine.lastHeartbeatAt === null && machine.agentEpochSeenAt === null) return true;
  return machine.allocations.size === 0 && machine.exitedTasks.size === 0;
}
