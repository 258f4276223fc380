/** The periodic work of a controller, in a fixed order that starts with leadership. */
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import type { Core } from '../core.js';
import type { ClusterClockWriter } from '../jobs/cluster-clock.js';
import type { ProgressWriter } from '../jobs/progress.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import type { Resources } from '../model/resources.js';
import { Throttle } from '../model/throttle.js';
import { millis, type SteadyMs, type TeamId } from '../model/units.js';
import type { MachineTransferService } from '../overflow/machine-transfer.js';
import type { QuotaTransferService } from '../quota/transfer-service.js';
import { statisticsOf } from '../shards/statistics.js';
import type { Scheduler } from '../scheduling/scheduler.js';
import type { WorkerService } from '../workers/service.js';
import type { PeerMessages } from './peer-messages.js';

const TICK_INTERVAL_MS = 200;
/** Work that visits all machines is done at this interval, not on every tick. */
const REVIEW_INTERVAL_MS = 1000;
const STATISTICS_INTERVAL_MS = 10_000;

/** The part of the controller's shared state that the periodic work uses. */
export type PeriodicContext = Pick<
  Core,
  | 'clock'
  | 'exclusive'
  | 'heartbeatIntervalMs'
  | 'log'
  | 'requestCycle'
  | 'shards'
  | 'storeCache'
  | 'invariants'
>;

/** The components with periodic work. */
export interface PeriodicServices {
  readonly leadership: Pick<ShardLeadership, 'tick' | 'eventCounts'>;
  readonly progress: Pick<ProgressWriter, 'tick'>;
  readonly clusterClockWriter: Pick<ClusterClockWriter, 'tick'>;
  readonly autoscaler: Pick<Autoscaler, 'scaleOutShards' | 'scaleInShards'>;
  readonly workers: Pick<
    WorkerService,
    'expireLeases' | 'closeUnusedClients' | 'heartbeatRefusals' | 'commandCounts'
  >;
  readonly machineTransfers: Pick<MachineTransferService, 'expireCordons'>;
  readonly scheduler: Pick<Scheduler, 'eventCounts'>;
  readonly quotaTransfers: Pick<QuotaTransferService, 'shardQuota'>;
  readonly peerMessages: Pick<PeerMessages, 'announce'>;
}

/** Runs the periodic work of one controller for as long as the process runs. */
export class PeriodicWork {
  private readonly reviewThrottle = new Throttle(millis(REVIEW_INTERVAL_MS));
  private readonly statisticsThrottle = new Throttle(millis(STATISTICS_INTERVAL_MS));

  constructor(
    private readonly context: PeriodicContext,
    private readonly services: PeriodicServices,
  ) {}

  /** Ticks immediately, and again after each interval. */
  start(): void {
    // Not awaited: a tick that waits for exclusive access must not delay the next tick.
    void this.context.exclusive(() => this.tick());
    this.context.clock.after(millis(TICK_INTERVAL_MS), () => this.start());
  }

  private tick(): void {
    const { services } = this;
    const now = this.context.clock.now();
    services.leadership.tick();
    services.progress.tick();
    services.autoscaler.scaleOutShards();
    services.clusterClockWriter.tick();
    if (this.reviewThrottle.tryAcquire(now)) this.reviewMachines();
    services.peerMessages.announce(now);
    if (this.statisticsThrottle.tryAcquire(now)) this.logStatistics(now);
    this.context.requestCycle();
  }

  private reviewMachines(): void {
    const { workers, machineTransfers, autoscaler } = this.services;
    for (const shard of this.context.shards.values()) workers.expireLeases(shard);
    machineTransfers.expireCordons();
    autoscaler.scaleInShards();
    workers.closeUnusedClients();
  }

  private logStatistics(now: SteadyMs): void {
    const { context, services } = this;
    const { revision: completeUpTo, confirmedAt } = context.storeCache;
    context.log.info(
      {
        completeUpTo,
        cacheAgeMs: now - confirmedAt,
        refusedHeartbeats: services.workers.heartbeatRefusals(),
        commands: services.workers.commandCounts(),
        leadership: services.leadership.eventCounts(),
        scheduling: services.scheduler.eventCounts(),
        violations: context.invariants.violations.snapshot(),
      },
      'controller statistics',
    );
    for (const shard of context.shards.values()) {
      const shardQuota = (team: TeamId): Resources => services.quotaTransfers.shardQuota(shard.id, team);
      const statistics = statisticsOf(shard, now, context.heartbeatIntervalMs, shardQuota);
      context.log.info({ shard: shard.id, ...statistics }, 'shard statistics');
    }
  }
}
