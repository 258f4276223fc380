/**
 * The consequences outside a shard of a change in it: requeued tasks, a scheduling cycle, learnt run times. Shared by
 * heartbeats, direct commands and lease expiry.
 */
import type { JobSpec } from '../jobs/spec.js';
import type { Log } from '../logging/log.js';
import { requeueAccountedTasks } from '../shards/unaccounted-tasks.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { JobId, SteadyMs } from '../model/units.js';
import { elapsed, millis } from '../model/units.js';
import type { ReconciliationContext } from './reconciliation.js';

/** A worker is taken to have missed an answer after so many heartbeat intervals, and this time on top. */
const HEARTBEAT_TIMEOUT_INTERVALS = 1.25;
const HEARTBEAT_TIMEOUT_MARGIN_MS = 3000;

/** What these updates use of the controller. */
export interface ShardUpdatesDependencies {
  readonly log: Log;
  readonly recentlyEndedJobs: ReadonlyMap<JobId, JobSpec>;
  readonly heartbeatIntervalMs: number;
  isRecordUnreadable(job: JobId): boolean;
  requestCycle(): void;
}

/** Learns how long tasks of a job class run, in seconds, compared with their users' estimates. */
export interface RuntimeSamples {
  addSample(jobClass: JobSpec['jobClass'], estimateS: JobSpec['estimateS'], actualS: number): void;
}

/** Effects of a change of machines or allocations outside their shard. */
export class ShardUpdates {
  constructor(
    private readonly controller: ShardUpdatesDependencies,
    private readonly runtimeSamples: RuntimeSamples,
  ) {}

  /** What reconciling a heartbeat at this time needs to know, and whom it tells of finished tasks. */
  reconciliationContext(now: SteadyMs): ReconciliationContext {
    const { log, recentlyEndedJobs, heartbeatIntervalMs } = this.controller;
    return {
      now,
      log,
      endedJobSpec: (job) => recentlyEndedJobs.get(job) ?? null,
      isRecordUnreadable: (job) => this.controller.isRecordUnreadable(job),
      onTaskDone: (allocation) => this.recordRuntime(allocation, now),
      heartbeatTimeout: millis(
        HEARTBEAT_TIMEOUT_INTERVALS * heartbeatIntervalMs + HEARTBEAT_TIMEOUT_MARGIN_MS,
      ),
    };
  }

  /** To be called after every change of the shard's machines or allocations. */
  onShardChanged(shard: Shard): void {
    const { log } = this.controller;
    const { id, fencingToken, acquiredVersion, unreconciled } = shard;
    const reconciled = requeueAccountedTasks(shard, (job, tasks) =>
      log.debug(
        { job: job.id, tasks: tasks.ranges(), shard: id, fencingToken, acquiredVersion },
        'unaccounted tasks are on no machine, requeued',
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
