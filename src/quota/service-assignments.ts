/**
 * Tracks the resources of the services that are assigned to each shard, by team. A service does not end by itself: the
 * quota that it uses is released only when its user cancels it. The data comes from the job records, so that it also
 * covers shards that other controllers lead.
 */
import type { JobRecord } from '../jobs/record.js';
import { add, mapResources, scale, subtract, ZERO, type Resources } from '../model/resources.js';
import type { JobId, ShardId, TeamId } from '../model/units.js';

type ResourcesByShard = Map<ShardId, Resources>;

/** Tracks the active services. An update is linear in the number of assignments in the job's record. */
export class ServiceAssignments {
  private readonly assignedByTeam = new Map<TeamId, ResourcesByShard>();
  private readonly records = new Map<JobId, JobRecord>();

  /** Records a changed job record. Null means that the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const previous = this.records.get(id);
    if (previous) this.applyAssignments(previous, subtract);
    this.records.delete(id);
    if (record?.spec.kind !== 'service') return;
    this.applyAssignments(record, add);
    this.records.set(id, record);
  }

  private applyAssignments({ spec, assignments }: JobRecord, combine: typeof add): void {
    const byShard = this.assignedByTeam.get(spec.team) ?? new Map<ShardId, Resources>();
    this.assignedByTeam.set(spec.team, byShard);
    for (const { from, to, shard } of assignments)
      byShard.set(shard, combine(byShard.get(shard) ?? ZERO, scale(spec, to - from)));
  }

  /**
   * Returns an upper bound of the usage of the team's services on the shards other than `ownShard`: on each shard, at
   * most the resources assigned to services there and at most the team's usage there.
   * @param usedOn returns the announced usage of the team on a shard
   */
  maxUsageOnOtherShards(team: TeamId, ownShard: ShardId, usedOn: (shard: ShardId) => Resources): Resources {
    let total = ZERO;
    for (const [shard, assigned] of this.assignedByTeam.get(team) ?? []) {
      if (shard === ownShard) continue;
      const used = usedOn(shard);
      total = add(
        total,
        mapResources((kind) => Math.min(assigned[kind], used[kind])),
      );
    }
    return total;
  }
}
