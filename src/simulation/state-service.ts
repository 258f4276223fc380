/** The state service as its clients see it: limits, watches, leases over time, outages and lost or late answers. */
import type { Call } from '../http/client.js';
import type { EventQueue, Host } from './clock.js';
import type { Defects } from './defects.js';
import type { Response } from './network.js';
import type { RandomStream } from './random.js';
import { StateStore, type StoredChange, type TransactionBody } from './state-store.js';

export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

/** What happens to a transaction besides being carried out. */
export type TransactionFate =
  | { readonly kind: 'normal' }
  | { readonly kind: 'answer-lost' }
  /** No answer, and carried out later. */
  | { readonly kind: 'late'; readonly delayMs: number };

export type Reply = (response: Response) => void;

const LONGEST_TRANSACTION = 64 * 1024;
const LATE_LEASE_MS = 100;
const MOST_LISTED = 1000;
/** Now and then a response takes a few hundred milliseconds. */
const SLOW_SHARE = 0.003;

/** A token bucket that allows bursts of one second's worth. */
export class RateLimit {
  private level: number;
  private at = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly rate: number,
    private readonly burstS = 1,
  ) {
    this.level = rate * burstS;
  }

  take(count: number): boolean {
    const { now } = this.queue;
    this.level = Math.min(this.rate * this.burstS, this.level + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.level < count) return false;
    this.level -= count;
    return true;
  }
}

interface Lease {
  readonly ttlMs: number;
  readonly owner: string;
  endsAt: number;
}

export class StateService {
  readonly store: StateStore;
  /** Nobody is served. */
  outage = false;
  /** Controllers that alone are refused. */
  readonly refused = new Set<string>();
  /** Added to every response. */
  slowMs = 0;
  fate: () => TransactionFate = () => ({ kind: 'normal' });
  onCommit: (body: TransactionBody, from: string) => void = () => undefined;
  /** How often something was refused for a limit. */
  tooMany = 0;
  private readonly leases = new Map<number, Lease>();
  private readonly watches = new Set<() => void>();
  private readonly requests: RateLimit;
  private readonly changes: RateLimit;

  constructor(
    private readonly queue: EventQueue,
    private readonly limits: StateLimits,
    private readonly random: RandomStream,
    private readonly defects: Defects,
  ) {
    this.store = new StateStore(!defects.has('state-ignores-conditions'));
    this.requests = new RateLimit(queue, limits.rps);
    this.changes = new RateLimit(queue, limits.writeRps);
  }

  serve(from: Host, call: Call, reply: Reply): void {
    const slow = this.random.chance(SLOW_SHARE) ? this.random.between(100, 400) : 0;
    this.queue.after(this.random.between(0.5, 4) + slow + this.slowMs, () => this.handle(from, call, reply));
  }

  private handle(from: Host, call: Call, reply: Reply): void {
    if (!this.requests.take(1)) return this.refuse(reply);
    const url = new URL(call.path, 'http://state');
    if (this.silentFor(from.name)) return reply({ status: 503, body: { error: 'trouble' } });
    if (url.pathname === '/follow') return this.follow(from.name, url, reply);
    if (url.pathname === '/txn') return this.transaction(from.name, call.body as TransactionBody, reply);
    if (url.pathname.startsWith('/leases')) return reply(this.lease(from.name, call, url.pathname));
    reply(url.pathname === '/kv' ? this.list(url) : this.read(url.pathname.slice('/kv/'.length)));
  }

  private refuse(reply: Reply): void {
    this.tooMany += 1;
    reply({ status: 429, body: { error: 'too many requests' } });
  }

  private silentFor(node: string): boolean {
    return this.outage || this.refused.has(node);
  }

  private read(path: string): Response {
    const key = decodeURIComponent(path);
    const row = this.store.rows.get(key);
    if (!row) return { status: 404, body: { ledger: this.store.ledger } };
    return { status: 200, body: { path: key, ...row } };
  }

  private list(url: URL): Response {
    const most = Math.min(MOST_LISTED, Number(url.searchParams.get('most') ?? MOST_LISTED));
    const { keys, more } = this.store.list(
      url.searchParams.get('under') ?? '',
      url.searchParams.get('from') ?? '',
      most,
    );
    const entries = keys.map((path) => ({ path, ...this.store.rows.get(path) }));
    return { status: 200, body: { entries, hasNext: more, ledger: this.store.ledger } };
  }

