/** Runs placement rounds: plans, binds, stops, and passes on what found no room. */
import type { Core } from '../core.js';
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import { MachineTransferService } from '../overflow/machine-transfer.js';
import { TaskTransferService } from '../overflow/task-transfer.js';
import { taskCapacity } from '../overflow/peer-ranking.js';
import type { JobRecord } from '../jobs/record.js';
import type { JobSpec } from '../jobs/spec.js';
import { add, addTo, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import {
  allocate,
  release,
  requestStop,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import { GuaranteedJobs } from '../quota/guaranteed-jobs.js';
import type { QuotaTransferService } from '../quota/transfer-service.js';
import type { Attempt, JobId, SteadyMs, TaskIndex, TeamId } from '../model/units.js';
import { millis, plus, taskId } from '../model/units.js';
import type { WorkerService } from '../workers/service.js';
import { chooseRelocation } from './consolidation.js';
import { planCycle } from './plan.js';
import { unplacedCount, type SchedulingPlan, type SchedulingContext, type TaskStart } from './cycle.js';
import type { RuntimeEstimator } from './runtime-estimator.js';
import { gracePeriodS } from './preemption.js';

/** Rounds come this far apart while critical work waits, and otherwise, so that many events share one. */
const URGENT_CYCLE_DELAY_MS = 15;
const CYCLE_INTERVAL_MS = 90;
/** A round's share of this process's time at most: one in this many. */
const CYCLE_TIME_DIVISOR = 4;
const MAX_CYCLE_INTERVAL_MS = 400;
const RESERVATION_TTL = millis(6000);
/** How long a machine may take to empty for a task that has waited too long. */
const LONG_RESERVATION_TTL = millis(120_000);
/** Replicas are moved together one by one, this far apart: few are away at any moment. */
const RELOCATION_INTERVAL_MS = 400;

/** Asked many times a round, with the same answer. */
function memoize<K>(compute: (key: K) => boolean): (key: K) => boolean {
  const known = new Map<K, boolean>();
  return (key) => {
    let answer = known.get(key);
    if (answer === undefined) known.set(key, (answer = compute(key)));
    return answer;
  };
}

export class Scheduler {
  private cycleScheduled = false;
  private lastCycleDurationMs = 0;
  private lastCycleAt = -1e12;
  private nextCycleAt = 0;
  /** Jobs that found no room in a part's last round. */
  private readonly unplacedJobs = new WeakMap<Shard, ReadonlySet<ShardJob>>();
  private readonly guarantees: GuaranteedJobs;
  private lastRelocationAt = -1e12;
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
  }

  requestCycle(): void {
    if (this.cycleScheduled) return;
    const interval = Math.min(
      MAX_CYCLE_INTERVAL_MS,
      Math.max(CYCLE_INTERVAL_MS, this.lastCycleDurationMs * CYCLE_TIME_DIVISOR),
    );
    this.scheduleCycle(Math.max(URGENT_CYCLE_DELAY_MS, this.lastCycleAt + interval - this.core.clock.now()));
  }

  /** Critical work has come in: it does not wait for the next round in turn. */
  requestUrgentCycle(): void {
    this.scheduleCycle(Math.max(URGENT_CYCLE_DELAY_MS, this.lastCycleDurationMs * CYCLE_TIME_DIVISOR));
  }

  private scheduleCycle(delayMs: number): void {
    const cycleAt = this.core.clock.now() + delayMs;
    if (this.cycleScheduled && this.nextCycleAt <= cycleAt) return;
    this.cycleScheduled = true;
    this.nextCycleAt = cycleAt;
    this.core.clock.after(millis(delayMs), () => {
      if (!this.cycleScheduled || this.nextCycleAt !== cycleAt) return;
      this.cycleScheduled = false;
      void this.core.exclusive(() => {
        this.lastCycleAt = this.core.clock.now();
        for (const shard of this.core.shards.values()) this.runCycle(shard);
        this.lastCycleDurationMs = this.core.clock.now() - this.lastCycleAt;
      });
    });
  }

  /** A live record is new, has changed or is over. */
  onJobRecord(id: JobId, record: JobRecord | null): void {
    this.guarantees.update(id, record);
  }

  private runCycle(shard: Shard): void {
    const now = this.core.clock.now();
    if (!this.core.mayCommand(now)) return;
    this.evacuateInterruptedMachines(shard);
    const context = this.createContext(now, shard);
    const plan = planCycle(shard, context);
    this.applyPlan(shard, plan, now);
    if (plan.starts.length + plan.stops.length + plan.unplaced.length === 0) this.consolidate(shard, context);
    this.workers.dispatchCommands(shard);
    this.taskTransfers.transferUnplaced(shard, plan.unplaced);
    this.requestQuota(shard, plan);
    if (plan.oversizedGang) this.machineTransfers.request(shard, plan.oversizedGang);
    this.autoscaler.updateDemand(shard, plan.unplaced, now);
  }

  /** While nothing waits and nothing is on its way to or from a machine here. */
  private consolidate(shard: Shard, cycleContext: SchedulingContext): void {
    const { now } = cycleContext;
    if (!shard.reconciled || shard.stopping.size > 0 || now - this.lastRelocationAt < RELOCATION_INTERVAL_MS)
      return;
    this.lastRelocationAt = now;
    const relocation = chooseRelocation(shard, cycleContext);
    if (!relocation) return;
    const job = shard.jobs.get(relocation.allocation.job);
    job?.reservations.set(relocation.allocation.index, {
      machine: relocation.target.id,
      reservedUntil: plus(now, RESERVATION_TTL),
      withoutPreemption: false,
    });
    this.stop(shard, relocation.allocation, 0);
  }

  private createContext(now: SteadyMs, shard: Shard): SchedulingContext {
    const { core } = this;
    const others = [...core.settings.shards].filter((p) => p.shard !== shard.id);
    const usageElsewhere = new Map<TeamId, Resources>();
    for (const { shard: shardId } of others) {
      const used =
        core.shards.get(shardId)?.totals.usageByTeam ?? core.shardAnnouncements.get(shardId)?.usage ?? [];
      for (const [team, amount] of used)
        usageElsewhere.set(team, add(usageElsewhere.get(team) ?? ZERO, amount));
    }
    return {
      now,
      types: core.types,
      teams: core.settings.teams,
      shardQuota: (team) => this.quotaTransfers.shardQuota(shard.id, team),
      usageOnOtherShards: (team) => usageElsewhere.get(team) ?? ZERO,
      guaranteed: memoize((job) => this.guarantees.has(job)),
      peerHasCapacity: (spec) => this.peerHasCapacity(shard, spec, now),
      maxLatenessFactor: (jobClass) => core.settings.deadlineFactorByClass.get(jobClass) ?? 1,
      runtimeCorrection: (jobClass) => this.runtimeEstimator.correctionFactor(jobClass),
      reportMs: core.heartbeatIntervalMs,
      gangWaitMs: core.settings.gangWaitS * 1000,
    };
  }

  private peerHasCapacity(shard: Shard, spec: JobSpec, now: SteadyMs): boolean {
    for (const freeCapacity of this.core.freeCapacity.values()) {
      if (
        freeCapacity.shard !== shard.id &&
        freeCapacity.expiresAt > now &&
        taskCapacity(freeCapacity, spec, null) > 0
      )
        return true;
    }
    return false;
  }

  private applyPlan(shard: Shard, plan: SchedulingPlan, now: SteadyMs): void {
    // A gang's tasks find each other by their attempt: all of one start share it.
    const gangAttempts = new Map<JobId, Attempt>();
    for (const decision of plan.starts) {
      const attempt = decision.attempt ?? gangAttempts.get(decision.job.id) ?? shard.nextAttempt();
      if (decision.job.gangHistory) gangAttempts.set(decision.job.id, attempt);
      this.startTask(shard, decision, attempt, now);
    }
    for (const decision of plan.stops) this.stop(shard, decision.allocation, decision.graceS);
    for (const { job, index, machine, reserved } of plan.reservations)
      job.reservations.set(index, {
        machine,
        reservedUntil: plus(now, reserved ? LONG_RESERVATION_TTL : RESERVATION_TTL),
        withoutPreemption: reserved,
      });
    const teamsThatWaitFor = (reason: 'room' | 'limit'): Set<TeamId> =>
      new Set(plan.unplaced.filter((u) => u.reason === reason).map((u) => u.job.spec.team));
    shard.teamsBlockedByCapacity = teamsThatWaitFor('room');
    shard.teamsBlockedByQuota = teamsThatWaitFor('limit');
    shard.quotaReservations = plan.quotaReservations;
    const unplacedJobs = new Set(plan.unplaced.map((u) => u.job));
    for (const job of this.unplacedJobs.get(shard) ?? []) if (!unplacedJobs.has(job)) job.waitingSince = null;
    for (const job of unplacedJobs) job.waitingSince ??= now;
    this.unplacedJobs.set(shard, unplacedJobs);
  }

  private startTask(shard: Shard, start: TaskStart, attempt: Attempt, now: SteadyMs): void {
    const index = start.index as TaskIndex;
    const allocation: Allocation = {
      id: taskId(start.job.id, index),
      job: start.job.id,
      index,
      attempt,
      machine: start.machine.id,
      spec: start.job.spec,
      phase: 'ordered',
      allocatedAt: now,
      runningSince: null,
      gatheringSince: null,
      stop: null,
      launchInFlight: false,
      launchPending: true,
      unacknowledged: null,
      answeredSequence: null,
    };
    allocate(shard, start.machine, allocation);
    shard.machinesWithPendingCommands.add(start.machine);
    this.core.log.debug(
      { task: allocation.id, machine: start.machine.id, attempt: allocation.attempt },
      'start',
    );
  }

  /** Stops a task; of a gang all tasks, with the same grace: only together can they save their work. */
  stop(shard: Shard, allocation: Allocation, graceS: number): void {
    if (allocation.spec?.kind !== 'gang') return this.stopTask(shard, allocation, graceS);
    for (const member of [...(shard.allocationsByJob.get(allocation.job) ?? [])])
      this.stopTask(shard, member, graceS);
  }

  private stopTask(shard: Shard, allocation: Allocation, graceS: number): void {
    const machine = shard.machines.get(allocation.machine);
    if (!machine || (allocation.stop && allocation.stop.grace <= graceS)) return;
    this.core.log.debug({ task: allocation.id, machine: allocation.machine, grace: graceS }, 'stop');
    // Never sent: there is nothing to stop.
    if (
      allocation.phase === 'ordered' &&
      allocation.launchPending &&
      !allocation.launchInFlight &&
      !allocation.unacknowledged &&
      allocation.answeredSequence === null
    )
      release(shard, machine, allocation);
    else requestStop(shard, machine, allocation, graceS);
  }

  /** The job is over: every task of it is stopped, and counts until it is seen gone. */
  stopJob(jobId: Allocation['job']): void {
    for (const shard of this.core.shards.values()) {
      shard.jobs.delete(jobId);
      for (const allocation of [...(shard.allocationsByJob.get(jobId) ?? [])])
        this.stop(shard, allocation, 0);
    }
  }

  /** A machine about to be taken: what can save does, replicas move at once, the rest may still finish. */
  private evacuateInterruptedMachines(shard: Shard): void {
    for (const machine of shard.interruptedMachines) {
      for (const allocation of [...machine.allocations.values()]) {
        if (allocation.stop || !allocation.spec) continue;
        // Before its gang has started, another machine can take its place.
        if (allocation.spec.kind === 'gang' && allocation.runningSince === null)
          this.stopTask(shard, allocation, 0);
        else if (allocation.spec.kind === 'service' || allocation.spec.checkpointIntervalS > 0)
          this.stop(shard, allocation, gracePeriodS(allocation));
        else if (!this.canFinishBeforeInterruption(allocation, machine)) this.stop(shard, allocation, 0);
      }
    }
  }

  private canFinishBeforeInterruption(allocation: Allocation, machine: Machine): boolean {
    if (!allocation.spec || allocation.runningSince === null || machine.interruptedAt === null) return false;
    const expectedRuntimeMs =
      allocation.spec.estimateS * this.runtimeEstimator.correctionFactor(allocation.spec.jobClass) * 1000;
    return allocation.runningSince + expectedRuntimeMs < machine.interruptedAt + 2000;
  }

  private requestQuota(shard: Shard, plan: SchedulingPlan): void {
    const neededByTeam = new Map<TeamId, MutableResources>();
    for (const unplaced of plan.unplaced) {
      if (unplaced.reason !== 'limit') continue;
      const needed = neededByTeam.get(unplaced.job.spec.team) ?? { ...ZERO };
      addTo(needed, unplaced.job.spec, unplacedCount(unplaced));
      neededByTeam.set(unplaced.job.spec.team, needed);
    }
    for (const [team, amount] of neededByTeam) this.quotaTransfers.requestQuota(shard, team, amount);
  }
}
