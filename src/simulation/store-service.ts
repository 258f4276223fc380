/** Simulated state service: limits, watches, lease expiry, outages, and lost or late answers. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { EventQueue, Host } from './clock.js';
import type { Defects } from './defects.js';
import type { Response } from './network.js';
import type { RandomStream } from './random.js';
import { KeyValueTable, type StoredChange, type TransactionBody } from './key-value-table.js';
import { LEASES_PATH, StoreLeases } from './store-leases.js';
import { TokenBucket } from './token-bucket.js';

/** Limits: requests and changes per second, kilobytes per value, changes per transaction. */
export interface StoreServiceLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

/** Fault injected into a transaction. */
export type TransactionFault =
  | { readonly kind: 'normal' }
  | { readonly kind: 'answer-lost' }
  /** The transaction is applied later and gets no answer. */
  | { readonly kind: 'late'; readonly delayMs: number }
  /** The transaction is applied and answered, and applied once more later if its conditions hold then. */
  | { readonly kind: 'repeated'; readonly delayMs: number };

/** Sends the answer to a request; if it is never called, the caller gets no answer. */
export type Reply = (response: Response) => void;

const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_LISTED_KEYS = 1000;
/** Share of responses that are slow, and their additional delay. */
const SLOW_RESPONSE_SHARE = 0.003;
const SLOW_RESPONSE_MS = { low: 100, high: 400 };
const RESPONSE_DELAY_MS = { low: 0.5, high: 4 };
/** Maximum number of conditions of a transaction, as a multiple of its maximum number of changes. */
const CONDITIONS_PER_CHANGE = 4;
const BYTES_PER_KB = 1024;

/** Serves the HTTP interface of the state service from a `KeyValueTable`. */
export class StoreService {
  readonly table: KeyValueTable;
  /** While set, all requests are refused. */
  outage = false;
  /** Names of the controllers whose requests are refused. */
  readonly refusedControllers = new Set<string>();
  /** Maximum number of keys per page of a list. */
  maxListedKeys = MAX_LISTED_KEYS;
  /** Additional delay of every response. */
  extraDelayMs = 0;
  nextTransactionFault: () => TransactionFault = () => ({ kind: 'normal' });
  onCommit: (body: TransactionBody, from: string) => void = () => undefined;
  /** Number of requests that were refused because of a rate limit. */
  throttledRequests = 0;
  private readonly leases: StoreLeases;
  private readonly watches = new Set<() => void>();
  private readonly requestBucket: TokenBucket;
  private readonly changeBucket: TokenBucket;

  constructor(
    private readonly queue: EventQueue,
    private readonly limits: StoreServiceLimits,
    private readonly random: RandomStream,
    private readonly defects: Defects,
  ) {
    this.table = new KeyValueTable(!defects.has('state-ignores-conditions'));
    this.leases = new StoreLeases({
      queue,
      random,
      table: this.table,
      isOutage: () => this.outage,
      onExpired: () => this.notify(),
    });
    this.requestBucket = new TokenBucket(queue, limits.rps);
    this.changeBucket = new TokenBucket(queue, limits.writeRps);
  }

  serve(from: Host, call: Call, reply: Reply): void {
    const slow = this.random.chance(SLOW_RESPONSE_SHARE) ? this.random.within(SLOW_RESPONSE_MS) : 0;
    this.queue.after(this.random.within(RESPONSE_DELAY_MS) + slow + this.extraDelayMs, () =>
      this.handle(from, call, reply),
    );
  }

  private handle(from: Host, call: Call, reply: Reply): void {
    if (!this.requestBucket.take(1)) {
      this.throttle(reply);
      return;
    }
    const url = new URL(call.path, 'http://state');
    if (this.isUnavailableTo(from.name)) {
      reply({ status: HTTP_STATUS.serviceUnavailable, body: { error: 'trouble' } });
      return;
    }
    if (url.pathname === '/follow') {
      this.watch(from.name, url, reply);
      return;
    }
    if (url.pathname === '/txn') {
      this.transaction(from.name, call.body as TransactionBody, reply);
      return;
    }
    if (url.pathname.startsWith(LEASES_PATH)) {
      reply(this.leases.serve(call, url.pathname));
      return;
    }
    reply(url.pathname === '/kv' ? this.list(url) : this.read(url.pathname.slice('/kv/'.length)));
  }

  private throttle(reply: Reply): void {
    this.throttledRequests += 1;
    reply({ status: HTTP_STATUS.tooManyRequests, body: { error: 'too many requests' } });
  }

