/** Gangs in a placement round: all their tasks start, or none does; what a broken gang has left is stopped. Pure. */
import { decideGang, forgetAttempt, type GangDecision } from '../model/gang.js';
import type { Resources } from '../model/resources.js';
import { millis, type Attempt, type ZoneId } from '../model/units.js';
import { requiredZone, type Machine, type Shard, type ShardJob } from '../shards/model.js';
import { placesFor, type Places } from './places.js';
import {
  charge,
  savepoint,
  scratchRoom,
  take,
  usedHere,
  withinShare,
  type Plan,
  type PlanContext,
  type Scratch,
  type Start,
} from './round.js';
import { makeRoom } from './preemption.js';
import { endGangTurn, reserveGangPlaces, reserveShare } from './reservations.js';

/** What should become of a gang, by all that is known of it here. */
export function decisionOn(shard: Shard, job: ShardJob, ctx: PlanContext): GangDecision | null {
  if (!job.gangHistory) return null;
  return decideGang({
    now: ctx.now,
    missing: !job.waiting.isEmpty,
    members: [...(shard.allocationsByJob.get(job.id) ?? [])],
    history: job.gangHistory,
    finished: !job.finished.isEmpty,
    unaccounted: !job.unaccounted.isEmpty || !job.handingOver.isEmpty,
    issued: (attempt) => shard.issuedAttempt(attempt),
    waitLimit: millis(ctx.gangWaitMs),
  });
}

/** Gangs that cannot go on as they are: the tasks that are left stop, so that all can begin anew. */
export function stopBrokenGangs(shard: Shard, s: Scratch, ctx: PlanContext, plan: Plan): void {
  for (const job of shard.gangs) {
    if (shard.jobs.get(job.id) !== job) {
      shard.gangs.delete(job);
      continue;
    }
    const action = decisionOn(shard, job, ctx)?.action;
    if (action?.kind !== 'stop') continue;
    for (const allocation of shard.allocationsByJob.get(job.id) ?? []) {
      if (allocation.stop) continue;
      s.stopping.add(allocation);
      plan.stops.push({ binding: allocation, grace: action.grace });
    }
  }
}

/** Starts all tasks of a gang, or those that are missing of one that has not started yet. */
export function placeGang(shard: Shard, job: ShardJob, s: Scratch, ctx: PlanContext, plan: Plan): void {
  const action = decisionOn(shard, job, ctx)?.action;
  if (action?.kind === 'start' && job.waiting.size === job.spec.tasks) {
    if (job.gangHistory) forgetAttempt(job.gangHistory);
    place(shard, job, undefined, s, ctx, plan);
  } else if (action?.kind === 'replace') place(shard, job, action.attempt, s, ctx, plan);
}

/** Tasks of one gang for which others are stopped, at the most: beyond it the gang waits for room to come free. */
const MAX_ROOM_MADE = 64;

/** Places found for some tasks of a gang, and the tasks for which there is none. */
interface Search {
  readonly starts: Start[];
  readonly without: number[];
  /** The team is at its limit: the others need not be looked at. */
  limited: boolean;
}

function place(
  shard: Shard,
  job: ShardJob,
  attempt: Attempt | undefined,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): void {
  endGangTurn(shard, job, s, ctx);
  const used = { ...usedHere(s, job.spec.team) };
  const found = search(shard, job, attempt, s, ctx);
  if (!found.limited && found.without.length === 0) {
    job.reservations.clear();
    plan.starts.push(...found.starts);
    return;
  }
  if (!found.limited && roomIsMade(shard, job, found, s, ctx, plan)) return;
  giveUp(shard, job, found, used, s, ctx);
  if (found.limited) reserveShare(shard, job, job.waiting.size, s, ctx, plan);
  else reserveGangPlaces(shard, job, mayTake(job, attempt), s, ctx, plan);
  plan.unplaced.push({ job, reason: found.limited ? 'limit' : 'room', indices: waitingOf(job) });
}

