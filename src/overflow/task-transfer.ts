/**
 * Transfers waiting tasks to a shard that has announced free capacity, by one compare-and-swap of the job's record.
 * Only tasks that are certainly on no machine are transferred.
 */
import type { Core } from '../core.js';
import { encodeRecord, activeJobKey } from '../jobs/codec.js';
import { reassign } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { requiredZone, type Shard, type ShardJob } from '../shards/model.js';
import type { UnplacedTasks } from '../scheduling/cycle.js';
import { RangeSet } from '../model/ranges.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { SteadyMs, ZoneId } from '../model/units.js';
import { zoneForShard } from './announcement.js';
import { readAfterConflict } from './read-after-conflict.js';
import { chooseZoneReassignment } from './zone-reassignment.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { reserveCapacity, rankPeers } from './peer-ranking.js';

/** Tasks stay this long on a receiving shard before they may move on: stale announcements must not make them wander. */
const TRANSFER_DELAY_MS = 800;
const CRITICAL_TRANSFER_DELAY_MS = 2000;
/** Tasks that have just arrived wait for a scheduling cycle of their own shard first. */
const MIN_WAIT_MS = 30;

/** Decision: these tasks move to the receiving shard. */
export interface TaskTransfer {
  readonly job: ShardJob;
  readonly tasks: RangeSet;
  readonly receivingShard: Shard['id'];
  /** The job's record with the tasks assigned to the receiving shard, encoded. */
  readonly record: unknown;
}

/** As JSON: the zone without machines ('') is not the same as any zone (null). */
const requirementsKey = (spec: JobSpec, zone: ZoneId | null): string =>
  JSON.stringify([spec.cpus, spec.gpus, spec.memoryGb, spec.spot, spec.zone, zone, spec.types]);

/** The first transfer that is possible, or null. Pure but for the capacity that it reserves at the receiving shard. */
export function chooseTaskTransfer(
  core: Core,
  shard: Shard,
  unplaced: readonly UnplacedTasks[],
  now: SteadyMs,
): TaskTransfer | null {
  const peers = [...core.freeCapacity.values()].filter((peer) => peer.shard !== shard.id);
  // What no peer had capacity for is not searched again for other jobs that need the same.
  const unfittingRequirements = new Set<string>();
  for (const entry of unplaced) {
    const { job } = entry;
    if (entry.reason !== 'capacity' || !job.handingOver.isEmpty) continue;
    const transferDelayMs =
      job.spec.priority === Priority.critical ? CRITICAL_TRANSFER_DELAY_MS : TRANSFER_DELAY_MS;
    const minWaitMs = job.record.homeShard === shard.id ? 0 : transferDelayMs;
    if (now - job.arrivedAt < minWaitMs || now - job.arrivedAt < MIN_WAIT_MS) continue;
    const zones =
      entry.indices === 'all' ? [null] : new Set(entry.indices.map((index) => requiredZone(job, index)));
    for (const zone of zones) {
      const choice = chooseTransferForZone(core, shard, entry, zone, peers, unfittingRequirements, now);
      if (choice) return choice;
    }
  }
  return null;
}

/** For tasks of one job that wait for one zone: a peer with capacity there, or else another zone. */
function chooseTransferForZone(
  core: Core,
  shard: Shard,
  { job, indices }: UnplacedTasks,
  zone: ZoneId | null,
  peers: readonly FreeCapacity[],
  unfittingRequirements: Set<string>,
  now: SteadyMs,
): TaskTransfer | null {
  const requirements = requirementsKey(job.spec, zone);
  const rankedPeers = unfittingRequirements.has(requirements)
    ? []
    : rankPeers(peers, zoneForShard(core, shard.id), job.spec, zone, now, core.random);
  if (rankedPeers.length === 0) {
    unfittingRequirements.add(requirements);
    return zone === null ? null : reassignZone(core, shard, job, zone, now);
  }
  const gang = job.spec.kind === 'gang';
  const candidates = gang || indices === 'all' ? [...job.waiting] : indices;
  const indicesInZone = candidates.filter((index) => requiredZone(job, index) === zone);
  const peer = gang ? rankedPeers.find((ranked) => ranked.capacity >= job.spec.tasks) : rankedPeers[0];
  // A gang is transferred as a whole: none of its members may be on a machine here.
  if (!peer || (gang && indicesInZone.length < job.spec.tasks)) return null;
  const count = Math.min(peer.capacity, indicesInZone.length);
  const tasks = RangeSet.of(indicesInZone.slice(0, count).map((index) => [index, index + 1] as const));
  const receivingShard = peer.freeCapacity.shard;
  const record = encodeReassignedRecord(core, job, tasks, receivingShard, zone);
  if (record === null) return null;
  reserveCapacity(peer.freeCapacity, job.spec, zone, tasks.size);
  return { job, tasks, receivingShard, record };
}

