/** Gangs in a placement round: all their tasks start, or none does; what a broken gang has left is stopped. Pure. */
import { decideGang, forgetAttempt, type GangDecision } from '../model/gang.js';
import type { Resources } from '../model/resources.js';
import { millis, type Attempt, type ZoneId } from '../model/units.js';
import { requiredZone, type Machine, type Shard, type ShardJob } from '../shards/model.js';
import { candidatesFor, type CandidateMachines } from './candidates.js';
import {
  addTaskUsage,
  savepoint,
  freeResourcesOn,
  adjustFreeResources,
  teamUsage,
  fitsShardQuota,
  type SchedulingPlan,
  type SchedulingContext,
  type CycleState,
  type TaskStart,
} from './cycle.js';
import { preemptForTask } from './preemption.js';
import { expireGangReservations, reserveGangMachines, reserveQuota } from './reservations.js';

/** What should become of a gang, by all that is known of it here. */
export function gangDecisionFor(
  shard: Shard,
  job: ShardJob,
  context: SchedulingContext,
): GangDecision | null {
  if (!job.gangHistory) return null;
  return decideGang({
    now: context.now,
    missing: !job.waiting.isEmpty,
    members: [...(shard.allocationsByJob.get(job.id) ?? [])],
    history: job.gangHistory,
    finished: !job.finished.isEmpty,
    unaccounted: !job.unaccounted.isEmpty || !job.handingOver.isEmpty,
    issued: (attempt) => shard.issuedAttempt(attempt),
    waitLimit: millis(context.gangWaitMs),
  });
}

/** Gangs that cannot go on as they are: the tasks that are left stop, so that all can begin anew. */
export function stopBrokenGangs(
  shard: Shard,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  for (const job of shard.gangs) {
    if (shard.jobs.get(job.id) !== job) {
      shard.gangs.delete(job);
      continue;
    }
    const action = gangDecisionFor(shard, job, context)?.action;
    if (action?.kind !== 'stop') continue;
    for (const allocation of shard.allocationsByJob.get(job.id) ?? []) {
      if (allocation.stop) continue;
      state.stopping.add(allocation);
      plan.stops.push({ allocation, graceS: action.grace });
    }
  }
}

/** Starts all tasks of a gang, or those that are missing of one that has not started yet. */
export function scheduleGang(
  shard: Shard,
  job: ShardJob,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  const action = gangDecisionFor(shard, job, context)?.action;
  if (action?.kind === 'start' && job.waiting.size === job.spec.tasks) {
    if (job.gangHistory) forgetAttempt(job.gangHistory);
    scheduleWaitingMembers(shard, job, undefined, state, context, plan);
  } else if (action?.kind === 'replace')
    scheduleWaitingMembers(shard, job, action.attempt, state, context, plan);
}

/** Tasks of one gang for which others are stopped, at the most: beyond it the gang waits for room to come free. */
const MAX_MEMBERS_WITH_PREEMPTION = 64;

/** Places found for some tasks of a gang, and the tasks for which there is none. */
interface GangSearch {
  readonly starts: TaskStart[];
  readonly unplaced: number[];
  /** The team is at its limit: the others need not be looked at. */
  blockedByQuota: boolean;
}

function scheduleWaitingMembers(
  shard: Shard,
  job: ShardJob,
  attempt: Attempt | undefined,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): void {
  expireGangReservations(shard, job, state, context);
  const usageBefore = { ...teamUsage(state, job.spec.team) };
  const found = searchForMembers(shard, job, attempt, state, context);
  if (!found.blockedByQuota && found.unplaced.length === 0) {
    job.reservations.clear();
    plan.starts.push(...found.starts);
    return;
  }
  if (!found.blockedByQuota && preemptForGang(shard, job, found, state, context, plan)) return;
  undoSearch(shard, job, found, usageBefore, state, context);
  if (found.blockedByQuota) reserveQuota(shard, job, job.waiting.size, state, context, plan);
  else reserveGangMachines(shard, job, attemptMayUse(job, attempt), state, context, plan);
  plan.unplaced.push({ job, reason: found.blockedByQuota ? 'limit' : 'room', indices: waitingIndices(job) });
}

/** The waiting tasks; `all` where none of them is pinned to a zone. */
const waitingIndices = (job: ShardJob): number[] | 'all' =>
  job.record.assignments.some((a) => a.zone !== null) ? [...job.waiting] : 'all';

