/**
 * Places the waiting tasks of one job that is no gang: on a free machine, by preemption, or by a reservation; and tells
 * which tasks stay unplaced. Pure: decisions go into the plan of the cycle.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { requiredZone, waitingRuns, type Machine, type ShardJob } from '../shards/model.js';
import type { ZoneId } from '../model/units.js';
import { candidatesFor, type CandidateMachines } from './candidates.js';
import { preemptForTask } from './preemption.js';
import { preemptForQuota } from './quota-preemption.js';
import { endReservation, endReservationByStart, recordObstacle } from './reservation-ends.js';
import { machineMadeFree } from './reservation-precedence.js';
import { reserveMachine, reserveQuota } from './reservations.js';
import { returnResources, takeResources, type SchedulingCycle } from './scheduling-cycle.js';

const MAX_STARTS_PER_CYCLE = 200;
/** Unplaced tasks of a job that one cycle tells, and tries, in each zone. */
const MAX_UNPLACED_REPORTED = 200;
/** Others are stopped rather than an image fetched for longer than this. */
const MIN_FETCH_FOR_PREEMPTION_S = 1;
/** The rate of a machine of unknown type, and the least that is reckoned with. */
const DEFAULT_FETCH_GB_PER_S = 1;
const MIN_FETCH_GB_PER_S = 1e-3;

/** Places as many waiting tasks of the job as this cycle can. */
export function scheduleJob(cycle: SchedulingCycle, job: ShardJob): void {
  new JobPlacement(cycle, job).run();
}

/** The placement of one job in one cycle. */
class JobPlacement {
  private readonly spec: JobSpec;
  private readonly blockedByCapacity: number[] = [];
  private readonly blockedByQuota: number[] = [];
  private readonly blockedInZone = new Map<ZoneId | null, number>();
  private readonly candidatesByZone = new Map<ZoneId | null, CandidateMachines>();
  /** Zones in which no machine was found for a task that lacks quota, or no tasks to stop for it. */
  private readonly zonesWithoutQuotaPreemption = new Set<ZoneId | null>();
  /** Zones in which a search found no task to preempt. */
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

  /** Tries one waiting task after the other. */
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

  /** The waiting tasks, less the rest of those whose zone has shown that it has no capacity for many of them. */
  private *indicesToTry(): Generator<number> {
    const { blockedInZone } = this;
    for (const { from, to, zone } of waitingRuns(this.job))
      for (let index = from; index < to && (blockedInZone.get(zone) ?? 0) < MAX_UNPLACED_REPORTED; index += 1)
        yield index;
  }

  /** Without required zones and reservations, what blocks one task of the job blocks all. */
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
    const machine = machineMadeFree(this.cycle, job, index) ?? this.candidatesIn(zone).next(reservedMachine);
    if (reservation && reservedMachine && this.startsSoonerOnReserved(machine, reservedMachine)) {
      reservation.lastObstacle = 'machine not free';
      takeResources(this.cycle.freeResources.get(reservedMachine.id), this.spec);
      // The quota that the task will need is not for others of its team either.
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

  /** The reserved machine is becoming free: another one without the image would only start the task later. */
  private startsSoonerOnReserved(machine: Machine | null, reservedMachine: Machine): boolean {
    if (machine === reservedMachine) return false;
    if (!machine) return true;
    return reservedMachine.images.has(this.spec.image) && this.fetchDelaysUrgentTask(machine);
  }

  /** Starts the task, unless it is urgent and starts sooner where others are stopped and the image is at hand. */
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

  /** One failed search speaks for all tasks of the job in the zone: other jobs need the searches too. */
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

  /** One failure speaks for all tasks of the job in the zone. */
  private preemptWithinTeam(index: number): void {
    const { cycle, job } = this;
    const zone = requiredZone(job, index);
    if (this.zonesWithoutQuotaPreemption.has(zone)) return;
    if (!preemptForQuota(cycle, job, index, zone, this.candidatesIn(zone)))
      this.zonesWithoutQuotaPreemption.add(zone);
  }

  /** Would a task that should start at once wait for its image there, longer than it takes to stop others? */
  private fetchDelaysUrgentTask(machine: Machine): boolean {
    const { spec, job } = this;
    const { context } = this.cycle;
    if (machine.images.has(spec.image)) return false;
    if (spec.priority !== Priority.critical && !context.guaranteed(job.id)) return false;
    const fetchGbPerS = context.types.get(machine.type)?.fetchGbPerS ?? DEFAULT_FETCH_GB_PER_S;
    return spec.imageGb / Math.max(fetchGbPerS, MIN_FETCH_GB_PER_S) > MIN_FETCH_FOR_PREEMPTION_S;
  }
}
