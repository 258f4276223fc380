/** A scripted store for tests of the membership: it grants leases and holds the membership key. */
import assert from 'node:assert/strict';
import { aliveKey, encodeMembership } from '../../src/shards/codec.js';
import { StoreCache } from '../../src/store/cache.js';
import type { CompareAndSwapResult } from '../../src/store/client.js';
import type { LeaseGrantResult, LeaseRenewalResult, ReadResult } from '../../src/store/outcomes.js';
import type { Change, Condition, Entry } from '../../src/store/wire.js';
import {
  revision,
  type ControllerId,
  type Incarnation,
  type LeaseId,
  type Revision,
} from '../../src/model/units.js';
import type { SimulatedClock } from './simulated-clock.js';

/** The membership key that the store holds. */
export const KEY = aliveKey('n0' as ControllerId);
/** The key's value as an earlier process of the same controller has written it. */
export const PREDECESSOR = encodeMembership('n0-0' as Incarnation);

/** A store that grants numbered leases and holds one key; every request takes 10 ms. */
export class MembershipStore {
  readonly requests: string[] = [];
  readonly writes: Change[] = [];
  /** The watch cache of the controller; only `change` updates it. */
  readonly watchCache = new StoreCache(() => undefined);
  grants = true;
  reads = true;
  renewal: LeaseRenewalResult['kind'] = 'renewed';
  /** Result of each write; null: the store checks the condition. */
  write: CompareAndSwapResult | null = null;
  private lastLease = 0;
  private lastRevision = 0;
  private entry: Entry | null = null;

  constructor(private readonly clock: SimulatedClock) {}

  /** Another process writes the key, or the store deletes it (undefined); the watch cache shows it. */
  change(value: unknown): void {
    this.commit(value);
    const { lastRevision } = this;
    const event = { key: KEY, value, version: revision(lastRevision) };
    this.watchCache.applyEvents([event], event.version, this.clock.now());
  }

  /** The lease expires, and the store deletes the key that is attached to it. */
  expireLease(): void {
    this.renewal = 'expired';
    this.change(undefined);
  }

  /** Changes the key without the watch cache. */
  commit(value: unknown): Revision {
    this.lastRevision += 1;
    const version = revision(this.lastRevision);
    this.entry = value === undefined ? null : { key: KEY, value, version };
    return version;
  }

  async grantLease(): Promise<LeaseGrantResult> {
    this.requests.push('grant');
    await this.clock.sleep(10);
    if (!this.grants) return { kind: 'failed' };
    this.lastLease += 1;
    return { kind: 'granted', lease: this.lastLease as LeaseId };
  }

  async renewLease(lease: LeaseId): Promise<LeaseRenewalResult> {
    this.requests.push(`renew ${lease}`);
    await this.clock.sleep(10);
    return { kind: this.renewal };
  }

  async get(): Promise<ReadResult> {
    this.requests.push('read');
    await this.clock.sleep(10);
    if (!this.reads) return { kind: 'failed' };
    return this.entry ? { kind: 'found', entry: this.entry } : { kind: 'absent' };
  }

  async compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Change[],
  ): Promise<CompareAndSwapResult> {
    this.requests.push('write');
    this.writes.push(...changes);
    await this.clock.sleep(10);
    return this.write ?? this.compareAndCommit(conditions, changes);
  }

  private compareAndCommit(
    conditions: readonly Condition[],
    changes: readonly Change[],
  ): CompareAndSwapResult {
    const [condition] = conditions;
    const [change] = changes;
    assert.ok(
      condition?.key === KEY && change?.op === 'put',
      'one put of the key, on condition of its version',
    );
    if (condition.version !== (this.entry?.version ?? 0)) return { kind: 'conflict', failed: [KEY] };
    return { kind: 'done', revision: this.commit(change.value) };
  }
}