function searchForMembers(
  shard: Shard,
  job: ShardJob,
  attempt: Attempt | undefined,
  state: CycleState,
  context: SchedulingContext,
): GangSearch {
  const found: GangSearch = { starts: [], unplaced: [], blockedByQuota: false };
  const candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  adjustForReservations(shard, job, state, 1);
  for (const index of job.waiting) {
    if (!fitsShardQuota(job.spec, state, context)) {
      found.blockedByQuota = true;
      break;
    }
    const zone = requiredZone(job, index);
    let candidates = candidatesByZone.get(zone);
    if (!candidates)
      candidatesByZone.set(
        zone,
        (candidates = candidatesFor(shard, job, zone, state, context, attemptMayUse(job, attempt))),
      );
    const machine = candidates.next(reservedMachine(shard, job, index));
    if (!machine) {
      found.unplaced.push(index);
      if (found.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) break;
      continue;
    }
    adjustFreeResources(state.freeResources.get(machine.id), job.spec, 1);
    addTaskUsage(state, job.spec);
    found.starts.push({ job, index, machine, ...(attempt === undefined ? {} : { attempt }) });
  }
  return found;
}

/** An attempt must not come back to a machine that it has left: a late order about its end there might hit it. */
const attemptMayUse =
  (job: ShardJob, attempt: Attempt | undefined) =>
  (machine: Machine): boolean =>
    attempt === undefined || !job.gangHistory?.leftMachines.has(machine.id);

function reservedMachine(shard: Shard, job: ShardJob, index: number): Machine | undefined {
  const reservation = job.reservations.get(index);
  return reservation && shard.machines.get(reservation.machine);
}

/** Takes room off the round for what is held, or gives it back to it. */
function adjustForReservations(shard: Shard, job: ShardJob, state: CycleState, sign: 1 | -1): void {
  for (const index of job.reservations.keys()) {
    const machine = reservedMachine(shard, job, index);
    if (machine) adjustFreeResources(state.freeResources.get(machine.id), job.spec, sign === 1 ? -1 : 1);
  }
}

/** Stops others for the tasks without a place; only if that makes room for all of them. The rest keep their places. */
function preemptForGang(
  shard: Shard,
  job: ShardJob,
  found: GangSearch,
  state: CycleState,
  context: SchedulingContext,
  plan: SchedulingPlan,
): boolean {
  if (context.now < job.nextPreemptionSearchAt || job.waitingSince === null) return false;
  if (found.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) return false;
  // What an earlier round has stopped for it is still on its way out.
  if (found.unplaced.every((index) => job.reservations.get(index)?.withoutPreemption === false)) {
    reserveFoundMachines(shard, job, found, state, plan);
    return true;
  }
  const undo = savepoint(state, plan);
  for (const index of found.unplaced) {
    if (job.reservations.has(index)) continue;
    if (preemptForTask(shard, job, index, requiredZone(job, index), state, context, plan)) continue;
    undo();
    return false;
  }
  reserveFoundMachines(shard, job, found, state, plan);
  return true;
}

/** Nothing starts in this round; whatever has been found or made for the gang is kept for it. */
function reserveFoundMachines(
  shard: Shard,
  job: ShardJob,
  found: GangSearch,
  state: CycleState,
  plan: SchedulingPlan,
): void {
  for (const { index, machine } of found.starts) {
    if (job.reservations.get(index)?.machine === machine.id) continue;
    plan.reservations.push({ job, index, machine: machine.id, reserved: false });
  }
  for (const index of found.unplaced) {
    const machine = reservedMachine(shard, job, index);
    if (machine) adjustFreeResources(state.freeResources.get(machine.id), job.spec, 1);
  }
}

/** The round is as it was before the search; what earlier rounds hold for the gang is held until it expires. */
function undoSearch(
  shard: Shard,
  job: ShardJob,
  found: GangSearch,
  usageBefore: Resources,
  state: CycleState,
  context: SchedulingContext,
): void {
  for (const start of found.starts)
    adjustFreeResources(freeResourcesOn(start.machine, state, context), job.spec, -1);
  state.usage.set(job.spec.team, usageBefore);
  adjustForReservations(shard, job, state, -1);
}
