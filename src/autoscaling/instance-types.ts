/** Keeps the catalog of instance types: reads it from the cloud, and stores it for starts while the cloud is down. */
import type { InstanceType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { decodeCatalog, encodeCatalog } from './codec.js';
import { CATALOG_KEY } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import { millis, type InstanceTypeId, type SteadyMs } from '../model/units.js';

const REFRESH_INTERVAL_MS = 60_000;
/** Interval between checks whether a refresh is due. */
const CHECK_INTERVAL = millis(5000);
/** Interval between these checks while the catalog is empty. */
const FIRST_CHECK_INTERVAL = millis(500);

/** Reads the catalog periodically and fills `Core.types`. */
export class InstanceTypeCatalog {
  private refreshedAt: SteadyMs | null = null;

  constructor(
    private readonly core: Core,
    /** The map behind `core.types`; no other class writes to it. */
    private readonly types: Map<InstanceTypeId, InstanceType>,
  ) {}

  /** Runs for the lifetime of the process. */
  async run(): Promise<never> {
    for (;;) {
      if (this.isRefreshDue()) await this.refresh();
      await this.core.sleep(this.core.types.size === 0 ? FIRST_CHECK_INTERVAL : CHECK_INTERVAL);
    }
  }

  private isRefreshDue(): boolean {
    return this.refreshedAt === null || this.core.clock.now() - this.refreshedAt > REFRESH_INTERVAL_MS;
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

  /** After a restart while the cloud is down, nothing can be scheduled without the stored catalog. */
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

  /** Stores the catalog if it differs from the stored one and fits into a value. */
  private async storeTypes(types: readonly InstanceType[]): Promise<void> {
    const { core } = this;
    const stored = core.storeCache.get(CATALOG_KEY);
    if (
      !core.storeCache.loaded ||
      (stored && fingerprint(decodeCatalog(stored.value)) === fingerprint(types))
    )
      return;
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

/** The fields of the catalog whose change causes it to be stored again, as a string. */
const fingerprint = (types: readonly InstanceType[] | null): string =>
  JSON.stringify(types?.map(({ name, cpus, gpus, memoryGb, zones }) => [name, cpus, gpus, memoryGb, zones]));
