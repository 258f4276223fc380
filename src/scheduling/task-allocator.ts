/**
 * Starts and stops tasks in the memory of a shard: it allocates resources for a start, marks what must stop, and moves
 * work off spot machines that will be interrupted. It sends nothing: machines with pending commands are left to
 * `WorkerService.dispatchCommands`, which asks for the command deadline at the sending.
 */
import type { Core } from '../core.js';
import {
  allocate,
  stopOrRelease,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import { taskId, type Attempt, type JobId, type SteadyMs, type TaskIndex } from '../model/units.js';
import type { StopCause, TaskStart, TaskStop } from './cycle.js';
import { shardKey } from '../shards/codec.js';
import { violatedByStart } from './start-invariants.js';
import { gracePeriodS } from './preemption-cost.js';
import type { RuntimeEstimator } from './runtime-estimator.js';

/** A task may be expected to end this long after the announced interruption and is still left to finish. */
const INTERRUPTION_TOLERANCE_MS = 2000;

/** Why a task is stopped, for the log; a plan gives its own cause. */
type StopReason = StopCause | { readonly reason: 'relocated' | 'job ended' | 'interruption notice' };

/** A replica moves to another machine. */
export const RELOCATED: StopReason = { reason: 'relocated' };
const JOB_ENDED: StopReason = { reason: 'job ended' };
const INTERRUPTION_NOTICE: StopReason = { reason: 'interruption notice' };

/** An allocation whose launch is still to be sent. */
function newAllocation(
  job: ShardJob,
  index: TaskIndex,
  machine: Machine,
  attempt: Attempt,
  now: SteadyMs,
): Allocation {
  return {
    id: taskId(job.id, index),
    job: job.id,
    index,
    attempt,
    machine: machine.id,
    spec: job.spec,
    phase: 'ordered',
    allocatedAt: now,
    runningSince: null,
    waitingForGangSince: null,
    stop: null,
    launchInFlight: false,
    launchPending: true,
    unacknowledged: null,
    answeredSequence: null,
  };
}

/** Carries out the starts and stops of a scheduling plan. */
export class TaskAllocator {
  constructor(
    private readonly core: Core,
    private readonly runtimeEstimator: RuntimeEstimator,
  ) {}

  /** Allocates resources for the tasks. Members of a gang find each other by their attempt: one start shares one. */
  startAll(shard: Shard, starts: readonly TaskStart[], now: SteadyMs): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of starts) {
      if (this.reportViolation(shard, start)) continue;
      const attempt = start.attempt ?? gangAttempts.get(start.job.id) ?? shard.nextAttempt();
      if (start.job.gangHistory) gangAttempts.set(start.job.id, attempt);
      this.start(shard, start, attempt, now);
    }
  }

  /** A start that violates an invariant is not carried out: the task waits, and the plan before it was wrong. */
  private reportViolation(shard: Shard, start: TaskStart): boolean {
    const { invariants, storeCache } = this.core;
    const { job, index, machine } = start;
    const storedVersion = storeCache.version(shardKey(shard.id));
    const violated = violatedByStart(shard, start, storedVersion);
    if (violated === null) return false;
    const task = taskId(job.id, index as TaskIndex);
    const { id, version, fencingToken, acquiredVersion, confirmedUpTo } = shard;
    const shardFacts = { shard: id, version, storedVersion, fencingToken, acquiredVersion, confirmedUpTo };
    const { assignedVersion } = job;
    const { registeredVersion } = machine;
    invariants.report(violated, {
      task,
      machine: machine.id,
      assignedVersion,
      registeredVersion,
      ...shardFacts,
    });
    return true;
  }

  private start(shard: Shard, { job, index, machine }: TaskStart, attempt: Attempt, now: SteadyMs): void {
    const allocation = newAllocation(job, index as TaskIndex, machine, attempt, now);
    allocate(shard, machine, allocation);
    shard.machinesWithPendingCommands.add(machine);
    this.logStart(shard, job, machine, allocation);
  }

  /** On what knowledge the start was decided: enough to tell from the logs of two controllers which one was wrong. */
  private logStart(shard: Shard, job: ShardJob, machine: Machine, { id, attempt }: Allocation): void {
    this.core.log.debug(
      {
        task: id,
        machine: machine.id,
        attempt,
        shard: shard.id,
        fencingToken: shard.fencingToken,
        agentEpoch: machine.agentEpoch,
        sequence: machine.sequence,
        assignedVersion: job.assignedVersion,
        registeredVersion: machine.registeredVersion,
        acquiredVersion: shard.acquiredVersion,
        confirmedUpTo: shard.confirmedUpTo,
        completeUpTo: this.core.storeCache.revision,
      },
      'start',
    );
  }

  /** Stops the tasks that a plan names. */
  stopAll(shard: Shard, stops: readonly TaskStop[]): void {
    for (const { allocation, graceS, cause } of stops) this.stop(shard, allocation, graceS, cause);
  }

  /** Stops a task; of a gang all tasks, with the same grace: a gang can only write a checkpoint as a whole. */
  stop(shard: Shard, allocation: Allocation, graceS: number, reason: StopReason): void {
    if (allocation.spec?.kind !== 'gang') {
      this.stopTask(shard, allocation, graceS, reason);
      return;
    }
    for (const member of [...(shard.allocationsByJob.get(allocation.job) ?? [])])
      this.stopTask(shard, member, graceS, reason);
  }

  /** A stop with a shorter grace replaces an earlier one; a longer one changes nothing. */
  private stopTask(shard: Shard, allocation: Allocation, graceS: number, reason: StopReason): void {
    const machine = shard.machines.get(allocation.machine);
    if (!machine || (allocation.stop && allocation.stop.grace <= graceS)) return;
    this.core.log.debug(
      {
        task: allocation.id,
        machine: allocation.machine,
        attempt: allocation.attempt,
        fencingToken: shard.fencingToken,
        grace: graceS,
        ...reason,
      },
      'stop',
    );
    stopOrRelease(shard, machine, allocation, graceS);
  }

  /** The job has ended: stops every task of it. Each uses quota and capacity until a heartbeat shows it gone. */
  stopJob(jobId: JobId): void {
    for (const shard of this.core.shards.values()) {
      shard.jobs.delete(jobId);
      for (const allocation of [...(shard.allocationsByJob.get(jobId) ?? [])])
        this.stop(shard, allocation, 0, JOB_ENDED);
    }
  }

  /**
   * Moves work off machines with an interruption notice: tasks with checkpoints write one, replicas move at once, and
   * the others stay if they are expected to finish in time.
   */
  evacuateInterruptedMachines(shard: Shard): void {
    for (const machine of shard.interruptedMachines) {
      for (const allocation of [...machine.allocations.values()]) this.evacuate(shard, machine, allocation);
    }
  }

  private evacuate(shard: Shard, machine: Machine, allocation: Allocation): void {
    const { spec } = allocation;
    if (allocation.stop || !spec) return;
    // A member of a gang that has not started yet can be replaced on another machine alone.
    if (spec.kind === 'gang' && allocation.runningSince === null)
      this.stopTask(shard, allocation, 0, INTERRUPTION_NOTICE);
    else if (spec.kind === 'service' || spec.checkpointIntervalS > 0)
      this.stop(shard, allocation, gracePeriodS(allocation), INTERRUPTION_NOTICE);
    else if (!this.canFinishBeforeInterruption(allocation, machine))
      this.stop(shard, allocation, 0, INTERRUPTION_NOTICE);
  }

  private canFinishBeforeInterruption(allocation: Allocation, machine: Machine): boolean {
    if (!allocation.spec || allocation.runningSince === null || machine.interruptedAt === null) return false;
    const expectedRuntimeMs =
      allocation.spec.estimateS * this.runtimeEstimator.correctionFactor(allocation.spec.jobClass) * 1000;
    return allocation.runningSince + expectedRuntimeMs < machine.interruptedAt + INTERRUPTION_TOLERANCE_MS;
  }
}
