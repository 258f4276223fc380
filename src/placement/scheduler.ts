/** Runs placement rounds: plans, binds, stops, and passes on what found no room. */
import type { Core } from '../core.js';
import type { Autoscaler } from '../fleet/fleet.js';
import { MachineTransfer } from '../overflow/machine-transfer.js';
import { Overflow } from '../overflow/hand-over.js';
import { capacityFor } from '../overflow/peer-ranking.js';
import type { JobRecord } from '../jobs/record.js';
import type { JobSpec } from '../jobs/spec.js';
import { add, addTo, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import {
  allocate,
  release,
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
import { chooseMove } from './consolidation.js';
import { planRound } from './plan.js';
import { countOf, type Plan, type PlanContext, type Start } from './round.js';
import type { RuntimeEstimator } from './runtimes.js';
import { graceFor } from './preemption.js';

/** Rounds come this far apart while critical work waits, and otherwise, so that many events share one. */
const URGENT_GAP = 15;
const GAP = 90;
/** A round's share of this process's time at most: one in this many. */
const ROUND_SHARE = 4;
const MAX_GAP = 400;
const HOLD = millis(6000);
/** How long a machine may take to empty for a task that has waited too long. */
const RESERVED = millis(120_000);
/** Replicas are moved together one by one, this far apart: few are away at any moment. */
const MOVE_GAP = 400;

/** Asked many times a round, with the same answer. */
function remembered<K>(ask: (key: K) => boolean): (key: K) => boolean {
  const known = new Map<K, boolean>();
  return (key) => {
    let answer = known.get(key);
    if (answer === undefined) known.set(key, (answer = ask(key)));
    return answer;
  };
}

export class Scheduler {
  private armed = false;
  private lastCost = 0;
  private lastRound = -1e12;
  private dueAt = 0;
  /** Jobs that found no room in a part's last round. */
  private readonly short = new WeakMap<Shard, ReadonlySet<ShardJob>>();
  private readonly guarantees: GuaranteedJobs;
  private lastMove = -1e12;
  readonly overflow: Overflow;
  readonly transfers: MachineTransfer;

  constructor(
    private readonly core: Core,
    private readonly workers: WorkerService,
    private readonly quota: QuotaTransferService,
    private readonly fleet: Autoscaler,
    private readonly runTimes: RuntimeEstimator,
  ) {
    this.overflow = new Overflow(core);
    this.transfers = new MachineTransfer(core);
    this.guarantees = new GuaranteedJobs(core.settings.teams);
  }

  wake(): void {
    if (this.armed) return;
    const gap = Math.min(MAX_GAP, Math.max(GAP, this.lastCost * ROUND_SHARE));
    this.arm(Math.max(URGENT_GAP, this.lastRound + gap - this.core.clock.now()));
  }

  /** Critical work has come in: it does not wait for the next round in turn. */
  hurry(): void {
    this.arm(Math.max(URGENT_GAP, this.lastCost * ROUND_SHARE));
  }

  private arm(delay: number): void {
    const due = this.core.clock.now() + delay;
    if (this.armed && this.dueAt <= due) return;
    this.armed = true;
    this.dueAt = due;
    this.core.clock.after(millis(delay), () => {
      if (!this.armed || this.dueAt !== due) return;
      this.armed = false;
      void this.core.exclusive(() => {
        this.lastRound = this.core.clock.now();
        for (const shard of this.core.shards.values()) this.round(shard);
        this.lastCost = this.core.clock.now() - this.lastRound;
      });
    });
  }

  /** A live record is new, has changed or is over. */
  onRecord(id: JobId, record: JobRecord | null): void {
    this.guarantees.update(id, record);
  }

  private round(shard: Shard): void {
    const now = this.core.clock.now();
    if (!this.core.mayCommand(now)) return;
    this.moveOffNoticed(shard);
    const context = this.context(now, shard);
    const plan = planRound(shard, context);
    this.apply(shard, plan, now);
    if (plan.starts.length + plan.stops.length + plan.unplaced.length === 0) this.consolidate(shard, context);
    this.workers.dispatchCommands(shard);
    this.overflow.consider(shard, plan.unplaced);
    this.askForShares(shard, plan);
    if (plan.oversized) this.transfers.request(shard, plan.oversized);
    this.fleet.demand(shard, plan.unplaced, now);
  }

  /** While nothing waits and nothing is on its way to or from a machine here. */
  private consolidate(shard: Shard, context: PlanContext): void {
    const { now } = context;
    if (!shard.reconciled || shard.stopping.size > 0 || now - this.lastMove < MOVE_GAP) return;
    this.lastMove = now;
    const move = chooseMove(shard, context);
    if (!move) return;
    const job = shard.jobs.get(move.binding.job);
    job?.reservations.set(move.binding.index, {
      machine: move.to.id,
      reservedUntil: plus(now, HOLD),
      withoutPreemption: false,
    });
    this.stop(shard, move.binding, 0);
  }

  private context(now: SteadyMs, shard: Shard): PlanContext {
    const { core } = this;
    const others = [...core.settings.parts].filter((p) => p.part !== shard.id);
    const elsewhere = new Map<TeamId, Resources>();
    for (const { part: id } of others) {
      const used = core.shards.get(id)?.totals.usageByTeam ?? core.shardAnnouncements.get(id)?.usage ?? [];
      for (const [team, amount] of used) elsewhere.set(team, add(elsewhere.get(team) ?? ZERO, amount));
    }
    return {
      now,
      types: core.types,
      teams: core.settings.teams,
      share: (team) => this.quota.shardQuota(shard.id, team),
      usedElsewhere: (team) => elsewhere.get(team) ?? ZERO,
      guaranteed: remembered((job) => this.guarantees.has(job)),
      peerHasRoom: (spec) => this.peerHasRoom(shard, spec, now),
      latest: (lane) => core.settings.latest.get(lane) ?? 1,
      correction: (lane) => this.runTimes.correction(lane),
      reportMs: core.heartbeatIntervalMs,
      gangWaitMs: core.settings.gangWaitS * 1000,
    };
  }

  private peerHasRoom(shard: Shard, spec: JobSpec, now: SteadyMs): boolean {
    for (const o of this.core.freeCapacity.values()) {
      if (o.part !== shard.id && o.expires > now && capacityFor(o, spec, null) > 0) return true;
    }
    return false;
  }

  private apply(shard: Shard, plan: Plan, now: SteadyMs): void {
    // A gang's tasks find each other by their attempt: all of one start share it.
    const gangs = new Map<JobId, Attempt>();
    for (const s of plan.starts) {
      const attempt = s.attempt ?? gangs.get(s.job.id) ?? shard.nextAttempt();
      if (s.job.gangHistory) gangs.set(s.job.id, attempt);
      this.start(shard, s, attempt, now);
    }
    for (const s of plan.stops) this.stop(shard, s.binding, s.grace);
    for (const { job, index, machine, reserved } of plan.holds)
      job.reservations.set(index, {
        machine,
        reservedUntil: plus(now, reserved ? RESERVED : HOLD),
        withoutPreemption: reserved,
      });
    const teamsThatWaitFor = (reason: 'room' | 'limit'): Set<TeamId> =>
      new Set(plan.unplaced.filter((u) => u.reason === reason).map((u) => u.job.spec.team));
    shard.teamsBlockedByCapacity = teamsThatWaitFor('room');
    shard.teamsBlockedByQuota = teamsThatWaitFor('limit');
    shard.quotaReservations = plan.gathering;
    const short = new Set(plan.unplaced.map((u) => u.job));
    for (const job of this.short.get(shard) ?? []) if (!short.has(job)) job.waitingSince = null;
    for (const job of short) job.waitingSince ??= now;
    this.short.set(shard, short);
  }

  private start(shard: Shard, s: Start, attempt: Attempt, now: SteadyMs): void {
    const index = s.index as TaskIndex;
    const allocation: Allocation = {
      id: taskId(s.job.id, index),
      job: s.job.id,
      index,
      attempt,
      machine: s.machine.id,
      spec: s.job.spec,
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
    allocate(shard, s.machine, allocation);
    shard.machinesWithPendingCommands.add(s.machine);
    this.core.log.debug({ task: allocation.id, machine: s.machine.id, attempt: allocation.attempt }, 'start');
  }

  /** Stops a task; of a gang all tasks, with the same grace: only together can they save their work. */
  stop(shard: Shard, b: Allocation, grace: number): void {
    if (b.spec?.kind !== 'gang') return this.stopTask(shard, b, grace);
    for (const member of [...(shard.allocationsByJob.get(b.job) ?? [])]) this.stopTask(shard, member, grace);
  }

  private stopTask(shard: Shard, b: Allocation, grace: number): void {
    const machine = shard.machines.get(b.machine);
    if (!machine || (b.stop && b.stop.grace <= grace)) return;
    this.core.log.debug({ task: b.id, machine: b.machine, grace }, 'stop');
    // Never sent: there is nothing to stop.
    if (
      b.phase === 'ordered' &&
      b.launchPending &&
      !b.launchInFlight &&
      !b.unacknowledged &&
      b.answeredSequence === null
    )
      release(shard, machine, b);
    else {
      b.stop = { grace, direct: 'due' };
      shard.stopping.add(b);
      shard.machinesWithPendingCommands.add(machine);
    }
  }

  /** The job is over: every task of it is stopped, and counts until it is seen gone. */
  stopJob(job: Allocation['job']): void {
    for (const shard of this.core.shards.values()) {
      shard.jobs.delete(job);
      for (const b of [...(shard.allocationsByJob.get(job) ?? [])]) this.stop(shard, b, 0);
    }
  }

  /** A machine about to be taken: what can save does, replicas move at once, the rest may still finish. */
  private moveOffNoticed(shard: Shard): void {
    for (const m of shard.interruptionNoticed) {
      for (const b of [...m.allocations.values()]) {
        if (b.stop || !b.spec) continue;
        // Before its gang has started, another machine can take its place.
        if (b.spec.kind === 'gang' && b.runningSince === null) this.stopTask(shard, b, 0);
        else if (b.spec.kind === 'service' || b.spec.checkpointIntervalS > 0)
          this.stop(shard, b, graceFor(b));
        else if (!this.mayFinish(b, m)) this.stop(shard, b, 0);
      }
    }
  }

  private mayFinish(b: Allocation, m: Machine): boolean {
    if (!b.spec || b.runningSince === null || m.interruptedAt === null) return false;
    const expected = b.spec.estimateS * this.runTimes.correction(b.spec.jobClass) * 1000;
    return b.runningSince + expected < m.interruptedAt + 2000;
  }

  private askForShares(shard: Shard, plan: Plan): void {
    const need = new Map<TeamId, MutableResources>();
    for (const u of plan.unplaced) {
      if (u.reason !== 'limit') continue;
      const sum = need.get(u.job.spec.team) ?? { ...ZERO };
      addTo(sum, u.job.spec, countOf(u));
      need.set(u.job.spec.team, sum);
    }
    for (const [team, amount] of need) this.quota.requestQuota(shard, team, amount);
  }
}
