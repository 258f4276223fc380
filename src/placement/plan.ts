/**
 * One placement round of a part: which waiting tasks start where, which tasks stop to make room, and what stays
 * without room. Pure: it reads the part and returns decisions.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { RESOURCE_KINDS, sizeOf, TOLERANCE, ZERO, type Resources } from '../model/resources.js';
import {
  requiredZone,
  waitingRuns,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import type { ZoneId } from '../model/units.js';
import { placeGang, stopBrokenGangs } from './gangs.js';
import { compareKeys, placesFor, type Places } from './places.js';
import {
  charge,
  deadlineAt,
  lateness,
  leaving,
  OVERDUE_AFTER,
  scratchRoom,
  startRound,
  take,
  usedWith,
  withinShare,
  type Plan,
  type PlanContext,
  type Scratch,
} from './round.js';
import { graceFor, lostWork, makeRoom } from './preemption.js';
import { reservePlace, reserveShare, unbegunFor } from './reservations.js';

const MAX_STARTS = 200;
const UNPLACED_SHOWN = 200;
const FETCH_WORTH_STOPPING_S = 1;
/** A job that has waited this long without any start goes first in its priority, and none is kept below standard. */
const STARVED_AFTER = 90_000;
/** Waiting this long outweighs needing twice as much: work that needs little must not starve the largest. */
const AGE_STEP = 15_000;

interface Ranked {
  readonly job: ShardJob;
  readonly key: readonly number[];
}

/** Critical work first, then jobs that are long overdue, then all others. */
const turn = (spec: JobSpec, unbegun: number): number =>
  spec.priority === Priority.critical ? 0 : unbegun > OVERDUE_AFTER ? 1 : 2;

/**
 * Critical first, then work within its team's guarantee, then by priority, then the deadlines that can be met,
 * small jobs first. Waiting makes up for size, and after long enough for priority: every job begins.
 */
function rank(shard: Shard, job: ShardJob, ctx: PlanContext): Ranked {
  const spec = job.spec;
  const estimate = spec.estimateS * ctx.correction(spec.jobClass) * 1000;
  const size = sizeOf(spec, ctx.types.values());
  const due = deadlineAt(job);
  const late = lateness(job, estimate, ctx);
  const unbegun = unbegunFor(shard, job, ctx);
  const starving = unbegun > STARVED_AFTER;
  const aged = (ctx.now - job.acceptedAt) / AGE_STEP;
  const key = [
    turn(spec, unbegun),
    ctx.guaranteed(job.id) ? 0 : 1,
    starving ? Math.min(spec.priority, Priority.standard) : spec.priority,
    starving ? -1 : late,
    // With more work than room, the nearest deadline first makes everybody a little late. Jobs that need little
    // go first instead, in steps of a factor of two: most jobs are then done in time.
    due === Infinity || late === 2
      ? 0
      : Math.round(Math.log2(1 + (job.waiting.size * size * estimate) / 1000) - aged),
    due === Infinity ? Number.MAX_SAFE_INTEGER : due,
    job.acceptedAt,
  ];
  return { job, key };
}

const byKey = (a: Ranked, b: Ranked): number => compareKeys(a.key, b.key) || (a.job.id < b.job.id ? -1 : 1);

export function planRound(shard: Shard, ctx: PlanContext): Plan {
  const s = startRound(shard);
  const waiting = queued(shard);
  keepHeldRoom(shard, waiting, s, ctx);
  const plan: Plan = {
    starts: [],
    stops: [],
    holds: [],
    unplaced: [],
    gathering: new Map(),
    oversized: null,
  };
  stopBrokenGangs(shard, s, ctx, plan);
  const due = waiting.filter((j) => ctx.now >= j.backoffUntil);
  const ranked = due.map((j) => rank(shard, j, ctx)).sort(byKey);
  for (const { job } of ranked) {
    if (job.gangHistory) placeGang(shard, job, s, ctx, plan);
    else placeJob(shard, job, s, ctx, plan);
  }
  return plan;
}

/** Jobs with waiting tasks; those without leave the queue. */
function queued(shard: Shard): ShardJob[] {
  const out: ShardJob[] = [];
  for (const job of shard.queue) {
    if (!job.waiting.isEmpty && shard.jobs.get(job.id) === job) out.push(job);
    else {
      job.reservations.clear();
      shard.queue.delete(job);
    }
  }
  return out;
}

function keepHeldRoom(shard: Shard, waiting: readonly ShardJob[], s: Scratch, ctx: PlanContext): void {
  for (const job of waiting) {
    for (const [index, hold] of job.reservations) {
      const machine = shard.machines.get(hold.machine);
      const room = machine ? scratchRoom(machine, s, ctx) : null;
      const over = !machine || ctx.now >= hold.reservedUntil || !job.waiting.has(index);
      if (over || (hold.withoutPreemption && !room)) job.reservations.delete(index);
      else take(room, job.spec, 1);
      if (hold.withoutPreemption && job.reservations.has(index)) s.reserved += 1;
    }
  }
}

