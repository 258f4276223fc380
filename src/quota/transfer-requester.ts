/**
 * Chooses the shards from which a shard requests quota for its waiting tasks, and sends the requests. A request is only
 * a hint: if it is lost, the next scheduling cycle in which the tasks still wait sends another.
 */
import { encodePeerMessage } from '../peers/codec.js';
import type { QuotaTransferPurpose, QuotaTransferRequest } from '../peers/messages.js';
import { fittingRatio, isZero, RESOURCE_KINDS, UNLIMITED, ZERO, type Resources } from '../model/resources.js';
import type { Shard } from '../shards/model.js';
import type { ShardId, SteadyMs, TeamId } from '../model/units.js';
import type { QuotaRequesterContext } from './dependencies.js';
import type { QuotaDemand } from './quota-demand.js';
import { shardTeamKey, type ShardTeamKey } from './quota-ledger.js';
import { missingForClosestTask } from './quota-remainder.js';

/** Minimum interval between two requests of a shard for a team. */
const REQUEST_INTERVAL_MS = 250;
/** Minimum interval between two requests of a shard for the remainders of a team's quota. */
const REMAINDER_REQUEST_INTERVAL_MS = 1000;

/** The time of the last request by shard and team. */
type RequestTimes = Map<ShardTeamKey, SteadyMs>;

function requestedWithin(times: RequestTimes, key: ShardTeamKey, now: SteadyMs, intervalMs: number): boolean {
  const requestedAt = times.get(key);
  return requestedAt !== undefined && now - requestedAt < intervalMs;
}

/** Requests quota from other shards. */
export class QuotaTransferRequester {
  private readonly requestTimes: RequestTimes = new Map();
  private readonly remainderRequestTimes: RequestTimes = new Map();

  constructor(
    private readonly context: QuotaRequesterContext,
    private readonly demand: QuotaDemand,
    /** Handles a request to a shard that this controller leads itself. */
    private readonly handleLocally: (request: QuotaTransferRequest) => void,
  ) {}

  /**
   * Requests quota for the team's tasks in the shard that wait for it and need `waiting` in total. The shortfall is
   * requested from the shard with the most unused quota, or as remainders from all other shards if none has unused
   * quota.
   */
  requestQuota(shard: Shard, team: TeamId, waiting: Resources): void {
    const now = this.context.clock.now();
    const key = shardTeamKey(shard.id, team);
    if (requestedWithin(this.requestTimes, key, now, REQUEST_INTERVAL_MS)) return;
    const reservation = shard.quotaReservations.get(team);
    if (reservation) this.requestForReservation(shard, team, reservation, now);
    const amount = this.demand.shortfall(shard, team, waiting);
    if (isZero(amount)) return;
    const donor = this.shardWithMostUnused(shard.id, team, amount, now);
    if (donor !== null) {
      this.requestTimes.set(key, now);
      this.send(shard.id, donor, team, amount, 'waiting');
    } else if (!reservation) this.requestRemainders(shard, team, now);
  }

  /** Returns the other shard with the most unused quota, or null if none is known to have any. */
  private shardWithMostUnused(
    requester: ShardId,
    team: TeamId,
    amount: Resources,
    now: SteadyMs,
  ): ShardId | null {
    let donor: { readonly shard: ShardId; readonly ratio: number } | null = null;
    for (const { shard } of this.context.settings.shards) {
      if (shard === requester) continue;
      const ratio = fittingRatio(this.unusedQuota(shard, team, now), amount);
      if (ratio > 0 && (!donor || ratio > donor.ratio)) donor = { shard, ratio };
    }
    return donor?.shard ?? null;
  }

  /** Returns a shard's unused quota: computed if this controller leads the shard, otherwise as announced. */
  private unusedQuota(shardId: ShardId, team: TeamId, now: SteadyMs): Resources {
    const shard = this.context.shards.get(shardId);
    if (shard) return this.demand.transferable(shard, team, UNLIMITED);
    const announcement = this.context.shardAnnouncements.get(shardId);
    return announcement && announcement.expiresAt > now ? (announcement.unusedQuota.get(team) ?? ZERO) : ZERO;
  }

  /**
   * Requests from every other shard the quota that is missing for a reservation: each may have an amount that is too
   * small for any task.
   */
  private requestForReservation(shard: Shard, team: TeamId, reservation: Resources, now: SteadyMs): void {
    const missing = this.demand.missingForReservation(shard, team, reservation);
    if (RESOURCE_KINDS.every((kind) => missing[kind] <= 0)) return;
    this.requestTimes.set(shardTeamKey(shard.id, team), now);
    this.sendToAllOthers(shard.id, team, missing, 'reservation');
  }

  /** Requests the remainders of all other shards, because no shard has announced unused quota. */
  private requestRemainders(shard: Shard, team: TeamId, now: SteadyMs): void {
    const key = shardTeamKey(shard.id, team);
    if (requestedWithin(this.remainderRequestTimes, key, now, REMAINDER_REQUEST_INTERVAL_MS)) return;
    const missing = missingForClosestTask(
      this.demand.remaining(shard, team),
      this.demand.waitingTasks(shard, team),
      this.demand.teamQuota(team),
    );
    if (!missing) return;
    this.remainderRequestTimes.set(key, now);
    this.sendToAllOthers(shard.id, team, missing, 'remainder');
  }

  private sendToAllOthers(
    from: ShardId,
    team: TeamId,
    amount: Resources,
    purpose: QuotaTransferPurpose,
  ): void {
    for (const { shard: to } of this.context.settings.shards)
      if (to !== from) this.send(from, to, team, amount, purpose);
  }

  private send(
    from: ShardId,
    to: ShardId,
    team: TeamId,
    amount: Resources,
    purpose: QuotaTransferPurpose,
  ): void {
    const request: QuotaTransferRequest = {
      kind: 'quotaTransferRequest',
      requestingShard: from,
      donorShard: to,
      team,
      ...amount,
      purpose,
    };
    if (this.context.shards.has(to)) {
      this.handleLocally(request);
      return;
    }
    const leader = this.context.shardRecord(to)?.leader;
    if (leader) this.context.peerTransport.send(leader, encodePeerMessage(request));
  }
}
