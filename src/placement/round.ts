/** One placement round: what it reads, what it decides, and the room and limits that it has left so far. */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import {
  add,
  addTo,
  fits,
  subtract,
  ZERO,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import {
  freeResources,
  usageOf,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import type { Team } from '../settings/settings.js';
import type { Attempt, JobId, MachineId, SteadyMs, TeamId, InstanceTypeId } from '../model/units.js';

/** Without any start by then it goes before all but critical work, of whatever priority. One start ends that. */
export const OVERDUE_AFTER = 150_000;

export interface PlanContext {
  readonly now: SteadyMs;
  readonly types: ReadonlyMap<InstanceTypeId, MachineType>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** This part's share of the team's limit. */
  readonly share: (team: TeamId) => Resources;
  /** What the team uses on other parts, by their announcements. */
  readonly usedElsewhere: (team: TeamId) => Resources;
  /** Does the job fit into its team's guarantee together with the team's earlier unfinished jobs? */
  readonly guaranteed: (job: JobId) => boolean;
  /** Has a peer announced room for a task like this? Then it is asked before anybody is stopped. */
  readonly peerHasRoom: (spec: JobSpec) => boolean;
  /** The largest multiple of a deadline that the users of this lane still count. */
  readonly latest: (lane: string) => number;
  /** Actual over estimated run time that this lane has shown. */
  readonly correction: (lane: string) => number;
  readonly reportMs: number;
  /** How long a gang's task waits for the others before it gives up, in milliseconds. */
  readonly gangWaitMs: number;
}

export interface Start {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: Machine;
  /** The attempt that it joins; absent: a new one. */
  readonly attempt?: Attempt;
}

export interface Stop {
  readonly binding: Allocation;
  readonly grace: number;
}

export interface Unplaced {
  readonly job: ShardJob;
  readonly reason: 'room' | 'limit';
  /** `all`: everything that waits of a job without pins; told so, since thousands of tasks may wait round after round. */
  readonly indices: readonly number[] | 'all';
}

/** A gang that its pool could not hold even if all lesser work left it, and how many of its tasks have no place. */
export interface OversizedGang {
  readonly job: ShardJob;
  readonly tasks: number;
}

export const countOf = (u: Unplaced): number => (u.indices === 'all' ? u.job.waiting.size : u.indices.length);

export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  readonly holds: { job: ShardJob; index: number; machine: MachineId; reserved: boolean }[];
  readonly unplaced: Unplaced[];
  /** By team: the share of its limit that one task, or one gang, needs for which smaller ones now make way. */
  readonly gathering: Map<TeamId, Resources>;
  /** The first of those that have waited for long. */
  oversized: OversizedGang | null;
}

export interface Scratch {
  /** Room for starts of this round, of machines that were looked at. */
  readonly room: Map<MachineId, MutableResources>;
  /** Room on machines where tasks were stopped in this round: for holds, not for starts. */
  readonly soon: Map<MachineId, MutableResources>;
  readonly used: Map<TeamId, Resources>;
  readonly anybody: Resources;
  readonly stopping: Set<Allocation>;
  readonly leaving: Map<TeamId, Resources>;
  searches: number;
  /** Machines that are kept for tasks that fit nowhere. */
  reserved: number;
}

export const usedHere = (s: Scratch, team: TeamId): Resources => s.used.get(team) ?? ZERO;

export const staying = (s: Scratch, team: TeamId, ctx: PlanContext): Resources =>
  add(subtract(usedHere(s, team), s.leaving.get(team) ?? ZERO), ctx.usedElsewhere(team));

/** What the team may be using here with one more task of the job. */
export const usedWith = (spec: JobSpec, s: Scratch): Resources =>
  add(add(usedHere(s, spec.team), s.anybody), spec);

export const withinShare = (spec: JobSpec, s: Scratch, ctx: PlanContext): boolean =>
  fits(usedWith(spec, s), ctx.share(spec.team));

/** Room as this round leaves it; null: nothing may start there. */
export function scratchRoom(m: Machine, s: Scratch, ctx: PlanContext): MutableResources | null {
  const known = s.room.get(m.id);
  if (known) return known;
  if (!usable(m, ctx)) return null;
  const room = freeResources(m, ctx.types.get(m.type));
  s.room.set(m.id, room);
  return room;
}

export function take(room: MutableResources | null | undefined, spec: JobSpec, sign: 1 | -1): void {
  if (room) addTo(room, spec, -sign);
}

/** Told to stop: it no longer counts for the team's guarantee, but for its limit until it is seen gone. */
export function leaving(s: Scratch, spec: JobSpec): void {
  s.leaving.set(spec.team, add(s.leaving.get(spec.team) ?? ZERO, spec));
}

export const charge = (s: Scratch, spec: JobSpec): void => chargeAll(s, spec.team, spec);

export function chargeAll(s: Scratch, team: TeamId, amount: Resources): void {
  s.used.set(team, add(usedHere(s, team), amount));
}

export function deadlineAt(job: ShardJob): number {
  return job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
}

/** 0: its deadline can be kept; 1: its users' second measure of lateness can; 2: neither. */
export function lateness(job: ShardJob, estimate: number, ctx: PlanContext): number {
  if (job.spec.deadlineS === null) return 0;
  const left = ctx.now + estimate - job.acceptedAt;
  const due = job.spec.deadlineS * 1000;
  return left < due ? 0 : left < due * ctx.latest(job.spec.jobClass) ? 1 : 2;
}

export function usable(m: Machine, ctx: Pick<PlanContext, 'now' | 'reportMs'>): boolean {
  if (m.unreachableSince !== null) return false;
  if (!m.reconciled || m.draining || m.scalingIn || m.interruptedAt !== null || ctx.now < m.quarantinedUntil)
    return false;
  return m.lastHeardAt !== null && ctx.now - m.lastHeardAt < ctx.reportMs * 2 + 1000;
}

export function startRound(shard: Shard): Scratch {
  const usage = usageOf(shard);
  const s: Scratch = {
    room: new Map(),
    soon: new Map(),
    used: new Map(
      [...usage.byTeam].map(([team, { cpus, gpus, memoryGb }]) => [team, { cpus, gpus, memoryGb }]),
    ),
    anybody: usage.unattributed,
    stopping: new Set(),
    leaving: new Map(),
    searches: 0,
    reserved: 0,
  };
  for (const b of shard.stopping) if (b.spec) leaving(s, b.spec);
  return s;
}

/** Remembers the round as it stands; the returned function takes everything back that was decided since. */
export function savepoint(s: Scratch, plan: Plan): () => void {
  const rooms = copyRooms(s.room);
  const soon = copyRooms(s.soon);
  const used = new Map(s.used);
  const leaving = new Map(s.leaving);
  const stopping = new Set(s.stopping);
  const { stops, holds } = plan;
  const decided = { stops: stops.length, holds: holds.length };
  return () => {
    restoreRooms(s.room, rooms);
    restoreRooms(s.soon, soon);
    refill(s.used, used);
    refill(s.leaving, leaving);
    s.stopping.clear();
    for (const allocation of stopping) s.stopping.add(allocation);
    stops.length = decided.stops;
    holds.length = decided.holds;
  };
}

const copyRooms = (rooms: Scratch['room']): Map<MachineId, MutableResources> =>
  new Map([...rooms].map(([id, room]) => [id, { ...room }]));

/** In place: searches of this round hold on to the rooms that they have found. */
function restoreRooms(rooms: Scratch['room'], saved: ReadonlyMap<MachineId, MutableResources>): void {
  for (const [id, room] of rooms) {
    const before = saved.get(id);
    if (before) Object.assign(room, before);
    else rooms.delete(id);
  }
}

function refill<K, V>(map: Map<K, V>, saved: ReadonlyMap<K, V>): void {
  map.clear();
  for (const [key, value] of saved) map.set(key, value);
}