  private isUnavailableTo(node: string): boolean {
    return this.outage || this.refusedControllers.has(node);
  }

  private read(path: string): Response {
    const key = decodeURIComponent(path);
    const row = this.table.rows.get(key);
    if (!row) return { status: HTTP_STATUS.notFound, body: { ledger: this.table.revision } };
    return { status: HTTP_STATUS.ok, body: { path: key, ...row } };
  }

  private list(url: URL): Response {
    const limit = Math.min(this.maxListedKeys, Number(url.searchParams.get('most') ?? MAX_LISTED_KEYS));
    const { keys, more } = this.table.list(
      url.searchParams.get('under') ?? '',
      url.searchParams.get('from') ?? '',
      limit,
    );
    const entries = keys.map((path) => ({ path, ...this.table.rows.get(path) }));
    return { status: HTTP_STATUS.ok, body: { entries, hasNext: more, ledger: this.table.revision } };
  }

  private transaction(from: string, body: TransactionBody, reply: Reply): void {
    const validationError = this.validationError(body);
    if (validationError) {
      reply({ status: HTTP_STATUS.badRequest, body: { error: validationError } });
      return;
    }
    const operationCount = body.apply?.length ?? 0;
    if (operationCount > 0 && !this.changeBucket.take(operationCount)) {
      this.throttle(reply);
      return;
    }
    const fault = operationCount === 0 ? { kind: 'normal' as const } : this.nextTransactionFault();
    if (fault.kind === 'late') {
      this.applyLater(from, body, fault.delayMs);
      return;
    }
    const response = this.apply(from, body);
    if (fault.kind === 'repeated' && response.status === HTTP_STATUS.ok)
      this.applyLater(from, body, fault.delayMs);
    if (fault.kind !== 'answer-lost') reply(response);
  }

  private applyLater(from: string, body: TransactionBody, delayMs: number): void {
    this.queue.after(delayMs, () => {
      if (!this.outage) this.apply(from, body);
    });
  }

  private validationError(body: TransactionBody): string | null {
    const changes = body.apply ?? [];
    if (changes.length > this.limits.txnOps) return 'too many changes';
    if ((body.when?.length ?? 0) > CONDITIONS_PER_CHANGE * this.limits.txnOps) return 'too many conditions';
    if (JSON.stringify(body).length > MAX_TRANSACTION_BYTES) return 'transaction too large';
    const tooLarge = changes.some(
      (change) => JSON.stringify(change.data ?? null).length > this.limits.valueKb * BYTES_PER_KB,
    );
    return tooLarge ? 'value too large' : null;
  }

  private apply(from: string, body: TransactionBody): Response {
    const copy = JSON.parse(JSON.stringify(body)) as TransactionBody;
    const result = this.table.transact(copy);
    if (result.kind === 'no-lease')
      return { status: HTTP_STATUS.badRequest, body: { error: 'no such lease' } };
    if (result.kind === 'conflict')
      return { status: HTTP_STATUS.conflict, body: { failed: result.failed, ledger: result.ledger } };
    this.notify();
    if ((body.apply?.length ?? 0) > 0) this.onCommit(body, from);
    return { status: HTTP_STATUS.ok, body: { ledger: result.ledger } };
  }

  endOutage(): void {
    this.outage = false;
    this.leases.restartAll();
    this.notify();
  }

  endRefusal(node: string): void {
    this.refusedControllers.delete(node);
    this.notify();
  }

  private notify(): void {
    for (const watch of [...this.watches]) watch();
  }

  private visibleChanges(changes: readonly StoredChange[]): readonly StoredChange[] {
    if (!this.defects.has('state-watch-loses-deletions')) return changes;
    return changes.filter((c) => c.drop === undefined);
  }

  private watch(node: string, url: URL, reply: Reply): void {
    const prefix = url.searchParams.get('under') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    let timedOut = false;
    const deliver = (): void => {
      // Watches that are open during an outage stay open.
      if (this.isUnavailableTo(node)) return;
      const changes = this.table.changesAfter(prefix, from);
      if (changes !== null && changes.length === 0 && !timedOut) return;
      this.watches.delete(deliver);
      if (changes === null) reply({ status: HTTP_STATUS.gone, body: { error: 'too old' } });
      else
        reply({
          status: HTTP_STATUS.ok,
          body: { ledger: this.table.revision, news: this.visibleChanges(changes) },
        });
    };
    this.watches.add(deliver);
    deliver();
    this.queue.after(Number(url.searchParams.get('blockMs') ?? 0), () => {
      timedOut = true;
      if (this.watches.has(deliver)) deliver();
    });
  }
}
