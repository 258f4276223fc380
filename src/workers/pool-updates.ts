/** What follows when a worker's message or its silence changes a pool: shared by reports, direct orders and leases. */
import type { Core } from '../core.js';
import { accountFor } from '../parts/accounting.js';
import type { Binding, Part } from '../parts/model.js';
import type { RunTimes } from '../placement/runtimes.js';
import type { SteadyMs } from '../units.js';
import { millis } from '../units.js';
import type { ReportContext } from './reports.js';

/** Effects of changes to a pool outside of it. */
export class PoolUpdates {
  constructor(
    private readonly core: Core,
    private readonly runTimes: RunTimes,
  ) {}

  /** What applying a report at this time needs to know, and whom it tells of finished tasks. */
  reportContext(now: SteadyMs): ReportContext {
    return {
      now,
      log: this.core.log,
      pastSpec: (task) => this.core.past.get(task.job) ?? null,
      onDone: (allocation) => this.learnRunTime(allocation, now),
      reportsWithin: millis(1.25 * this.core.reportMs + 3000),
    };
  }

  /** To be called after every change of the pool's machines or allocations. */
  changed(part: Part): void {
    if (accountFor(part)) this.core.log.info({ part: part.id }, 'part accounted for');
    this.core.wake();
  }

  private learnRunTime({ spec, runningSince }: Binding, now: SteadyMs): void {
    if (spec && runningSince !== null)
      this.runTimes.learn(spec.lane, spec.estimateS, (now - runningSince) / 1000);
  }
}
