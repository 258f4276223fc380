/** Assigns the tasks of new jobs to shards, by the recent free capacity of each shard. */
import type { Core } from '../core.js';
import type { Assignment } from '../jobs/record.js';
import type { JobSpec } from '../jobs/spec.js';
import type { ShardId, SteadyMs } from '../model/units.js';
import { refreshFreeCapacity, zoneForShard } from '../overflow/announcement.js';
import { assignJob } from '../overflow/assignment.js';

/** Maximum age of the free capacity of the shards led here when a new job is assigned. */
const FREE_CAPACITY_MAX_AGE_MS = 100;

/** Chooses the shards of new jobs, and keeps the free capacity of the shards led here up to date. */
export class JobAssigner {
  private freeCapacityRefreshedAt: SteadyMs | null = null;

  constructor(private readonly core: Core) {}

  /** Recomputes the free capacity of the shards led here. */
  refreshFreeCapacity(now: SteadyMs): void {
    this.freeCapacityRefreshedAt = now;
    refreshFreeCapacity(this.core);
  }

  /** Decides which shard gets which tasks of a new job. */
  assign(spec: JobSpec): Assignment[] {
    const { core } = this;
    const homeShard = this.homeShard();
    const now = core.clock.now();
    if (!this.isFreeCapacityRecent(now)) this.refreshFreeCapacity(now);
    return assignJob(spec, {
      now,
      homeShard,
      homeZone: zoneForShard(core, homeShard),
      shards: core.settings.shards,
      zones: core.settings.zones,
      types: [...core.types.values()],
      freeCapacity: core.freeCapacity,
      imageCapacity: core.criticalCapacityByImage,
      random: core.random,
    });
  }

  private isFreeCapacityRecent(now: SteadyMs): boolean {
    const refreshedAt = this.freeCapacityRefreshedAt;
    return refreshedAt !== null && now - refreshedAt <= FREE_CAPACITY_MAX_AGE_MS;
  }

  /** Returns this controller's home shard, or a shard that it leads if it leads only others. */
  private homeShard(): ShardId {
    const { shards, settings } = this.core;
    if (shards.has(settings.shard)) return settings.shard;
    return shards.keys().next().value ?? settings.shard;
  }
}
