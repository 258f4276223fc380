/**
 * Maintains this controller's cluster membership: a lease in the key-value store and the membership key attached to
 * it, which carries the incarnation of the process. Peers take over a controller's shards once its key is gone.
 * Relies on the store to delete the key when the lease expires.
 */
import type { Log } from '../logging/log.js';
import type { Settings, Tuning } from '../settings/settings.js';
import { aliveKey, encodeMembership } from '../shards/codec.js';
import type { KeyValueClient } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change } from '../store/wire.js';
import type { Clock, Incarnation, LeaseId, Millis, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';

/** The part of the controller that membership uses. */
export interface MembershipContext {
  readonly clock: Clock;
  readonly log: Pick<Log, 'info'>;
  readonly settings: Pick<Settings, 'node'>;
  readonly tuning: Pick<Tuning, 'membershipTtl'>;
  readonly incarnation: Incarnation;
  readonly store: Pick<KeyValueClient, 'grantLease' | 'renewLease' | 'compareAndSwap'>;
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
  private lease: LeaseId | null = null;
  private keyWritten = false;
  private heldSince: SteadyMs | null = null;
  /** Until when the key certainly exists; null: it has not been confirmed yet. */
  private keyValidUntil: SteadyMs | null = null;

  constructor(private readonly context: MembershipContext) {}

  /** Maintains the lease and the key for as long as the process runs. */
  async run(): Promise<never> {
    const ttl = this.context.tuning.membershipTtl;
    for (;;) {
      // The validity counts from the moment of sending: the store may have renewed the lease at any time after it.
      const requestedAt = this.context.clock.now();
      const renewed = await this.renew();
      if (renewed) {
        this.heldSince ??= requestedAt;
        this.keyValidUntil = plus(requestedAt, ttl);
      } else if (!this.lease) this.heldSince = null;
      await this.context.sleep(millis(renewed ? ttl / RENEWALS_PER_TTL : this.retryDelayMs()));
    }
  }

  /**
   * Returns since when the lease has been held without interruption, or null if the key may be gone by now.
   *
   * Prevents: after a partition the watch cache becomes current a moment before this controller learns that its lease
   * has expired. It acquires a shard, and peers, which do not see its membership key, take the shard over at once.
   */
  stableSince(now: SteadyMs): SteadyMs | null {
    return this.keyValidUntil !== null && now < this.keyValidUntil ? this.heldSince : null;
  }

  private retryDelayMs(): number {
    return RETRY_DELAY_MS + this.context.random(RETRY_JITTER_MS);
  }

  /** Grants or renews the lease, and writes the key unless it is attached to it. Returns whether both are in place. */
  private async renew(): Promise<boolean> {
    const { store, tuning, log } = this.context;
    if (this.lease === null) {
      const granted = await store.grantLease(tuning.membershipTtl);
      this.lease = granted.kind === 'granted' ? granted.lease : null;
      this.keyWritten = false;
      if (this.lease === null) return false;
      log.info({ lease: this.lease }, 'membership lease granted');
    } else {
      const outcome = await store.renewLease(this.lease);
      if (outcome.kind === 'expired') {
        log.info({ lease: this.lease }, 'membership lease expired');
        this.lease = null;
        this.heldSince = null;
        return false;
      }
      if (outcome.kind === 'failed') return false;
    }
    if (this.keyWritten) return true;
    const result = await store.compareAndSwap([], [this.keyChange(this.lease)], RequestPriority.leadership);
    const version = result.kind === 'done' ? result.revision : null;
    log.info({ lease: this.lease, result: result.kind, version }, 'write membership key');
    this.keyWritten = result.kind === 'done';
    // The lease may have expired in the meantime: the next attempt requests a new one.
    if (result.kind === 'refused') this.lease = null;
    return this.keyWritten;
  }

  private keyChange(lease: LeaseId): Change {
    const { settings, incarnation } = this.context;
    return { op: 'put', key: aliveKey(settings.node), value: encodeMembership(incarnation), lease };
  }
}
