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
import { fitsAny, mayMove, missingForOne } from './remainder.js';
import { decodeShares, encodeShares, transferableQuota, moveShare, quotaKey, type Shares } from './shares.js';

const ASK_GAP = 250;
/** Between two requests for remainders, and for how long nothing could be started with one before it is given. */
const REMAINDER_ASK_GAP = 1000;
const REMAINDER_IDLE = 5000;
/** Of what a team uses on a part, or of an even share: what may find room there before some could be asked back. */
const SOON = 0.1;

export class QuotaTransferService {
  /** What we gave in a write whose outcome is open: subtracted before it is sent. */
  private readonly pending = new Map<string, Resources>();
  private readonly asked = new Map<string, SteadyMs>();
  private readonly askedRemainders = new Map<string, SteadyMs>();
  /** Since when requests found that a part of ours can start nothing with what it has left of its share. */
  private readonly idleSince = new Map<string, SteadyMs>();
  private readonly decoded = new Map<TeamId, { shares: Shares; version: Revision }>();

  constructor(private readonly core: Core) {}

  private shares(team: TeamId): { shares: Shares; version: Revision } | null {
    const settings = this.core.settings.teams.get(team);
    if (!settings) return null;
    const key = quotaKey(team);
    const version = this.core.storeCache.version(key);
    const known = this.decoded.get(team);
    if (known?.version === version) return known;
    const shares = decodeShares(
      this.core.storeCache.get(key)?.value,
      settings,
      this.core.settings.parts.length,
    );
    const fresh = { shares, version };
    this.decoded.set(team, fresh);
    return fresh;
  }

  /** What a part of ours may use: its share less what it is giving away. */
  share(shard: ShardId, team: TeamId): Resources {
    const share = this.shares(team)?.shares[shard] ?? ZERO;
    const given = this.pending.get(`${shard}/${team}`);
    return given ? subtract(share, given) : share;
  }

  /**
   * What the team's tasks that wait here could use soon. Where they wait for room, the share waits with them for
   * nothing, while a peer may have room and no share.
   */
  private need(shard: Shard, team: TeamId): Resources {
    const ordinary = this.ordinaryNeed(shard, team);
    const gathers = shard.quotaReservations.get(team);
    if (!gathers) return ordinary;
    return mapResources((kind) => Math.max(ordinary[kind], gathers[kind]));
  }

  private ordinaryNeed(shard: Shard, team: TeamId): Resources {
    const waits = this.waiting(shard, team);
    if (!shard.teamsBlockedByCapacity.has(team)) return waits;
    const used = shard.totals.usageByTeam.get(team) ?? ZERO;
    const limit = this.core.settings.teams.get(team)?.limit ?? ZERO;
    const even = 1 / this.core.settings.parts.length;
    return mapResources((kind) => {
      const soon = SOON * Math.max(used[kind], limit[kind] * even);
      return Math.min(waits[kind], Math.ceil(soon));
    });
  }

