/** Runs scheduling cycles on one shard and returns their decisions as text. */
import { NO_REVISION } from '../../src/model/units.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { UNLIMITED, ZERO, type Resources } from '../../src/model/resources.js';
import {
  allocate,
  newMachine,
  Shard,
  release,
  stopOrRelease,
  type Allocation,
  type Machine,
} from '../../src/shards/model.js';
import { planCycle } from '../../src/scheduling/plan.js';
import { newReservation } from '../../src/scheduling/reservation-terms.js';
import { SchedulingCycle } from '../../src/scheduling/scheduling-cycle.js';
import type { SchedulingContext, SchedulingPlan } from '../../src/scheduling/cycle.js';
import { GuaranteedJobs } from '../../src/quota/guaranteed-jobs.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { Team } from '../../src/settings/settings.js';
import type { TeamId, InstanceTypeId } from '../../src/model/units.js';
import { buildJobSpec, buildTeam } from './job-specs.js';
import { syncConfirmedJob } from './confirmed-job.js';

export interface CycleRunnerOptions {
  /** The capacity of each machine. */
  readonly capacity?: Resources;
  /** The guarantee and quota of each of the teams red and blue. */
  readonly team?: Parameters<typeof buildTeam>[0];
  /** Each team's quota on the shard. */
  readonly shardQuota?: Resources;
  /** When the machines were added, in milliseconds; the first cycle is at 1,002,000 ms. */
  readonly machinesAddedAt?: number;
}

export class CycleRunner {
  readonly shard: Shard;
  /** What each team uses on other shards. */
  usedElsewhere: Resources = ZERO;
  /** What the services of each team use on other shards. */
  servicesElsewhere: Resources = ZERO;
  /** If false, a stopped task stays on its machine until `finishStops`. */
  stopsTakeEffectAtOnce = true;
  private now = 1_000_000;
  private readonly activeJobs = new Map<string, JobRecord>();
  private readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  private readonly teams: ReadonlyMap<TeamId, Team>;
  private readonly shardQuota: Resources;
  private readonly guaranteedJobs: GuaranteedJobs;

