/**
 * Gangs in a scheduling cycle: all members start, or none does; what is left of a broken gang is stopped. Pure:
 * decisions go into the plan of the cycle.
 */
import { decideGang, forgetAttempt, type GangDecision } from '../model/gang.js';
import type { Resources } from '../model/resources.js';
import { millis, type Attempt, type ZoneId } from '../model/units.js';
import { requiredZone, type Machine, type ShardJob } from '../shards/model.js';
import { anyMachine, candidatesFor, type CandidateMachines } from './candidates.js';
import type { TaskStart } from './cycle.js';
import { preemptForTask } from './preemption.js';
import { longestGraceS } from './preemption-stops.js';
import { endReservationByStart, recordObstacle } from './reservation-ends.js';
import { machineMadeFree } from './reservation-precedence.js';
import { expireGangReservations, reserveGangMachines, reserveQuota } from './reservations.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** What should become of a gang, by all that this shard knows of it; null: the job is no gang. */
function gangDecisionFor({ shard, context }: SchedulingCycle, job: ShardJob): GangDecision | null {
  if (!job.gangHistory) return null;
  return decideGang({
    now: context.now,
    missing: !job.waiting.isEmpty,
    members: [...(shard.allocationsByJob.get(job.id) ?? [])],
    history: job.gangHistory,
    finished: !job.finished.isEmpty,
    unaccounted: [job.unaccounted, job.unconfirmed, job.handingOver].some((tasks) => !tasks.isEmpty),
    issued: (attempt) => shard.issuedAttempt(attempt),
    waitLimit: millis(context.gangWaitMs),
  });
}

/** Stops the remaining members of gangs that cannot go on as they are, so that all can start anew. */
export function stopBrokenGangs(cycle: SchedulingCycle): void {
  const { shard, plan } = cycle;
  for (const job of shard.gangs) {
    if (shard.jobs.get(job.id) !== job) {
      shard.gangs.delete(job);
      continue;
    }
    const action = gangDecisionFor(cycle, job)?.action;
    if (action?.kind !== 'stop') continue;
    for (const allocation of shard.allocationsByJob.get(job.id) ?? []) {
      if (allocation.stop) continue;
      cycle.stopping.add(allocation);
      plan.stops.push({ allocation, graceS: action.grace, cause: { reason: 'broken gang' } });
    }
  }
}

/** Starts all members of a gang, or those that are missing of one that has not started yet. */
export function scheduleGang(cycle: SchedulingCycle, job: ShardJob): void {
  const action = gangDecisionFor(cycle, job)?.action;
  if (action?.kind === 'start' && job.waiting.size === job.spec.tasks) {
    if (job.gangHistory) forgetAttempt(job.gangHistory);
    scheduleWaitingMembers(cycle, job, undefined);
  } else if (action?.kind === 'replace') scheduleWaitingMembers(cycle, job, action.attempt);
}

/** Members of one gang for which others are stopped, at most: beyond it the gang waits for capacity to come free. */
const MAX_MEMBERS_WITH_PREEMPTION = 64;

/** Machines found for some members of a gang, and the members for which there is none. */
interface GangSearch {
  readonly starts: TaskStart[];
  readonly unplaced: number[];
  /** The team's quota is used up: the search ended there. */
  blockedByQuota: boolean;
}

/** `attempt`: the one that the members join; undefined: all members start, in a new one. */
function scheduleWaitingMembers(cycle: SchedulingCycle, job: ShardJob, attempt: Attempt | undefined): void {
  const { plan } = cycle;
  expireGangReservations(cycle, job);
  const usageBefore = { ...cycle.teamUsage(job.spec.team) };
  const found = searchForMembers(cycle, job, attempt);
  if (!found.blockedByQuota && found.unplaced.length === 0) {
    for (const { index, machine } of found.starts) endReservationByStart(cycle, job, index, machine.id);
    plan.starts.push(...found.starts);
    return;
  }
  recordObstacle(job, found.blockedByQuota ? 'quota' : 'gang incomplete');
  if (!found.blockedByQuota && preemptForGang(cycle, job, found, attemptMayUse(job, attempt))) return;
  undoSearch(cycle, job, found, usageBefore);
  if (found.blockedByQuota) reserveQuota(cycle, job, job.waiting.size);
  else reserveGangMachines(cycle, job, attemptMayUse(job, attempt));
  const reason = found.blockedByQuota ? 'quota' : 'capacity';
  plan.unplaced.push({ job, reason, indices: waitingIndices(job) });
}

/** The waiting members; `all` where none of them has a required zone. */
const waitingIndices = (job: ShardJob): number[] | 'all' =>
  job.record.assignments.some((assignment) => assignment.zone !== null) ? [...job.waiting] : 'all';

