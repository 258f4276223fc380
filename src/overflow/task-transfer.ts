/**
 * Transfers waiting tasks to a shard that has announced free capacity, with one compare-and-swap of the job's record.
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

/**
 * Minimum time on a receiving shard before another transfer, so that stale announcements do not move tasks repeatedly.
 */
const TRANSFER_DELAY_MS = 800;
const CRITICAL_TRANSFER_DELAY_MS = 2000;
/** Tasks that have just arrived first wait for a scheduling cycle of their own shard. */
const MIN_WAIT_MS = 30;

/** The decision to move tasks to the receiving shard. */
export interface TaskTransfer {
  readonly job: ShardJob;
  readonly tasks: RangeSet;
  readonly receivingShard: Shard['id'];
  /** The job's record with the tasks assigned to the receiving shard, encoded. */
  readonly record: unknown;
}

/** Key for jobs with equal requirements. JSON distinguishes the zone without machines ('') from any zone (null). */
const requirementsKey = (spec: JobSpec, zone: ZoneId | null): string =>
  JSON.stringify([spec.cpus, spec.gpus, spec.memoryGb, spec.spot, spec.zone, zone, spec.types]);

/**
 * Returns the first possible transfer, or null. The only side effect is that it reserves capacity on the receiving
 * shard.
 */
export function chooseTaskTransfer(
  core: Core,
  shard: Shard,
  unplaced: readonly UnplacedTasks[],
  now: SteadyMs,
): TaskTransfer | null {
  const peers = [...core.freeCapacity.values()].filter((peer) => peer.shard !== shard.id);
  // Requirements for which no peer has capacity; other jobs with the same requirements skip the search.
  const unfittingRequirements = new Set<string>();
  for (const entry of unplaced) {
    const { job } = entry;
    if (entry.reason !== 'capacity' || !job.transferring.isEmpty) continue;
    const transferDelayMs =
      job.spec.priority === Priority.critical ? CRITICAL_TRANSFER_DELAY_MS : TRANSFER_DELAY_MS;
    const minWaitMs = job.record.homeShard === shard.id ? 0 : transferDelayMs;
    if (now - job.lastAssignedAt < minWaitMs || now - job.lastAssignedAt < MIN_WAIT_MS) continue;
    const zones =
      entry.indices === 'all' ? [null] : new Set(entry.indices.map((index) => requiredZone(job, index)));
    for (const zone of zones) {
      const choice = chooseTransferForZone(core, shard, entry, zone, peers, unfittingRequirements, now);
      if (choice) return choice;
    }
  }
  return null;
}

/** Chooses a peer with capacity for the job's tasks that wait for one zone, or else another zone for them. */
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
  // A gang is transferred as a whole: none of its members may be on a machine of this shard.
  if (!peer || (gang && indicesInZone.length < job.spec.tasks)) return null;
  const count = Math.min(peer.capacity, indicesInZone.length);
  const tasks = RangeSet.of(indicesInZone.slice(0, count).map((index) => [index, index + 1] as const));
  const receivingShard = peer.freeCapacity.shard;
  const record = encodeReassignedRecord(core, job, tasks, receivingShard, zone);
  if (record === null) return null;
  reserveCapacity(peer.freeCapacity, job.spec, zone, tasks.size);
  return { job, tasks, receivingShard, record };
}

/** Chooses another zone for tasks that wait in `fromZone` while no shard has capacity for them there. */
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
    shards: core.settings.shards,
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

/**
 * Encodes the job's record with the tasks reassigned, or returns null if it would exceed the store's value size limit.
 */
function encodeReassignedRecord(
  core: Core,
  job: ShardJob,
  tasks: RangeSet,
  receivingShard: Shard['id'],
  zone: ZoneId | null,
): unknown {
  const record = encodeRecord(reassign(job.record, tasks, receivingShard, () => zone));
  // A job whose record would be too large stays on its shard, and must not block the transfer of other jobs.
  return Buffer.byteLength(JSON.stringify(record)) > core.settings.maxValueBytes ? null : record;
}

/** Transfers tasks of the shards led by this controller, with at most one transfer in progress per shard. */
export class TaskTransferService {
  private readonly transferringShards = new Set<Shard['id']>();

  constructor(private readonly core: Core) {}

  /** Starts a transfer of tasks that a scheduling cycle could not place, if possible. */
  transferUnplaced(shard: Shard, unplaced: readonly UnplacedTasks[]): void {
    if (this.transferringShards.has(shard.id) || !shard.reconciled) return;
    const choice = chooseTaskTransfer(this.core, shard, unplaced, this.core.clock.now());
    if (!choice) return;
    this.transferringShards.add(shard.id);
    // The promise never rejects: a refused write is a regular result. The shard's next cycle schedules the tasks that
    // were not transferred.
    void this.transfer(shard, choice).finally(() => {
      this.transferringShards.delete(shard.id);
      this.core.requestCycle();
    });
  }

  /**
   * Writes the transfer. The tasks are removed from the waiting set before the write is sent: tasks started here
   * afterwards could also run on the receiving shard.
   */
  private async transfer(shard: Shard, { job, tasks, receivingShard, record }: TaskTransfer): Promise<void> {
    const { core } = this;
    job.waiting.removeAll(tasks);
    job.transferring.addAll(tasks);
    const key = activeJobKey(job.id);
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: job.version }, core.leaderCondition(shard)],
      [{ op: 'put', key, value: record }],
      RequestPriority.transfer,
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

  /**
   * Requeues the tasks that the record still assigns to this shard, which is the case if the transfer was not applied.
   */
  private requeueOwnTasks(shard: Shard, job: ShardJob): void {
    if (shard.jobs.get(job.id) !== job) return;
    for (const index of job.transferring) {
      const isAssignedHere = job.record.assignments.some(
        ({ shard: assignedShard, from, to }) => assignedShard === shard.id && from <= index && index < to,
      );
      if (isAssignedHere && !job.record.done.has(index) && !job.finished.has(index)) job.waiting.add(index);
    }
    job.transferring.removeAll(job.transferring.clone());
    // A scheduling cycle during the transfer may have removed the job from the queue because it had no waiting tasks.
    shard.queue.add(job);
  }
}
