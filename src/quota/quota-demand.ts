/**
 * What a shard led by this controller uses of a team's quota, what its waiting tasks need of it, and what is left for
 * other shards. Reads the shard and the quota ledger, changes nothing.
 */
import {
  add,
  addTo,
  isZero,
  mapResources,
  subtract,
  UNLIMITED,
  ZERO,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import { minimumToStart, usageOf, type Shard, type ShardJob } from '../shards/model.js';
import type { TeamId } from '../model/units.js';
import type { QuotaSettings } from './dependencies.js';
import type { QuotaLedger } from './quota-ledger.js';
import { transferableQuota } from './shard-quota.js';

/**
 * Of what a team uses on a shard, or of an even share of its quota: as much may find free capacity before quota that
 * was given away could be requested back.
 */
const NEAR_TERM_FRACTION = 0.1;

/** Compares shards' use and demand with their quotas. */
export class QuotaDemand {
  constructor(
    private readonly context: { readonly settings: QuotaSettings },
    private readonly ledger: Pick<QuotaLedger, 'shardQuota'>,
  ) {}

  /** What the team's waiting tasks could use soon, and at least what is reserved for one of them. */
  demand(shard: Shard, team: TeamId): Resources {
    const nearTerm = this.nearTermDemand(shard, team);
    const reservation = shard.quotaReservations.get(team);
    if (!reservation) return nearTerm;
    return mapResources((kind) => Math.max(nearTerm[kind], reservation[kind]));
  }

  /**
   * Where the tasks wait for capacity, little of their demand counts: the quota would wait idle with them while another
   * shard may have capacity and no quota.
   */
  private nearTermDemand(shard: Shard, team: TeamId): Resources {
    const demand = this.waitingDemand(shard, team);
    if (!shard.teamsBlockedByCapacity.has(team)) return demand;
    const used = shard.totals.usageByTeam.get(team) ?? ZERO;
    const quota = this.teamQuota(team);
    const evenFraction = 1 / this.context.settings.shards.length;
    return mapResources((kind) => {
      const nearTerm = NEAR_TERM_FRACTION * Math.max(used[kind], quota[kind] * evenFraction);
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

  /** By waiting job of the team, the least that it needs to start. */
  waitingTasks(shard: Shard, team: TeamId): Resources[] {
    return this.waitingJobs(shard, team).map(minimumToStart);
  }

  /** The quota of the whole team. */
  teamQuota(team: TeamId): Resources {
    return this.context.settings.teams.get(team)?.quota ?? ZERO;
  }

  /** What the shard has left of its quota; what is unlimited stays so, whatever is used. */
  remaining(shard: Shard, team: TeamId): Resources {
    const quota = this.ledger.shardQuota(shard.id, team);
    const used = this.used(shard, team);
    return mapResources((kind) => (quota[kind] === Infinity ? Infinity : quota[kind] - used[kind]));
  }

  /** What the shard uses, counting as the team's what may be used by any team. */
  private used(shard: Shard, team: TeamId): Resources {
    const usage = usageOf(shard);
    return add(usage.byTeam.get(team) ?? ZERO, usage.unattributed);
  }

  /** What is missing in the shard's quota for the amount that is reserved for one task. */
  missingForReservation(shard: Shard, team: TeamId, reservation: Resources): Resources {
    const used = shard.totals.usageByTeam.get(team) ?? ZERO;
    const remaining = subtract(this.ledger.shardQuota(shard.id, team), used);
    return mapResources((kind) => Math.max(0, reservation[kind] - remaining[kind]));
  }

  /** Of what the team's tasks wait for, the limited resources of which the shard's quota has too little left. */
  shortfall(shard: Shard, team: TeamId, waiting: Resources): Resources {
    const quota = this.ledger.shardQuota(shard.id, team);
    const remaining = subtract(quota, this.used(shard, team));
    const limited = mapResources((kind) => (quota[kind] === Infinity ? 0 : waiting[kind]));
    const short = mapResources((kind) => (limited[kind] > remaining[kind] ? limited[kind] : 0));
    // Capacity that is reserved for some of the tasks counts as well, and is in no sum yet.
    return isZero(short) ? limited : short;
  }

  /** What the shard can give of the requested amount after `ownDemand` is kept for its own tasks. */
  transferable(
    shard: Shard,
    team: TeamId,
    requested: Resources,
    ownDemand = this.demand(shard, team),
  ): Resources {
    return transferableQuota(
      this.ledger.shardQuota(shard.id, team),
      this.used(shard, team),
      ownDemand,
      requested,
    );
  }

  /** Whole units that the shard could give, by team, for its leader's announcements. */
  unusedQuota(shard: Shard): Map<TeamId, Resources> {
    const unused = new Map<TeamId, Resources>();
    for (const team of this.context.settings.teams.keys()) {
      const amount = this.transferable(shard, team, UNLIMITED);
      const whole = mapResources((kind) => Math.floor(amount[kind]));
      if (!isZero(whole)) unused.set(team, whole);
    }
    return unused;
  }
}
