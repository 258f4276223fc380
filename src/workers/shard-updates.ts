/** What follows when a worker's message or its silence changes a pool: shared by reports, direct orders and leases. */
import type { Core } from '../core.js';
import { requeueAccountedTasks } from '../shards/unaccounted-tasks.js';
import type { Allocation, Shard } from '../shards/model.js';
import type { RuntimeEstimator } from '../scheduling/runtime-estimator.js';
import type { SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import type { ReconciliationContext } from './reconciliation.js';

/** Effects of changes to a pool outside of it. */
export class ShardUpdates {
  constructor(
    private readonly core: Core,
    private readonly runtimeEstimator: RuntimeEstimator,
  ) {}

  /** What applying a report at this time needs to know, and whom it tells of finished tasks. */
  reconciliationContext(now: SteadyMs): ReconciliationContext {
    return {
      now,
      log: this.core.log,
      endedJobSpec: (task) => this.core.recentlyEndedJobs.get(task.job) ?? null,
      onTaskDone: (allocation) => this.learnRuntime(allocation, now),
      heartbeatTimeout: millis(1.25 * this.core.heartbeatIntervalMs + 3000),
    };
  }

  /** To be called after every change of the pool's machines or allocations. */
  onShardChanged(shard: Shard): void {
    if (requeueAccountedTasks(shard)) this.core.log.info({ part: shard.id }, 'part accounted for');
    this.core.requestCycle();
  }

  private learnRuntime({ spec, runningSince }: Allocation, now: SteadyMs): void {
    if (spec && runningSince !== null)
      this.runtimeEstimator.addSample(spec.jobClass, spec.estimateS, (now - runningSince) / 1000);
  }
}
