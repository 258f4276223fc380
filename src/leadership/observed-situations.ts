/**
 * For how long each shard has been in the situation that a failover decision looks at, and how long this controller
 * holds back before it acts on it. The delay differs between controllers, so that one of the nearest zone usually
 * acquires a shard before the others have sent anything. It saves store requests; safety does not rest on it.
 */
import type { ControllerId, ShardId, SteadyMs } from '../model/units.js';
import type { Settings } from '../settings/settings.js';

/** What the observation uses of the controller. */
export interface SituationContext {
  readonly settings: Pick<Settings, 'shards' | 'zone'>;
  /** A whole number from 0 to below the limit. */
  random(limit: number): number;
}

interface ObservedSituation {
  readonly situation: string;
  readonly observedSince: SteadyMs;
  readonly delayMs: number;
}

/** How much longer controllers of other zones than the home controller's hold back. */
const OTHER_ZONE_DELAY_MS = 250;
/** Spreads the controllers of one zone. */
const DELAY_JITTER_MS = 150;

/** The present situation of every shard. */
export class ObservedSituations {
  private readonly byShard = new Map<ShardId, ObservedSituation>();

  constructor(private readonly context: SituationContext) {}

  /** Milliseconds in the same situation, less the delay: negative while this controller holds back. */
  observe(shard: ShardId, situation: string, now: SteadyMs, homeController: ControllerId): number {
    let observed = this.byShard.get(shard);
    if (!observed || observed.situation !== situation) {
      observed = { situation, observedSince: now, delayMs: this.drawDelayMs(homeController) };
      this.byShard.set(shard, observed);
    }
    return now - observed.observedSince - observed.delayMs;
  }

  /** Whether this controller still holds back for the shard's present situation. */
  isDelayed(shard: ShardId, now: SteadyMs): boolean {
    const observed = this.byShard.get(shard);
    return observed !== undefined && now - observed.observedSince < observed.delayMs;
  }

  private drawDelayMs(homeController: ControllerId): number {
    const { settings } = this.context;
    const homeZone = settings.shards.find((shard) => shard.node === homeController)?.zone;
    return (homeZone === settings.zone ? 0 : OTHER_ZONE_DELAY_MS) + this.context.random(DELAY_JITTER_MS);
  }
}
