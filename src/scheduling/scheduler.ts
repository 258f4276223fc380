/**
 * Runs the scheduling cycles of the shards that this controller leads: plans a cycle, applies the plan, and
 * passes unplaced tasks on to task transfer, quota transfer and the autoscaler. Relies on `Core` for the
 * command deadline and for exclusive access to the shards.
 */
import type { Core } from '../core.js';
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import { MachineTransferService } from '../overflow/machine-transfer.js';
import { TaskTransferService } from '../overflow/task-transfer.js';
import { MisassignedJobs } from '../jobs/misassigned-jobs.js';
import type { JobRecord } from '../jobs/record.js';
import { addTo, ZERO, type MutableResources } from '../model/resources.js';
import type { Shard, ShardJob } from '../shards/model.js';
import { GuaranteedJobs } from '../quota/guaranteed-jobs.js';
import { ServiceAssignments } from '../quota/service-assignments.js';
import type { QuotaTransferService } from '../quota/transfer-service.js';
import type { JobId, SteadyMs, TeamId } from '../model/units.js';
import { millis } from '../model/units.js';
import type { WorkerService } from '../workers/service.js';
import { chooseRelocation } from './consolidation.js';
import { planCycle } from './plan.js';
import { unplacedCount, type SchedulingContext, type SchedulingPlan, type UnplacedTasks } from './cycle.js';
import type { RuntimeEstimator } from './runtime-estimator.js';
import { createSchedulingContext } from './scheduling-context.js';
import { newReservation } from './reservation-terms.js';
import { SchedulingLog } from './scheduling-log.js';
import { RELOCATED, TaskAllocator } from './task-allocator.js';

/** Minimum delay before a cycle, so that events that arrive together are handled by one cycle. */
const URGENT_CYCLE_DELAY_MS = 15;
/** Minimum interval between the starts of two cycles, unless one is urgent. */
const CYCLE_INTERVAL_MS = 90;
/** Cycles use at most 1/CYCLE_TIME_DIVISOR of the time of this process. */
const CYCLE_TIME_DIVISOR = 4;
/** Upper limit of the cycle interval, however long cycles take. */
const MAX_CYCLE_INTERVAL_MS = 400;
/** Minimum interval between two relocations of replicas, so that only a few are down at any moment. */
const RELOCATION_INTERVAL_MS = 400;

/** Decides when scheduling cycles run, and applies their plans. */
export class Scheduler {
  private cycleScheduled = false;
  private lastCycleDurationMs = 0;
  private lastCycleAt: SteadyMs | null = null;
  private nextCycleAt = 0;
  /** Jobs of each shard with tasks that the shard's last cycle could not place. */
  private readonly unplacedJobs = new WeakMap<Shard, ReadonlySet<ShardJob>>();
  private readonly guarantees: GuaranteedJobs;
  private readonly services = new ServiceAssignments();
  private readonly misassignedJobs: MisassignedJobs;
  private readonly taskAllocator: TaskAllocator;
  private lastRelocationAt: SteadyMs | null = null;
  private readonly schedulingLog: SchedulingLog;
  readonly taskTransfers: TaskTransferService;
  readonly machineTransfers: MachineTransferService;

  constructor(
    private readonly core: Core,
    private readonly workers: WorkerService,
    private readonly quotaTransfers: QuotaTransferService,
    private readonly autoscaler: Autoscaler,
    private readonly runtimeEstimator: RuntimeEstimator,
  ) {
    this.taskTransfers = new TaskTransferService(core);
    this.machineTransfers = new MachineTransferService(core);
    this.guarantees = new GuaranteedJobs(core.settings.teams);
    this.misassignedJobs = new MisassignedJobs(core.settings, core.log);
    this.taskAllocator = new TaskAllocator(core, runtimeEstimator);
    this.schedulingLog = new SchedulingLog(core.log);
  }

  /** Requests a cycle after a change that affects scheduling. It runs when the next cycle is due. */
  requestCycle(): void {
    if (this.cycleScheduled) return;
    const interval = Math.min(
      MAX_CYCLE_INTERVAL_MS,
      Math.max(CYCLE_INTERVAL_MS, this.lastCycleDurationMs * CYCLE_TIME_DIVISOR),
    );
    const untilDueMs = this.lastCycleAt === null ? 0 : this.lastCycleAt + interval - this.core.clock.now();
    this.scheduleCycle(Math.max(URGENT_CYCLE_DELAY_MS, untilDueMs));
  }

  /** Requests a cycle for a critical job that has arrived, without waiting until the next cycle is due. */
  requestUrgentCycle(): void {
    this.scheduleCycle(Math.max(URGENT_CYCLE_DELAY_MS, this.lastCycleDurationMs * CYCLE_TIME_DIVISOR));
  }

  private scheduleCycle(delayMs: number): void {
    const cycleAt = this.core.clock.now() + delayMs;
    if (this.cycleScheduled && this.nextCycleAt <= cycleAt) return;
    this.cycleScheduled = true;
    this.nextCycleAt = cycleAt;
    this.core.clock.after(millis(delayMs), () => {
      // An urgent request may have replaced this cycle by an earlier one.
      if (!this.cycleScheduled || this.nextCycleAt !== cycleAt) return;
      this.cycleScheduled = false;
      void this.core.exclusive(() => this.runCycles());
    });
  }

