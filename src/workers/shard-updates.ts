/**
 * Follow-up work after a change of a shard's machines or allocations: requeues tasks, requests a scheduling cycle and
 * records run times. Used by heartbeats, direct commands and lease expiry.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { Log } from '../logging/log.js';
import { requeueAccountedTasks } from '../shards/unaccounted-tasks.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { JobId, SteadyMs } from '../model/units.js';
import { elapsed, millis } from '../model/units.js';
import type { ReconciliationContext } from './reconciliation.js';
import { SentCommands } from './sent-commands.js';

/**
 * A worker that is silent for this many heartbeat intervals plus `HEARTBEAT_TIMEOUT_MARGIN_MS` is assumed to have
 * missed an answer.
 */
const HEARTBEAT_TIMEOUT_INTERVALS = 1.25;
const HEARTBEAT_TIMEOUT_MARGIN_MS = 3000;

/** The parts of the controller that these updates use. */
export interface ShardUpdatesDependencies {
  readonly log: Log;
  readonly recentlyEndedJobs: ReadonlyMap<JobId, JobSpec>;
  readonly heartbeatIntervalMs: number;
  isRecordUnreadable(job: JobId): boolean;
  requestCycle(): void;
}

/** Collects actual run times of a job class, in seconds, together with the users' estimates. */
export interface RuntimeSamples {
  addSample(jobClass: JobSpec['jobClass'], estimateS: JobSpec['estimateS'], actualS: number): void;
}

/** Runs the follow-up work after a change of a shard's machines or allocations. */
export class ShardUpdates {
  readonly sentCommands: SentCommands;

  constructor(
    private readonly controller: ShardUpdatesDependencies,
    private readonly runtimeSamples: RuntimeSamples,
  ) {
    this.sentCommands = new SentCommands(controller.log);
  }

  /** Creates the context for reconciling a heartbeat that was received at `now`. */
  reconciliationContext(now: SteadyMs): ReconciliationContext {
    const { log, recentlyEndedJobs, heartbeatIntervalMs } = this.controller;
    return {
      now,
      log,
      endedJobSpec: (job) => recentlyEndedJobs.get(job) ?? null,
      isRecordUnreadable: (job) => this.controller.isRecordUnreadable(job),
      onUnexpectedTask: (heartbeat, task) => this.sentCommands.checkUnexpected(heartbeat, task),
      onTaskDone: (allocation) => this.recordRuntime(allocation, now),
      heartbeatTimeout: millis(
        HEARTBEAT_TIMEOUT_INTERVALS * heartbeatIntervalMs + HEARTBEAT_TIMEOUT_MARGIN_MS,
      ),
    };
  }

  /** Must be called after every change of the shard's machines or allocations. */
  onShardChanged(shard: Shard): void {
    const { log } = this.controller;
    const { id, fencingToken, acquiredVersion, unreconciled } = shard;
    const reconciled = requeueAccountedTasks(shard, (job, tasks) =>
      log.debug(
        { job: job.id, tasks: tasks.ranges(), shard: id, fencingToken, acquiredVersion },
        'unaccounted tasks are not on any machine, requeued',
      ),
    );
    if (reconciled) log.info({ shard: id, fencingToken, complete: unreconciled.isEmpty }, 'shard reconciled');
    this.controller.requestCycle();
  }

  private recordRuntime({ spec, runningSince }: Allocation, now: SteadyMs): void {
    if (spec && runningSince !== null)
      this.runtimeSamples.addSample(spec.jobClass, spec.estimateS, elapsed(now, runningSince) / 1000);
  }
}