function searchForMembers(cycle: SchedulingCycle, job: ShardJob, attempt: Attempt | undefined): GangSearch {
  const found: GangSearch = { starts: [], unplaced: [], blockedByQuota: false };
  const candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  const mayUse = attemptMayUse(job, attempt);
  returnReservedResources(cycle, job);
  for (const index of job.waiting) {
    if (!cycle.fitsShardQuota(job.spec)) {
      found.blockedByQuota = true;
      break;
    }
    const zone = requiredZone(job, index);
    let candidates = candidatesByZone.get(zone);
    if (!candidates) candidatesByZone.set(zone, (candidates = candidatesFor(cycle, job, zone, mayUse)));
    const machine =
      machineMadeFree(cycle, job, index, mayUse) ?? candidates.next(reservedMachine(cycle, job, index));
    if (!machine) {
      found.unplaced.push(index);
      if (found.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) break;
      continue;
    }
    takeResources(cycle.freeResources.get(machine.id), job.spec);
    cycle.addTaskUsage(job.spec);
    found.starts.push({ job, index, machine, ...(attempt === undefined ? {} : { attempt }) });
  }
  return found;
}

/**
 * An attempt must not return to a machine that it has left: a command to stop it there may still be on its way, and
 * would stop the member that came back.
 */
function attemptMayUse(job: ShardJob, attempt: Attempt | undefined): (machine: Machine) => boolean {
  const leftMachines = job.gangHistory?.leftMachines;
  if (attempt === undefined || !leftMachines || leftMachines.size === 0) return anyMachine;
  return (machine) => !leftMachines.has(machine.id);
}

function reservedMachine({ shard }: SchedulingCycle, job: ShardJob, index: number): Machine | undefined {
  const reservation = job.reservations.get(index);
  return reservation && shard.machines.get(reservation.machine);
}

/** Makes what earlier cycles have reserved for the gang available to its own search. */
function returnReservedResources(cycle: SchedulingCycle, job: ShardJob): void {
  for (const index of job.reservations.keys()) {
    const machine = reservedMachine(cycle, job, index);
    if (machine) returnResources(cycle.freeResources.get(machine.id), job.spec);
  }
}

/** Keeps what earlier cycles have reserved for the gang from other jobs of this cycle. */
function takeReservedResources(cycle: SchedulingCycle, job: ShardJob): void {
  for (const index of job.reservations.keys()) {
    const machine = reservedMachine(cycle, job, index);
    if (machine) takeResources(cycle.freeResources.get(machine.id), job.spec);
  }
}

/** Stops others for the members without a machine, but only if that is enough for all; the rest keep their machines. */
function preemptForGang(
  cycle: SchedulingCycle,
  job: ShardJob,
  found: GangSearch,
  mayUse: (machine: Machine) => boolean,
): boolean {
  if (cycle.context.now < job.nextPreemptionSearchAt || job.waitingSince === null) return false;
  if (found.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) return false;
  // The tasks that an earlier cycle has stopped for it have not ended yet.
  if (found.unplaced.every((index) => job.reservations.get(index)?.withoutPreemption === false)) {
    reserveFoundMachines(cycle, job, found, 0);
    return true;
  }
  const undo = cycle.savepoint();
  const stopsBefore = cycle.plan.stops.length;
  for (const index of found.unplaced) {
    if (job.reservations.has(index)) continue;
    if (preemptForTask(cycle, job, index, requiredZone(job, index), { mayUse })) continue;
    undo();
    return false;
  }
  const stopped = cycle.plan.stops.slice(stopsBefore).map((stop) => stop.allocation);
  reserveFoundMachines(cycle, job, found, longestGraceS(stopped));
  return true;
}

/** No member starts in this cycle; machines found, or being made free, are reserved for the gang. */
function reserveFoundMachines(
  cycle: SchedulingCycle,
  job: ShardJob,
  found: GangSearch,
  graceS: number,
): void {
  for (const { index, machine } of found.starts) {
    const reserved = reservedMachine(cycle, job, index);
    if (reserved && job.reservations.get(index)?.withoutPreemption === false) {
      // It keeps the machine that is being emptied for it: what it has found may be another member's.
      returnResources(cycle.freeResources.get(machine.id), job.spec);
      takeResources(cycle.freeResources.get(reserved.id), job.spec);
      continue;
    }
    cycle.plan.reservations.push({ job, index, machine: machine.id, withoutPreemption: false, graceS });
  }
  for (const index of found.unplaced) {
    const machine = reservedMachine(cycle, job, index);
    if (!machine) continue;
    takeResources(cycle.freeResources.get(machine.id), job.spec);
    cycle.addTaskUsage(job.spec);
  }
}

/** The cycle is as it was before the search; reservations of earlier cycles hold until they expire. */
function undoSearch(cycle: SchedulingCycle, job: ShardJob, found: GangSearch, usageBefore: Resources): void {
  for (const { machine } of found.starts) returnResources(cycle.freeResourcesOn(machine), job.spec);
  cycle.restoreTeamUsage(job.spec.team, usageBefore);
  takeReservedResources(cycle, job);
}
