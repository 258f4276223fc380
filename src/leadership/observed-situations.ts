/**
 * Tracks how long each shard has been in its current situation (its leader, and whether leader and home controller are
 * alive), and the delay with which this controller reacts to it. The delay differs between controllers, so that a
 * controller in the home controller's zone usually acquires the shard before the others have sent a request. This saves
 * store requests; safety does not depend on it.
 */
import type { ControllerId, ShardId, SteadyMs } from '../model/units.js';
import type { Settings } from '../settings/settings.js';

/** The part of the controller that the tracking uses. */
export interface SituationContext {
  readonly settings: Pick<Settings, 'shards' | 'zone'>;
  /** Returns a random integer from 0 (inclusive) to `limit` (exclusive). */
  random(limit: number): number;
}

interface ObservedSituation {
  readonly situation: string;
  readonly observedSince: SteadyMs;
  readonly delayMs: number;
}

/** Additional delay of controllers outside the home controller's zone. */
const OTHER_ZONE_DELAY_MS = 250;
/** Upper limit of the random delay, which spreads the requests of the controllers of one zone. */
const DELAY_JITTER_MS = 150;

/** Tracks the current situation of every shard. */
export class ObservedSituations {
  private readonly byShard = new Map<ShardId, ObservedSituation>();

  constructor(private readonly context: SituationContext) {}

  /** Returns for how many milliseconds the situation has lasted, less the delay: negative while the delay lasts. */
  observe(shard: ShardId, situation: string, now: SteadyMs, homeController: ControllerId): number {
    let observed = this.byShard.get(shard);
    if (!observed || observed.situation !== situation) {
      observed = { situation, observedSince: now, delayMs: this.drawDelayMs(homeController) };
      this.byShard.set(shard, observed);
    }
    return now - observed.observedSince - observed.delayMs;
  }

  /** Returns whether this controller's delay for the shard's current situation still lasts. */
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
