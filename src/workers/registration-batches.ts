/**
 * Writes machine registrations to the store, several per transaction, on the condition that none of the machines is
 * registered yet. Registrations by other controllers are taken from the watch cache.
 */
import type { Log } from '../logging/log.js';
import type { Settings } from '../settings/settings.js';
import { encodeMachineRecord, machineKey, type MachineRecord } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { KeyValueClient } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, Millis, Revision, ShardId } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';

/** Registrations that are added within this time share a transaction. */
const BATCH_DELAY_MS = millis(30);
/** Maximum share of one second's write quota that a transaction may use, so that other writes are not starved. */
const MAX_BATCH_FRACTION = 0.8;

/** The parts of the controller that the batches use. */
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

/** Queues registrations and writes them in batches, in the order of arrival. */
export class RegistrationBatches {
  private pending: PendingRegistration[] = [];
  private flushing = false;

  constructor(private readonly controller: RegistrationBatchesDependencies) {}

  /** Resolves to the machine's shard once it is registered, or to null if this attempt did not register it. */
  add(id: MachineId, record: MachineRecord): Promise<ShardId | null> {
    return new Promise((resolve) => {
      this.pending.push({ id, record, resolve });
      // Not awaited: the flush runs until nothing is pending and resolves each registration.
      if (!this.flushing) void this.flush();
    });
  }

  private async flush(): Promise<void> {
    this.flushing = true;
    while (this.pending.length > 0) {
      await this.controller.sleep(BATCH_DELAY_MS);
      await this.commit(this.pending.splice(0, this.batchSize));
    }
    this.flushing = false;
  }

  private get batchSize(): number {
    const { settings, store } = this.controller;
    const byWriteRate = Math.floor(store.writeRate * MAX_BATCH_FRACTION);
    return Math.max(1, Math.min(settings.maxTransactionOps, byWriteRate));
  }

  /** Registers the unregistered machines. On a conflict, retries without those that a peer registered first. */
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
      // Terminates because each retry has fewer registrations than the previous attempt.
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

  /** Applies the records before the watch delivers them, so that waiting heartbeats can be answered at once. */
  private applyToCache(registrations: readonly PendingRegistration[], revision: Revision): Promise<void> {
    this.controller.log.info({ machines: registrations.map(({ id }) => id) }, 'machines registered');
    return this.controller.exclusive(() => {
      for (const { id, record } of registrations)
        this.controller.storeCache.apply(machineKey(id), encodeMachineRecord(record), revision);
    });
  }
}
