/**
 * Starts and stops tasks in the in-memory state of a shard: allocates resources for starts, marks tasks to be
 * stopped, and evacuates spot machines that will be interrupted. Sends no commands: it marks machines with
 * pending commands for `WorkerService.dispatchCommands`, which checks the command deadline before it sends
 * them.
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

/**
 * A task on a machine that will be interrupted is left to finish if it is expected to end at most this long
 * after the announced interruption.
 */
const INTERRUPTION_TOLERANCE_MS = 2000;

/** Why a task is stopped, as logged. Stops of a plan have the cause given there. */
type StopReason = StopCause | { readonly reason: 'relocated' | 'job ended' | 'interruption notice' };

/** A replica moves to another machine. */
export const RELOCATED: StopReason = { reason: 'relocated' };
const JOB_ENDED: StopReason = { reason: 'job ended' };
const INTERRUPTION_NOTICE: StopReason = { reason: 'interruption notice' };

/** Creates an allocation whose launch has not been sent yet. */
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
    launchAnswerSequence: null,
  };
}

/** Applies the starts and stops of a scheduling plan. */
export class TaskAllocator {
  constructor(
    private readonly core: Core,
    private readonly runtimeEstimator: RuntimeEstimator,
  ) {}

  /**
   * Allocates resources for the tasks. Members of a gang find each other by their attempt, so all members
   * that start together share one.
   */
  startAll(shard: Shard, starts: readonly TaskStart[], now: SteadyMs): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of starts) {
      if (this.reportViolation(shard, start)) continue;
      const attempt = start.attempt ?? gangAttempts.get(start.job.id) ?? shard.tokens.nextAttempt();
      if (start.job.gangHistory) gangAttempts.set(start.job.id, attempt);
      this.start(shard, start, attempt, now);
    }
  }

  /**
   * Reports a start that violates an invariant, and returns true for it. Such a start is skipped: the task
   * keeps waiting, and the plan that contained the start was wrong.
   */
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

  /**
   * Logs the state on which the decision to start was based, so that the logs of two controllers show which
   * one was wrong.
   */
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

  /** Stops the tasks named by a plan. */
  stopAll(shard: Shard, stops: readonly TaskStop[]): void {
    for (const { allocation, graceS, cause } of stops) this.stop(shard, allocation, graceS, cause);
  }

  /**
   * Stops a task; for a gang, stops all tasks with the same grace period, since a gang can only write a
   * checkpoint as a whole.
   */
  stop(shard: Shard, allocation: Allocation, graceS: number, reason: StopReason): void {
    if (allocation.spec?.kind !== 'gang') {
      this.stopTask(shard, allocation, graceS, reason);
      return;
    }
    for (const member of [...(shard.allocationsByJob.get(allocation.job) ?? [])])
      this.stopTask(shard, member, graceS, reason);
  }

  /**
   * Stops one task. A stop with a shorter grace period replaces an earlier stop; one with the same or a
   * longer period has no effect.
   */
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

  /**
   * Stops every task of a job that has ended. Each task uses quota and capacity until a heartbeat shows that
   * it is gone.
   */
  stopJob(jobId: JobId): void {
    for (const shard of this.core.shards.values()) {
      shard.jobs.delete(jobId);
      for (const allocation of [...(shard.allocationsByJob.get(jobId) ?? [])])
        this.stop(shard, allocation, 0, JOB_ENDED);
    }
  }

  /**
   * Evacuates machines with an interruption notice: tasks with checkpoints write one, replicas move at once,
   * and other tasks stay if they are expected to finish in time.
   */
  evacuateInterruptedMachines(shard: Shard): void {
    for (const machine of shard.interruptedMachines) {
      for (const allocation of [...machine.allocations.values()]) this.evacuate(shard, machine, allocation);
    }
  }

  private evacuate(shard: Shard, machine: Machine, allocation: Allocation): void {
    const { spec } = allocation;
    if (allocation.stop || !spec) return;
    // A gang member that is not running yet can be replaced on another machine while the other members stay.
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
