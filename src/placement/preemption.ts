/** Which tasks stop to make room for one that goes first. Pure. */
import { Priority, type JobSpec } from '../jobs/spec.js';
import {
  add,
  covers,
  fits,
  isZero,
  RESOURCE_KINDS,
  sizeOf,
  TOLERANCE,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import type { Allocation, Machine, Shard, ShardJob } from '../shards/model.js';
import type { SteadyMs, ZoneId } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { isCrowded } from './places.js';
import { mayRunOn } from '../model/constraints.js';
import {
  charge,
  deadlineAt,
  lateness,
  leaving,
  OVERDUE_AFTER,
  scratchRoom,
  staying,
  take,
  type Plan,
  type PlanContext,
  type Scratch,
} from './round.js';

const MAX_PREEMPTION_SEARCHES = 12;
/** A large service must not start half of its tasks where their image is missing. */
const MAX_CRITICAL_SEARCHES = 64;
/** Machines on which preemption was found possible before the cheapest of them is taken. */
const PREEMPTION_SAMPLE = 24;
/** How long a task waits for a peer with announced room, or for room to come free, before others are stopped. */
const CRITICAL_PATIENCE = 400;
const PATIENCE = 1500;
/** Work in CPU milliseconds, for each CPU of its size, that one step of a job's deadline weighs as much as. */
const DEADLINE_STANDING_WORTH = 20_000;
const SEARCH_AGAIN = 700;
/** How long a job that began long overdue is stopped for critical work only. */
const PROTECTED_FOR = 60_000;
const MAX_FRUITLESS = 200;

type SizeContext = Pick<PlanContext, 'now' | 'types'>;

/** Work lost when this task is stopped now: its size in CPUs, by its dominant resource, times milliseconds. */
export function lostWork(b: Allocation, ctx: SizeContext): number {
  if (!b.spec) return 0;
  const size = sizeOf(b.spec, ctx.types.values());
  if (b.runningSince === null) return 0.5 * size * 1000;
  const run = ctx.now - b.runningSince;
  return size * (b.spec.checkpointIntervalS > 0 ? Math.min(run, b.spec.checkpointDurationS * 1000) : run);
}

/** What the users lose with a task besides its work: 2 when its job's deadline can still be kept, 0 when none can. */
function deadlineStanding(shard: Shard, b: Allocation, ctx: PlanContext): number {
  const job = shard.jobs.get(b.job);
  if (!b.spec || b.spec.deadlineS === null || !job) return 0;
  const run = b.runningSince === null ? 0 : ctx.now - b.runningSince;
  const estimate = b.spec.estimateS * ctx.correction(b.spec.jobClass) * 1000;
  return 2 - lateness(job, Math.max(0, estimate - run), ctx);
}

function preemptionCost(shard: Shard, b: Allocation, ctx: PlanContext): number {
  const size = b.spec ? sizeOf(b.spec, ctx.types.values()) : 0;
  // A gang stops as a whole.
  const tasks = b.spec?.kind === 'gang' ? b.spec.tasks : 1;
  return tasks * (lostWork(b, ctx) + deadlineStanding(shard, b, ctx) * DEADLINE_STANDING_WORTH * size);
}

/** These tasks, and all others of the gangs among them. */
function withTheirGangs(shard: Shard, list: readonly Allocation[]): Set<Allocation> {
  const all = new Set(list);
  for (const b of list) {
    if (b.spec?.kind !== 'gang') continue;
    for (const member of shard.allocationsByJob.get(b.job) ?? []) if (!member.stop) all.add(member);
  }
  return all;
}

/**
 * The same order as `rank` decides who is stopped for whom: otherwise a task that was stopped is placed first in
 * the next round, and both stop each other for good.
 */
function mayStop(b: Allocation, job: ShardJob, guaranteed: boolean, s: Scratch, ctx: PlanContext): boolean {
  if (b.stop || !b.spec || s.stopping.has(b) || b.job === job.id) return false;
  if (job.spec.priority === Priority.critical) return b.spec.priority !== Priority.critical;
  if (b.spec.priority === Priority.critical) return false;
  if (ctx.guaranteed(b.job)) return false;
  const higher = job.spec.priority < b.spec.priority;
  return higher || (guaranteed && b.spec.team !== job.spec.team && borrowed(b.spec, s, ctx));
}

/**
 * A job that began long overdue went before guaranteed work: stopped for that at once, it would be placed first again,
 * and both would stop each other for good.
 */
function isProtected(shard: Shard, b: Allocation, by: ShardJob, ctx: PlanContext): boolean {
  const job = shard.jobs.get(b.job);
  if (!job || by.spec.priority === Priority.critical || !job.record.done.isEmpty) return false;
  return b.allocatedAt - job.acceptedAt > OVERDUE_AFTER && ctx.now - b.allocatedAt < PROTECTED_FOR;
}

/** Would its team without this task still use all of a guarantee that the task counts for? None: it is all borrowed. */
function borrowed(spec: JobSpec, s: Scratch, ctx: PlanContext): boolean {
  const guarantee = ctx.teams.get(spec.team)?.guarantee;
  if (!guarantee) return true;
  const counted = RESOURCE_KINDS.filter((kind) => guarantee[kind] > 0 && spec[kind] > 0);
  const used = staying(s, spec.team, ctx);
  return (
    counted.length === 0 || counted.some((kind) => used[kind] - spec[kind] >= guarantee[kind] - TOLERANCE)
  );
}

interface Preemption {
  readonly machine: Machine;
  readonly list: readonly Allocation[];
  readonly cost: number;
}

function preemptionOn(
  shard: Shard,
  m: Machine,
  room: Resources,
  job: ShardJob,
  guaranteed: boolean,
  s: Scratch,
  ctx: PlanContext,
): Preemption | null {
  const stoppable: Allocation[] = [];
  const most = { ...room };
  for (const b of m.allocations.values()) {
    if (!mayStop(b, job, guaranteed, s, ctx) || isProtected(shard, b, job, ctx)) continue;
    stoppable.push(b);
    take(most, b.spec as JobSpec, -1);
  }
  // What each costs is only worth finding out where it would be enough.
  if (!fits(job.spec, most)) return null;
  const candidates = stoppable.map((b) => ({ b, cost: preemptionCost(shard, b, ctx) }));
  candidates.sort((x, y) => x.cost - y.cost);
  const free = { ...room };
  const list: Allocation[] = [];
  let cost = 0;
  for (const { b, cost: more } of candidates) {
    if (fits(job.spec, free)) break;
    take(free, b.spec as JobSpec, -1);
    cost += more;
    list.push(b);
  }
  return fits(job.spec, free) ? { machine: m, list, cost } : null;
}

const criticalPatience = (shard: Shard, job: ShardJob, ctx: PlanContext): number =>
  job.record.homeShard === shard.id && ctx.peerHasRoom(job.spec) ? CRITICAL_PATIENCE : 0;

export function makeRoom(
  shard: Shard,
  job: ShardJob,
  index: number,
  pin: ZoneId | null,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
  holdersOnly = false,
): boolean {
  const critical = job.spec.priority === Priority.critical;
  const waited = ctx.now - Math.max(job.arrivedAt, job.waitingSince ?? ctx.now);
  if (
    s.searches >= (critical ? MAX_CRITICAL_SEARCHES : MAX_PREEMPTION_SEARCHES) ||
    ctx.now < job.nextPreemptionSearchAt
  )
    return false;
  if (!critical && deadlineAt(job) < ctx.now) return false;
  if (!holdersOnly && waited < PATIENCE && !(critical && waited >= criticalPatience(shard, job, ctx)))
    return false;
  const alike = critical || holdersOnly ? null : fruitlessKey(job, pin, ctx);
  if (alike !== null && isFruitless(shard, alike, job.spec, ctx.now)) return false;
  s.searches += 1;
  const best = cheapestPreemption(shard, job, pin, s, ctx, holdersOnly);
  if (!best) {
    // Nobody may be stopped for it: that changes with what runs, not from one round to the next.
    if (!critical && !holdersOnly) job.nextPreemptionSearchAt = plus(ctx.now, millis(SEARCH_AGAIN));
    if (alike !== null) noteFruitless(shard, alike, job.spec, ctx.now);
    return false;
  }
  const { machine } = best;
  const soon = soonRoom(machine, s, ctx);
  for (const b of withTheirGangs(shard, best.list)) {
    if (s.stopping.has(b)) continue;
    s.stopping.add(b);
    leaving(s, b.spec as JobSpec);
    const freed = shard.machines.get(b.machine);
    if (freed) take(soonRoom(freed, s, ctx), b.spec as JobSpec, -1);
    plan.stops.push({ binding: b, grace: graceFor(b) });
  }
  take(soon, job.spec, 1);
  take(s.room.get(machine.id), job.spec, 1);
  charge(s, job.spec);
  plan.holds.push({ job, index, machine: machine.id, reserved: false });
  return true;
}

/** Who may be stopped depends on this alone, and on how much room is asked for. */
function fruitlessKey({ id, spec }: ShardJob, pin: ZoneId | null, ctx: PlanContext): string {
  const team = ctx.guaranteed(id) ? spec.team : '';
  return [spec.priority, team, spec.spot, spec.zone, pin, spec.types?.join()].join('/');
}

/** With hundreds of jobs waiting, each would look at every machine for itself and find nobody. */
function isFruitless(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): boolean {
  const failed = shard.failedSearches.get(key);
  return failed !== undefined && now < failed.until && covers(spec, failed.need);
}

function noteFruitless(shard: Shard, key: string, spec: JobSpec, now: SteadyMs): void {
  const { cpus, gpus, memoryGb } = spec;
  // Users may name any list of types: old keys are not kept for ever.
  if (shard.failedSearches.size >= MAX_FRUITLESS) shard.failedSearches.clear();
  shard.failedSearches.set(key, { need: { cpus, gpus, memoryGb }, until: plus(now, millis(SEARCH_AGAIN)) });
}

/** What a machine will have once those stopped in this round are gone. */
function soonRoom(m: Machine, s: Scratch, ctx: PlanContext): MutableResources | null {
  const known = s.soon.get(m.id);
  if (known) return known;
  const room = scratchRoom(m, s, ctx);
  if (!room) return null;
  const soon = { ...room };
  s.soon.set(m.id, soon);
  return soon;
}

/** The cheapest of the first machines on which enough may be stopped. */
function cheapestPreemption(
  shard: Shard,
  job: ShardJob,
  pin: ZoneId | null,
  s: Scratch,
  ctx: PlanContext,
  holdersOnly: boolean,
): Preemption | null {
  const guaranteed = ctx.guaranteed(job.id);
  let best: Preemption | null = null;
  let found = 0;
  for (const m of holdersOnly ? shard.totals.machinesWithImage(job.spec.image) : shard.machines.values()) {
    if (isZero(m.preemptible) || !mayRunOn(job.spec, m.type, m.zone, m.spot, pin)) continue;
    const room = s.soon.get(m.id) ?? scratchRoom(m, s, ctx);
    if (!room || !fits(job.spec, add(room, m.preemptible))) continue;
    if (isCrowded(m, room, job.spec, ctx.types.get(m.type), ctx.now)) continue;
    const preemption = preemptionOn(shard, m, room, job, guaranteed, s, ctx);
    if (!preemption) continue;
    if (!best || preemption.cost < best.cost) best = preemption;
    found += 1;
    if (found >= PREEMPTION_SAMPLE) break;
  }
  return best;
}

/** Time to save for a task that can; none for others. */
export function graceFor(b: Allocation): number {
  return b.spec && b.spec.checkpointIntervalS > 0 ? Math.ceil(b.spec.checkpointDurationS + 1) : 0;
}
