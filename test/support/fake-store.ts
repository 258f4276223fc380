/** A fake of the state service, written from its published protocol: revisions, leases, watches, outages. */
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { SimulatedClock } from './simulated-clock.js';

interface StoredEntry {
  data: unknown;
  revision: number;
  leaseId: number | undefined;
}

export interface TransactionBody {
  when: { path: string; entry: number }[];
  apply?: { put?: string; drop?: string; data?: unknown; mooring?: number }[];
}

export interface StoreLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
  /** Whether requests beyond the rate limits are refused. */
  readonly enforced: boolean;
}

/** Counts events in total and in the busiest second. */
export class RateMeter {
  private currentSecond = 0;
  private countInSecond = 0;
  maxPerSecond = 0;
  total = 0;

  constructor(private readonly clock: SimulatedClock) {}

  count(amount: number): void {
    const second = Math.floor(this.clock.now() / 1000);
    this.countInSecond = second === this.currentSecond ? this.countInSecond + amount : amount;
    this.currentSecond = second;
    this.maxPerSecond = Math.max(this.maxPerSecond, this.countInSecond);
    this.total += amount;
  }
}

/** A token bucket that allows a burst of one second's worth, as the limits of the real service do. */
class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly ratePerSecond: number,
  ) {
    this.tokens = ratePerSecond;
    this.refilledAt = clock.now();
  }

  tryTake(amount: number): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(
      this.ratePerSecond,
      this.tokens + ((now - this.refilledAt) / 1000) * this.ratePerSecond,
    );
    this.refilledAt = now;
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}

const jsonAnswer = (status: number, body: unknown): CallOutcome => ({
  kind: 'answer',
  status,
  body: JSON.parse(JSON.stringify(body)) as unknown,
});

export class FakeStore {
  readonly entries = new Map<string, StoredEntry>();
  private revision = 0;
  private leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  private nextLease = 1;
  private history: { entry: number; put?: string; drop?: string; data?: unknown }[] = [];
  private waitingWatches = new Set<() => void>();
  outage = false;
  /** Nodes whose requests are refused with 503 while the store serves all other nodes. */
  readonly refusedNodes = new Set<string>();
  /** Nodes whose packets are lost: requests do not arrive and get no answer. */
  readonly disconnectedNodes = new Set<string>();
  /** Additional delay of requests for leases. */
  leaseDelayMs = 0;
  /** Additional delay of the answers to a node's reads, after the store has read the values. */
  readDelayMs: (node: string, path: string) => number = () => 0;
  /** Called when a node's watch request is answered from the current state; `blockMs` is its maximum blocking time. */
  onWatchAnswered: (node: string, blockMs: number) => void = () => undefined;
  /** Nodes whose next watch request gets 410: the history is compacted, and they must list all entries again. */
  readonly compactedForNodes = new Set<string>();
  /** How long a transaction takes before it is applied. */
  transactionDelayMs: (body: TransactionBody) => number = () => 0;
  /**
   * Decides whether a transaction is processed normally, its answer is lost, or its application is held back for
   * `holdMs`.
   */
  transactionFate: (node: string, body: TransactionBody) => 'normal' | 'lose-answer' | { holdMs: number } =
    () => 'normal';
  /** Delay between the execution of a request and its answer. */
  answerDelayMs: (node: string, call: Call) => number = () => 0;
  /** Called with each transaction that has just changed something, before its answer is sent. */
  onTransactionApplied: (body: TransactionBody) => void = () => undefined;

