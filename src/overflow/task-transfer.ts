/** Hands waiting tasks to a peer's part that announced room: one conditional write naming the lender. */
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
import { chooseZoneReassignment } from './zone-reassignment.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { reserveCapacity, rankPeers } from './peer-ranking.js';

/** Tasks rest this long with a part before they are handed on: a stale offer must not make them wander. */
const TRANSFER_DELAY_MS = 800;
const CRITICAL_TRANSFER_DELAY_MS = 2000;

export interface TaskTransfer {
  readonly job: ShardJob;
  readonly tasks: RangeSet;
  readonly receivingShard: Shard['id'];
  /** The job's record with the tasks entrusted to the lender. */
  readonly record: unknown;
}

/** As JSON: pinned to no zone ('') is not the same as not pinned (null). */
const requirementsKey = (s: JobSpec, zone: ZoneId | null): string =>
  JSON.stringify([s.cpus, s.gpus, s.memoryGb, s.spot, s.zone, zone, s.types]);

/** Pure choice: what to hand to whom. Takes the promised room off the offer. */
export function chooseTaskTransfer(
  core: Core,
  shard: Shard,
  unplaced: readonly UnplacedTasks[],
  now: SteadyMs,
): TaskTransfer | null {
  const peers = [...core.freeCapacity.values()].filter((o) => o.shard !== shard.id);
  // Jobs that ask for the same find the same: nothing.
  const unfittingRequirements = new Set<string>();
  for (const entry of unplaced) {
    const { job } = entry;
    if (entry.reason !== 'room' || !job.handingOver.isEmpty) continue;
    const transferDelayMs =
      job.spec.priority === Priority.critical ? CRITICAL_TRANSFER_DELAY_MS : TRANSFER_DELAY_MS;
    const minWaitMs = job.record.homeShard === shard.id ? 0 : transferDelayMs;
    if (now - job.arrivedAt < minWaitMs || now - job.arrivedAt < 30) continue;
    const zones = entry.indices === 'all' ? [null] : new Set(entry.indices.map((i) => requiredZone(job, i)));
    for (const zone of zones) {
      const choice = chooseTransferForZone(core, shard, entry, zone, peers, unfittingRequirements, now);
      if (choice) return choice;
    }
  }
  return null;
}

/** What to do with the tasks of one job that wait for one zone: a lender that has room there, or another zone. */
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
  const indicesInZone =
    gang || indices === 'all'
      ? [...job.waiting].filter((i) => requiredZone(job, i) === zone)
      : indices.filter((i) => requiredZone(job, i) === zone);
  const peer = gang ? rankedPeers.find((o) => o.capacity >= job.spec.tasks) : rankedPeers[0];
  // A gang goes whole: none of its tasks may be on a machine here.
  if (!peer || (gang && indicesInZone.length < job.spec.tasks)) return null;
  const count = Math.min(peer.capacity, indicesInZone.length);
  const tasks = RangeSet.of(indicesInZone.slice(0, count).map((i) => [i, i + 1] as const));
  const receivingShard = peer.freeCapacity.shard;
  const record = encodeReassignedRecord(core, job, tasks, receivingShard, zone);
  if (record === null) return null;
  reserveCapacity(peer.freeCapacity, job.spec, zone, tasks.size);
  return { job, tasks, receivingShard, record };
}

/** The tasks have waited for room in their zone, and no part has any there. */
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

/** The job's record with these tasks entrusted to that part in that zone; null: it has no room for another range. */
function encodeReassignedRecord(
  core: Core,
  job: ShardJob,
  tasks: RangeSet,
  receivingShard: Shard['id'],
  zone: ZoneId | null,
): unknown {
  const record = encodeRecord(reassign(job.record, tasks, receivingShard, () => zone));
  // Such a job stays here, and must not keep others from going.
  return Buffer.byteLength(JSON.stringify(record)) > core.settings.maxValueBytes ? null : record;
}

export class TaskTransferService {
  private readonly transferringShards = new Set<Shard['id']>();

  constructor(private readonly core: Core) {}

  transferUnplaced(shard: Shard, unplaced: readonly UnplacedTasks[]): void {
    if (this.transferringShards.has(shard.id) || !shard.reconciled) return;
    const choice = chooseTaskTransfer(this.core, shard, unplaced, this.core.clock.now());
    if (!choice) return;
    this.transferringShards.add(shard.id);
    void this.transfer(shard, choice).finally(() => {
      this.transferringShards.delete(shard.id);
      this.core.requestCycle();
    });
  }

  /** None of these tasks is on a machine: they wait here, and stop waiting before the write is sent. */
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
      'handed over',
    );
    if (result.kind === 'done')
      await core.exclusive(() => core.storeCache.apply(key, record, result.revision));
    else if (result.kind === 'conflict') await this.readAfterConflict(key);
    await core.exclusive(() => this.requeueOwnTasks(shard, job));
  }

  /** A conflict says that the record is newer than what we know: reads it before deciding anything. */
  private async readAfterConflict(key: ReturnType<typeof activeJobKey>): Promise<void> {
    for (;;) {
      const read = await this.core.store.get(key, RequestPriority.handOver);
      if (read.kind === 'found') {
        await this.core.exclusive(() =>
          this.core.storeCache.apply(key, read.entry.value, read.entry.version),
        );
        return;
      }
      if (read.kind === 'absent') return;
      await this.core.sleep(200 as never);
    }
  }

  /** Whatever the record still entrusts to us waits again; a hand-over that was applied has taken it away. */
  private requeueOwnTasks(shard: Shard, job: ShardJob): void {
    if (shard.jobs.get(job.id) !== job) return;
    for (const index of job.handingOver) {
      const isOurs = job.record.assignments.some(
        (a) => a.shard === shard.id && a.from <= index && index < a.to,
      );
      if (isOurs && !job.record.done.has(index) && !job.finished.has(index)) job.waiting.add(index);
    }
    job.handingOver.removeAll(job.handingOver.clone());
    // While all its waiting tasks were moving, the placement rounds took the job for one without any.
    shard.queue.add(job);
  }
}
