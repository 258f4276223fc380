/**
 * Decides which remainders of a team's quota a shard gives away: the unused quota must have been too small for any of
 * the shard's waiting tasks for some time. The delay is needed because one of the shard's own tasks may end and make
 * the remainder usable there.
 */
import type { QuotaTransferRequest } from '../peers/messages.js';
import { ZERO, type Resources } from '../model/resources.js';
import type { Shard } from '../shards/model.js';
import type { SteadyMs } from '../model/units.js';
import type { QuotaDemand } from './quota-demand.js';
import { shardTeamKey, type ShardTeamKey } from './quota-ledger.js';
import { fitsAnyTask, mayTransferRemainder } from './quota-remainder.js';

/** How long a remainder must be idle before it is given away. */
const MIN_IDLE_MS = 5000;

/** Tracks since when remainders have been idle; they are checked when they are requested. */
export class IdleRemainders {
  private readonly idleSince = new Map<ShardTeamKey, SteadyMs>();

  constructor(private readonly demand: QuotaDemand) {}

  /** Returns the part of its remainder that the shard gives in answer to the request. */
  transferable(shard: Shard, request: QuotaTransferRequest, now: SteadyMs): Resources {
    const key = shardTeamKey(shard.id, request.team);
    const remaining = this.demand.remaining(shard, request.team);
    if (this.isNeeded(shard, request, remaining)) {
      this.idleSince.delete(key);
      return ZERO;
    }
    const since = this.idleSince.get(key) ?? now;
    this.idleSince.set(key, since);
    if (
      now - since < MIN_IDLE_MS ||
      !mayTransferRemainder(shard.id, request.requestingShard, remaining, request)
    )
      return ZERO;
    this.idleSince.delete(key);
    return this.demand.transferable(shard, request.team, request, ZERO);
  }

  /** Whether the shard may need the remainder itself. */
  private isNeeded(shard: Shard, { team }: QuotaTransferRequest, remaining: Resources): boolean {
    if (shard.quotaReservations.has(team) || !shard.reconciled) return true;
    return fitsAnyTask(remaining, this.demand.waitingTasks(shard, team));
  }
}