  readonly requests: RateMeter;
  readonly changes: RateMeter;
  /**
   * Requests refused by a rate limit; the largest value and transaction in bytes; the most changes in a transaction.
   */
  readonly observed = { rateLimited: 0, maxValueBytes: 0, maxTransactionBytes: 0, maxOperations: 0 };
  private readonly requestBucket: TokenBucket;
  private changeBucket: TokenBucket;
  /** Transactions refused with 400 for their size since the limits were lowered. */
  rejectedForSize = 0;
  private loweredLimits: Pick<StoreLimits, 'valueKb' | 'txnOps'> | null = null;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly limits: StoreLimits,
  ) {
    this.requests = new RateMeter(clock);
    this.changes = new RateMeter(clock);
    this.requestBucket = new TokenBucket(clock, limits.rps);
    this.changeBucket = new TokenBucket(clock, limits.writeRps);
  }

  /** From now on, larger values and transactions get 400 and changes beyond the rate 429; stored values stay. */
  lowerLimits(limits: Pick<StoreLimits, 'writeRps' | 'valueKb' | 'txnOps'>): void {
    this.loweredLimits = limits;
    this.changeBucket = new TokenBucket(this.clock, limits.writeRps);
  }

  private isTooLarge(body: TransactionBody): boolean {
    const { loweredLimits: lowered } = this;
    if (!lowered) return false;
    const changes = body.apply ?? [];
    const hasLargeValue = changes.some(
      (change) => JSON.stringify(change.data ?? null).length > lowered.valueKb * 1024,
    );
    return hasLargeValue || changes.length > lowered.txnOps || body.when.length > 4 * lowered.txnOps;
  }

  private exceedsRateLimit(call: Call): boolean {
    const operations = (call.body as TransactionBody | undefined)?.apply?.length ?? 0;
    this.requests.count(1);
    this.changes.count(operations);
    if (!this.limits.enforced) return false;
    const isOverLimit =
      !this.requestBucket.tryTake(1) || (operations > 0 && !this.changeBucket.tryTake(operations));
    if (isOverLimit) this.observed.rateLimited += 1;
    return isOverLimit;
  }

  private recordSizes(body: TransactionBody): void {
    if (!this.limits.enforced) return;
    this.observed.maxTransactionBytes = Math.max(
      this.observed.maxTransactionBytes,
      JSON.stringify(body).length,
    );
    this.observed.maxOperations = Math.max(this.observed.maxOperations, body.apply?.length ?? 0);
    for (const change of body.apply ?? [])
      this.observed.maxValueBytes = Math.max(
        this.observed.maxValueBytes,
        JSON.stringify(change.data ?? null).length,
      );
  }

  /** How often a key has been written. */
  countWrites(key: string): number {
    return this.history.filter((change) => change.put === key).length;
  }

  async call(node: string, call: Call): Promise<CallOutcome> {
    const outcome = await this.handle(node, call);
    const delay = this.answerDelayMs(node, call);
    if (delay > 0) await this.clock.sleep(Math.min(delay, call.timeout));
    return delay < call.timeout ? outcome : { kind: 'unknown' };
  }

  private async handle(node: string, call: Call): Promise<CallOutcome> {
    if (this.disconnectedNodes.has(node)) {
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    await this.clock.sleep(3);
    if (this.exceedsRateLimit(call)) return jsonAnswer(429, {});
    if (call.path.startsWith('/follow')) return this.handleWatch(node, call);
    if (this.outage || this.refusedNodes.has(node)) return jsonAnswer(503, {});
    if (call.path === '/txn') return this.handleTransaction(node, call);
    await this.clock.sleep(3 + (call.path.startsWith('/leases') ? this.leaseDelayMs : 0));
    const result = this.handleReadOrLease(call);
    const delay = this.readDelayMs(node, call.path);
    if (delay > 0) await this.clock.sleep(delay);
    return result;
  }

  private async handleTransaction(node: string, call: Call): Promise<CallOutcome> {
    const body = JSON.parse(JSON.stringify(call.body)) as TransactionBody;
    this.recordSizes(body);
    if (this.isTooLarge(body)) {
      this.rejectedForSize += 1;
      return jsonAnswer(400, { error: 'too large' });
    }
    const fate = this.transactionFate(node, body);
    if (typeof fate === 'object') {
      this.clock.after(fate.holdMs, () => this.applyTransaction(body));
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    if (this.transactionDelayMs(body) > 0) await this.clock.sleep(this.transactionDelayMs(body));
    const result = this.applyTransaction(body);
    if (fate === 'lose-answer') {
      await this.clock.sleep(call.timeout);
      return { kind: 'unknown' };
    }
    await this.clock.sleep(3);
    return result;
  }

  applyTransaction(body: TransactionBody): CallOutcome {
    this.expireLeases();
    const failed = body.when
      .filter((condition) => (this.entries.get(condition.path)?.revision ?? 0) !== condition.entry)
      .map((condition) => condition.path);
    if (failed.length > 0) return jsonAnswer(409, { failed, ledger: this.revision });
    for (const change of body.apply ?? []) {
      if (change.mooring !== undefined && !this.leases.has(change.mooring))
        return jsonAnswer(400, { error: 'no such lease' });
    }
    if ((body.apply ?? []).length > 0) this.revision += 1;
    for (const change of body.apply ?? []) {
      if (change.put !== undefined) {
        this.entries.set(change.put, { data: change.data, revision: this.revision, leaseId: change.mooring });
        this.history.push({ put: change.put, data: change.data, entry: this.revision });
      } else if (change.drop !== undefined && this.entries.delete(change.drop)) {
        this.history.push({ drop: change.drop, entry: this.revision });
      }
    }
    this.notifyWatches();
    if ((body.apply ?? []).length > 0) this.onTransactionApplied(body);
    return jsonAnswer(200, { ledger: this.revision });
  }

  private notifyWatches(): void {
    for (const watch of [...this.waitingWatches]) watch();
  }

  private expireLeases(): void {
    if (this.outage) return;
    const now = this.clock.now();
    for (const [leaseId, lease] of this.leases) {
      if (now < lease.expiresAt) continue;
      this.leases.delete(leaseId);
      for (const [key, entry] of this.entries) {
        if (entry.leaseId !== leaseId) continue;
        this.revision += 1;
        this.entries.delete(key);
        this.history.push({ drop: key, entry: this.revision });
      }
      this.notifyWatches();
    }
  }

  /** Ends the outage; every lease gets its full time again. */
  endOutage(): void {
    this.outage = false;
    for (const lease of this.leases.values()) lease.expiresAt = this.clock.now() + lease.ttlMs;
    this.notifyWatches();
  }

  private handleReadOrLease(call: Call): CallOutcome {
    this.expireLeases();
    if (call.path === '/leases') {
      const leaseId = this.nextLease++;
      const ttlMs = (call.body as { ttlMs: number }).ttlMs;
      this.leases.set(leaseId, { ttlMs, expiresAt: this.clock.now() + ttlMs });
      this.clock.after(ttlMs + 1, () => this.expireLeases());
      return jsonAnswer(200, { mooring: leaseId });
    }
    const renew = /^\/leases\/(\d+)\/renew$/.exec(call.path);
    if (renew) {
      const lease = this.leases.get(Number(renew[1]));
      if (!lease) return jsonAnswer(404, {});
      lease.expiresAt = this.clock.now() + lease.ttlMs;
      this.clock.after(lease.ttlMs + 1, () => this.expireLeases());
      return jsonAnswer(200, { mooring: Number(renew[1]) });
    }
    const url = new URL(call.path, 'http://state');
    if (url.pathname === '/kv') return this.handleList(url);
    const key = decodeURIComponent(url.pathname.slice(4));
    const entry = this.entries.get(key);
    return entry
      ? jsonAnswer(200, { path: key, data: entry.data, entry: entry.revision })
      : jsonAnswer(404, { ledger: this.revision });
  }

  private handleList(url: URL): CallOutcome {
    const prefix = url.searchParams.get('under') ?? '';
    const afterKey = url.searchParams.get('from') ?? '';
    const limit = Number(url.searchParams.get('most') ?? 1000);
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix) && key > afterKey).sort();
    const entries = keys.slice(0, limit).map((key) => ({
      path: key,
      data: this.entries.get(key)?.data,
      entry: this.entries.get(key)?.revision,
    }));
    return jsonAnswer(200, { entries, hasNext: keys.length > limit, ledger: this.revision });
  }

  private async handleWatch(node: string, call: Call): Promise<CallOutcome> {
    const url = new URL(call.path, 'http://state');
    const prefix = url.searchParams.get('under') ?? '';
    const afterRevision = Number(url.searchParams.get('from') ?? 0);
    const blockMs = Number(url.searchParams.get('blockMs') ?? 0);
    const isUnavailable = (): boolean =>
      this.outage || this.refusedNodes.has(node) || this.disconnectedNodes.has(node);
    if (isUnavailable()) return jsonAnswer(503, {});
    if (this.compactedForNodes.delete(node)) return jsonAnswer(410, {});
    const newChanges = (): typeof this.history => {
      let first = this.history.length;
      while (first > 0 && (this.history[first - 1]?.entry ?? 0) > afterRevision) first -= 1;
      return this.history
        .slice(first)
        .filter((change) => (change.put ?? change.drop ?? '').startsWith(prefix));
    };
    const blockUntil = this.clock.now() + blockMs;
    const timeoutAt = this.clock.now() + call.timeout;
    while (isUnavailable() || (newChanges().length === 0 && this.clock.now() < blockUntil)) {
      if (this.clock.now() >= timeoutAt) return { kind: 'unknown' };
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          this.waitingWatches.delete(wake);
          resolve();
        };
        this.waitingWatches.add(wake);
        this.clock.after(isUnavailable() ? 200 : Math.max(1, blockUntil - this.clock.now()), wake);
      });
    }
    this.onWatchAnswered(node, blockMs);
    const delay = this.readDelayMs(node, call.path);
    if (delay > 0) {
      const result = jsonAnswer(200, { ledger: this.revision, news: newChanges() });
      await this.clock.sleep(delay);
      return result;
    }
    await this.clock.sleep(2);
    return jsonAnswer(200, { ledger: this.revision, news: newChanges() });
  }
}
