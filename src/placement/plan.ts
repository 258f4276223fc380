/**
 * One placement round of a part: which waiting tasks start where, which tasks stop to make room, and what stays
 * without room. Pure: it reads the part and returns decisions.
 */
import type { MachineType } from '../cloud/wire.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import {
  pinOf,
  roomOn,
  usageOf,
  type Binding,
  type Machine,
  type Part,
  type PartJob,
  type Room,
} from '../parts/model.js';
import type { Team } from '../settings/settings.js';
import type { JobId, MachineId, SteadyMs, TeamId, TypeId, ZoneId } from '../units.js';

export interface PlanContext {
  readonly now: SteadyMs;
  readonly types: ReadonlyMap<TypeId, MachineType>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** This part's share of the team's limit. */
  readonly share: (team: TeamId) => { cpus: number; gpus: number };
  /** CPUs of the team in use on other parts, by their announcements. */
  readonly usedElsewhere: (team: TeamId) => number;
  /** Does the job fit into its team's guarantee together with the team's earlier unfinished jobs? */
  readonly guaranteed: (job: JobId) => boolean;
  /** Has a peer announced room for a task like this? Then it is asked before anybody is stopped. */
  readonly peerHasRoom: (spec: JobSpec) => boolean;
  /** Actual over estimated run time that this lane has shown. */
  readonly correction: (lane: string) => number;
  readonly reportMs: number;
}

export interface Start {
  readonly job: PartJob;
  readonly index: number;
  readonly machine: Machine;
}

export interface Stop {
  readonly binding: Binding;
  readonly grace: number;
}

export interface Unplaced {
  readonly job: PartJob;
  readonly reason: 'room' | 'limit';
  readonly indices: readonly number[];
}

export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  readonly holds: { job: PartJob; index: number; machine: MachineId }[];
  readonly unplaced: Unplaced[];
}

const MAX_STARTS = 300;
const MAX_VICTIM_SEARCHES = 12;
const UNPLACED_SHOWN = 200;
const FETCH_WORTH_STOPPING_S = 1;
/** How long a task waits for a peer with announced room, or for room to come free, before others are stopped. */
const CRITICAL_PATIENCE = 400;
const PATIENCE = 1500;

interface Scratch {
  readonly room: Map<MachineId, Room>;
  readonly used: Map<TeamId, { cpus: number; gpus: number }>;
  readonly anybody: { cpus: number; gpus: number };
  readonly stopping: Set<Binding>;
  readonly leaving: Map<TeamId, number>;
  searches: number;
}

export function fits(room: Room, spec: JobSpec): boolean {
  const slack = 1e-6;
  return (
    room.cpus + slack >= spec.cpus && room.gpus + slack >= spec.gpus && room.memoryGb + slack >= spec.memoryGb
  );
}