  private waiting(shard: Shard, team: TeamId): Resources {
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
  private left(shard: Shard, team: TeamId): Resources {
    const share = this.share(shard.id, team);
    const used = this.used(shard, team);
    return mapResources((kind) => (share[kind] === Infinity ? Infinity : share[kind] - used[kind]));
  }

  private used(shard: Shard, team: TeamId): Resources {
    const usage = usageOf(shard);
    return add(usage.byTeam.get(team) ?? ZERO, usage.unattributed);
  }

  /** Of two parts that gather for the same team the one with the lower number goes first. */
  private needBeside(shard: Shard, ask: QuotaTransferRequest): Resources {
    if (ask.purpose !== 'reservation') return this.need(shard, ask.team);
    const first = ask.from < shard.id ? undefined : shard.quotaReservations.get(ask.team);
    return first ?? ZERO;
  }

  private usable(shard: Shard, team: TeamId, asked: Resources, need = this.need(shard, team)): Resources {
    return transferableQuota(this.share(shard.id, team), this.used(shard, team), need, asked);
  }

  /** Unused shares by team, for the announcements. */
  spare(shard: Shard): Map<TeamId, Resources> {
    const out = new Map<TeamId, Resources>();
    for (const team of this.core.settings.teams.keys()) {
      const amount = this.usable(shard, team, UNLIMITED);
      const whole = mapResources((kind) => Math.floor(amount[kind]));
      if (!isZero(whole)) out.set(team, whole);
    }
    return out;
  }

  /** Of what the team's tasks wait for here, the limited resources of which our share has too little left. */
  private short(shard: Shard, team: TeamId, amount: Resources): Resources {
    const share = this.share(shard.id, team);
    const left = subtract(share, this.used(shard, team));
    const limited = mapResources((kind) => (share[kind] === Infinity ? 0 : amount[kind]));
    const short = mapResources((kind) => (limited[kind] > left[kind] ? limited[kind] : 0));
    // Places that are kept for some of them count as well, and are in no sum yet.
    return isZero(short) ? limited : short;
  }

  /** Tasks of the team wait for its limit here: asks the part that announced most to spare of what is short. */
  request(shard: Shard, team: TeamId, waiting: Resources): void {
    const now = this.core.clock.now();
    const key = `${shard.id}/${team}`;
    if (now - (this.asked.get(key) ?? -1e12) < ASK_GAP) return;
    const gathers = shard.quotaReservations.get(team);
    if (gathers) this.gather(shard, team, gathers, now);
    const amount = this.short(shard, team, waiting);
    if (isZero(amount)) return;
    let best: { part: ShardId; spare: number } | null = null;
    for (const { part: other } of this.core.settings.parts) {
      if (other === shard.id) continue;
      const spare = fittingRatio(this.spareOf(other, team, now), amount);
      if (spare > 0 && (!best || spare > best.spare)) best = { part: other, spare };
    }
    if (!best) {
      if (!gathers) this.requestRemainders(shard, team, now);
      return;
    }
    this.asked.set(key, now);
    this.send({
      kind: 'quotaTransferRequest',
      from: shard.id,
      to: best.part,
      team,
      ...amount,
      purpose: 'waiting',
    });
  }

  private send(ask: QuotaTransferRequest): void {
    if (this.core.shards.has(ask.to)) void this.answer(ask);
    else {
      const owner = this.core.shardRecord(ask.to)?.leader;
      if (owner) this.core.peerTransport.send(owner, encodePeerMessage(ask));
    }
  }

  /** What is missing for one task, asked of every other part: each may have a piece that is too small for any task. */
  private gather(shard: Shard, team: TeamId, needed: Resources, now: SteadyMs): void {
    const left = subtract(this.share(shard.id, team), shard.totals.usageByTeam.get(team) ?? ZERO);
    const missing = mapResources((kind) => Math.max(0, needed[kind] - left[kind]));
    if (RESOURCE_KINDS.every((kind) => missing[kind] <= 0)) return;
    this.asked.set(`${shard.id}/${team}`, now);
    for (const { part: other } of this.core.settings.parts)
      if (other !== shard.id)
        this.send({
          kind: 'quotaTransferRequest',
          from: shard.id,
          to: other,
          team,
          ...missing,
          purpose: 'reservation',
        });
  }

  /** Nobody has announced anything to spare: asks every other part for what it can start nothing with. */
  private requestRemainders(shard: Shard, team: TeamId, now: SteadyMs): void {
    const key = `${shard.id}/${team}`;
    if (now - (this.askedRemainders.get(key) ?? -Infinity) < REMAINDER_ASK_GAP) return;
    const limit = this.core.settings.teams.get(team)?.limit ?? ZERO;
    const missing = missingForOne(this.left(shard, team), this.waitingTasks(shard, team), limit);
    if (!missing) return;
    this.askedRemainders.set(key, now);
    for (const { part: other } of this.core.settings.parts)
      if (other !== shard.id)
        this.send({
          kind: 'quotaTransferRequest',
          from: shard.id,
          to: other,
          team,
          ...missing,
          purpose: 'remainder',
        });
  }

  /** What is left of our share once it has been idle for some time: a task of ours may end and make it useful. */
  private remainderFor(shard: Shard, ask: QuotaTransferRequest): Resources {
    const key = `${shard.id}/${ask.team}`;
    const now = this.core.clock.now();
    const left = this.left(shard, ask.team);
    const keeps = shard.quotaReservations.has(ask.team) || !shard.reconciled;
    if (keeps || fitsAny(left, this.waitingTasks(shard, ask.team))) {
      this.idleSince.delete(key);
      return ZERO;
    }
    const since = this.idleSince.get(key) ?? now;
    this.idleSince.set(key, since);
    if (now - since < REMAINDER_IDLE || !mayMove(shard.id, ask.from, left, ask)) return ZERO;
    this.idleSince.delete(key);
    return this.usable(shard, ask.team, ask, ZERO);
  }

  private amountFor(shard: Shard, ask: QuotaTransferRequest): Resources {
    if (ask.purpose === 'remainder') return this.remainderFor(shard, ask);
    return this.usable(shard, ask.team, ask, this.needBeside(shard, ask));
  }

  private spareOf(shard: ShardId, team: TeamId, now: SteadyMs): Resources {
    const own = this.core.shards.get(shard);
    if (own) return this.usable(own, team, UNLIMITED);
    const news = this.core.shardAnnouncements.get(shard);
    return news && news.expiresAt > now ? (news.unusedQuota.get(team) ?? ZERO) : ZERO;
  }

  /** Gives what is unused, in one write on condition that we still own the part. */
  async answer(ask: QuotaTransferRequest): Promise<void> {
    const { core } = this;
    const shard = core.shards.get(ask.to);
    const team = core.settings.teams.get(ask.team);
    const key = `${ask.to}/${ask.team}`;
    const known = this.shares(ask.team);
    if (!shard || !team || !known || this.pending.has(key) || ask.from === ask.to || !known.shares[ask.from])
      return;
    const amount = this.amountFor(shard, ask);
    if (RESOURCE_KINDS.every((kind) => amount[kind] <= 0)) return;
    this.pending.set(key, amount);
    const value = encodeShares(team, moveShare(known.shares, ask.to, ask.from, amount));
    const quota = quotaKey(ask.team);
    const result = await core.compareAndSwapUntilCertain(
      [{ key: quota, version: known.version }, core.leaderCondition(shard)],
      [{ op: 'put', key: quota, value }],
      RequestPriority.handOver,
    );
    await core.exclusive(() => {
      if (result.kind === 'done') core.storeCache.apply(quota, value, result.revision);
    });
    // After a conflict the record has moved on; until the feed shows it, what was given stays subtracted.
    if (result.kind === 'conflict') await this.awaitNewer(quota, known.version, shard);
    this.pending.delete(key);
    core.log.debug(
      {
        team: ask.team,
        from: ask.to,
        to: ask.from,
        amount,
        result: result.kind,
      },
      'share moved',
    );
    core.requestCycle();
  }

  private async awaitNewer(key: ReturnType<typeof quotaKey>, version: Revision, shard: Shard): Promise<void> {
    for (let i = 0; i < 300; i += 1) {
      const moved = this.core.storeCache.version(key) !== version || this.core.shards.get(shard.id) !== shard;
      if (moved || this.core.leaderCondition(shard).version !== shard.version) return;
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
