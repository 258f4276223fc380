/**
 * Maintains this controller's cluster membership: a lease in the key-value store and the membership key attached to
 * it, which carries the incarnation of the process. Peers take over a controller's shards once its key is gone, so this
 * controller judges its own membership by the same evidence: the key counts only while the watch cache shows the version
 * that this process has written. Relies on the store to delete the key when the lease expires.
 */
import type { Log } from '../logging/log.js';
import type { Settings, Tuning } from '../settings/settings.js';
import { aliveKey, decodeMembership, encodeMembership } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { CompareAndSwapResult, KeyValueClient } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Clock, Incarnation, LeaseId, Millis, Revision, SteadyMs, StoreKey } from '../model/units.js';
import { millis, NO_REVISION, plus } from '../model/units.js';

/** The part of the controller that membership uses. */
export interface MembershipContext {
  readonly clock: Clock;
  readonly log: Pick<Log, 'info'>;
  readonly settings: Pick<Settings, 'node'>;
  readonly tuning: Pick<Tuning, 'membershipTtl'>;
  readonly incarnation: Incarnation;
  readonly store: Pick<KeyValueClient, 'grantLease' | 'renewLease' | 'get' | 'compareAndSwap'>;
  readonly storeCache: Pick<StoreCache, 'get' | 'version' | 'revision'>;
  /** Returns a random integer from 0 (inclusive) to `limit` (exclusive). */
  random(limit: number): number;
  sleep(delay: Millis): Promise<void>;
}

/** Renewals per time to live: a failed renewal can be retried before the lease expires. */
const RENEWALS_PER_TTL = 3;
/** Delay after a failure. The jitter prevents controllers from retrying in lockstep when the store recovers. */
const RETRY_DELAY_MS = 300;
const RETRY_JITTER_MS = 200;

/** The membership lease and key of this process. */
export class Membership {
  private readonly key: StoreKey;
  private lease: LeaseId | null = null;
  /** Revision at which this process attached the key to the lease; null: no such write is known to be applied. */
  private writtenVersion: Revision | null = null;
  private heldSince: SteadyMs | null = null;
  /** Until when the lease certainly exists; null: it has not been confirmed yet. */
  private leaseValidUntil: SteadyMs | null = null;
  /** Ends the wait for the next renewal. */
  private onKeyLost: () => void = () => undefined;

  constructor(private readonly context: MembershipContext) {
    this.key = aliveKey(context.settings.node);
  }

  /** Maintains the lease and the key for as long as the process runs. */
  async run(): Promise<never> {
    for (;;) {
      // The validity counts from the moment of sending: the store may have renewed the lease at any time after it.
      const requestedAt = this.context.clock.now();
      if (await this.maintain()) {
        this.heldSince ??= requestedAt;
        this.leaseValidUntil = plus(requestedAt, this.context.tuning.membershipTtl);
        await this.waitUntilRenewal();
      } else await this.context.sleep(millis(RETRY_DELAY_MS + this.context.random(RETRY_JITTER_MS)));
    }
  }

  /**
   * Returns since when the lease and the key have been held without interruption, or null if the key may be gone by now.
   *
   * Prevents: after a partition the watch cache becomes current a moment before this controller learns that its lease
   * has expired. It acquires a shard, and peers, which do not see its membership key, take the shard over at once.
   *
   * Prevents: the key is gone although the lease is renewed. This controller acquires its home shard, a peer that does
   * not see the key takes it over, and both repeat this without end.
   */
  stableSince(now: SteadyMs): SteadyMs | null {
    const isLeaseValid = this.leaseValidUntil !== null && now < this.leaseValidUntil;
    return isLeaseValid && this.isKeyInPlace() ? this.heldSince : null;
  }

  /** Starts to write the key again if it is not in place any more; called several times a second. */
  checkKey(): void {
    if (this.writtenVersion !== null && !this.isKeyInPlace()) this.onKeyLost();
  }

  /** Waits until the lease has to be renewed, or until a check finds that the key is not in place any more. */
  private async waitUntilRenewal(): Promise<void> {
    const renewalIsDue = this.context.sleep(millis(this.context.tuning.membershipTtl / RENEWALS_PER_TTL));
    const keyIsLost = new Promise<void>((resolve) => (this.onKeyLost = resolve));
    await Promise.race([renewalIsDue, keyIsLost]);
  }

