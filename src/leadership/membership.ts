/**
 * Keeps this controller's membership: a lease of the key-value store, and the membership key that is attached to it and
 * carries the process's incarnation. Peers take a controller's shards over once its key is gone. Relies on the store to
 * delete the key when the lease expires.
 */
import type { Settings, Tuning } from '../settings/settings.js';
import { aliveKey, encodeMembership } from '../shards/codec.js';
import type { KeyValueClient } from '../store/client.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Change } from '../store/wire.js';
import type { Clock, Incarnation, LeaseId, Millis, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';

/** What the membership uses of the controller. */
export interface MembershipContext {
  readonly clock: Clock;
  readonly settings: Pick<Settings, 'node'>;
  readonly tuning: Pick<Tuning, 'membershipTtl'>;
  readonly incarnation: Incarnation;
  readonly store: Pick<KeyValueClient, 'grantLease' | 'renewLease' | 'compareAndSwap'>;
  /** A whole number from 0 to below the limit. */
  random(limit: number): number;
  sleep(delay: Millis): Promise<void>;
}

/** Renewals within one time to live: a failed one can be repeated before the lease expires. */
const RENEWALS_PER_TTL = 3;
/** After a failure: the jitter keeps controllers from retrying in step when the store comes back. */
const RETRY_DELAY_MS = 300;
const RETRY_JITTER_MS = 200;

/** The membership lease and key of this process. */
export class Membership {
  private lease: LeaseId | null = null;
  private keyWritten = false;
  private heldSince: SteadyMs | null = null;
  /** null: the key has not been confirmed yet. */
  private keyValidUntil: SteadyMs | null = null;

  constructor(private readonly context: MembershipContext) {}

  /** Renews lease and key for as long as the process runs. */
  async run(): Promise<never> {
    const ttl = this.context.tuning.membershipTtl;
    for (;;) {
      // Counted from before the request: the store may have renewed the lease at any moment since.
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
   * Since when the lease has been held without a break, or null when the key may be gone by now.
   *
   * Prevents: after a partition the store cache is current a moment before this controller learns that its lease has
   * expired. A shard acquired then would be taken away at once by peers, to whom its leader's key is missing.
   */
  stableSince(now: SteadyMs): SteadyMs | null {
    return this.keyValidUntil !== null && now < this.keyValidUntil ? this.heldSince : null;
  }

  private retryDelayMs(): number {
    return RETRY_DELAY_MS + this.context.random(RETRY_JITTER_MS);
  }

  /** One attempt to grant or renew the lease and, on a new lease, to write the key; whether both stand. */
  private async renew(): Promise<boolean> {
    const { store, tuning } = this.context;
    if (this.lease === null) {
      const granted = await store.grantLease(tuning.membershipTtl);
      this.lease = granted.kind === 'granted' ? granted.lease : null;
      this.keyWritten = false;
      if (this.lease === null) return false;
    } else {
      const outcome = await store.renewLease(this.lease);
      if (outcome.kind === 'expired') {
        this.lease = null;
        this.heldSince = null;
        return false;
      }
      if (outcome.kind === 'failed') return false;
    }
    if (this.keyWritten) return true;
    const result = await store.compareAndSwap([], [this.keyChange(this.lease)], RequestPriority.leadership);
    this.keyWritten = result.kind === 'done';
    // Perhaps because the lease has expired meanwhile: the next attempt asks for a new one.
    if (result.kind === 'refused') this.lease = null;
    return this.keyWritten;
  }

  private keyChange(lease: LeaseId): Change {
    const { settings, incarnation } = this.context;
    return { op: 'put', key: aliveKey(settings.node), value: encodeMembership(incarnation), lease };
  }
}