  private transaction(from: string, body: TransactionBody, reply: Reply): void {
    const malformed = this.malformed(body);
    if (malformed) return reply({ status: 400, body: { error: malformed } });
    const ops = body.apply?.length ?? 0;
    if (ops > 0 && !this.changes.take(ops)) return this.refuse(reply);
    const fate = ops === 0 ? { kind: 'normal' as const } : this.fate();
    if (fate.kind === 'late') {
      this.queue.after(fate.delayMs, () => {
        if (!this.outage) this.apply(from, body);
      });
      return;
    }
    const response = this.apply(from, body);
    if (fate.kind === 'normal') reply(response);
  }

  private malformed(body: TransactionBody): string | null {
    const ops = body.apply ?? [];
    if (ops.length > this.limits.txnOps) return 'too many changes';
    if ((body.when?.length ?? 0) > 4 * this.limits.txnOps) return 'too many conditions';
    if (JSON.stringify(body).length > LONGEST_TRANSACTION) return 'transaction too large';
    const tooLarge = ops.some((a) => JSON.stringify(a.data ?? null).length > this.limits.valueKb * 1024);
    return tooLarge ? 'value too large' : null;
  }

  private apply(from: string, body: TransactionBody): Response {
    const copy = JSON.parse(JSON.stringify(body)) as TransactionBody;
    const result = this.store.transact(copy);
    if (result.kind === 'no-lease') return { status: 400, body: { error: 'no such lease' } };
    if (result.kind === 'conflict')
      return { status: 409, body: { failed: result.failed, ledger: result.ledger } };
    this.notify();
    if ((body.apply?.length ?? 0) > 0) this.onCommit(body, from);
    return { status: 200, body: { ledger: result.ledger } };
  }

  private lease(from: string, call: Call, path: string): Response {
    const id = Number(/^\/leases\/(\d+)/.exec(path)?.[1] ?? 0);
    if (path === '/leases') {
      const granted = this.store.grantLease();
      const { ttlMs } = call.body as { ttlMs: number };
      this.leases.set(granted, { ttlMs, owner: from, endsAt: this.queue.now + ttlMs });
      this.watchLease(granted);
      return { status: 200, body: { mooring: granted } };
    }
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (call.method === 'DELETE') this.endLease(id);
    else lease.endsAt = this.queue.now + lease.ttlMs;
    return { status: 200, body: { mooring: id } };
  }

  /** A lease may end a little late, never early; in an outage none ends. */
  private watchLease(id: number): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    const wait = lease.endsAt - this.queue.now;
    if (wait <= 0 && !this.outage) return this.endLease(id);
    this.queue.after(Math.max(wait, 1) + this.random.between(0, LATE_LEASE_MS), () => this.watchLease(id));
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    this.store.endLease(id);
    this.notify();
  }

  endOutage(): void {
    this.outage = false;
    for (const lease of this.leases.values()) lease.endsAt = this.queue.now + lease.ttlMs;
    this.notify();
  }

  endRefusal(node: string): void {
    this.refused.delete(node);
    this.notify();
  }

  private notify(): void {
    for (const watch of [...this.watches]) watch();
  }

  private shown(news: readonly StoredChange[]): readonly StoredChange[] {
    if (!this.defects.has('state-watch-loses-deletions')) return news;
    return news.filter((c) => c.drop === undefined);
  }

  private follow(node: string, url: URL, reply: Reply): void {
    const prefix = url.searchParams.get('under') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    let over = false;
    const look = (): void => {
      // A watch that is open in an outage stays open.
      if (this.silentFor(node)) return;
      const news = this.store.changesAfter(prefix, from);
      if (news !== null && news.length === 0 && !over) return;
      this.watches.delete(look);
      if (news === null) reply({ status: 410, body: { error: 'too old' } });
      else reply({ status: 200, body: { ledger: this.store.ledger, news: this.shown(news) } });
    };
    this.watches.add(look);
    look();
    this.queue.after(Number(url.searchParams.get('blockMs') ?? 0), () => {
      over = true;
      if (this.watches.has(look)) look();
    });
  }
}