  private runCycles(): void {
    const startedAt = this.core.clock.now();
    this.lastCycleAt = startedAt;
    for (const shard of this.core.shards.values()) this.runCycle(shard);
    this.lastCycleDurationMs = this.core.clock.now() - startedAt;
  }

  /** Returns the scheduling event counters since process start, for the statistics in the log. */
  eventCounts(): Readonly<Record<string, number>> {
    return this.schedulingLog.events.snapshot();
  }

  /** Handles a new or changed record of an active job; null if the job has ended. */
  onJobRecord(id: JobId, record: JobRecord | null): void {
    this.guarantees.update(id, record);
    this.services.update(id, record);
    this.misassignedJobs.update(id, record);
  }

  /** Stops every task of a job that has ended. */
  stopJob(jobId: JobId): void {
    this.taskAllocator.stopJob(jobId);
  }

  private runCycle(shard: Shard): void {
    const now = this.core.clock.now();
    if (!this.core.mayCommand(now)) return;
    this.taskAllocator.evacuateInterruptedMachines(shard);
    const context = this.createContext(shard, now);
    const plan = planCycle(shard, context);
    this.applyPlan(shard, plan, now);
    if (plan.starts.length + plan.stops.length + plan.unplaced.length === 0) this.consolidate(shard, context);
    this.workers.dispatchCommands(shard);
    this.taskTransfers.transferUnplaced(
      shard,
      plan.unplaced.filter(({ job }) => !this.misassignedJobs.has(job.id)),
    );
    this.requestQuota(shard, plan.unplaced);
    if (plan.oversizedGang) this.machineTransfers.request(shard, plan.oversizedGang);
    this.autoscaler.updateDemand(shard, plan.unplaced, now);
  }

  private createContext(shard: Shard, now: SteadyMs): SchedulingContext {
    const { core, quotaTransfers, guarantees, services, runtimeEstimator } = this;
    const sources = { core, quotaTransfers, guarantees, services, runtimeEstimator };
    return createSchedulingContext(sources, shard, now);
  }

  /** Relocates one replica, unless a task of the shard is being stopped. Called only while nothing waits. */
  private consolidate(shard: Shard, context: SchedulingContext): void {
    const { now } = context;
    if (!shard.reconciled || shard.stopping.size > 0) return;
    if (this.lastRelocationAt !== null && now - this.lastRelocationAt < RELOCATION_INTERVAL_MS) return;
    this.lastRelocationAt = now;
    const relocation = chooseRelocation(shard, context);
    if (!relocation) return;
    const { allocation, target } = relocation;
    shard.jobs
      .get(allocation.job)
      ?.reservations.set(
        allocation.index,
        newReservation({ machine: target.id, withoutPreemption: false, graceS: 0 }, now),
      );
    this.taskAllocator.stop(shard, allocation, 0, RELOCATED);
  }

  private applyPlan(shard: Shard, plan: SchedulingPlan, now: SteadyMs): void {
    this.schedulingLog.record(shard, plan, now);
    this.taskAllocator.startAll(shard, plan.starts, now);
    this.taskAllocator.stopAll(shard, plan.stops);
    for (const reservation of plan.reservations)
      reservation.job.reservations.set(reservation.index, newReservation(reservation, now));
    shard.teamsBlockedByCapacity = teamsBlockedBy('capacity', plan.unplaced);
    shard.teamsBlockedByQuota = teamsBlockedBy('quota', plan.unplaced);
    shard.quotaReservations = plan.quotaReservations;
    this.updateWaitingTimes(shard, plan.unplaced, now);
  }

  /**
   * Sets `waitingSince` of a job in the first cycle that could not place one of its tasks, and clears it in
   * the first cycle that places them all.
   */
  private updateWaitingTimes(shard: Shard, unplaced: readonly UnplacedTasks[], now: SteadyMs): void {
    const unplacedJobs = new Set(unplaced.map((entry) => entry.job));
    for (const job of this.unplacedJobs.get(shard) ?? []) if (!unplacedJobs.has(job)) job.waitingSince = null;
    for (const job of unplacedJobs) job.waitingSince ??= now;
    this.unplacedJobs.set(shard, unplacedJobs);
  }

  /**
   * Requests quota from other shards for the unplaced tasks that are blocked by their team's quota on this
   * shard.
   */
  private requestQuota(shard: Shard, unplaced: readonly UnplacedTasks[]): void {
    const neededByTeam = new Map<TeamId, MutableResources>();
    for (const entry of unplaced) {
      if (entry.reason !== 'quota') continue;
      const needed = neededByTeam.get(entry.job.spec.team) ?? { ...ZERO };
      addTo(needed, entry.job.spec, unplacedCount(entry));
      neededByTeam.set(entry.job.spec.team, needed);
    }
    for (const [team, amount] of neededByTeam) this.quotaTransfers.requestQuota(shard, team, amount);
  }
}

const teamsBlockedBy = (reason: UnplacedTasks['reason'], unplaced: readonly UnplacedTasks[]): Set<TeamId> =>
  new Set(unplaced.filter((entry) => entry.reason === reason).map((entry) => entry.job.spec.team));
