/** Hands waiting tasks to a peer's part that announced room: one conditional write naming the lender. */
import type { Core } from '../core.js';
import { encodeRecord, liveKey, reassign } from '../jobs/record.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { pinOf, type Part, type PartJob } from '../parts/model.js';
import type { Unplaced } from '../placement/round.js';
import { RangeSet } from '../ranges.js';
import { Rank } from '../state/budget.js';
import type { SteadyMs, ZoneId } from '../units.js';
import { zoneOfPart } from './news.js';
import { reserve, willingList } from './willing.js';

/** Tasks rest this long with a part before they are handed on: a stale offer must not make them wander. */
const REST = 800;
const REST_CRITICAL = 2000;

export interface HandOver {
  readonly job: PartJob;
  readonly tasks: RangeSet;
  readonly to: Part['id'];
  /** The job's record with the tasks entrusted to the lender. */
  readonly value: unknown;
}

/** As JSON: pinned to no zone ('') is not the same as not pinned (null). */
const shapeOf = (s: JobSpec, pin: ZoneId | null): string =>
  JSON.stringify([s.cpus, s.gpus, s.memoryGb, s.spot, s.zone, pin, s.types]);

/** Pure choice: what to hand to whom. Takes the promised room off the offer. */
export function chooseHandOver(
  core: Core,
  part: Part,
  unplaced: readonly Unplaced[],
  now: SteadyMs,
): HandOver | null {
  const others = [...core.offers.values()].filter((o) => o.part !== part.id);
  // Jobs that ask for the same find the same: nothing.
  const refused = new Set<string>();
  for (const u of unplaced) {
    const { job } = u;
    if (u.reason !== 'room' || !job.moving.isEmpty) continue;
    const rest = job.spec.priority === Priority.critical ? REST_CRITICAL : REST;
    const rested = job.record.home === part.id ? 0 : rest;
    if (now - job.arrivedAt < rested || now - job.arrivedAt < 30) continue;
    const pin = u.indices === 'all' ? null : pinOf(job, u.indices[0] as number);
    const shape = shapeOf(job.spec, pin);
    if (refused.has(shape)) continue;
    const willing = willingList(others, zoneOfPart(core, part.id), job.spec, pin, now, core.random);
    const gang = job.spec.shape === 'gang';
    if (willing.length === 0) {
      refused.add(shape);
      continue;
    }
    const same = u.indices === 'all' ? [...job.waiting] : u.indices.filter((i) => pinOf(job, i) === pin);
    const found = gang ? willing.find((o) => o.capacity >= same.length) : willing[0];
    if (!found || (gang && same.length < job.waiting.size)) continue;
    const count = Math.min(found.capacity, same.length);
    const to = found.offer.part;
    const tasks = RangeSet.of(same.slice(0, count).map((i) => [i, i + 1] as const));
    const value = encodeRecord(reassign(job.record, tasks, to, (was: ZoneId | null) => was));
    // A record that has no room for another range stays here, and must not keep others from going.
    if (Buffer.byteLength(JSON.stringify(value)) > core.settings.valueBytes) continue;
    reserve(found.offer, job.spec, pin, count);
    return { job, tasks, to, value };
  }
  return null;
}

export class Overflow {
  private readonly busy = new Set<Part['id']>();

  constructor(private readonly core: Core) {}

  consider(part: Part, unplaced: readonly Unplaced[]): void {
    if (this.busy.has(part.id) || !part.accounted) return;
    const choice = chooseHandOver(this.core, part, unplaced, this.core.clock.now());
    if (!choice) return;
    this.busy.add(part.id);
    void this.handOver(part, choice).finally(() => {
      this.busy.delete(part.id);
      this.core.wake();
    });
  }

  /** None of these tasks is on a machine: they wait here, and stop waiting before the write is sent. */
  private async handOver(part: Part, { job, tasks, to, value }: HandOver): Promise<void> {
    const { core } = this;
    job.waiting.removeAll(tasks);
    job.moving.addAll(tasks);
    const key = liveKey(job.id);
    const result = await core.settle(
      [{ key, version: job.version }, core.ownerCondition(part)],
      [{ op: 'put', key, value }],
      Rank.handover,
    );
    core.log.debug({ job: job.id, tasks: tasks.size, from: part.id, to, result: result.kind }, 'handed over');
    if (result.kind === 'done') await core.exclusive(() => core.view.learn(key, value, result.revision));
    else if (result.kind === 'conflict') await this.look(key);
    await core.exclusive(() => this.takeBack(part, job));
  }

  /** A conflict says that the record is newer than what we know: reads it before deciding anything. */
  private async look(key: ReturnType<typeof liveKey>): Promise<void> {
    for (;;) {
      const read = await this.core.state.get(key, Rank.handover);
      if (read.kind === 'found') {
        await this.core.exclusive(() => this.core.view.learn(key, read.entry.value, read.entry.version));
        return;
      }
      if (read.kind === 'absent') return;
      await this.core.sleep(200 as never);
    }
  }

  /** Whatever the record still entrusts to us waits again; a hand-over that was applied has taken it away. */
  private takeBack(part: Part, job: PartJob): void {
    if (part.jobs.get(job.id) !== job) return;
    for (const i of job.moving) {
      const ours = job.record.assignments.some((a) => a.part === part.id && a.from <= i && i < a.to);
      if (ours && !job.record.done.has(i) && !job.finished.has(i)) job.waiting.add(i);
    }
    job.moving.removeAll(job.moving.clone());
    // A round that saw nothing of it waiting, while all of it was moving, has taken it off the queue.
    if (!job.waiting.isEmpty) part.queue.add(job);
  }
}
