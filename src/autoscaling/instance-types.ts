/** Which machine types there are: asked of the cloud, and kept in the state service for a start without it. */
import type { InstanceType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { decodeCatalog, encodeCatalog } from './codec.js';
import { CATALOG_KEY } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import { millis, steady, type InstanceTypeId } from '../model/units.js';

const REFRESH_INTERVAL_MS = 60_000;

export class InstanceTypeCatalog {
  private refreshedAt = steady(-1e12);

  constructor(
    private readonly core: Core,
    /** The map behind `core.types`, which this class alone writes. */
    private readonly types: Map<InstanceTypeId, InstanceType>,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      if (this.core.clock.now() - this.refreshedAt > REFRESH_INTERVAL_MS) await this.refresh();
      await this.core.sleep(millis(this.core.types.size === 0 ? 500 : 5000));
    }
  }

  private async refresh(): Promise<void> {
    const { core } = this;
    if (core.types.size === 0) this.loadStoredTypes();
    const types = await core.cloud.listInstanceTypes();
    if (!types || types.length === 0) return;
    this.refreshedAt = core.clock.now();
    this.applyTypes(types);
    await this.storeTypes(types);
  }

  /** The catalog is kept in the state service too, so that a restart while the cloud is away can decide. */
  private loadStoredTypes(): void {
    const entry = this.core.storeCache.get(CATALOG_KEY);
    const types = entry ? decodeCatalog(entry.value) : null;
    if (types) this.applyTypes(types);
  }

  private applyTypes(types: readonly InstanceType[]): void {
    for (const type of types) this.types.set(type.name, type);
    for (const shard of this.core.shards.values()) shard.refreshFreeCapacity();
    this.core.requestCycle();
  }

  private async storeTypes(types: readonly InstanceType[]): Promise<void> {
    const { core } = this;
    const stored = core.storeCache.get(CATALOG_KEY);
    const names = (list: readonly InstanceType[] | null): string =>
      JSON.stringify(list?.map((t) => [t.name, t.cpus, t.gpus, t.memoryGb, t.zones]));
    if (!core.storeCache.loaded || (stored && names(decodeCatalog(stored.value)) === names(types))) return;
    const value = encodeCatalog(types);
    if (Buffer.byteLength(JSON.stringify(value)) > core.settings.maxValueBytes) return;
    const version = core.storeCache.version(CATALOG_KEY);
    await core.store.compareAndSwap(
      [{ key: CATALOG_KEY, version }],
      [{ op: 'put', key: CATALOG_KEY, value }],
      RequestPriority.progress,
    );
  }
}
