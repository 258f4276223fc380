/**
 * What services are assigned to each shard, by team. A service does not end by itself: quota that it uses comes back only
 * when its user cancels it. Followed from the job records, so that it is known of shards that other controllers lead.
 */
import type { JobRecord } from '../jobs/record.js';
import { add, mapResources, scale, subtract, ZERO, type Resources } from '../model/resources.js';
import type { JobId, ShardId, TeamId } from '../model/units.js';

type ResourcesByShard = Map<ShardId, Resources>;

/** Follows the active services; a change costs one pass over the assignments of its record. */
export class ServiceAssignments {
  private readonly assignedByTeam = new Map<TeamId, ResourcesByShard>();
  private readonly records = new Map<JobId, JobRecord>();

  /** A job's record has changed; null: the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const previous = this.records.get(id);
    if (previous) this.count(previous, subtract);
    this.records.delete(id);
    if (record?.spec.kind !== 'service') return;
    this.count(record, add);
    this.records.set(id, record);
  }

  private count({ spec, assignments }: JobRecord, combine: typeof add): void {
    const byShard = this.assignedByTeam.get(spec.team) ?? new Map<ShardId, Resources>();
    this.assignedByTeam.set(spec.team, byShard);
    for (const { from, to, shard } of assignments)
      byShard.set(shard, combine(byShard.get(shard) ?? ZERO, scale(spec, to - from)));
  }

  /**
   * What services of the team may use on the shards other than `own`, at most: no more than is assigned there, and no more
   * than the team uses there.
   * @param usedOn what the team uses on a shard, by its announcements
   */
  usageOutside(team: TeamId, own: ShardId, usedOn: (shard: ShardId) => Resources): Resources {
    let total = ZERO;
    for (const [shard, assigned] of this.assignedByTeam.get(team) ?? []) {
      if (shard === own) continue;
      const used = usedOn(shard);
      total = add(
        total,
        mapResources((kind) => Math.min(assigned[kind], used[kind])),
      );
    }
    return total;
  }
}
