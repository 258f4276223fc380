/**
 * Shard statistics: one log line that shows how the capacity of a shard is used and where it is lost. They are computed
 * from all machines, allocations and waiting jobs, so they must not be computed more often than every few seconds. The
 * field names are those of the log.
 */
import type { AllocationPhase } from '../model/allocation-phase.js';
import { addTo, mapResources, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import type { SteadyMs, TeamId } from '../model/units.js';
import type { Allocation } from './allocation.js';
import { isSchedulable, type HeartbeatExpectation } from './machine-health.js';
import { freeResources } from './machine.js';
import type { Shard } from './shard.js';

type AllocatedByPhase<Amount> = Record<AllocationPhase | 'stopping', Amount>;

/** Capacity of a shard's machines, what is allocated of it, and the demand of waiting tasks. */
export interface ShardStatistics {
  readonly machines: number;
  /** Number of machines on which no task may be started now, for any reason. */
  readonly unusable: number;
  /** Sum over all machines of known type. */
  readonly capacity: Resources;
  /** Resources of tasks of known size, by phase; tasks that were requested to stop are counted separately. */
  readonly allocated: Readonly<AllocatedByPhase<Resources>>;
  /** Free resources of the machines on which tasks may be started now. */
  readonly free: Resources;
  /** Resources that all waiting tasks need. */
  readonly waiting: Resources;
  /** Teams with waiting tasks; an unlimited quota is logged as null. */
  readonly teams: Readonly<Record<string, TeamStatistics>>;
}

/** A team's share of a shard. */
export interface TeamStatistics {
  readonly usage: Resources;
  /** What the team may use on this shard. */
  readonly shardQuota: Resources;
  /**
   * The part of the shard quota that is reserved for a job that has waited too long; other jobs of the team cannot use
   * it. Absent: none.
   */
  readonly reservedQuota?: Resources;
  readonly waiting: Resources;
}

const rounded = (amount: Resources): Resources => mapResources((kind) => Math.round(amount[kind]));

/**
 * Computes the statistics of a shard.
 * @param heartbeatIntervalMs interval of heartbeats, in milliseconds
 * @param shardQuota what a team may use on this shard
 */
export function statisticsOf(
  shard: Shard,
  now: SteadyMs,
  heartbeatIntervalMs: number,
  shardQuota: (team: TeamId) => Resources,
): ShardStatistics {
  const waitingTotals = waitingByTeam(shard);
  const waiting: MutableResources = { ...ZERO };
  for (const amount of waitingTotals.values()) addTo(waiting, amount);
  const { capacity, free, unusable } = machineTotals(shard, { now, heartbeatIntervalMs });
  return {
    machines: shard.machines.size,
    unusable,
    capacity,
    allocated: allocatedByPhase(shard),
    free: rounded(free),
    waiting: rounded(waiting),
    teams: teamStatistics(shard, waitingTotals, shardQuota),
  };
}

function machineTotals(
  shard: Shard,
  expectation: HeartbeatExpectation,
): Pick<ShardStatistics, 'capacity' | 'free' | 'unusable'> {
  const capacity: MutableResources = { ...ZERO };
  const free: MutableResources = { ...ZERO };
  let unusable = 0;
  for (const machine of shard.machines.values()) {
    const type = shard.types.get(machine.type);
    addTo(capacity, type ?? ZERO);
    if (isSchedulable(machine, expectation)) addTo(free, freeResources(machine, type));
    else unusable += 1;
  }
  return { capacity, free, unusable };
}

function teamStatistics(
  shard: Shard,
  waitingTotals: ReadonlyMap<TeamId, Resources>,
  shardQuota: (team: TeamId) => Resources,
): Record<string, TeamStatistics> {
  const teams: Record<string, TeamStatistics> = {};
  for (const [team, waiting] of waitingTotals) {
    const reserved = shard.quotaReservations.get(team);
    teams[team] = {
      usage: rounded(shard.totals.usageByTeam.get(team) ?? ZERO),
      shardQuota: rounded(shardQuota(team)),
      waiting: rounded(waiting),
      ...(reserved ? { reservedQuota: rounded(reserved) } : {}),
    };
  }
  return teams;
}

function allocatedByPhase(shard: Shard): AllocatedByPhase<Resources> {
  const totals: AllocatedByPhase<MutableResources> = {
    ordered: { ...ZERO },
    fetching: { ...ZERO },
    gathering: { ...ZERO },
    running: { ...ZERO },
    saving: { ...ZERO },
    stopping: { ...ZERO },
  };
  for (const allocation of shard.allocations.values())
    addTo(totals[phaseOrStopping(allocation)], allocation.spec ?? ZERO);
  return {
    ordered: rounded(totals.ordered),
    fetching: rounded(totals.fetching),
    gathering: rounded(totals.gathering),
    running: rounded(totals.running),
    saving: rounded(totals.saving),
    stopping: rounded(totals.stopping),
  };
}

const phaseOrStopping = (allocation: Allocation): keyof AllocatedByPhase<unknown> =>
  allocation.stop ? 'stopping' : allocation.phase;

function waitingByTeam(shard: Shard): Map<TeamId, MutableResources> {
  const totals = new Map<TeamId, MutableResources>();
  for (const job of shard.queue) {
    if (job.waiting.isEmpty) continue;
    const sum = totals.get(job.spec.team) ?? { ...ZERO };
    addTo(sum, job.spec, job.waiting.size);
    totals.set(job.spec.team, sum);
  }
  return totals;
}