  /** Returns whether the key is the one that this process attached to its lease, as far as the watch cache knows. */
  private isKeyInPlace(): boolean {
    const { storeCache } = this.context;
    if (this.writtenVersion === null) return false;
    const cachedVersion = storeCache.version(this.key);
    const isCacheBehind = storeCache.revision < this.writtenVersion && cachedVersion < this.writtenVersion;
    return cachedVersion === this.writtenVersion || isCacheBehind;
  }

  /** Grants or renews the lease, and writes the key unless it is in place. Returns whether both are in place. */
  private async maintain(): Promise<boolean> {
    const lease = this.lease === null ? await this.grantLease() : await this.renewLease(this.lease);
    if (lease === null) return false;
    if (this.isKeyInPlace()) return true;
    if (this.writtenVersion !== null) this.recordLostKey();
    await this.writeKey(lease);
    return this.isKeyInPlace();
  }

  private async grantLease(): Promise<LeaseId | null> {
    const { store, tuning, log } = this.context;
    const granted = await store.grantLease(tuning.membershipTtl);
    if (granted.kind !== 'granted') return null;
    this.lease = granted.lease;
    log.info({ lease: granted.lease }, 'membership lease granted');
    return granted.lease;
  }

  /** Returns the lease if it was renewed. */
  private async renewLease(lease: LeaseId): Promise<LeaseId | null> {
    const outcome = await this.context.store.renewLease(lease);
    if (outcome.kind === 'expired') {
      this.context.log.info({ lease }, 'membership lease expired');
      this.abandonLease();
    }
    return outcome.kind === 'renewed' ? lease : null;
  }

  /** A new lease is needed. A key that is still attached to the present one is deleted when that expires. */
  private abandonLease(): void {
    this.lease = null;
    this.writtenVersion = null;
    this.heldSince = null;
  }

  /** Records that the key was replaced, by a write of another process, or deleted while the lease was renewed. */
  private recordLostKey(): void {
    const { log, storeCache } = this.context;
    const entry = storeCache.get(this.key);
    const incarnation = entry ? decodeMembership(entry.value) : null;
    log.info({ lease: this.lease, version: this.writtenVersion, incarnation }, 'membership key lost');
    this.writtenVersion = null;
    this.heldSince = null;
  }

  /** Attaches the key to the lease. */
  private async writeKey(lease: LeaseId): Promise<void> {
    const cachedVersion = this.context.storeCache.version(this.key);
    if ((await this.putKey(lease, cachedVersion)) !== 'conflict') return;
    // The watch cache is not loaded yet, or it is behind the store.
    const storedVersion = await this.readVersion();
    if (storedVersion !== null) await this.putKey(lease, storedVersion);
  }

  /** Returns the version of the key in the store, or null if the store did not answer. */
  private async readVersion(): Promise<Revision | null> {
    const read = await this.context.store.get(this.key, RequestPriority.leadership);
    if (read.kind === 'failed') return null;
    return read.kind === 'found' ? read.entry.version : NO_REVISION;
  }

  /**
   * Writes the key on condition that it has the given version.
   *
   * Prevents: the write of an earlier process of this controller is applied late. It replaces the key, and the key is
   * deleted together with the lease of that process.
   */
  private async putKey(lease: LeaseId, replacedVersion: Revision): Promise<CompareAndSwapResult['kind']> {
    const { store, incarnation, log } = this.context;
    const { key } = this;
    const result = await store.compareAndSwap(
      [{ key, version: replacedVersion }],
      [{ op: 'put', key, value: encodeMembership(incarnation), lease }],
      RequestPriority.leadership,
    );
    const version = result.kind === 'done' ? result.revision : null;
    log.info({ lease, result: result.kind, replacedVersion, version }, 'write membership key');
    // The lease may have expired in the meantime: the next attempt requests a new one.
    if (result.kind === 'refused') this.abandonLease();
    if (version !== null) this.writtenVersion = version;
    return result.kind;
  }
}
