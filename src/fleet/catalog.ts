/** Which machine types there are: asked of the cloud, and kept in the state service for a start without it. */
import type { MachineType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { decodeCatalog, encodeCatalog } from '../autoscaling/codec.js';
import { CATALOG_KEY } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import { millis, steady } from '../model/units.js';

const REFRESH = 60_000;

export class InstanceTypeCatalog {
  private readAt = steady(-1e12);

  constructor(private readonly core: Core) {}

  async run(): Promise<never> {
    for (;;) {
      if (this.core.clock.now() - this.readAt > REFRESH) await this.refresh();
      await this.core.sleep(millis(this.core.types.size === 0 ? 500 : 5000));
    }
  }

  private async refresh(): Promise<void> {
    const { core } = this;
    if (core.types.size === 0) this.useStored();
    const types = await core.cloud.catalog();
    if (!types || types.length === 0) return;
    this.readAt = core.clock.now();
    this.use(types);
    await this.store(types);
  }

  /** The catalog is kept in the state service too, so that a restart while the cloud is away can decide. */
  private useStored(): void {
    const entry = this.core.storeCache.get(CATALOG_KEY);
    const types = entry ? decodeCatalog(entry.value) : null;
    if (types) this.use(types);
  }

  private use(types: readonly MachineType[]): void {
    for (const t of types) this.core.types.set(t.name, t);
    for (const shard of this.core.shards.values()) shard.refreshFreeCapacity();
    this.core.requestCycle();
  }

  private async store(types: readonly MachineType[]): Promise<void> {
    const { core } = this;
    const stored = core.storeCache.get(CATALOG_KEY);
    const names = (list: readonly MachineType[] | null): string =>
      JSON.stringify(list?.map((t) => [t.name, t.cpus, t.gpus, t.memoryGb, t.zones]));
    if (!core.storeCache.loaded || (stored && names(decodeCatalog(stored.value)) === names(types))) return;
    const value = encodeCatalog(types);
    if (Buffer.byteLength(JSON.stringify(value)) > core.settings.valueBytes) return;
    const version = core.storeCache.version(CATALOG_KEY);
    await core.store.compareAndSwap(
      [{ key: CATALOG_KEY, version }],
      [{ op: 'put', key: CATALOG_KEY, value }],
      RequestPriority.progress,
    );
  }
}
