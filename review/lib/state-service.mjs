/** A stand-in for the state service, as PROTOCOL describes it, with a port for each controller. */
import { Buffer } from 'node:buffer';
import { setInterval, clearInterval } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { pause, serve } from './wire.mjs';

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;
const MAX_LIST_BYTES = 512 * 1024;
const LATENCY_MS = 4;

/** Keys, leases and watches. */
export class StateService {
  revision = 1;
  entries = new Map();
  leases = new Map();
  changes = [];
  watches = new Set();
  /** Controllers that get 503 now. */
  refused = new Set();
  /**
   * Called with the caller and the body of each transaction. May return a promise of milliseconds: the transaction gets
   * no answer and is carried out after them.
   */
  delayTransaction = () => null;
  /** Called after a change, with caller and body. */
  onApplied = () => undefined;
  nextLease = 1;
  servers = [];

  constructor(limits) {
    this.limits = limits;
    this.buckets = {
      requests: { rate: limits.rps, tokens: limits.rps, at: performance.now() },
      writes: { rate: limits.write_rps, tokens: limits.write_rps, at: performance.now() },
    };
    this.leaseTimer = setInterval(() => this.expireLeases(), 20);
  }

  /** Replaces some of the limits. */
  changeLimits(limits) {
    this.limits = { ...this.limits, ...limits };
    this.buckets.requests.rate = this.limits.rps;
    this.buckets.writes.rate = this.limits.write_rps;
  }

  async listen(caller, port) {
    this.servers.push(await serve(port, (request) => this.handle(caller, request)));
  }

  close() {
    clearInterval(this.leaseTimer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  take(name, cost) {
    const bucket = this.buckets[name];
    const now = performance.now();
    bucket.tokens = Math.min(bucket.rate, bucket.tokens + ((now - bucket.at) / 1000) * bucket.rate);
    bucket.at = now;
    if (bucket.tokens < cost) return false;
    bucket.tokens -= cost;
    return true;
  }

  async handle(caller, request) {
    await pause(LATENCY_MS);
    if (this.refused.has(caller)) return { status: 503, body: { error: 'trouble' } };
    if (!this.take('requests', 1)) return { status: 429, body: { error: 'too many requests' } };
    const { method, url, body } = request;
    const path = url.pathname;
    if (method === 'GET' && path === '/kv') return this.list(url.searchParams);
    if (method === 'GET' && path.startsWith('/kv/')) return this.read(decodeURIComponent(path.slice(4)));
    if (method === 'GET' && path === '/follow') return this.follow(caller, url.searchParams);
    if (method === 'POST' && path === '/txn') return this.receiveTransaction(caller, body);
    if (method === 'POST' && path === '/leases') return this.grant(body);
    const renewal = /^\/leases\/(\d+)\/renew$/.exec(path);
    if (method === 'POST' && renewal) return this.renew(Number(renewal[1]));
    return { status: 400, body: { error: 'malformed' } };
  }

  read(key) {
    const entry = this.entries.get(key);
    if (!entry) return { status: 404, body: { ledger: this.revision } };
    return { status: 200, body: { path: key, data: entry.data, entry: entry.entry, mooring: entry.mooring } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const from = query.get('from');
    const most = Math.min(MAX_ITEMS, Number(query.get('most') ?? MAX_ITEMS));
    const keys = [...this.entries.keys()].filter(
      (key) => key.startsWith(under) && (from === null || key > from),
    );
    keys.sort((a, b) => (a < b ? -1 : 1));
    const entries = [];
    let bytes = 0;
    for (const path of keys) {
      const { data, entry } = this.entries.get(path);
      bytes += Buffer.byteLength(JSON.stringify({ path, data, entry })) + 1;
      if (entries.length >= most || (entries.length > 0 && bytes > MAX_LIST_BYTES)) break;
      entries.push({ path, data, entry });
    }
    return {
      status: 200,
      body: { entries, hasNext: entries.length < keys.length, ledger: this.revision },
    };
  }

  async receiveTransaction(caller, body) {
    const delay = this.delayTransaction(caller, body);
    if (delay === null) return this.transact(caller, body);
    void delay.then(() => this.transact(caller, body));
    return null;
  }

  transact(caller, body) {
    const conditions = body?.when ?? [];
    const changes = body?.apply ?? [];
    const { txn_ops: operations, value_kb: valueKb } = this.limits;
    const tooLarge = changes.some(
      (change) => change.put !== undefined && Buffer.byteLength(JSON.stringify(change.data)) > valueKb * 1024,
    );
    if (changes.length > operations || conditions.length > 4 * operations || tooLarge)
      return { status: 400, body: { error: 'too large' } };
    if (changes.length > 0 && !this.take('writes', changes.length))
      return { status: 429, body: { error: 'too many changes' } };
    if (changes.some(({ mooring }) => mooring !== undefined && !this.leases.has(mooring)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ path, entry }) => (this.entries.get(path)?.entry ?? 0) !== entry)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    if (changes.length > 0) this.apply(changes);
    this.onApplied(caller, body);
    return { status: 200, body: { ledger: this.revision } };
  }

  apply(changes) {
    this.revision += 1;
    for (const change of changes) {
      if (change.put !== undefined) {
        const { put, data, mooring } = change;
        this.entries.set(put, { data, entry: this.revision, mooring });
        this.changes.push({ put, data, entry: this.revision });
      } else if (this.entries.delete(change.drop))
        this.changes.push({ drop: change.drop, entry: this.revision });
    }
    this.changes = this.changes.slice(-KEPT_CHANGES);
    for (const wake of this.watches) wake();
  }

  grant(body) {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
    return { status: 200, body: { mooring: id } };
  }

  renew(id) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: {} };
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt > now) continue;
      this.leases.delete(id);
      const keys = [...this.entries].filter(([, entry]) => entry.mooring === id).map(([key]) => key);
      if (keys.length > 0) this.apply(keys.map((key) => ({ drop: key })));
    }
  }

  async follow(caller, query) {
    const under = query.get('under') ?? '';
    const from = Number(query.get('from') ?? 0);
    const endsAt = performance.now() + Math.min(60_000, Number(query.get('blockMs') ?? 0));
    for (;;) {
      const oldest = this.changes[0]?.entry ?? 0;
      if (this.changes.length >= KEPT_CHANGES && from < oldest - 1)
        return { status: 410, body: { error: 'gone' } };
      const news = this.changes.filter(
        (change) => change.entry > from && (change.put ?? change.drop).startsWith(under),
      );
      const remaining = endsAt - performance.now();
      if (!this.refused.has(caller) && (news.length > 0 || remaining <= 0))
        return { status: 200, body: { ledger: this.revision, news } };
      await this.nextChange(Math.max(5, Math.min(remaining, 200)));
    }
  }

  nextChange(timeoutMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.watches.delete(wake);
        resolve();
      };
      this.watches.add(wake);
      void pause(timeoutMs).then(wake);
    });
  }
}
