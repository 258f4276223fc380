/** Hands waiting tasks to a peer's part that announced room: one conditional write naming the lender. */
import type { Core } from '../core.js';
import { encodeRecord, activeJobKey } from '../jobs/codec.js';
import { reassign } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { requiredZone, type Shard, type ShardJob } from '../shards/model.js';
import type { Unplaced } from '../placement/round.js';
import { RangeSet } from '../model/ranges.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { SteadyMs, ZoneId } from '../model/units.js';
import { zoneOfPart } from './announcement.js';
import { chooseZoneReassignment } from './zone-reassignment.js';
import { reserve, rankPeers, type FreeCapacity } from './peer-ranking.js';

/** Tasks rest this long with a part before they are handed on: a stale offer must not make them wander. */
const REST = 800;
const REST_CRITICAL = 2000;

export interface HandOver {
  readonly job: ShardJob;
  readonly tasks: RangeSet;
  readonly to: Shard['id'];
  /** The job's record with the tasks entrusted to the lender. */
  readonly value: unknown;
}

/** As JSON: pinned to no zone ('') is not the same as not pinned (null). */
const shapeOf = (s: JobSpec, pin: ZoneId | null): string =>
  JSON.stringify([s.cpus, s.gpus, s.memoryGb, s.spot, s.zone, pin, s.types]);

/** Pure choice: what to hand to whom. Takes the promised room off the offer. */
export function chooseHandOver(
  core: Core,
  shard: Shard,
  unplaced: readonly Unplaced[],
  now: SteadyMs,
): HandOver | null {
  const others = [...core.freeCapacity.values()].filter((o) => o.part !== shard.id);
  // Jobs that ask for the same find the same: nothing.
  const refused = new Set<string>();
  for (const u of unplaced) {
    const { job } = u;
    if (u.reason !== 'room' || !job.handingOver.isEmpty) continue;
    const rest = job.spec.priority === Priority.critical ? REST_CRITICAL : REST;
    const rested = job.record.homeShard === shard.id ? 0 : rest;
    if (now - job.arrivedAt < rested || now - job.arrivedAt < 30) continue;
    const pins = u.indices === 'all' ? [null] : new Set(u.indices.map((i) => requiredZone(job, i)));
    for (const pin of pins) {
      const choice = chooseFor(core, shard, u, pin, others, refused, now);
      if (choice) return choice;
    }
  }
  return null;
}

/** What to do with the tasks of one job that wait for one zone: a lender that has room there, or another zone. */
function chooseFor(
  core: Core,
  shard: Shard,
  { job, indices }: Unplaced,
  pin: ZoneId | null,
  others: readonly FreeCapacity[],
  refused: Set<string>,
  now: SteadyMs,
): HandOver | null {
  const shape = shapeOf(job.spec, pin);
  const willing = refused.has(shape)
    ? []
    : rankPeers(others, zoneOfPart(core, shard.id), job.spec, pin, now, core.random);
  if (willing.length === 0) {
    refused.add(shape);
    return pin === null ? null : moveZone(core, shard, job, pin, now);
  }
  const gang = job.spec.kind === 'gang';
  const same =
    gang || indices === 'all'
      ? [...job.waiting].filter((i) => requiredZone(job, i) === pin)
      : indices.filter((i) => requiredZone(job, i) === pin);
  const found = gang ? willing.find((o) => o.capacity >= job.spec.tasks) : willing[0];
  // A gang goes whole: none of its tasks may be on a machine here.
  if (!found || (gang && same.length < job.spec.tasks)) return null;
  const count = Math.min(found.capacity, same.length);
  const tasks = RangeSet.of(same.slice(0, count).map((i) => [i, i + 1] as const));
  const to = found.offer.part;
  const value = recordWith(core, job, tasks, to, pin);
  if (value === null) return null;
  reserve(found.offer, job.spec, pin, tasks.size);
  return { job, tasks, to, value };
}

/** The tasks have waited for room in their zone, and no part has any there. */
function moveZone(core: Core, shard: Shard, job: ShardJob, fromZone: ZoneId, now: SteadyMs): HandOver | null {
  const move = chooseZoneReassignment(shard.id, job, fromZone, {
    now,
    homeZone: zoneOfPart(core, shard.id),
    zones: core.settings.zones,
    types: [...core.types.values()],
    freeCapacity: core.freeCapacity,
    random: core.random,
  });
  if (!move) return null;
  const value = recordWith(core, job, move.tasks, move.part, move.zone);
  if (value === null) return null;
  if (move.offer) reserve(move.offer, job.spec, move.zone, move.tasks.size);
  return { job, tasks: move.tasks, to: move.part, value };
}

/** The job's record with these tasks entrusted to that part in that zone; null: it has no room for another range. */
function recordWith(
  core: Core,
  job: ShardJob,
  tasks: RangeSet,
  to: Shard['id'],
  zone: ZoneId | null,
): unknown {
  const value = encodeRecord(reassign(job.record, tasks, to, () => zone));
  // Such a job stays here, and must not keep others from going.
  return Buffer.byteLength(JSON.stringify(value)) > core.settings.valueBytes ? null : value;
}

export class Overflow {
  private readonly busy = new Set<Shard['id']>();

  constructor(private readonly core: Core) {}

  consider(shard: Shard, unplaced: readonly Unplaced[]): void {
    if (this.busy.has(shard.id) || !shard.reconciled) return;
    const choice = chooseHandOver(this.core, shard, unplaced, this.core.clock.now());
    if (!choice) return;
    this.busy.add(shard.id);
    void this.handOver(shard, choice).finally(() => {
      this.busy.delete(shard.id);
      this.core.requestCycle();
    });
  }

  /** None of these tasks is on a machine: they wait here, and stop waiting before the write is sent. */
  private async handOver(shard: Shard, { job, tasks, to, value }: HandOver): Promise<void> {
    const { core } = this;
    job.waiting.removeAll(tasks);
    job.handingOver.addAll(tasks);
    const key = activeJobKey(job.id);
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: job.version }, core.leaderCondition(shard)],
      [{ op: 'put', key, value }],
      RequestPriority.handOver,
    );
    core.log.debug(
      { job: job.id, tasks: tasks.size, from: shard.id, to, result: result.kind },
      'handed over',
    );
    if (result.kind === 'done')
      await core.exclusive(() => core.storeCache.apply(key, value, result.revision));
    else if (result.kind === 'conflict') await this.look(key);
    await core.exclusive(() => this.takeBack(shard, job));
  }

  /** A conflict says that the record is newer than what we know: reads it before deciding anything. */
  private async look(key: ReturnType<typeof activeJobKey>): Promise<void> {
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
  private takeBack(shard: Shard, job: ShardJob): void {
    if (shard.jobs.get(job.id) !== job) return;
    for (const i of job.handingOver) {
      const ours = job.record.assignments.some((a) => a.shard === shard.id && a.from <= i && i < a.to);
      if (ours && !job.record.done.has(i) && !job.finished.has(i)) job.waiting.add(i);
    }
    job.handingOver.removeAll(job.handingOver.clone());
    // While all its waiting tasks were moving, the placement rounds took the job for one without any.
    shard.queue.add(job);
  }
}
