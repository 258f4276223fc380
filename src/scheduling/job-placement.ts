/**
 * Places the waiting tasks of one job that is not a gang: on a free machine, by preemption, or by a
 * reservation; and reports the tasks that stay unplaced. Performs no I/O: decisions go into the plan of the
 * cycle.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { requiredZone, waitingRanges, type Machine, type ShardJob } from '../shards/model.js';
import type { ZoneId } from '../model/units.js';
import { candidatesFor, type CandidateMachines } from './candidates.js';
import { preemptForTask } from './preemption.js';
import { preemptForQuota } from './quota-preemption.js';
import { endReservation, endReservationByStart, recordObstacle } from './reservation-ends.js';
import { machineFreedByPreemption } from './reservation-precedence.js';
import { reserveMachine, reserveQuota } from './reservations.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

const MAX_STARTS_PER_CYCLE = 200;
/**
 * Maximum number of unplaced tasks of a job that a cycle tries and reports: per zone for capacity, in total
 * for quota.
 */
const MAX_UNPLACED_REPORTED = 200;
/**
 * If the fetch of its image on the machine found would take longer than this, an urgent task first tries to
 * preempt others on a machine that holds the image.
 */
const MIN_FETCH_FOR_PREEMPTION_S = 1;
/**
 * Image fetch rates: for a machine of unknown type, and the lower limit, since times are computed by
 * division.
 */
const DEFAULT_FETCH_GB_PER_S = 1;
const MIN_FETCH_GB_PER_S = 1e-3;

/** Places as many waiting tasks of the job as possible in this cycle. */
export function scheduleJob(cycle: SchedulingCycle, job: ShardJob): void {
  new JobPlacement(cycle, job).run();
}

/** Placement of one job in one cycle. */
class JobPlacement {
  private readonly spec: JobSpec;
  private readonly blockedByCapacity: number[] = [];
  private readonly blockedByQuota: number[] = [];
  private readonly blockedInZone = new Map<ZoneId | null, number>();
  private readonly candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  /**
   * Zones in which preemption for quota failed: no machine was found for the task, or no tasks to stop for
   * it.
   */
  private readonly zonesWithoutQuotaPreemption = new Set<ZoneId | null>();
  /** Zones in which no tasks could be preempted for the job. */
  private readonly zonesWithoutPreemption = new Set<ZoneId | null>();
  private readonly hasRequiredZones: boolean;
  private readonly reservationsBefore: number;
  private quotaExhausted = false;

  constructor(
    private readonly cycle: SchedulingCycle,
    private readonly job: ShardJob,
  ) {
    this.spec = job.spec;
    this.hasRequiredZones = job.record.assignments.some((assignment) => assignment.zone !== null);
    this.reservationsBefore = cycle.plan.reservations.length;
  }

  /** Tries the waiting tasks in order. */
  run(): void {
    const { job } = this;
    const { starts, unplaced } = this.cycle.plan;
    for (const index of this.indicesToTry()) {
      if (this.allTasksBlocked()) {
        unplaced.push({ job, reason: this.quotaExhausted ? 'quota' : 'capacity', indices: 'all' });
        return;
      }
      if (this.blockedByQuota.length >= MAX_UNPLACED_REPORTED || starts.length >= MAX_STARTS_PER_CYCLE) break;
      this.placeTask(index);
    }
    if (this.blockedByCapacity.length > 0)
      unplaced.push({ job, reason: 'capacity', indices: this.blockedByCapacity });
    if (this.blockedByQuota.length > 0) unplaced.push({ job, reason: 'quota', indices: this.blockedByQuota });
  }

  /**
   * Yields the waiting tasks, and skips the remaining tasks of a zone once MAX_UNPLACED_REPORTED of them are
   * blocked by capacity.
   */
  private *indicesToTry(): Generator<number> {
    const { blockedInZone } = this;
    for (const { start: from, end: to, zone } of waitingRanges(this.job))
      for (let index = from; index < to && (blockedInZone.get(zone) ?? 0) < MAX_UNPLACED_REPORTED; index += 1)
        yield index;
  }

  /**
   * Returns true if all remaining tasks are blocked: without required zones and reservations, what blocks one
   * task of the job blocks all of them.
   */
  private allTasksBlocked(): boolean {
    return (
      !this.hasRequiredZones &&
      this.job.reservations.size === 0 &&
      this.cycle.plan.reservations.length === this.reservationsBefore &&
      (this.zonesWithoutPreemption.size > 0 || this.quotaExhausted)
    );
  }