  constructor(machines = 1, options: CycleRunnerOptions = {}) {
    const { capacity = { cpus: 8, gpus: 0, memoryGb: 64 }, team = { cpus: 4, cpusMax: 100 } } = options;
    this.types = new Map([
      ['t' as InstanceTypeId, { name: 't', ...capacity, fetchGbPerS: 0.1 } as unknown as InstanceType],
    ]);
    this.teams = new Map(['red', 'blue'].map((name) => [name as TeamId, buildTeam({ ...team, name })]));
    this.shardQuota = options.shardQuota ?? { ...UNLIMITED, cpus: 100 };
    this.guaranteedJobs = new GuaranteedJobs(this.teams);
    this.shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, this.types);
    this.shard.reconciled = true;
    for (let i = 0; i < machines; i += 1) {
      const machine = newMachine({
        id: `m-${i}` as never,
        address: '10.0.0.1:1' as never,
        type: 't' as never,
        zone: 'east' as never,
        spot: false,
        addedAt: (options.machinesAddedAt ?? 0) as never,
        reconciled: true,
        registeredVersion: NO_REVISION,
      });
      this.shard.addMachine(machine);
    }
  }

  addJob(id: string, changes: Partial<Record<keyof JobSpec, unknown>>): void {
    const spec = buildJobSpec({ id, ...changes });
    const record = {
      spec,
      homeShard: 0,
      acceptedRevision: this.activeJobs.size,
      done: RangeSet.empty(),
      assignments: [{ from: 0, to: spec.tasks, shard: 0, zone: null }],
    } as unknown as JobRecord;
    this.activeJobs.set(id, record);
    this.guaranteedJobs.update(id as never, record);
    syncConfirmedJob(this.shard, record, (this.activeJobs.size + 1) as never, this.now as never, false);
  }

  /** Adds a job (of the team red by default) whose first task already runs on the machine. */
  addRunningTask(id: string, machineId: string, changes: Partial<Record<keyof JobSpec, unknown>>): void {
    this.addJob(id, changes);
    const machine = this.shard.machines.get(machineId as never);
    const spec = this.activeJobs.get(id)?.spec;
    if (!machine || !spec) throw new Error(`no machine ${machineId}`);
    allocate(this.shard, machine, this.runningAllocation(spec, 0, machine));
  }

  private runningAllocation(spec: JobSpec, index: number, machine: Machine): Allocation {
    return {
      id: `${spec.id}/${index}`,
      job: spec.id,
      index,
      attempt: this.shard.tokens.nextAttempt(),
      machine: machine.id,
      spec,
      phase: 'running',
      allocatedAt: this.now,
      runningSince: this.now,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      launchAnswerSequence: null,
    } as unknown as Allocation;
  }

  cacheImage(machineId: string, image: string): void {
    const machine = this.shard.machines.get(machineId as never);
    if (machine) this.shard.recordImage(machine, image as never, 1);
  }

  /** Completes the tasks, of one job or of all, that were allocated at least `afterMs` ago. */
  finishTasksRunningFor(afterMs: number, job?: string): void {
    for (const allocation of [...this.shard.allocations.values()]) {
      const machine = this.shard.machines.get(allocation.machine);
      if (this.now - allocation.allocatedAt < afterMs || !machine) continue;
      if (job !== undefined && allocation.job !== job) continue;
      this.shard.jobs.get(allocation.job)?.finished.add(allocation.index);
      release(this.shard, machine, allocation);
    }
  }

  currentTime(): number {
    return this.now;
  }

  private stop(allocation: Allocation, graceS: number): void {
    const machine = this.shard.machines.get(allocation.machine);
    if (!machine) return;
    if (this.stopsTakeEffectAtOnce) release(this.shard, machine, allocation);
    else stopOrRelease(this.shard, machine, allocation, graceS);
  }

  /** Releases the stopping tasks, of one job or of all, from their machines. */
  finishStops(job?: string): void {
    for (const allocation of [...this.shard.stopping]) {
      if (job !== undefined && allocation.job !== job) continue;
      const machine = this.shard.machines.get(allocation.machine);
      if (machine) release(this.shard, machine, allocation);
    }
  }

  /**
   * Cancels all pending stops: the tasks keep running, as after a late heartbeat that showed them on another machine.
   */
  withdrawStops(): void {
    for (const allocation of [...this.shard.stopping]) {
      allocation.stop = null;
      this.shard.stopping.delete(allocation);
    }
  }

  /** Advances the time by two seconds, runs a cycle, and applies the whole plan at once. */
  runCycle(): string {
    this.now += 2000;
    for (const machine of this.shard.machines.values()) machine.lastMessageAt = this.now as never;
    const plan = planCycle(this.shard, this.createContext());
    return this.applyPlan(plan);
  }

  /** Runs `decide` in a new cycle whose plan is not applied. */
  decideWithoutApplying(decide: (cycle: SchedulingCycle) => boolean): {
    plan: SchedulingPlan;
    preempted: boolean;
  } {
    for (const machine of this.shard.machines.values()) machine.lastMessageAt = this.now as never;
    const cycle = new SchedulingCycle(this.shard, this.createContext());
    const preempted = decide(cycle);
    return { plan: cycle.plan, preempted };
  }

  private createContext(): SchedulingContext {
    return {
      now: this.now,
      types: this.types,
      teams: this.teams,
      shardQuota: () => this.shardQuota,
      usageOnOtherShards: () => this.usedElsewhere,
      maxServiceUsageOnOtherShards: () => this.servicesElsewhere,
      guaranteed: (job: string) => this.guaranteedJobs.has(job as never),
      maxLatenessFactor: () => 1,
      peerHasCapacity: () => false,
      runtimeCorrection: () => 1,
      heartbeatIntervalMs: 1500,
      gangWaitMs: 30_000,
    } as unknown as SchedulingContext;
  }

  private applyPlan(plan: SchedulingPlan): string {
    const decisions: string[] = [];
    for (const start of plan.starts) {
      decisions.push(`start ${start.job.id}/${start.index} on ${start.machine.id}`);
      allocate(this.shard, start.machine, this.runningAllocation(start.job.spec, start.index, start.machine));
    }
    for (const { allocation, graceS } of plan.stops) {
      decisions.push(`stop ${allocation.id}`);
      this.stop(allocation, graceS);
    }
    for (const reservation of plan.reservations)
      reservation.job.reservations.set(reservation.index, newReservation(reservation, this.now as never));
    for (const unplaced of plan.unplaced) unplaced.job.waitingSince ??= this.now as never;
    return decisions.join('; ') || 'nothing';
  }
}
