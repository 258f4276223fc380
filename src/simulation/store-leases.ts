/** Leases of the simulated state service: grants, renewals, and their expiry with the keys attached to them. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { EventQueue } from './clock.js';
import type { KeyValueTable } from './key-value-table.js';
import type { Response } from './network.js';
import type { RandomStream } from './random.js';

const MAX_LEASE_EXPIRY_DELAY_MS = 100;

/** Path of all requests for leases. */
export const LEASES_PATH = '/leases';

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
}

/** What the leases depend on. */
export interface StoreLeasesContext {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly table: KeyValueTable;
  readonly isOutage: () => boolean;
  /** Called when an expired lease may have deleted keys. */
  readonly onExpired: () => void;
}

/** Serves the requests for leases, and ends the leases that are not renewed. */
export class StoreLeases {
  private readonly leases = new Map<number, Lease>();

  constructor(private readonly context: StoreLeasesContext) {}

  serve(call: Call, path: string): Response {
    if (path === LEASES_PATH) return this.grant((call.body as { ttlMs: number }).ttlMs);
    const id = Number(/^\/leases\/(\d+)/.exec(path)?.[1] ?? 0);
    const lease = this.leases.get(id);
    if (!lease) return { status: HTTP_STATUS.notFound, body: {} };
    if (call.method === 'DELETE') this.end(id);
    else this.restart(lease);
    return { status: HTTP_STATUS.ok, body: { mooring: id } };
  }

  /** After an outage every lease has its full time again. */
  restartAll(): void {
    for (const lease of this.leases.values()) this.restart(lease);
  }

  private grant(ttlMs: number): Response {
    const { queue, table } = this.context;
    const id = table.grantLease();
    this.leases.set(id, { ttlMs, endsAt: queue.now + ttlMs });
    this.scheduleExpiry(id);
    return { status: HTTP_STATUS.ok, body: { mooring: id } };
  }

  private restart(lease: Lease): void {
    lease.endsAt = this.context.queue.now + lease.ttlMs;
  }

  /** Leases may expire slightly late, never early, and not during an outage. */
  private scheduleExpiry(id: number): void {
    const { queue, random, isOutage } = this.context;
    const lease = this.leases.get(id);
    if (!lease) return;
    const remainingMs = lease.endsAt - queue.now;
    if (remainingMs <= 0 && !isOutage()) {
      this.end(id);
      return;
    }
    const delayMs = Math.max(remainingMs, 1) + random.between(0, MAX_LEASE_EXPIRY_DELAY_MS);
    queue.after(delayMs, () => this.scheduleExpiry(id));
  }

  private end(id: number): void {
    this.leases.delete(id);
    this.context.table.endLease(id);
    this.context.onExpired();
  }
}
