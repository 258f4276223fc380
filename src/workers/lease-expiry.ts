/** Ends what only time ends: leases that certainly ran out, and direct launches that nobody answered. */
import type { Core } from '../core.js';
import type { UnacknowledgedLaunch, Machine, Shard } from '../shards/model.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import type { AgentEpoch, SteadyMs } from '../model/units.js';
import type { ShardUpdates } from './shard-updates.js';
import { endAgentEpoch } from './reconciliation.js';

/** A direct launch without an answer is settled by a higher token after this time. */
const UNACKNOWLEDGED_LAUNCH_TIMEOUT_MS = 3000;

/** Looks through a pool's machines at intervals. */
export class LeaseExpiry {
  constructor(
    private readonly core: Core,
    private readonly leadership: ShardLeadership,
    private readonly shardUpdates: ShardUpdates,
  ) {}

  /** Leases that certainly ran out, and unresolved launches that only a higher token can end. */
  expire(shard: Shard): void {
    const now = this.core.clock.now();
    for (const machine of shard.machines.values()) this.expireLease(shard, machine, now);
    if (this.hasOverdueLaunch(shard, now)) {
      this.core.log.info({ part: shard.id }, 'raising the token to settle direct orders without an answer');
      void this.leadership.raiseFencingToken(shard);
    }
    if (shard.needsNewFencingToken) void this.leadership.raiseFencingToken(shard);
    this.shardUpdates.onShardChanged(shard);
  }

  private hasOverdueLaunch(shard: Shard, now: SteadyMs): boolean {
    for (const machine of shard.machines.values()) {
      const silent =
        machine.lastHeardAt === null || now - machine.lastHeardAt > this.core.heartbeatIntervalMs * 2;
      if (silent || machine.fencingToken > shard.fencingToken) continue;
      for (const allocation of machine.allocations.values())
        if (isOverdue(allocation.unacknowledged, shard, now)) return true;
      for (const exitedTask of machine.exitedTasks.values())
        if (isOverdue(exitedTask.unacknowledged, shard, now)) return true;
    }
    return false;
  }

  private expireLease(shard: Shard, machine: Machine, now: SteadyMs): void {
    // Registered since our claim and not heard of: it holds nothing.
    if (machine.lastHeartbeatAt === null && machine.reconciled && machine.agentEpochSeenAt === null) return;
    // Until then an owner before us may have answered it: that one stops when its view is too old. A machine that
    // answers calls and whose reports do not arrive has shown our token, and not when its lease was last renewed.
    const reported = machine.reconciled && machine.lastHeartbeatAt !== null;
    const earliestEnd = reported ? 0 : shard.acquiredAt + this.core.settings.cancelS * 1001;
    // A direct answer may have shown a new session before any report of it: that one has a lease of its own, and what
    // was started in it since does not end with the old one.
    const renewedAt = Math.max(machine.lastHeartbeatAt ?? 0, machine.agentEpochSeenAt ?? 0);
    const leaseEnd = Math.max(earliestEnd, renewedAt + this.core.leaseDurationMs);
    // Not before we know that we were still the owner then: a successor may be renewing that lease.
    if (now < leaseEnd || this.core.storeCache.confirmedAt < leaseEnd) return;
    if (machine.reconciled && machine.allocations.size === 0 && machine.exitedTasks.size === 0) return;
    this.core.log.info(
      { machine: machine.id, part: shard.id, bound: machine.allocations.size },
      'lease certainly over',
    );
    endAgentEpoch(shard, machine, this.core);
    machine.minimumAgentEpoch = Math.max(machine.minimumAgentEpoch, machine.agentEpoch + 1) as AgentEpoch;
    shard.markReconciled(machine);
  }
}

function isOverdue(launch: UnacknowledgedLaunch | null, shard: Shard, now: SteadyMs): boolean {
  return (
    launch !== null &&
    launch.fencingToken >= shard.fencingToken &&
    now - launch.sentAt > UNACKNOWLEDGED_LAUNCH_TIMEOUT_MS
  );
}