/** Moves tasks to another zone after they have waited for capacity in theirs and no shard has any there. */
function reassignZone(
  core: Core,
  shard: Shard,
  job: ShardJob,
  fromZone: ZoneId,
  now: SteadyMs,
): TaskTransfer | null {
  const reassignment = chooseZoneReassignment(shard.id, job, fromZone, {
    now,
    homeZone: zoneForShard(core, shard.id),
    zones: core.settings.zones,
    types: [...core.types.values()],
    freeCapacity: core.freeCapacity,
    random: core.random,
  });
  if (!reassignment) return null;
  const record = encodeReassignedRecord(core, job, reassignment.tasks, reassignment.shard, reassignment.zone);
  if (record === null) return null;
  if (reassignment.freeCapacity)
    reserveCapacity(reassignment.freeCapacity, job.spec, reassignment.zone, reassignment.tasks.size);
  return { job, tasks: reassignment.tasks, receivingShard: reassignment.shard, record };
}

/** The job's record with the tasks assigned to the shard and zone; null: it would exceed the store's limit of a value. */
function encodeReassignedRecord(
  core: Core,
  job: ShardJob,
  tasks: RangeSet,
  receivingShard: Shard['id'],
  zone: ZoneId | null,
): unknown {
  const record = encodeRecord(reassign(job.record, tasks, receivingShard, () => zone));
  // Such a job stays on its shard, and must not keep others from being transferred.
  return Buffer.byteLength(JSON.stringify(record)) > core.settings.maxValueBytes ? null : record;
}

/** Transfers tasks of the shards led here, one transfer of a shard at a time. */
export class TaskTransferService {
  private readonly transferringShards = new Set<Shard['id']>();

  constructor(private readonly core: Core) {}

  /** Starts a transfer of tasks that a scheduling cycle could not place, if one is possible. */
  transferUnplaced(shard: Shard, unplaced: readonly UnplacedTasks[]): void {
    if (this.transferringShards.has(shard.id) || !shard.reconciled) return;
    const choice = chooseTaskTransfer(this.core, shard, unplaced, this.core.clock.now());
    if (!choice) return;
    this.transferringShards.add(shard.id);
    // Never rejects: a refused write is an outcome. Whatever it is, the shard's next cycle schedules what stayed.
    void this.transfer(shard, choice).finally(() => {
      this.transferringShards.delete(shard.id);
      this.core.requestCycle();
    });
  }

  /**
   * The tasks stop waiting before the write is sent: started here afterwards, they could run on the receiving shard too.
   */
  private async transfer(shard: Shard, { job, tasks, receivingShard, record }: TaskTransfer): Promise<void> {
    const { core } = this;
    job.waiting.removeAll(tasks);
    job.handingOver.addAll(tasks);
    const key = activeJobKey(job.id);
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: job.version }, core.leaderCondition(shard)],
      [{ op: 'put', key, value: record }],
      RequestPriority.handOver,
    );
    core.log.debug(
      { job: job.id, tasks: tasks.size, from: shard.id, to: receivingShard, result: result.kind },
      'tasks transferred',
    );
    if (result.kind === 'done')
      await core.exclusive(() => core.storeCache.apply(key, record, result.revision));
    else if (result.kind === 'conflict') await readAfterConflict(core, key);
    await core.exclusive(() => this.requeueOwnTasks(shard, job));
  }

  /** Tasks that the record still assigns to this shard wait again; an applied transfer has assigned them elsewhere. */
  private requeueOwnTasks(shard: Shard, job: ShardJob): void {
    if (shard.jobs.get(job.id) !== job) return;
    for (const index of job.handingOver) {
      const isAssignedHere = job.record.assignments.some(
        ({ shard: assigned, from, to }) => assigned === shard.id && from <= index && index < to,
      );
      if (isAssignedHere && !job.record.done.has(index) && !job.finished.has(index)) job.waiting.add(index);
    }
    job.handingOver.removeAll(job.handingOver.clone());
    // A cycle during the transfer may have dropped the job from the queue, as one without waiting tasks.
    shard.queue.add(job);
  }
}
