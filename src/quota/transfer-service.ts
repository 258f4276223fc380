/** Moves unused shares of teams' limits to the parts where the teams' tasks wait. */
import type { Core } from '../core.js';
import { encodePeerMessage } from '../peers/codec.js';
import type { QuotaTransferRequest } from '../peers/messages.js';
import {
  add,
  addTo,
  isZero,
  mapResources,
  RESOURCE_KINDS,
  subtract,
  fittingRatio,
  UNLIMITED,
  ZERO,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import { minimumToStart, usageOf, type Shard, type ShardJob } from '../shards/model.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { ShardId, Revision, SteadyMs, TeamId } from '../model/units.js';
import { fitsAnyTask, mayTransferRemainder, missingForClosestTask } from './quota-remainder.js';
import {
  decodeQuotas,
  encodeQuotas,
  transferableQuota,
  moveQuota,
  quotaKey,
  type ShardQuotas,
} from './shard-quota.js';

const REQUEST_INTERVAL_MS = 250;
/** Between two requests for remainders, and for how long nothing could be started with one before it is given. */
const REMAINDER_REQUEST_INTERVAL_MS = 1000;
const REMAINDER_IDLE_MS = 5000;
/** Of what a team uses on a part, or of an even share: what may find room there before some could be asked back. */
const NEAR_TERM_FRACTION = 0.1;

export class QuotaTransferService {
  /** What we gave in a write whose outcome is open: subtracted before it is sent. */
  private readonly pendingTransfers = new Map<string, Resources>();
  private readonly lastRequestAt = new Map<string, SteadyMs>();
  private readonly lastRemainderRequestAt = new Map<string, SteadyMs>();
  /** Since when requests found that a part of ours can start nothing with what it has left of its share. */
  private readonly idleSince = new Map<string, SteadyMs>();
  private readonly decodedQuotas = new Map<TeamId, { shares: ShardQuotas; version: Revision }>();

  constructor(private readonly core: Core) {}

  private quotasOf(team: TeamId): { shares: ShardQuotas; version: Revision } | null {
    const settings = this.core.settings.teams.get(team);
    if (!settings) return null;
    const key = quotaKey(team);
    const version = this.core.storeCache.version(key);
    const current = this.decodedQuotas.get(team);
    if (current?.version === version) return current;
    const shares = decodeQuotas(
      this.core.storeCache.get(key)?.value,
      settings,
      this.core.settings.shards.length,
    );
    const fresh = { shares, version };
    this.decodedQuotas.set(team, fresh);
    return fresh;
  }

  /** What a part of ours may use: its share less what it is giving away. */
  shardQuota(shardId: ShardId, team: TeamId): Resources {
    const share = this.quotasOf(team)?.shares[shardId] ?? ZERO;
    const pendingAmount = this.pendingTransfers.get(`${shardId}/${team}`);
    return pendingAmount ? subtract(share, pendingAmount) : share;
  }

  /**
   * What the team's tasks that wait here could use soon. Where they wait for room, the share waits with them for
   * nothing, while a peer may have room and no share.
   */
  private demand(shard: Shard, team: TeamId): Resources {
    const ordinary = this.ordinaryDemand(shard, team);
    const reservation = shard.quotaReservations.get(team);
    if (!reservation) return ordinary;
    return mapResources((kind) => Math.max(ordinary[kind], reservation[kind]));
  }

  private ordinaryDemand(shard: Shard, team: TeamId): Resources {
    const demand = this.waitingDemand(shard, team);
    if (!shard.teamsBlockedByCapacity.has(team)) return demand;
    const used = shard.totals.usageByTeam.get(team) ?? ZERO;
    const limit = this.core.settings.teams.get(team)?.quota ?? ZERO;
    const evenFraction = 1 / this.core.settings.shards.length;
    return mapResources((kind) => {
      const nearTerm = NEAR_TERM_FRACTION * Math.max(used[kind], limit[kind] * evenFraction);
      return Math.min(demand[kind], Math.ceil(nearTerm));
    });
  }

  private waitingDemand(shard: Shard, team: TeamId): Resources {
    const sum: MutableResources = { ...ZERO };
    for (const job of this.waitingJobs(shard, team))
      addTo(sum, job.spec, job.waiting.size + job.unaccounted.size);
    return sum;
  }

  private waitingJobs(shard: Shard, team: TeamId): ShardJob[] {
    const jobs = [...(shard.reconciled ? shard.queue : shard.jobs.values())];
    return jobs.filter((job) => job.spec.team === team && job.waiting.size + job.unaccounted.size > 0);
  }

  private waitingTasks(shard: Shard, team: TeamId): Resources[] {
    return this.waitingJobs(shard, team).map(minimumToStart);
  }

  /** Of our share; of what is unlimited there is no end, whatever is used. */
  private remainingQuota(shard: Shard, team: TeamId): Resources {
    const share = this.shardQuota(shard.id, team);
    const used = this.usedQuota(shard, team);
    return mapResources((kind) => (share[kind] === Infinity ? Infinity : share[kind] - used[kind]));
  }

  private usedQuota(shard: Shard, team: TeamId): Resources {
    const usage = usageOf(shard);
    return add(usage.byTeam.get(team) ?? ZERO, usage.unattributed);
  }

  /** Of two parts that gather for the same team the one with the lower number goes first. */
  private demandAgainst(shard: Shard, request: QuotaTransferRequest): Resources {
    if (request.purpose !== 'reservation') return this.demand(shard, request.team);
    const first = request.from < shard.id ? undefined : shard.quotaReservations.get(request.team);
    return first ?? ZERO;
  }

  private transferable(
    shard: Shard,
    team: TeamId,
    requested: Resources,
    reservedDemand = this.demand(shard, team),
  ): Resources {
    return transferableQuota(
      this.shardQuota(shard.id, team),
      this.usedQuota(shard, team),
      reservedDemand,
      requested,
    );
  }

  /** Unused shares by team, for the announcements. */
  unusedQuota(shard: Shard): Map<TeamId, Resources> {
    const unused = new Map<TeamId, Resources>();
    for (const team of this.core.settings.teams.keys()) {
      const amount = this.transferable(shard, team, UNLIMITED);
      const whole = mapResources((kind) => Math.floor(amount[kind]));
      if (!isZero(whole)) unused.set(team, whole);
    }
    return unused;
  }

  /** Of what the team's tasks wait for here, the limited resources of which our share has too little left. */
  private shortfall(shard: Shard, team: TeamId, amount: Resources): Resources {
    const share = this.shardQuota(shard.id, team);
    const remaining = subtract(share, this.usedQuota(shard, team));
    const limited = mapResources((kind) => (share[kind] === Infinity ? 0 : amount[kind]));
    const short = mapResources((kind) => (limited[kind] > remaining[kind] ? limited[kind] : 0));
    // Places that are kept for some of them count as well, and are in no sum yet.
    return isZero(short) ? limited : short;
  }

  /** Tasks of the team wait for its limit here: asks the part that announced most to spare of what is short. */
  requestQuota(shard: Shard, team: TeamId, waiting: Resources): void {
    const now = this.core.clock.now();
    const key = `${shard.id}/${team}`;
    if (now - (this.lastRequestAt.get(key) ?? -1e12) < REQUEST_INTERVAL_MS) return;
    const reservation = shard.quotaReservations.get(team);
    if (reservation) this.requestForReservation(shard, team, reservation, now);
    const amount = this.shortfall(shard, team, waiting);
    if (isZero(amount)) return;
    let best: { part: ShardId; spare: number } | null = null;
    for (const { shard: otherShard } of this.core.settings.shards) {
      if (otherShard === shard.id) continue;
      const spare = fittingRatio(this.unusedQuotaOf(otherShard, team, now), amount);
      if (spare > 0 && (!best || spare > best.spare)) best = { part: otherShard, spare };
    }
    if (!best) {
      if (!reservation) this.requestRemainders(shard, team, now);
      return;
    }
    this.lastRequestAt.set(key, now);
    this.send({
      kind: 'quotaTransferRequest',
      from: shard.id,
      to: best.part,
      team,
      ...amount,
      purpose: 'waiting',
    });
  }

  private send(request: QuotaTransferRequest): void {
    if (this.core.shards.has(request.to)) void this.handleRequest(request);
    else {
      const leader = this.core.shardRecord(request.to)?.leader;
      if (leader) this.core.peerTransport.send(leader, encodePeerMessage(request));
    }
  }

  /** What is missing for one task, asked of every other part: each may have a piece that is too small for any task. */
  private requestForReservation(shard: Shard, team: TeamId, needed: Resources, now: SteadyMs): void {
    const remaining = subtract(this.shardQuota(shard.id, team), shard.totals.usageByTeam.get(team) ?? ZERO);
    const missing = mapResources((kind) => Math.max(0, needed[kind] - remaining[kind]));
    if (RESOURCE_KINDS.every((kind) => missing[kind] <= 0)) return;
    this.lastRequestAt.set(`${shard.id}/${team}`, now);
    for (const { shard: otherShard } of this.core.settings.shards)
      if (otherShard !== shard.id)
        this.send({
          kind: 'quotaTransferRequest',
          from: shard.id,
          to: otherShard,
          team,
          ...missing,
          purpose: 'reservation',
        });
  }

  /** Nobody has announced anything to spare: asks every other part for what it can start nothing with. */
  private requestRemainders(shard: Shard, team: TeamId, now: SteadyMs): void {
    const key = `${shard.id}/${team}`;
    if (now - (this.lastRemainderRequestAt.get(key) ?? -Infinity) < REMAINDER_REQUEST_INTERVAL_MS) return;
    const limit = this.core.settings.teams.get(team)?.quota ?? ZERO;
    const missing = missingForClosestTask(
      this.remainingQuota(shard, team),
      this.waitingTasks(shard, team),
      limit,
    );
    if (!missing) return;
    this.lastRemainderRequestAt.set(key, now);
    for (const { shard: otherShard } of this.core.settings.shards)
      if (otherShard !== shard.id)
        this.send({
          kind: 'quotaTransferRequest',
          from: shard.id,
          to: otherShard,
          team,
          ...missing,
          purpose: 'remainder',
        });
  }

  /** What is left of our share once it has been idle for some time: a task of ours may end and make it useful. */
  private transferableRemainder(shard: Shard, request: QuotaTransferRequest): Resources {
    const key = `${shard.id}/${request.team}`;
    const now = this.core.clock.now();
    const remaining = this.remainingQuota(shard, request.team);
    const keeps = shard.quotaReservations.has(request.team) || !shard.reconciled;
    if (keeps || fitsAnyTask(remaining, this.waitingTasks(shard, request.team))) {
      this.idleSince.delete(key);
      return ZERO;
    }
    const since = this.idleSince.get(key) ?? now;
    this.idleSince.set(key, since);
    if (now - since < REMAINDER_IDLE_MS || !mayTransferRemainder(shard.id, request.from, remaining, request))
      return ZERO;
    this.idleSince.delete(key);
    return this.transferable(shard, request.team, request, ZERO);
  }

  private transferAmount(shard: Shard, request: QuotaTransferRequest): Resources {
    if (request.purpose === 'remainder') return this.transferableRemainder(shard, request);
    return this.transferable(shard, request.team, request, this.demandAgainst(shard, request));
  }

  private unusedQuotaOf(shardId: ShardId, team: TeamId, now: SteadyMs): Resources {
    const shard = this.core.shards.get(shardId);
    if (shard) return this.transferable(shard, team, UNLIMITED);
    const announcement = this.core.shardAnnouncements.get(shardId);
    return announcement && announcement.expiresAt > now ? (announcement.unusedQuota.get(team) ?? ZERO) : ZERO;
  }

  /** Gives what is unused, in one write on condition that we still own the part. */
  async handleRequest(request: QuotaTransferRequest): Promise<void> {
    const { core } = this;
    const shard = core.shards.get(request.to);
    const team = core.settings.teams.get(request.team);
    const pendingKey = `${request.to}/${request.team}`;
    const current = this.quotasOf(request.team);
    if (
      !shard ||
      !team ||
      !current ||
      this.pendingTransfers.has(pendingKey) ||
      request.from === request.to ||
      !current.shares[request.from]
    )
      return;
    const amount = this.transferAmount(shard, request);
    if (RESOURCE_KINDS.every((kind) => amount[kind] <= 0)) return;
    this.pendingTransfers.set(pendingKey, amount);
    const value = encodeQuotas(team, moveQuota(current.shares, request.to, request.from, amount));
    const key = quotaKey(request.team);
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: current.version }, core.leaderCondition(shard)],
      [{ op: 'put', key, value }],
      RequestPriority.handOver,
    );
    await core.exclusive(() => {
      if (result.kind === 'done') core.storeCache.apply(key, value, result.revision);
    });
    // After a conflict the record has moved on; until the feed shows it, what was given stays subtracted.
    if (result.kind === 'conflict') await this.awaitNewerQuota(key, current.version, shard);
    this.pendingTransfers.delete(pendingKey);
    core.log.debug(
      {
        team: request.team,
        from: request.to,
        to: request.from,
        amount,
        result: result.kind,
      },
      'share moved',
    );
    core.requestCycle();
  }

  private async awaitNewerQuota(
    key: ReturnType<typeof quotaKey>,
    version: Revision,
    shard: Shard,
  ): Promise<void> {
    for (let i = 0; i < 300; i += 1) {
      const hasChanged =
        this.core.storeCache.version(key) !== version || this.core.shards.get(shard.id) !== shard;
      if (hasChanged || this.core.leaderCondition(shard).version !== shard.version) return;
      const read = await this.core.store.get(key, RequestPriority.handOver);
      if (read.kind === 'found')
        await this.core.exclusive(() =>
          this.core.storeCache.apply(key, read.entry.value, read.entry.version),
        );
      if (read.kind === 'absent' || (read.kind === 'found' && read.entry.version === version)) return;
      await this.core.sleep(100 as never);
    }
  }
}
