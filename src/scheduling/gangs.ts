/**
 * Gangs in a scheduling cycle: starts all members of a gang or none, and stops the remaining members of a
 * broken gang. Performs no I/O: decisions go into the plan of the cycle.
 */
import { decideGang, resetAttemptHistory, type GangDecision } from '../model/gang.js';
import type { Resources } from '../model/resources.js';
import { millis, type Attempt, type ZoneId } from '../model/units.js';
import { requiredZone, type Machine, type ShardJob } from '../shards/model.js';
import { anyMachine, candidatesFor, type CandidateMachines } from './candidates.js';
import type { TaskStart } from './cycle.js';
import { preemptForTask } from './preemption.js';
import { longestGraceS } from './preemption-stops.js';
import { endReservationByStart, recordObstacle } from './reservation-ends.js';
import { machineFreedByPreemption } from './reservation-precedence.js';
import { expireGangReservations, reserveGangMachines, reserveQuota } from './reservations.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

/** Decides what to do with a gang from all that this shard knows about it; null if the job is not a gang. */
function gangDecisionFor({ shard, context }: SchedulingCycle, job: ShardJob): GangDecision | null {
  if (!job.gangHistory) return null;
  return decideGang({
    now: context.now,
    hasMissingTasks: !job.waiting.isEmpty,
    members: [...(shard.allocationsByJob.get(job.id) ?? [])],
    history: job.gangHistory,
    isFinished: !job.finished.isEmpty,
    hasUnaccountedTasks: [job.unaccounted, job.unconfirmed, job.transferring].some((tasks) => !tasks.isEmpty),
    isIssuedByThisLeader: (attempt) => shard.tokens.issuedAttempt(attempt),
    gangWaitTimeout: millis(context.gangWaitMs),
  });
}

/** Stops the remaining members of gangs that cannot continue, so that all members can start again. */
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

/** Starts all members of a gang, or the missing members of a gang that has not started running yet. */
export function scheduleGang(cycle: SchedulingCycle, job: ShardJob): void {
  const action = gangDecisionFor(cycle, job)?.action;
  if (action?.kind === 'start' && job.waiting.size === job.spec.tasks) {
    if (job.gangHistory) resetAttemptHistory(job.gangHistory);
    scheduleWaitingMembers(cycle, job, undefined);
  } else if (action?.kind === 'replace') scheduleWaitingMembers(cycle, job, action.attempt);
}

/**
 * Maximum number of members without a machine for which tasks of other jobs are preempted. With more such
 * members, the gang waits until capacity is free.
 */
const MAX_MEMBERS_WITH_PREEMPTION = 64;

/** The machines found for members of a gang, and the members without a machine. */
interface GangPlacement {
  readonly starts: TaskStart[];
  readonly unplaced: number[];
  /** True if the team's quota is used up; the search ended there. */
  blockedByQuota: boolean;
}

/**
 * Places the waiting members. They join `attempt`; if it is undefined, all members start in a new attempt.
 */
function scheduleWaitingMembers(cycle: SchedulingCycle, job: ShardJob, attempt: Attempt | undefined): void {
  const { plan } = cycle;
  expireGangReservations(cycle, job);
  const usageBefore = { ...cycle.teamUsage(job.spec.team) };
  const placement = findMachinesForMembers(cycle, job, attempt);
  if (!placement.blockedByQuota && placement.unplaced.length === 0) {
    for (const { index, machine } of placement.starts) endReservationByStart(cycle, job, index, machine.id);
    plan.starts.push(...placement.starts);
    return;
  }
  recordObstacle(job, placement.blockedByQuota ? 'quota' : 'gang incomplete');
  if (
    !placement.blockedByQuota &&
    preemptForGang(cycle, job, placement, machineFilterForAttempt(job, attempt))
  )
    return;
  undoPlacement(cycle, job, placement, usageBefore);
  if (placement.blockedByQuota) reserveQuota(cycle, job, job.waiting.size);
  else reserveGangMachines(cycle, job, machineFilterForAttempt(job, attempt));
  const reason = placement.blockedByQuota ? 'quota' : 'capacity';
  plan.unplaced.push({ job, reason, indices: waitingIndices(job) });
}

/** Returns the waiting members; `all` if none of them has a required zone. */
const waitingIndices = (job: ShardJob): number[] | 'all' =>
  job.record.assignments.some((assignment) => assignment.zone !== null) ? [...job.waiting] : 'all';