/** May a task of this job start on such a machine at all? */
export function allowed(
  spec: JobSpec,
  type: TypeId,
  zone: ZoneId,
  spot: boolean,
  pin: ZoneId | null,
): boolean {
  if (spot && !spec.spot) return false;
  if (spec.types && !spec.types.includes(type)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  return pin === null || pin === zone;
}

export function usable(m: Machine, ctx: Pick<PlanContext, 'now' | 'reportMs'>): boolean {
  if (!m.settled || m.draining || m.returning || m.takenAt !== null || ctx.now < m.avoidUntil) return false;
  return m.lastHeard !== null && ctx.now - m.lastHeard < ctx.reportMs * 2 + 1000;
}

function deadlineAt(job: PartJob): number {
  return job.spec.deadlineS === null ? Infinity : job.firstSeen + job.spec.deadlineS * 1000;
}

interface Ranked {
  readonly job: PartJob;
  readonly key: readonly number[];
}

/** Critical first, then work within its team's guarantee, then by priority, then the deadlines that can be met, small jobs first. */
function rank(job: PartJob, ctx: PlanContext): Ranked {
  const spec = job.spec;
  const estimate = spec.estimateS * ctx.correction(spec.lane) * 1000;
  const due = deadlineAt(job);
  const late = due < ctx.now + estimate ? 1 : 0;
  const key = [
    spec.priority === Priority.critical ? 0 : 1,
    ctx.guaranteed(job.id) ? 0 : 1,
    spec.priority,
    late,
    // With more work than room, the nearest deadline first makes everybody a little late. Jobs that need little
    // go first instead, in steps of a factor of two: most jobs are then done in time.
    due === Infinity || late === 1
      ? 0
      : Math.round(Math.log2(1 + (job.waiting.size * spec.cpus * estimate) / 1000)),
    due === Infinity ? Number.MAX_SAFE_INTEGER : due,
    job.firstSeen,
  ];
  return { job, key };
}

function byKey(a: Ranked, b: Ranked): number {
  for (let i = 0; i < a.key.length; i += 1) {
    const d = (a.key[i] as number) - (b.key[i] as number);
    if (d !== 0) return d;
  }
  return a.job.id < b.job.id ? -1 : 1;
}

const usedHere = (s: Scratch, team: TeamId): { cpus: number; gpus: number } =>
  s.used.get(team) ?? { cpus: 0, gpus: 0 };

const staying = (s: Scratch, team: TeamId, ctx: PlanContext): number =>
  usedHere(s, team).cpus - (s.leaving.get(team) ?? 0) + ctx.usedElsewhere(team);

function withinShare(spec: JobSpec, s: Scratch, ctx: PlanContext): boolean {
  const used = usedHere(s, spec.team);
  const share = ctx.share(spec.team);
  const slack = 1e-6;
  return (
    used.cpus + s.anybody.cpus + spec.cpus <= share.cpus + slack &&
    used.gpus + s.anybody.gpus + spec.gpus <= share.gpus + slack
  );
}

export function planRound(part: Part, ctx: PlanContext): Plan {
  const usage = usageOf(part, ctx.types);
  const s: Scratch = {
    room: new Map(),
    used: usage.teams,
    anybody: { cpus: usage.cpusAnybody, gpus: usage.gpusAnybody },
    stopping: new Set(),
    leaving: new Map(),
    searches: 0,
  };
  for (const m of part.machines.values())
    if (usable(m, ctx)) s.room.set(m.id, roomOn(m, ctx.types.get(m.type)));
  for (const b of part.bound.values()) if (b.stop && b.spec) leaving(s, b.spec);
  keepHeldRoom(part, s, ctx);
  const plan: Plan = { starts: [], stops: [], holds: [], unplaced: [] };
  const waiting = [...part.jobs.values()].filter((j) => !j.waiting.isEmpty && ctx.now >= j.notBefore);
  const ranked = waiting.map((j) => rank(j, ctx)).sort(byKey);
  for (const { job } of ranked) {
    if (job.spec.shape === 'gang') placeGang(part, job, s, ctx, plan);
    else placeJob(part, job, s, ctx, plan);
  }
  return plan;
}

function keepHeldRoom(part: Part, s: Scratch, ctx: PlanContext): void {
  for (const job of part.jobs.values()) {
    for (const [index, hold] of job.holds) {
      if (ctx.now >= hold.until || !job.waiting.has(index)) job.holds.delete(index);
      else take(s.room.get(hold.machine), job.spec, 1);
    }
  }
}

function take(room: Room | undefined, spec: JobSpec, sign: 1 | -1): void {
  if (!room) return;
  room.cpus -= sign * spec.cpus;
  room.gpus -= sign * spec.gpus;
  room.memoryGb -= sign * spec.memoryGb;
}

/** Told to stop: it no longer counts for the team's guarantee, but for its limit until it is seen gone. */
function leaving(s: Scratch, spec: JobSpec): void {
  s.leaving.set(spec.team, (s.leaving.get(spec.team) ?? 0) + spec.cpus);
}

function charge(s: Scratch, spec: JobSpec): void {
  const used = usedHere(s, spec.team);
  s.used.set(spec.team, { cpus: used.cpus + spec.cpus, gpus: used.gpus + spec.gpus });
}

function placeJob(part: Part, job: PartJob, s: Scratch, ctx: PlanContext, plan: Plan): void {
  const noRoom: number[] = [];
  const noLimit: number[] = [];
  const fullPins = new Set<ZoneId | null>();
  for (const index of job.waiting) {
    if (noRoom.length + noLimit.length >= UNPLACED_SHOWN || plan.starts.length >= MAX_STARTS) break;
    if (!withinShare(job.spec, s, ctx)) {
      noLimit.push(index);
      if (job.spec.priority === Priority.critical) makeShare(part, job, noLimit.length, s, ctx, plan);
      continue;
    }
    const pin = pinOf(job, index);
    const hold = job.holds.get(index);
    if (hold) take(s.room.get(hold.machine), job.spec, -1);
    const machine = fullPins.has(pin) && !hold ? null : choose(part, job, pin, s, ctx);
    if (
      machine &&
      !hold &&
      fetchMatters(job, machine, ctx) &&
      preempt(part, job, index, pin, s, ctx, plan, true)
    ) {
      noRoom.push(index);
      continue;
    }
    if (machine) {
      if (hold) job.holds.delete(index);
      take(s.room.get(machine.id), job.spec, 1);
      charge(s, job.spec);
      plan.starts.push({ job, index, machine });
      continue;
    }
    if (hold) take(s.room.get(hold.machine), job.spec, 1);
    else {
      fullPins.add(pin);
      if (preempt(part, job, index, pin, s, ctx, plan)) continue;
    }
    noRoom.push(index);
  }
  if (noRoom.length > 0) plan.unplaced.push({ job, reason: 'room', indices: noRoom });
  if (noLimit.length > 0) plan.unplaced.push({ job, reason: 'limit', indices: noLimit });
}

/** A team at its limit: its critical tasks get what its own lesser work uses. */
function makeShare(part: Part, job: PartJob, count: number, s: Scratch, ctx: PlanContext, plan: Plan): void {
  const { spec } = job;
  let freed = s.leaving.get(spec.team) ?? 0;
  const own = [...part.bound.values()].filter(
    (b) => b.spec?.team === spec.team && b.spec.priority > spec.priority && !b.stop && !s.stopping.has(b),
  );
  own.sort((a, b) => lostWork(a, ctx.now) - lostWork(b, ctx.now));
  for (const b of own) {
    if (freed >= count * spec.cpus) return;
    freed += b.spec?.cpus ?? 0;
    s.stopping.add(b);
    leaving(s, b.spec as JobSpec);
    plan.stops.push({ binding: b, grace: graceFor(b) });
  }
}

/** Work that should start at once: would it wait for its image there, longer than room is made elsewhere? */
function fetchMatters(job: PartJob, machine: Machine, ctx: PlanContext): boolean {
  if (machine.images.has(job.spec.image)) return false;
  if (job.spec.priority !== Priority.critical && !ctx.guaranteed(job.id)) return false;
  const rate = ctx.types.get(machine.type)?.fetchGbPerS ?? 1;
  return job.spec.imageGb / Math.max(rate, 1e-3) > FETCH_WORTH_STOPPING_S;
}

/** All tasks of a gang start in the same round, or none does. */
function placeGang(part: Part, job: PartJob, s: Scratch, ctx: PlanContext, plan: Plan): void {
  for (const b of part.bound.values()) if (b.job === job.id) return;
  if (!job.frozen.isEmpty || !job.moving.isEmpty) return;
  const indices = [...job.waiting];
  const room = new Map([...s.room].map(([id, r]) => [id, { ...r }] as const));
  const used = usedHere(s, job.spec.team);
  const starts: Start[] = [];
  for (const index of indices) {
    const short = !withinShare(job.spec, s, ctx);
    const machine = short ? null : choose(part, job, pinOf(job, index), s, ctx);
    if (!machine) {
      const reason = short ? 'limit' : 'room';
      for (const [id, r] of room) s.room.set(id, r);
      s.used.set(job.spec.team, used);
      plan.unplaced.push({ job, reason, indices: indices.slice(0, UNPLACED_SHOWN) });
      return;
    }
    take(s.room.get(machine.id), job.spec, 1);
    charge(s, job.spec);
    starts.push({ job, index, machine });
  }
  plan.starts.push(...starts);
}

/** The machine that holds the image, else the one with most free room. */
function choose(part: Part, job: PartJob, pin: ZoneId | null, s: Scratch, ctx: PlanContext): Machine | null {
  let best: Machine | null = null;
  let bestKey: readonly [number, number, number] = [0, 0, 0];
  for (const [id, room] of s.room) {
    const m = part.machines.get(id);
    if (!m || !fits(room, job.spec) || !allowed(job.spec, m.type, m.zone, m.spot, pin)) continue;
    // A machine on which the job failed is the last choice for it.
    const failed = job.errorMachines.has(id) ? 0 : 1;
    const holder = m.images.has(job.spec.image);
    const total = ctx.types.get(m.type)?.cpus ?? 1;
    // Among holders batch work fills the fullest machine first: idle ones can be returned, and large gaps stay.
    const pack = holder && job.spec.shape === 'array';
    const key = [failed, holder ? 1 : 0, pack ? -room.cpus : room.cpus + room.cpus / total] as const;
    if (
      !best ||
      key[0] > bestKey[0] ||
      (key[0] === bestKey[0] && (key[1] > bestKey[1] || (key[1] === bestKey[1] && key[2] > bestKey[2])))
    ) {
      best = m;
      bestKey = key;
    }
  }
  return best;
}

/** Work lost when this task is stopped now, in CPU milliseconds. */
export function lostWork(b: Binding, now: SteadyMs): number {
  if (!b.spec) return 0;
  if (b.runningSince === null) return 0.5 * b.spec.cpus * 1000;
  const run = now - b.runningSince;
  return b.spec.cpus * (b.spec.checkpointS > 0 ? Math.min(run, b.spec.saveS * 1000) : run);
}

/**
 * The same order as `rank` decides who is stopped for whom: otherwise a task that was stopped is placed first in
 * the next round, and both stop each other for good.
 */
function mayStop(b: Binding, job: PartJob, guaranteed: boolean, s: Scratch, ctx: PlanContext): boolean {
  if (b.stop || !b.spec || s.stopping.has(b) || b.job === job.id) return false;
  if (job.spec.priority === Priority.critical) return b.spec.priority !== Priority.critical;
  if (b.spec.priority === Priority.critical) return false;
  if (ctx.guaranteed(b.job)) return false;
  const higher = job.spec.priority < b.spec.priority;
  return higher || (guaranteed && b.spec.team !== job.spec.team && borrowed(b.spec, s, ctx));
}

/** Does its team still have its guarantee without this task? */
function borrowed(spec: JobSpec, s: Scratch, ctx: PlanContext): boolean {
  const team = ctx.teams.get(spec.team);
  const used = staying(s, spec.team, ctx);
  return team === undefined || used - spec.cpus >= team.cpus - 1e-6;
}

interface Victims {
  readonly machine: Machine;
  readonly list: readonly Binding[];
  readonly cost: number;
}

function victimsOn(
  m: Machine,
  room: Room,
  job: PartJob,
  guaranteed: boolean,
  s: Scratch,
  ctx: PlanContext,
): Victims | null {
  const candidates = [...m.bindings.values()].filter((b) => mayStop(b, job, guaranteed, s, ctx));
  candidates.sort((a, b) => lostWork(a, ctx.now) - lostWork(b, ctx.now));
  const free = { ...room };
  const list: Binding[] = [];
  let cost = 0;
  for (const b of candidates) {
    if (fits(free, job.spec)) break;
    take(free, b.spec as JobSpec, -1);
    cost += lostWork(b, ctx.now);
    list.push(b);
  }
  return fits(free, job.spec) ? { machine: m, list, cost } : null;
}

function preempt(
  part: Part,
  job: PartJob,
  index: number,
  pin: ZoneId | null,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
  holdersOnly = false,
): boolean {
  const critical = job.spec.priority === Priority.critical;
  const guaranteed = ctx.guaranteed(job.id);
  const waited = ctx.now - Math.max(job.arrivedAt, job.waitingSince ?? ctx.now);
  const mayMove = job.record.home === part.id && ctx.peerHasRoom(job.spec);
  const patience = critical ? (mayMove ? CRITICAL_PATIENCE : 0) : PATIENCE;
  if ((!holdersOnly && waited < patience) || s.searches >= MAX_VICTIM_SEARCHES) return false;
  if (!critical && deadlineAt(job) < ctx.now) return false;
  s.searches += 1;
  let best: Victims | null = null;
  for (const [id, room] of s.room) {
    const m = part.machines.get(id);
    if (!m || !allowed(job.spec, m.type, m.zone, m.spot, pin)) continue;
    if (holdersOnly && !m.images.has(job.spec.image)) continue;
    const found = victimsOn(m, room, job, guaranteed, s, ctx);
    if (found && found.list.length > 0 && (!best || found.cost < best.cost)) best = found;
  }
  if (!best) return false;
  for (const b of best.list) {
    s.stopping.add(b);
    leaving(s, b.spec as JobSpec);
    take(s.room.get(best.machine.id), b.spec as JobSpec, -1);
    plan.stops.push({ binding: b, grace: graceFor(b) });
  }
  take(s.room.get(best.machine.id), job.spec, 1);
  charge(s, job.spec);
  plan.holds.push({ job, index, machine: best.machine.id });
  return true;
}

/** Time to save for a task that can; none for others. */
export function graceFor(b: Binding): number {
  return b.spec && b.spec.checkpointS > 0 ? Math.ceil(b.spec.saveS + 1) : 0;
}
