/**
 * A clock shared by all controllers, from which any of them, even a newly started one, computes how long ago a job was
 * accepted. Monotonic clocks cannot be compared between processes, so one controller writes a millisecond count to the
 * store every few seconds, and each controller advances it by its own clock. The count does not advance while no
 * controller runs.
 */
import { aliveKey, TIME_KEY } from '../shards/codec.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Clock, Millis, ClusterMs, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import type { LeadershipView, StoreAccess } from './dependencies.js';

/** Minimum interval between two writes of the count. */
const WRITE_INTERVAL_MS = 5000;

/** This controller's copy of the shared millisecond count, advanced by its own clock. */
export class ClusterClock {
  /** The count at a time of this process's clock; null until a count is known. */
  private latest: { readonly count: number; readonly at: SteadyMs } | null = null;

  /** Advances the count to one seen in the store or in a job's record. Lower counts are ignored: it never goes back. */
  advanceTo(count: number, now: SteadyMs): void {
    if (!Number.isFinite(count) || (this.latest && this.now(now) >= count)) return;
    this.latest = { count, at: now };
  }

  /** Returns the count at a time of this process's clock. */
  now(now: SteadyMs): ClusterMs {
    this.latest ??= { count: 0, at: now };
    return Math.max(0, Math.round(this.latest.count + now - this.latest.at)) as ClusterMs;
  }

  /** Returns how long ago a job was accepted; 0 for records of earlier versions, which have no time of acceptance. */
  age(acceptedAt: ClusterMs | null, now: SteadyMs): Millis {
    return acceptedAt === null ? millis(0) : millis(Math.max(0, this.now(now) - acceptedAt));
  }
}

/** Encodes the value of `TIME_KEY`. */
export const encodeClusterTime = (count: ClusterMs): unknown => ({ ms: count });

/** Decodes the value of `TIME_KEY`, in milliseconds. Returns NaN if it cannot be decoded. */
export const decodeClusterTime = (value: unknown): number =>
  Number((value as { ms?: unknown } | null | undefined)?.ms ?? NaN);

/** The parts of the controller that the writer of the count uses. */
export interface ClusterClockWriterContext extends StoreAccess, LeadershipView {
  readonly clock: Clock;
  readonly clusterClock: Pick<ClusterClock, 'now'>;
  readonly settings: Pick<Settings, 'node' | 'shards'>;
}

/**
 * Writes the count to the store if this controller is the first live one in the order of the settings, on the condition
 * that no other controller has written it meanwhile.
 */
export class ClusterClockWriter {
  /** Time of this process's last write; null: none yet. */
  private lastWriteAt: SteadyMs | null = null;

  constructor(private readonly context: ClusterClockWriterContext) {}

  /** Writes the count if a write is due. Called every few hundred milliseconds. */
  tick(): void {
    const { context } = this;
    const now = context.clock.now();
    if (!context.mayCommand(now) || !context.storeHealthy()) return;
    if (this.wroteRecently(now) || !this.isFirstLiveController()) return;
    this.lastWriteAt = now;
    // Not awaited: if this write is lost, a later tick writes a higher count.
    void this.write(encodeClusterTime(context.clusterClock.now(now)));
  }

  private wroteRecently(now: SteadyMs): boolean {
    return this.lastWriteAt !== null && now - this.lastWriteAt < WRITE_INTERVAL_MS;
  }

  private async write(value: unknown): Promise<void> {
    const { store, storeCache } = this.context;
    const version = storeCache.version(TIME_KEY);
    const result = await store.compareAndSwap(
      [{ key: TIME_KEY, version }],
      [{ op: 'put', key: TIME_KEY, value }],
      RequestPriority.transfer,
    );
    if (result.kind !== 'done') return;
    await this.context.exclusive(() => storeCache.apply(TIME_KEY, value, result.revision));
  }

  private isFirstLiveController(): boolean {
    const { settings, storeCache } = this.context;
    const first = settings.shards.find((shard) => storeCache.get(aliveKey(shard.node)) !== undefined);
    return first?.node === settings.node;
  }
}
