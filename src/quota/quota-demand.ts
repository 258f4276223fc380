/**
 * Computes how much of a team's quota a shard led by this controller uses, how much its waiting tasks need, and how
 * much is left for other shards. Reads the shard and the quota ledger; changes nothing.
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
 * Fraction of a team's usage on a shard, or of an even share of its quota if that is larger, that is kept while tasks
 * wait for capacity: this much may become schedulable before quota that was given away could be requested back.
 */
const NEAR_TERM_FRACTION = 0.1;

/** Compares the usage and demand of shards with their quotas. */
export class QuotaDemand {
  constructor(
    private readonly context: { readonly settings: QuotaSettings },
    private readonly ledger: Pick<QuotaLedger, 'shardQuota'>,
  ) {}

  /** Returns the quota that the team's waiting tasks could use soon, at least the amount reserved for one of them. */
  demand(shard: Shard, team: TeamId): Resources {
    const nearTerm = this.nearTermDemand(shard, team);
    const reservation = shard.quotaReservations.get(team);
    if (!reservation) return nearTerm;
    return mapResources((kind) => Math.max(nearTerm[kind], reservation[kind]));
  }

  /**
   * While the tasks wait for capacity, only a small part of their demand counts: otherwise the quota would be idle here
   * while another shard may have capacity and no quota.
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

  /** Returns, for each waiting job of the team, the minimum resources that it needs to start. */
  waitingTasks(shard: Shard, team: TeamId): Resources[] {
    return this.waitingJobs(shard, team).map(minimumToStart);
  }

  /** Returns the quota of the whole team. */
  teamQuota(team: TeamId): Resources {
    return this.context.settings.teams.get(team)?.quota ?? ZERO;
  }

  /** Returns the unused part of the shard's quota. An unlimited resource stays unlimited whatever is used. */
  remaining(shard: Shard, team: TeamId): Resources {
    const quota = this.ledger.shardQuota(shard.id, team);
    const used = this.used(shard, team);
    return mapResources((kind) => (quota[kind] === Infinity ? Infinity : quota[kind] - used[kind]));
  }

  /** Returns the team's usage on the shard. Usage that cannot be attributed to a team counts as this team's. */
  private used(shard: Shard, team: TeamId): Resources {
    const usage = usageOf(shard);
    return add(usage.byTeam.get(team) ?? ZERO, usage.unattributed);
  }

  /** Returns the quota that the shard lacks for the amount that is reserved for one task. */
  missingForReservation(shard: Shard, team: TeamId, reservation: Resources): Resources {
    const used = shard.totals.usageByTeam.get(team) ?? ZERO;
    const remaining = subtract(this.ledger.shardQuota(shard.id, team), used);
    return mapResources((kind) => Math.max(0, reservation[kind] - remaining[kind]));
  }

  /** Returns `waiting`, with 0 for each resource that is unlimited or of which the shard has enough quota left. */
  shortfall(shard: Shard, team: TeamId, waiting: Resources): Resources {
    const quota = this.ledger.shardQuota(shard.id, team);
    const remaining = subtract(quota, this.used(shard, team));
    const limited = mapResources((kind) => (quota[kind] === Infinity ? 0 : waiting[kind]));
    const short = mapResources((kind) => (limited[kind] > remaining[kind] ? limited[kind] : 0));
    // If no resource appears short, all limited resources are returned: scheduling cycles also count reservations as
    // usage, and `remaining` does not include these.
    return isZero(short) ? limited : short;
  }

  /** Returns how much of the requested amount the shard can give while it keeps `ownDemand` for its own tasks. */
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

  /** Returns, by team, the whole units that the shard could give, for its leader's announcements. */
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
