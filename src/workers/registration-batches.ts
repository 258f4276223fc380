/**
 * Writes registrations of machines to the store, many in one transaction, on the condition that none of them is
 * registered yet. Relies on the watch cache for what other controllers have registered.
 */
import type { Log } from '../logging/log.js';
import type { Settings } from '../settings/settings.js';
import { encodeMachineRecord, machineKey, type MachineRecord } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { KeyValueClient } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, Millis, Revision, ShardId } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';

/** Machines whose heartbeats come within this time share a transaction. */
const BATCH_DELAY = millis(30);
/** Of the changes in a second: one transaction must not use up what all else needs. */
const MAX_BATCH_FRACTION = 0.8;

/** What the batches use of the controller. */
export interface RegistrationBatchesDependencies {
  readonly log: Log;
  readonly settings: Pick<Settings, 'maxTransactionOps'>;
  readonly store: Pick<KeyValueClient, 'compareAndSwap' | 'writeRate'>;
  readonly storeCache: Pick<StoreCache, 'version' | 'apply'>;
  exclusive<T>(work: () => T): Promise<T>;
  sleep(delay: Millis): Promise<void>;
}

interface PendingRegistration {
  readonly id: MachineId;
  readonly record: MachineRecord;
  readonly resolve: (shard: ShardId | null) => void;
}

/** Registrations that wait for their transaction, in the order in which they came. */
export class RegistrationBatches {
  private pending: PendingRegistration[] = [];
  private flushing = false;

  constructor(private readonly controller: RegistrationBatchesDependencies) {}

  /** Resolves to the machine's shard once it is registered, or to null when this attempt did not register it. */
  add(id: MachineId, record: MachineRecord): Promise<ShardId | null> {
    return new Promise((resolve) => {
      this.pending.push({ id, record, resolve });
      // Not awaited: the flush ends when nothing is pending, and resolves each registration by itself.
      if (!this.flushing) void this.flush();
    });
  }

  private async flush(): Promise<void> {
    this.flushing = true;
    while (this.pending.length > 0) {
      await this.controller.sleep(BATCH_DELAY);
      await this.commit(this.pending.splice(0, this.batchSize));
    }
    this.flushing = false;
  }

  private get batchSize(): number {
    const { settings, store } = this.controller;
    const byWriteRate = Math.floor(store.writeRate * MAX_BATCH_FRACTION);
    return Math.max(1, Math.min(settings.maxTransactionOps, byWriteRate));
  }

  /** Registers what is not registered yet; a peer may be faster with some, which are left out and tried without. */
  private async commit(batch: readonly PendingRegistration[]): Promise<void> {
    const unregistered = batch.filter(({ id }) => this.isUnregistered(id));
    for (const registration of batch)
      if (!unregistered.includes(registration)) registration.resolve(registration.record.shard);
    if (unregistered.length === 0) return;
    const result = await this.write(unregistered);
    if (result.kind === 'conflict') {
      const failed = new Set(result.failed);
      const remaining = unregistered.filter(({ id }) => !failed.has(machineKey(id)));
      for (const registration of unregistered)
        if (!remaining.includes(registration)) registration.resolve(null);
      // Ends, since each try is smaller than the one before.
      if (remaining.length < unregistered.length) return this.commit(remaining);
    }
    if (result.kind === 'done') await this.applyToCache(unregistered, result.revision);
    for (const { record, resolve } of unregistered) resolve(result.kind === 'done' ? record.shard : null);
  }

  private isUnregistered(id: MachineId): boolean {
    return this.controller.storeCache.version(machineKey(id)) === NO_REVISION;
  }

  private write(registrations: readonly PendingRegistration[]): ReturnType<KeyValueClient['compareAndSwap']> {
    return this.controller.store.compareAndSwap(
      registrations.map(({ id }) => ({ key: machineKey(id), version: NO_REVISION })),
      registrations.map(
        ({ id, record }) => ({ op: 'put', key: machineKey(id), value: encodeMachineRecord(record) }) as const,
      ),
      RequestPriority.finalState,
    );
  }

  /** Before the watch shows it, so that the heartbeat that waits can be answered at once. */
  private applyToCache(registrations: readonly PendingRegistration[], revision: Revision): Promise<void> {
    this.controller.log.info({ machines: registrations.map(({ id }) => id) }, 'machines registered');
    return this.controller.exclusive(() => {
      for (const { id, record } of registrations)
        this.controller.storeCache.apply(machineKey(id), encodeMachineRecord(record), revision);
    });
  }
}