function findMachinesForMembers(
  cycle: SchedulingCycle,
  job: ShardJob,
  attempt: Attempt | undefined,
): GangPlacement {
  const placement: GangPlacement = { starts: [], unplaced: [], blockedByQuota: false };
  const candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  const mayUse = machineFilterForAttempt(job, attempt);
  returnReservedResources(cycle, job);
  for (const index of job.waiting) {
    if (!cycle.fitsShardQuota(job.spec)) {
      placement.blockedByQuota = true;
      break;
    }
    const zone = requiredZone(job, index);
    let candidates = candidatesByZone.get(zone);
    if (!candidates) candidatesByZone.set(zone, (candidates = candidatesFor(cycle, job, zone, mayUse)));
    const machine =
      machineFreedByPreemption(cycle, job, index, mayUse) ??
      candidates.next(reservedMachine(cycle, job, index));
    if (!machine) {
      placement.unplaced.push(index);
      if (placement.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) break;
      continue;
    }
    takeResources(cycle.freeResources.get(machine.id), job.spec);
    cycle.addTaskUsage(job.spec);
    placement.starts.push({ job, index, machine, ...(attempt === undefined ? {} : { attempt }) });
  }
  return placement;
}

/**
 * Excludes machines that the attempt has left: a command to stop the earlier member there may still be in
 * flight, and would stop a member that is started there again.
 */
function machineFilterForAttempt(job: ShardJob, attempt: Attempt | undefined): (machine: Machine) => boolean {
  const leftMachines = job.gangHistory?.vacatedMachines;
  if (attempt === undefined || !leftMachines || leftMachines.size === 0) return anyMachine;
  return (machine) => !leftMachines.has(machine.id);
}

function reservedMachine({ shard }: SchedulingCycle, job: ShardJob, index: number): Machine | undefined {
  const reservation = job.reservations.get(index);
  return reservation && shard.machines.get(reservation.machine);
}

/** Makes the resources that earlier cycles reserved for the gang available to its own search. */
function returnReservedResources(cycle: SchedulingCycle, job: ShardJob): void {
  for (const index of job.reservations.keys()) {
    const machine = reservedMachine(cycle, job, index);
    if (machine) returnResources(cycle.freeResources.get(machine.id), job.spec);
  }
}

/** Withholds the resources that earlier cycles reserved for the gang from other jobs of this cycle. */
function takeReservedResources(cycle: SchedulingCycle, job: ShardJob): void {
  for (const index of job.reservations.keys()) {
    const machine = reservedMachine(cycle, job, index);
    if (machine) takeResources(cycle.freeResources.get(machine.id), job.spec);
  }
}

/**
 * Preempts others for the members without a machine, but only if that makes room for all of them. The
 * machines found for the other members are then reserved.
 */
function preemptForGang(
  cycle: SchedulingCycle,
  job: ShardJob,
  placement: GangPlacement,
  mayUse: (machine: Machine) => boolean,
): boolean {
  if (cycle.context.now < job.nextPreemptionSearchAt || job.waitingSince === null) return false;
  if (placement.unplaced.length > MAX_MEMBERS_WITH_PREEMPTION) return false;
  // Tasks that an earlier cycle stopped for all of these members have not ended yet.
  if (placement.unplaced.every((index) => job.reservations.get(index)?.withoutPreemption === false)) {
    reservePlacement(cycle, job, placement, 0);
    return true;
  }
  const undo = cycle.savepoint();
  const stopsBefore = cycle.plan.stops.length;
  for (const index of placement.unplaced) {
    if (job.reservations.has(index)) continue;
    if (preemptForTask(cycle, job, index, requiredZone(job, index), { mayUse })) continue;
    undo();
    return false;
  }
  const stopped = cycle.plan.stops.slice(stopsBefore).map((stop) => stop.allocation);
  reservePlacement(cycle, job, placement, longestGraceS(stopped));
  return true;
}

/**
 * Reserves the machines found for members, and those where tasks are being stopped for them. No member starts
 * in this cycle.
 */
function reservePlacement(
  cycle: SchedulingCycle,
  job: ShardJob,
  placement: GangPlacement,
  graceS: number,
): void {
  for (const { index, machine } of placement.starts) {
    const reserved = reservedMachine(cycle, job, index);
    if (reserved && job.reservations.get(index)?.withoutPreemption === false) {
      // The member keeps the machine where tasks are being stopped for it: the machine found may be reserved for
      // another member.
      returnResources(cycle.freeResources.get(machine.id), job.spec);
      takeResources(cycle.freeResources.get(reserved.id), job.spec);
      continue;
    }
    cycle.plan.reservations.push({ job, index, machine: machine.id, withoutPreemption: false, graceS });
  }
  for (const index of placement.unplaced) {
    const machine = reservedMachine(cycle, job, index);
    if (!machine) continue;
    takeResources(cycle.freeResources.get(machine.id), job.spec);
    cycle.addTaskUsage(job.spec);
  }
}

/**
 * Restores the cycle to its state before the search. Reservations of earlier cycles hold until they expire.
 */
function undoPlacement(
  cycle: SchedulingCycle,
  job: ShardJob,
  placement: GangPlacement,
  usageBefore: Resources,
): void {
  for (const { machine } of placement.starts) returnResources(cycle.freeResourcesOn(machine), job.spec);
  cycle.restoreTeamUsage(job.spec.team, usageBefore);
  takeReservedResources(cycle, job);
}