/** The waiting tasks; `all` where none of them is pinned to a zone. */
const waitingOf = (job: ShardJob): number[] | 'all' =>
  job.record.assignments.some((a) => a.zone !== null) ? [...job.waiting] : 'all';

function search(
  shard: Shard,
  job: ShardJob,
  attempt: Attempt | undefined,
  s: Scratch,
  ctx: PlanContext,
): Search {
  const found: Search = { starts: [], without: [], limited: false };
  const places = new Map<ZoneId | null, Places>();
  releaseHolds(shard, job, s, 1);
  for (const index of job.waiting) {
    if (!withinShare(job.spec, s, ctx)) {
      found.limited = true;
      break;
    }
    const pin = requiredZone(job, index);
    let open = places.get(pin);
    if (!open) places.set(pin, (open = placesFor(shard, job, pin, s, ctx, mayTake(job, attempt))));
    const machine = open.next(heldFor(shard, job, index));
    if (!machine) {
      found.without.push(index);
      if (found.without.length > MAX_ROOM_MADE) break;
      continue;
    }
    take(s.room.get(machine.id), job.spec, 1);
    charge(s, job.spec);
    found.starts.push({ job, index, machine, ...(attempt === undefined ? {} : { attempt }) });
  }
  return found;
}

/** An attempt must not come back to a machine that it has left: a late order about its end there might hit it. */
const mayTake =
  (job: ShardJob, attempt: Attempt | undefined) =>
  (machine: Machine): boolean =>
    attempt === undefined || !job.gangHistory?.leftMachines.has(machine.id);

function heldFor(shard: Shard, job: ShardJob, index: number): Machine | undefined {
  const hold = job.reservations.get(index);
  return hold && shard.machines.get(hold.machine);
}

/** Takes room off the round for what is held, or gives it back to it. */
function releaseHolds(shard: Shard, job: ShardJob, s: Scratch, sign: 1 | -1): void {
  for (const index of job.reservations.keys()) {
    const machine = heldFor(shard, job, index);
    if (machine) take(s.room.get(machine.id), job.spec, sign === 1 ? -1 : 1);
  }
}

/** Stops others for the tasks without a place; only if that makes room for all of them. The rest keep their places. */
function roomIsMade(
  shard: Shard,
  job: ShardJob,
  found: Search,
  s: Scratch,
  ctx: PlanContext,
  plan: Plan,
): boolean {
  if (ctx.now < job.nextPreemptionSearchAt || job.waitingSince === null) return false;
  if (found.without.length > MAX_ROOM_MADE) return false;
  // What an earlier round has stopped for it is still on its way out.
  if (found.without.every((index) => job.reservations.get(index)?.withoutPreemption === false)) {
    keepPlaces(shard, job, found, s, plan);
    return true;
  }
  const undo = savepoint(s, plan);
  for (const index of found.without) {
    if (job.reservations.has(index)) continue;
    if (makeRoom(shard, job, index, requiredZone(job, index), s, ctx, plan)) continue;
    undo();
    return false;
  }
  keepPlaces(shard, job, found, s, plan);
  return true;
}

/** Nothing starts in this round; whatever has been found or made for the gang is kept for it. */
function keepPlaces(shard: Shard, job: ShardJob, found: Search, s: Scratch, plan: Plan): void {
  for (const { index, machine } of found.starts) {
    if (job.reservations.get(index)?.machine === machine.id) continue;
    plan.holds.push({ job, index, machine: machine.id, reserved: false });
  }
  for (const index of found.without) {
    const machine = heldFor(shard, job, index);
    if (machine) take(s.room.get(machine.id), job.spec, 1);
  }
}

/** The round is as it was before the search; what earlier rounds hold for the gang is held until it expires. */
function giveUp(
  shard: Shard,
  job: ShardJob,
  found: Search,
  used: Resources,
  s: Scratch,
  ctx: PlanContext,
): void {
  for (const start of found.starts) take(scratchRoom(start.machine, s, ctx), job.spec, -1);
  s.used.set(job.spec.team, used);
  releaseHolds(shard, job, s, -1);
}
