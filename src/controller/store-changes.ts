/** Dispatches changes of the watch cache to the components that they concern, by the prefix of the changed key. */
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import type { Core } from '../core.js';
import { decodeClusterTime } from '../jobs/cluster-clock.js';
import { ACTIVE_JOBS_PREFIX } from '../jobs/codec.js';
import type { JobRecord } from '../jobs/record.js';
import { Priority } from '../jobs/spec.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import type { Clock, JobId, MachineId, Revision } from '../model/units.js';
import type { Scheduler } from '../scheduling/scheduler.js';
import {
  ALIVE_PREFIX,
  decodeMachineRecord,
  decodeMembership,
  MACHINES_PREFIX,
  SHARDS_PREFIX,
  TIME_KEY,
} from '../shards/codec.js';
import { syncJob } from '../shards/model.js';
import type { WorkerService } from '../workers/service.js';
import { divideStoreLimits, type LimitDivisionContext } from './store-limits.js';

/** The part of the controller's shared state that the dispatch uses. */
export interface StoreChangeContext
  extends
    LimitDivisionContext,
    Pick<Core, 'activeJobs' | 'clusterClock' | 'log' | 'registeredMachines' | 'requestCycle' | 'shards'> {
  readonly clock: Pick<Clock, 'now'>;
}

/** The components that are notified of store changes. */
export interface StoreChangeListeners {
  readonly leadership: Pick<ShardLeadership, 'onShardRecord'>;
  readonly workers: Pick<WorkerService, 'onMachineChanged'>;
  readonly scheduler: Pick<Scheduler, 'onJobRecord' | 'stopJob' | 'requestUrgentCycle'>;
  readonly autoscaler: Pick<Autoscaler, 'forgetPending'>;
}

/** Dispatches each change of the watch cache to the components that it concerns. */
export class StoreChangeDispatcher {
  constructor(
    private readonly context: StoreChangeContext,
    private readonly listeners: StoreChangeListeners,
  ) {}

  /** Handles a changed key with its new value and version; the value is `undefined` if the key was deleted. */
  dispatch(key: string, value: unknown, version: Revision): void {
    const { context, listeners } = this;
    if (key.startsWith(ACTIVE_JOBS_PREFIX)) this.onJobRecord(key, value, version);
    else if (key.startsWith(SHARDS_PREFIX)) listeners.leadership.onShardRecord(key, value, version);
    else if (key.startsWith(MACHINES_PREFIX)) this.onMachineRecord(key, value, version);
    else if (key.startsWith(ALIVE_PREFIX)) this.onMembership(key, value, version);
    else if (key === TIME_KEY) context.clusterClock.advanceTo(decodeClusterTime(value), context.clock.now());
    context.requestCycle();
  }

  /**
   * Records that the watch cache is complete up to the revision: the shards led here may act on records up to it.
   *
   * Prevents: a replaced leader learns of a job by its own commit before its watch shows the successor, and both
   * leaders start the job's tasks.
   */
  confirm(revision: Revision): void {
    const { shards, requestCycle } = this.context;
    for (const shard of shards.values()) {
      const { jobs, changed } = shard.confirmUpTo(revision);
      if (changed) requestCycle();
      if (jobs.some((job) => job.spec.priority === Priority.critical))
        this.listeners.scheduler.requestUrgentCycle();
    }
  }

  private onMembership(key: string, value: unknown, version: Revision): void {
    const controller = key.slice(ALIVE_PREFIX.length);
    const incarnation = value === undefined ? null : decodeMembership(value);
    this.context.log.info({ controller, incarnation, version }, 'membership changed');
    divideStoreLimits(this.context);
  }

  private onMachineRecord(key: string, value: unknown, version: Revision): void {
    const id = key.slice(MACHINES_PREFIX.length) as MachineId;
    const record = value === undefined ? null : decodeMachineRecord(value);
    this.context.registeredMachines.update(id, record);
    if (record) this.listeners.autoscaler.forgetPending(id);
    this.listeners.workers.onMachineChanged(id, record, version);
  }

  private onJobRecord(key: string, value: unknown, version: Revision): void {
    const { scheduler } = this.listeners;
    const id = key.slice(ACTIVE_JOBS_PREFIX.length) as JobId;
    const update = this.context.activeJobs.update(id, value);
    switch (update.kind) {
      case 'unreadable':
        this.context.log.error({ job: id }, 'job record cannot be read');
        return;
      case 'ended':
        scheduler.onJobRecord(id, null);
        scheduler.stopJob(id);
        return;
      case 'active':
        this.onActiveJob(id, update.record, version);
    }
  }

  private onActiveJob(id: JobId, record: JobRecord, version: Revision): void {
    const { clock, clusterClock, shards } = this.context;
    const { scheduler } = this.listeners;
    const now = clock.now();
    clusterClock.advanceTo(record.acceptedAt ?? 0, now);
    scheduler.onJobRecord(id, record);
    const age = clusterClock.age(record.acceptedAt, now);
    for (const shard of shards.values()) syncJob(shard, record, version, now, false, age);
    if (record.spec.priority === Priority.critical) scheduler.requestUrgentCycle();
  }
}
