/** Stand-in for the state service, from its published protocol: versions, leases, watches, outages. */
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
  /** Whether requests beyond the limits are refused. */
  readonly enforced: boolean;
}

/** How much came in the busiest second. */
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

/** A token bucket with a second's worth of burst, as the service's limits are. */
class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly rate: number,
  ) {
    this.tokens = rate;
    this.refilledAt = clock.now();
  }

  tryTake(amount: number): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.refilledAt) / 1000) * this.rate);
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
  private leases = new Map<number, { ttl: number; ends: number }>();
  private nextLease = 1;
  private history: { entry: number; put?: string; drop?: string; data?: unknown }[] = [];
  private waitingWatches = new Set<() => void>();
  outage = false;
  /** Nodes that alone are refused. */
  readonly refusedNodes = new Set<string>();
  /** Nodes whose packets get lost: nothing arrives, nothing answers. */
  readonly disconnectedNodes = new Set<string>();
  /** How much longer than others requests for leases take. */
  leaseDelayMs = 0;
  /** How much longer the answers to a node's reads are on their way, once they say what holds. */
  readDelayMs: (node: string, path: string) => number = () => 0;
  /** A node's look at the changes is answered from what holds now; `blockMs`: how long it would have waited. */
  onWatchAnswered: (node: string, blockMs: number) => void = () => undefined;
  /** Nodes whose next look at the changes is told that they must read everything again. */
  readonly compactedForNodes = new Set<string>();
  /** How long a transaction takes before it is applied. */
  transactionDelayMs: (body: TransactionBody) => number = () => 0;
  /** Decides the fate of a transaction: lose its answer, or hold it back for some milliseconds. */
  transactionFate: (node: string, body: TransactionBody) => 'normal' | 'lose-answer' | { holdMs: number } =
    () => 'normal';
  /** How much later than it is carried out a request is answered. */
  answerDelayMs: (node: string, call: Call) => number = () => 0;
  /** Called with every transaction that has just changed something, before its answer is on its way. */
  onTransactionApplied: (body: TransactionBody) => void = () => undefined;

  readonly requests: RateMeter;
  readonly changes: RateMeter;
  /** Refused for a limit, and the largest value and transaction in bytes. */
  readonly observed = { rateLimited: 0, maxValueBytes: 0, maxTransactionBytes: 0, maxOperations: 0 };
  private readonly requestBucket: TokenBucket;
  private changeBucket: TokenBucket;
  /** Refused with 400 for their size since the limits were lowered. */
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

  /** From now on: larger values and transactions get 400, changes beyond the rate 429. What is stored stays. */
  lowerLimits(next: Pick<StoreLimits, 'writeRps' | 'valueKb' | 'txnOps'>): void {
    this.loweredLimits = next;
    this.changeBucket = new TokenBucket(this.clock, next.writeRps);
  }

  private isTooLarge(body: TransactionBody): boolean {
    const { loweredLimits: lowered } = this;
    if (!lowered) return false;
    const changes = body.apply ?? [];
    const large = changes.some(
      (change) => JSON.stringify(change.data ?? null).length > lowered.valueKb * 1024,
    );
    return large || changes.length > lowered.txnOps || body.when.length > 4 * lowered.txnOps;
  }

  private exceedsRateLimit(call: Call): boolean {
    const ops = (call.body as TransactionBody | undefined)?.apply?.length ?? 0;
    this.requests.count(1);
    this.changes.count(ops);
    if (!this.limits.enforced) return false;
    const over = !this.requestBucket.tryTake(1) || (ops > 0 && !this.changeBucket.tryTake(ops));
    if (over) this.observed.rateLimited += 1;
    return over;
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

  /** How often a key has been put. */
  countWrites(key: string): number {
    return this.history.filter((h) => h.put === key).length;
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
      .filter((c) => (this.entries.get(c.path)?.revision ?? 0) !== c.entry)
      .map((c) => c.path);
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
      if (now < lease.ends) continue;
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

  /** Every lease has its full time again after an outage. */
  endOutage(): void {
    this.outage = false;
    for (const lease of this.leases.values()) lease.ends = this.clock.now() + lease.ttl;
    this.notifyWatches();
  }

  private handleReadOrLease(call: Call): CallOutcome {
    this.expireLeases();
    if (call.path === '/leases') {
      const leaseId = this.nextLease++;
      const ttl = (call.body as { ttlMs: number }).ttlMs;
      this.leases.set(leaseId, { ttl, ends: this.clock.now() + ttl });
      this.clock.after(ttl + 1, () => this.expireLeases());
      return jsonAnswer(200, { mooring: leaseId });
    }
    const renew = /^\/leases\/(\d+)\/renew$/.exec(call.path);
    if (renew) {
      const lease = this.leases.get(Number(renew[1]));
      if (!lease) return jsonAnswer(404, {});
      lease.ends = this.clock.now() + lease.ttl;
      this.clock.after(lease.ttl + 1, () => this.expireLeases());
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
    const under = url.searchParams.get('under') ?? '';
    const after = url.searchParams.get('from') ?? '';
    const limit = Number(url.searchParams.get('most') ?? 1000);
    const keys = [...this.entries.keys()].filter((k) => k.startsWith(under) && k > after).sort();
    const entries = keys
      .slice(0, limit)
      .map((k) => ({ path: k, data: this.entries.get(k)?.data, entry: this.entries.get(k)?.revision }));
    return jsonAnswer(200, { entries, hasNext: keys.length > limit, ledger: this.revision });
  }

  private async handleWatch(node: string, call: Call): Promise<CallOutcome> {
    const url = new URL(call.path, 'http://state');
    const under = url.searchParams.get('under') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    const block = Number(url.searchParams.get('blockMs') ?? 0);
    const silent = (): boolean =>
      this.outage || this.refusedNodes.has(node) || this.disconnectedNodes.has(node);
    if (silent()) return jsonAnswer(503, {});
    if (this.compactedForNodes.delete(node)) return jsonAnswer(410, {});
    const newChanges = (): typeof this.history => {
      let first = this.history.length;
      while (first > 0 && (this.history[first - 1]?.entry ?? 0) > from) first -= 1;
      return this.history.slice(first).filter((h) => (h.put ?? h.drop ?? '').startsWith(under));
    };
    const blockUntil = this.clock.now() + block;
    const timeoutAt = this.clock.now() + call.timeout;
    while (silent() || (newChanges().length === 0 && this.clock.now() < blockUntil)) {
      if (this.clock.now() >= timeoutAt) return { kind: 'unknown' };
      await new Promise<void>((resolve) => {
        const done = (): void => {
          this.waitingWatches.delete(done);
          resolve();
        };
        this.waitingWatches.add(done);
        this.clock.after(silent() ? 200 : Math.max(1, blockUntil - this.clock.now()), done);
      });
    }
    this.onWatchAnswered(node, block);
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
