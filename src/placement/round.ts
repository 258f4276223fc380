/** One placement round: what it reads, what it decides, and the room and limits that it has left so far. */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import {
  roomOn,
  usageOf,
  type Binding,
  type Machine,
  type Part,
  type PartJob,
  type Room,
} from '../parts/model.js';
import type { Share } from '../quota/shares.js';
import type { Team } from '../settings/settings.js';
import type { JobId, MachineId, SteadyMs, TeamId, TypeId, ZoneId } from '../units.js';

/** Without any start by then it goes before all but critical work, of whatever priority. One start ends that. */
export const OVERDUE_AFTER = 150_000;

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
  /** The largest multiple of a deadline that the users of this lane still count. */
  readonly latest: (lane: string) => number;
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
  /** `all`: everything that waits of a job without pins; told so, since thousands of tasks may wait round after round. */
  readonly indices: readonly number[] | 'all';
}

export const countOf = (u: Unplaced): number => (u.indices === 'all' ? u.job.waiting.size : u.indices.length);

export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  readonly holds: { job: PartJob; index: number; machine: MachineId; reserved: boolean }[];
  readonly unplaced: Unplaced[];
  /** By team: the share of its limit that one task needs for which smaller ones now make way. */
  readonly gathering: Map<TeamId, Share>;
}

export interface Scratch {
  /** Room for starts of this round, of machines that were looked at. */
  readonly room: Map<MachineId, Room>;
  /** Room on machines where tasks were stopped in this round: for holds, not for starts. */
  readonly soon: Map<MachineId, Room>;
  readonly used: Map<TeamId, { cpus: number; gpus: number }>;
  readonly anybody: { cpus: number; gpus: number };
  readonly stopping: Set<Binding>;
  readonly leaving: Map<TeamId, number>;
  searches: number;
  /** Machines that are kept for tasks that fit nowhere. */
  reserved: number;
}

export const usedHere = (s: Scratch, team: TeamId): { cpus: number; gpus: number } =>
  s.used.get(team) ?? { cpus: 0, gpus: 0 };

export const staying = (s: Scratch, team: TeamId, ctx: PlanContext): number =>
  usedHere(s, team).cpus - (s.leaving.get(team) ?? 0) + ctx.usedElsewhere(team);

export function withinShare(spec: JobSpec, s: Scratch, ctx: PlanContext): boolean {
  const used = usedHere(s, spec.team);
  const share = ctx.share(spec.team);
  const slack = 1e-6;
  return (
    used.cpus + s.anybody.cpus + spec.cpus <= share.cpus + slack &&
    used.gpus + s.anybody.gpus + spec.gpus <= share.gpus + slack
  );
}

/** Room as this round leaves it; null: nothing may start there. */
export function scratchRoom(m: Machine, s: Scratch, ctx: PlanContext): Room | null {
  const known = s.room.get(m.id);
  if (known) return known;
  if (!usable(m, ctx)) return null;
  const room = roomOn(m, ctx.types.get(m.type));
  s.room.set(m.id, room);
  return room;
}

export function take(room: Room | null | undefined, spec: JobSpec, sign: 1 | -1): void {
  if (!room) return;
  room.cpus -= sign * spec.cpus;
  room.gpus -= sign * spec.gpus;
  room.memoryGb -= sign * spec.memoryGb;
}

/** Told to stop: it no longer counts for the team's guarantee, but for its limit until it is seen gone. */
export function leaving(s: Scratch, spec: JobSpec): void {
  s.leaving.set(spec.team, (s.leaving.get(spec.team) ?? 0) + spec.cpus);
}

export function charge(s: Scratch, spec: JobSpec): void {
  const used = usedHere(s, spec.team);
  s.used.set(spec.team, { cpus: used.cpus + spec.cpus, gpus: used.gpus + spec.gpus });
}

export function deadlineAt(job: PartJob): number {
  return job.spec.deadlineS === null ? Infinity : job.firstSeen + job.spec.deadlineS * 1000;
}

/** 0: its deadline can be kept; 1: its users' second measure of lateness can; 2: neither. */
export function lateness(job: PartJob, estimate: number, ctx: PlanContext): number {
  if (job.spec.deadlineS === null) return 0;
  const left = ctx.now + estimate - job.firstSeen;
  const due = job.spec.deadlineS * 1000;
  return left < due ? 0 : left < due * ctx.latest(job.spec.lane) ? 1 : 2;
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
  if (m.unreachedSince !== null) return false;
  if (!m.settled || m.draining || m.returning || m.takenAt !== null || ctx.now < m.avoidUntil) return false;
  return m.lastHeard !== null && ctx.now - m.lastHeard < ctx.reportMs * 2 + 1000;
}

export function startRound(part: Part): Scratch {
  const usage = usageOf(part);
  const s: Scratch = {
    room: new Map(),
    soon: new Map(),
    used: new Map(),
    anybody: { cpus: usage.cpusAnybody, gpus: usage.gpusAnybody },
    stopping: new Set(),
    leaving: new Map(),
    searches: 0,
    reserved: 0,
  };
  for (const [team, { cpus, gpus }] of usage.teams) s.used.set(team, { cpus, gpus });
  for (const b of part.stopping) if (b.spec) leaving(s, b.spec);
  return s;
}