function placeJob(shard: Shard, job: ShardJob, s: Scratch, ctx: PlanContext, plan: Plan): void {
  const noRoom: number[] = [];
  const noLimit: number[] = [];
  const places = new Map<ZoneId | null, Places>();
  const hopeless = new Set<ZoneId | null>();
  let limited = false;
  const holds = plan.holds.length;
  const pinned = job.record.assignments.some((a) => a.zone !== null);
  const shown = new Map<ZoneId | null, number>();
  for (const index of runsToTry(job, shown)) {
    if (
      !pinned &&
      job.reservations.size === 0 &&
      plan.holds.length === holds &&
      (hopeless.size > 0 || limited)
    ) {
      // What holds for one task of the job holds for all.
      plan.unplaced.push({ job, reason: limited ? 'limit' : 'room', indices: 'all' });
      return;
    }
    if (noLimit.length >= UNPLACED_SHOWN || plan.starts.length >= MAX_STARTS) break;
    if (!withinShare(job.spec, s, ctx)) {
      noLimit.push(index);
      if (noLimit.length === 1) reserveShare(shard, job, 1, s, ctx, plan);
      if (job.spec.priority === Priority.critical) makeShare(shard, job, noLimit.length, s, ctx, plan);
      else limited = true;
      continue;
    }
    const pin = requiredZone(job, index);
    const hold = job.reservations.get(index);
    if (hold && !job.reservations.delete(index)) continue;
    const held = hold && shard.machines.get(hold.machine);
    if (held) take(scratchRoom(held, s, ctx), job.spec, -1);
    let open = places.get(pin);
    if (!open) places.set(pin, (open = placesFor(shard, job, pin, s, ctx)));
    const machine = open.next(held);
    const worse = machine && held?.images.has(job.spec.image) && fetchMatters(job, machine, ctx);
    if (hold && held && machine !== held && (!machine || worse)) {
      // Its place is being cleared: a free machine that lacks the image would only start it later.
      job.reservations.set(index, hold);
      take(s.room.get(held.id), job.spec, 1);
      continue;
    }
    const better =
      machine &&
      machine !== held &&
      fetchMatters(job, machine, ctx) &&
      makeRoom(shard, job, index, pin, s, ctx, plan, true);
    if (machine && !better) {
      take(s.room.get(machine.id), job.spec, 1);
      charge(s, job.spec);
      plan.starts.push({ job, index, machine });
      continue;
    }
    if (!better && !hopeless.has(pin)) {
      // One search that finds nobody to stop speaks for all tasks of the job: others need the searches too.
      if (makeRoom(shard, job, index, pin, s, ctx, plan)) continue;
      hopeless.add(pin);
    }
    if (!better && reservePlace(shard, job, index, pin, s, ctx, plan)) continue;
    noRoom.push(index);
    shown.set(pin, (shown.get(pin) ?? 0) + 1);
  }
  if (noRoom.length > 0) plan.unplaced.push({ job, reason: 'room', indices: noRoom });
  if (noLimit.length > 0) plan.unplaced.push({ job, reason: 'limit', indices: noLimit });
}

/** The waiting tasks of a job, less the rest of those whose zone has shown that it has no room for many of them. */
function* runsToTry(job: ShardJob, shown: ReadonlyMap<ZoneId | null, number>): Generator<number> {
  for (const { from, to, zone } of waitingRuns(job))
    for (let index = from; index < to && (shown.get(zone) ?? 0) < UNPLACED_SHOWN; index += 1) yield index;
}

/** A team at its limit: its critical tasks get what its own lesser work uses of the resources that are short. */
function makeShare(
  shard: Shard,
  job: ShardJob,
  count: number,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): void {
  const { spec } = job;
  const share = ctx.share(spec.team);
  const used = usedWith(spec, s);
  const short = RESOURCE_KINDS.filter((kind) => spec[kind] > 0 && used[kind] > share[kind] + TOLERANCE);
  const isEnough = (freed: Resources): boolean => short.every((kind) => freed[kind] >= count * spec[kind]);
  const freed = (): Resources => s.leaving.get(spec.team) ?? ZERO;
  if (isEnough(freed())) return;
  const own: Allocation[] = [];
  for (const [id, bindings] of shard.allocationsByJob) {
    const lesser = shard.jobs.get(id)?.spec;
    if (lesser?.team !== spec.team || lesser.priority <= spec.priority) continue;
    if (!short.some((kind) => lesser[kind] > 0)) continue;
    for (const b of bindings) if (b.spec && !b.stop && !s.stopping.has(b)) own.push(b);
  }
  const costs = own.map((b) => ({ b, lost: lostWork(b, ctx) })).sort((x, y) => x.lost - y.lost);
  for (const { b } of costs) {
    if (isEnough(freed())) return;
    s.stopping.add(b);
    leaving(s, b.spec as JobSpec);
    plan.stops.push({ binding: b, grace: graceFor(b) });
  }
}

/** Work that should start at once: would it wait for its image there, longer than room is made elsewhere? */
function fetchMatters(job: ShardJob, machine: Machine, ctx: PlanContext): boolean {
  if (machine.images.has(job.spec.image)) return false;
  if (job.spec.priority !== Priority.critical && !ctx.guaranteed(job.id)) return false;
  const rate = ctx.types.get(machine.type)?.fetchGbPerS ?? 1;
  return job.spec.imageGb / Math.max(rate, 1e-3) > FETCH_WORTH_STOPPING_S;
}
