/**
 * Which remainders of a team's quota a shard gives away: what it has left is too little for any of its waiting tasks, and
 * has been for some time. Earlier would be too early: one of its own tasks may end and make the remainder useful here.
 */
import type { QuotaTransferRequest } from '../peers/messages.js';
import { ZERO, type Resources } from '../model/resources.js';
import type { Shard } from '../shards/model.js';
import type { SteadyMs } from '../model/units.js';
import type { QuotaDemand } from './quota-demand.js';
import { shardTeamKey, type ShardTeamKey } from './quota-ledger.js';
import { fitsAnyTask, mayTransferRemainder } from './quota-remainder.js';

/** For how long a remainder is idle before it is given away, in milliseconds. */
const MIN_IDLE_MS = 5000;

/** Follows since when remainders are idle, as found by the requests for them. */
export class IdleRemainders {
  private readonly idleSince = new Map<ShardTeamKey, SteadyMs>();

  constructor(private readonly demand: QuotaDemand) {}

  /** What the shard gives of its remainder in answer to the request. */
  transferable(shard: Shard, request: QuotaTransferRequest, now: SteadyMs): Resources {
    const key = shardTeamKey(shard.id, request.team);
    const remaining = this.demand.remaining(shard, request.team);
    if (this.isUseful(shard, request, remaining)) {
      this.idleSince.delete(key);
      return ZERO;
    }
    const since = this.idleSince.get(key) ?? now;
    this.idleSince.set(key, since);
    if (now - since < MIN_IDLE_MS || !mayTransferRemainder(shard.id, request.from, remaining, request))
      return ZERO;
    this.idleSince.delete(key);
    return this.demand.transferable(shard, request.team, request, ZERO);
  }

  /** The shard may need the remainder itself. */
  private isUseful(shard: Shard, { team }: QuotaTransferRequest, remaining: Resources): boolean {
    if (shard.quotaReservations.has(team) || !shard.reconciled) return true;
    return fitsAnyTask(remaining, this.demand.waitingTasks(shard, team));
  }
}
