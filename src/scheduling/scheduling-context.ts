/**
 * Builds the input of a scheduling cycle in addition to the shard: teams and quotas, announcements of peers,
 * and run time corrections. A cycle depends only on its inputs.
 */
import type { Core } from '../core.js';
import type { JobSpec } from '../jobs/spec.js';
import { add, ZERO, type Resources } from '../model/resources.js';
import type { ShardId, SteadyMs, TeamId } from '../model/units.js';
import { taskCapacity } from '../overflow/peer-ranking.js';
import type { GuaranteedJobs } from '../quota/guaranteed-jobs.js';
import type { ServiceAssignments } from '../quota/service-assignments.js';
import type { QuotaTransferService } from '../quota/transfer-service.js';
import type { Shard } from '../shards/model.js';
import type { SchedulingContext } from './cycle.js';
import type { RuntimeEstimator } from './runtime-estimator.js';

/** The components from which the context of a cycle is built. */
export interface SchedulingContextSources {
  readonly core: Core;
  readonly quotaTransfers: Pick<QuotaTransferService, 'shardQuota'>;
  readonly guarantees: Pick<GuaranteedJobs, 'has'>;
  readonly services: Pick<ServiceAssignments, 'maxUsageOnOtherShards'>;
  readonly runtimeEstimator: Pick<RuntimeEstimator, 'correctionFactor'>;
}

/** Caches the result for each key, since a cycle asks for the same key many times. */
function memoize<K>(compute: (key: K) => boolean): (key: K) => boolean {
  const cache = new Map<K, boolean>();
  return (key) => {
    let result = cache.get(key);
    if (result === undefined) cache.set(key, (result = compute(key)));
    return result;
  };
}

/** Creates the context of one cycle. It must not outlive the cycle, since it caches results. */
export function createSchedulingContext(
  sources: SchedulingContextSources,
  shard: Shard,
  now: SteadyMs,
): SchedulingContext {
  const { core, quotaTransfers, guarantees, services, runtimeEstimator } = sources;
  const usageElsewhere = usageOnOtherShards(core, shard);
  const teamUsageOn =
    (team: TeamId) =>
    (other: ShardId): Resources =>
      usageByTeamOn(core, other)?.get(team) ?? ZERO;
  return {
    now,
    types: core.types,
    teams: core.settings.teams,
    shardQuota: (team) => quotaTransfers.shardQuota(shard.id, team),
    usageOnOtherShards: (team) => usageElsewhere.get(team) ?? ZERO,
    maxServiceUsageOnOtherShards: (team) => services.maxUsageOnOtherShards(team, shard.id, teamUsageOn(team)),
    guaranteed: memoize((job) => guarantees.has(job)),
    peerHasCapacity: (spec) => peerHasCapacity(core, shard, spec, now),
    maxLatenessFactor: (jobClass) => core.settings.deadlineFactorByClass.get(jobClass) ?? 1,
    runtimeCorrection: (jobClass) => runtimeEstimator.correctionFactor(jobClass),
    heartbeatIntervalMs: core.heartbeatIntervalMs,
    gangWaitMs: core.settings.gangWaitS * 1000,
  };
}

/** Returns the usage by team on a shard: from memory if the shard is led here, else from its announcement. */
const usageByTeamOn = (core: Core, shard: ShardId): ReadonlyMap<TeamId, Resources> | undefined =>
  core.shards.get(shard)?.totals.usageByTeam ?? core.shardAnnouncements.get(shard)?.usage;

/** Returns the usage by team on all other shards. */
function usageOnOtherShards(core: Core, shard: Shard): Map<TeamId, Resources> {
  const usage = new Map<TeamId, Resources>();
  for (const { shard: shardId } of core.settings.shards) {
    if (shardId === shard.id) continue;
    for (const [team, amount] of usageByTeamOn(core, shardId) ?? [])
      usage.set(team, add(usage.get(team) ?? ZERO, amount));
  }
  return usage;
}

function peerHasCapacity(core: Core, shard: Shard, spec: JobSpec, now: SteadyMs): boolean {
  for (const freeCapacity of core.freeCapacity.values()) {
    if (
      freeCapacity.shard !== shard.id &&
      freeCapacity.expiresAt > now &&
      taskCapacity(freeCapacity, spec, null) > 0
    )
      return true;
  }
  return false;
}
