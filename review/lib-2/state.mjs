/** A stand-in for the state service, as its page describes it: keys, transactions, leases, watches and limits. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { serveJson } from './net-tools.mjs';

const KEPT_CHANGES = 10_000;
const PAGE_ITEMS = 1000;
const PAGE_BYTES = 524_288;

/** A limit per second that allows a burst of one second's worth. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }

  take(cost) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }
}

export class StateService {
  ledger = 0;
  entries = new Map();
  changes = [];
  leases = new Map();
  nextLease = 1;
  watches = new Set();
  /** Controllers that alone get 503, by name. */
  refused = new Set();
  outage = false;
  servers = [];
  delayMs = 0;

  constructor({ rps, writeRps, valueKb, txnOps }) {
    Object.assign(this, { valueKb, txnOps });
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.timer = setInterval(() => this.tick(), 20);
  }

  /** Opens a port for one controller, so that the service knows who asks. */
  async openFor(controller) {
    const server = await serveJson((method, url, body, reply) => {
      const answer = () => this.serve(controller, method, url, body, reply);
      if (this.delayMs > 0) setTimeout(answer, this.delayMs);
      else answer();
    });
    this.servers.push(server);
    return server;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  isOut(controller) {
    return this.outage || this.refused.has(controller);
  }

  /** Ends expired leases and answers watches. During an outage no lease ends, and afterwards each has its full time. */
  tick() {
    const now = performance.now();
    if (this.outage) for (const lease of this.leases.values()) lease.until = now + lease.ttlMs;
    for (const [id, lease] of this.leases) if (now >= lease.until) this.endLease(id);
    for (const watch of this.watches) this.answerWatch(watch, now);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, entry]) => entry.mooring === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ drop: key })));
  }

  apply(operations) {
    this.ledger += 1;
    for (const { put, drop, data, mooring } of operations) {
      if (put !== undefined) {
        this.entries.set(put, { data, entry: this.ledger, mooring: mooring ?? null });
        this.changes.push({ put, data, entry: this.ledger });
      } else if (this.entries.delete(drop)) this.changes.push({ drop, entry: this.ledger });
    }
    if (this.changes.length > KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    return this.ledger;
  }

  serve(controller, method, url, body, reply) {
    if (this.isOut(controller)) return reply(503, { error: 'trouble' });
    if (!this.requests.take(1)) return reply(429, { error: 'too many requests' });
    const { pathname, searchParams } = new URL(url, 'http://state');
    if (method === 'POST' && pathname === '/txn') return this.transact(body, reply);
    if (method === 'GET' && pathname === '/kv') return this.list(searchParams, reply);
    if (method === 'GET' && pathname.startsWith('/kv/'))
      return this.read(decodeURIComponent(pathname.slice(4)), reply);
    if (method === 'GET' && pathname === '/follow') return this.follow(controller, searchParams, reply);
    if (pathname.startsWith('/leases')) return this.lease(method, pathname, body, reply);
    return reply(400, { error: 'malformed' });
  }

  read(key, reply) {
    const entry = this.entries.get(key);
    if (!entry) return reply(404, { ledger: this.ledger });
    return reply(200, { path: key, data: entry.data, entry: entry.entry, mooring: entry.mooring });
  }

  list(query, reply) {
    const under = query.get('under') ?? '';
    const from = query.get('from');
    const most = Math.min(PAGE_ITEMS, Number(query.get('most') ?? PAGE_ITEMS));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(under) && (from === null || key > from))
      .sort((first, second) => (first < second ? -1 : 1));
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const { data, entry } = this.entries.get(key);
      bytes += JSON.stringify(data).length + key.length;
      if (entries.length >= most || bytes > PAGE_BYTES) break;
      entries.push({ path: key, data, entry });
    }
    return reply(200, { entries, hasNext: entries.length < keys.length, ledger: this.ledger });
  }

  transact(body, reply) {
    const when = body?.when ?? [];
    const apply = body?.apply ?? [];
    const isTooLarge =
      apply.length > this.txnOps ||
      when.length > 4 * this.txnOps ||
      JSON.stringify(body).length > 65_536 ||
      apply.some(({ data }) => JSON.stringify(data ?? null).length > this.valueKb * 1024);
    if (isTooLarge) return reply(400, { error: 'too large' });
    if (!this.writes.take(apply.length)) return reply(429, { error: 'too many changes' });
    if (apply.some(({ mooring }) => mooring !== undefined && mooring !== null && !this.leases.has(mooring)))
      return reply(400, { error: 'no such lease' });
    const failed = when.filter(({ path, entry }) => (this.entries.get(path)?.entry ?? 0) !== entry);
    if (failed.length > 0) return reply(409, { failed: failed.map(({ path }) => path), ledger: this.ledger });
    return reply(200, { ledger: apply.length > 0 ? this.apply(apply) : this.ledger });
  }

  lease(method, path, body, reply) {
    const [, , idText, verb] = path.split('/');
    const now = performance.now();
    if (idText === undefined) {
      const id = this.nextLease;
      this.nextLease += 1;
      this.leases.set(id, { ttlMs: body.ttlMs, until: now + body.ttlMs });
      return reply(200, { mooring: id });
    }
    const lease = this.leases.get(Number(idText));
    if (!lease) return reply(404, { ledger: this.ledger });
    if (verb === 'renew') lease.until = now + lease.ttlMs;
    else if (method === 'DELETE') this.endLease(Number(idText));
    return reply(200, { mooring: Number(idText) });
  }

  follow(controller, query, reply) {
    const from = Number(query.get('from') ?? 0);
    const oldest = this.changes.length < KEPT_CHANGES ? 0 : this.changes[0].entry;
    if (from < oldest - 1) return reply(410, { ledger: this.ledger });
    const until = performance.now() + Number(query.get('blockMs') ?? 0);
    const watch = { controller, under: query.get('under') ?? '', from, until, reply };
    this.watches.add(watch);
    return this.answerWatch(watch, performance.now());
  }

  answerWatch(watch, now) {
    if (this.isOut(watch.controller)) return;
    const news = [];
    for (let i = this.changes.length - 1; i >= 0 && this.changes[i].entry > watch.from; i -= 1)
      if ((this.changes[i].put ?? this.changes[i].drop).startsWith(watch.under)) news.push(this.changes[i]);
    if (news.length === 0 && now < watch.until) return;
    this.watches.delete(watch);
    watch.reply(200, { ledger: this.ledger, news: news.reverse() });
  }
}