  private placeTask(index: number): void {
    const { job } = this;
    if (!this.cycle.fitsShardQuota(this.spec)) {
      this.blockByQuota(index);
      return;
    }
    const zone = requiredZone(job, index);
    const reservation = job.reservations.get(index);
    const reservedMachine = reservation && this.cycle.shard.machines.get(reservation.machine);
    if (reservedMachine) returnResources(this.cycle.freeResourcesOn(reservedMachine), this.spec);
    const machine =
      machineFreedByPreemption(this.cycle, job, index) ?? this.candidatesIn(zone).next(reservedMachine);
    if (reservation && reservedMachine && this.startsSoonerOnReserved(machine, reservedMachine)) {
      reservation.lastObstacle = 'machine not free';
      takeResources(this.cycle.freeResources.get(reservedMachine.id), this.spec);
      // Also counts the quota that the task will need, so that other tasks of its team do not take it.
      if (!reservation.withoutPreemption) this.cycle.addTaskUsage(this.spec);
    } else if (machine) this.startOrPreempt(index, zone, machine, reservedMachine);
    else this.preemptOrReserve(index, zone);
  }

  private candidatesIn(zone: ZoneId | null): CandidateMachines {
    let candidates = this.candidatesByZone.get(zone);
    if (!candidates)
      this.candidatesByZone.set(zone, (candidates = candidatesFor(this.cycle, this.job, zone)));
    return candidates;
  }

  /**
   * Returns true if the task should wait for its reserved machine: no other machine was found, or the
   * reserved machine holds the image and an urgent task would wait for the fetch on the other machine.
   */
  private startsSoonerOnReserved(machine: Machine | null, reservedMachine: Machine): boolean {
    if (machine === reservedMachine) return false;
    if (!machine) return true;
    return reservedMachine.images.has(this.spec.image) && this.fetchDelaysUrgentTask(machine);
  }

  /**
   * Starts the task, unless it is urgent and starts sooner by preemption on a machine that holds its image.
   */
  private startOrPreempt(
    index: number,
    zone: ZoneId | null,
    machine: Machine,
    reservedMachine: Machine | undefined,
  ): void {
    const { cycle, job } = this;
    const preempted =
      machine !== reservedMachine &&
      this.fetchDelaysUrgentTask(machine) &&
      preemptForTask(cycle, job, index, zone, { scope: 'machines with the image' });
    if (preempted) {
      endReservation(cycle, job, index, 'replaced');
      this.blockByCapacity(index, zone);
      return;
    }
    takeResources(cycle.freeResources.get(machine.id), this.spec);
    cycle.addTaskUsage(this.spec);
    endReservationByStart(cycle, job, index, machine.id);
    cycle.plan.starts.push({ job, index, machine });
  }

  /**
   * Preempts others for the task, or reserves a machine for it. After one failed search, the other tasks of
   * the job in the zone do not search, since searches are limited per cycle and other jobs need them too.
   */
  private preemptOrReserve(index: number, zone: ZoneId | null): void {
    const { cycle, job } = this;
    if (!this.zonesWithoutPreemption.has(zone)) {
      if (preemptForTask(cycle, job, index, zone)) return;
      this.zonesWithoutPreemption.add(zone);
    }
    if (!reserveMachine(cycle, job, index, zone)) this.blockByCapacity(index, zone);
  }

  private blockByCapacity(index: number, zone: ZoneId | null): void {
    this.blockedByCapacity.push(index);
    this.blockedInZone.set(zone, (this.blockedInZone.get(zone) ?? 0) + 1);
  }

  private blockByQuota(index: number): void {
    const { cycle, job, blockedByQuota } = this;
    blockedByQuota.push(index);
    if (blockedByQuota.length === 1) {
      recordObstacle(job, 'quota');
      reserveQuota(cycle, job, 1);
    }
    if (this.spec.priority === Priority.critical) this.preemptWithinTeam(index);
    else this.quotaExhausted = true;
  }

  /**
   * Preempts lower-priority tasks of the team. After one failure, the other tasks of the job in the zone do
   * not try again.
   */
  private preemptWithinTeam(index: number): void {
    const { cycle, job } = this;
    const zone = requiredZone(job, index);
    if (this.zonesWithoutQuotaPreemption.has(zone)) return;
    if (!preemptForQuota(cycle, job, index, zone, this.candidatesIn(zone)))
      this.zonesWithoutQuotaPreemption.add(zone);
  }

  /**
   * Returns true if the task is urgent (critical or within its team's guaranteed quota) and the fetch of its
   * image on the machine would take longer than MIN_FETCH_FOR_PREEMPTION_S.
   */
  private fetchDelaysUrgentTask(machine: Machine): boolean {
    const { spec, job } = this;
    const { context } = this.cycle;
    if (machine.images.has(spec.image)) return false;
    if (spec.priority !== Priority.critical && !context.guaranteed(job.id)) return false;
    const fetchGbPerS = context.types.get(machine.type)?.fetchGbPerS ?? DEFAULT_FETCH_GB_PER_S;
    return spec.imageGb / Math.max(fetchGbPerS, MIN_FETCH_GB_PER_S) > MIN_FETCH_FOR_PREEMPTION_S;
  }
}
