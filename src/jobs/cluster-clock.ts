/**
 * How long ago a job was accepted, also for a controller that has only just started. Steady clocks are not compared
 * between processes, so the controllers count time together: one of them writes the count to the store every few seconds,
 * and each goes on from there by its own clock. While no controller runs, nothing is counted.
 */
import { aliveKey, TIME_KEY } from '../shards/codec.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Clock, Millis, ClusterMs, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import type { LeadershipView, StoreAccess } from './dependencies.js';

/** Between two writes of the count, in milliseconds. */
const WRITE_INTERVAL_MS = 5000;

/** The count of milliseconds as this controller knows it, continued by its own clock. */
export class ClusterClock {
  /** The count at a time of this process's clock; null: nothing is known yet. */
  private latest: { readonly count: number; readonly at: SteadyMs } | null = null;

  /** The count has reached this: read from the store, or from a job that was accepted then. It never goes back. */
  reached(count: number, now: SteadyMs): void {
    if (!Number.isFinite(count) || (this.latest && this.now(now) >= count)) return;
    this.latest = { count, at: now };
  }

  /** The count at a time of this process's clock. */
  now(now: SteadyMs): ClusterMs {
    this.latest ??= { count: 0, at: now };
    return Math.max(0, Math.round(this.latest.count + now - this.latest.at)) as ClusterMs;
  }

  /** How long ago a job was accepted; 0 for records of earlier versions, which do not say when they came. */
  age(acceptedAt: ClusterMs | null, now: SteadyMs): Millis {
    return acceptedAt === null ? millis(0) : millis(Math.max(0, this.now(now) - acceptedAt));
  }
}

/** The value of `TIME_KEY`, in the store's form. */
export const encodeTime = (count: ClusterMs): unknown => ({ ms: count });

/** The count in the value of `TIME_KEY`, in milliseconds; NaN when it cannot be read. */
export const decodeClusterTime = (value: unknown): number =>
  Number((value as { ms?: unknown } | null | undefined)?.ms ?? NaN);

/** What the writer of the count uses of the controller. */
export interface ClusterClockWriterContext extends StoreAccess, LeadershipView {
  readonly clock: Clock;
  readonly clusterClock: Pick<ClusterClock, 'now'>;
  readonly settings: Pick<Settings, 'node' | 'shards'>;
}

/** Writes the count: the first of the controllers that are alive does, on condition that nobody else has. */
export class ClusterClockWriter {
  /** null: this process has not written yet. */
  private lastWriteAt: SteadyMs | null = null;

  constructor(private readonly context: ClusterClockWriterContext) {}

  /** Called every few hundred milliseconds. */
  tick(): void {
    const { context } = this;
    const now = context.clock.now();
    if (!context.mayCommand(now) || !context.storeHealthy()) return;
    if (this.hasJustWritten(now) || !this.isFirstAliveController()) return;
    this.lastWriteAt = now;
    // Nobody waits for the write: a later tick writes a higher count if this one is lost.
    void this.write(encodeTime(context.clusterClock.now(now)));
  }

  private hasJustWritten(now: SteadyMs): boolean {
    return this.lastWriteAt !== null && now - this.lastWriteAt < WRITE_INTERVAL_MS;
  }

  private async write(value: unknown): Promise<void> {
    const { store, storeCache } = this.context;
    const version = storeCache.version(TIME_KEY);
    const result = await store.compareAndSwap(
      [{ key: TIME_KEY, version }],
      [{ op: 'put', key: TIME_KEY, value }],
      RequestPriority.handOver,
    );
    if (result.kind !== 'done') return;
    await this.context.exclusive(() => storeCache.apply(TIME_KEY, value, result.revision));
  }

  private isFirstAliveController(): boolean {
    const { settings, storeCache } = this.context;
    const first = settings.shards.find((shard) => storeCache.get(aliveKey(shard.node)) !== undefined);
    return first?.node === settings.node;
  }
}
