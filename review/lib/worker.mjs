/** A stand-in for a worker, as PROTOCOL describes it: reports, orders, tokens, leases and tasks (no gangs). */
import { clearTimeout, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { gather } from './gang.mjs';
import { call, HOST, pause, serve } from './wire.mjs';

const MIN_REPORT_MS = 500;
const REPORT_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
/** "A request body is at most 64 KiB": a larger report cannot be sent. */
const MAX_BODY_BYTES = 65_536;

/** One machine with its worker. */
export class Worker {
  watch = 1;
  logNo = 0;
  helm = 0;
  /** Tasks by `leg`. */
  legs = new Map();
  target = 0;
  stopped = false;
  changed = false;
  wake = () => undefined;
  servers = [];
  lastReportBytes = 0;
  /** How many replicas of services ended with a lease. */
  killed = 0;

  /**
   * `nodes`: name and port of each controller; `jobs`: the descriptions that users uploaded, by id; `onTask` is called
   * with each start and end of a task.
   */
  constructor({ name, port, type, zone, spot, nodes, jobs, settings, record, onTask }) {
    Object.assign(this, { name, port, type, zone, spot, nodes, jobs, settings, record, onTask });
    this.renewedAt = performance.now();
    this.results = new Set();
    this.helmChangedAt = 0;
  }

  async start() {
    this.servers.push(await serve(this.port, (request) => this.handle(request)));
    this.leaseLoop = this.watchLease();
    this.reportLoop = this.report();
  }

  close() {
    this.stopped = true;
    this.wake();
    for (const { timer } of this.legs.values()) clearTimeout(timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  status() {
    this.logNo += 1;
    return {
      berth: this.name,
      endpoint: `${HOST}:${this.port}`,
      hull: this.type,
      harbor: this.zone,
      driftboats: this.spot,
      watch: this.watch,
      logNo: this.logNo,
      helm: this.helm,
      recallS: null,
      legs: [...this.legs.values()].map(({ leg, sailing, status, cause, saved }) => ({
        leg,
        sailing,
        status,
        ...(cause === undefined ? {} : { cause }),
        ...(saved === undefined ? {} : { saved }),
      })),
    };
  }

  handle({ method, url, body }) {
    if (this.stopped) return null;
    if (method === 'GET' && url.pathname === '/status') return { status: 200, body: this.status() };
    if (method !== 'POST' || url.pathname !== '/orders') return { status: 404, body: {} };
    if (!Number.isInteger(body?.helm) || !Number.isInteger(body?.watch))
      return { status: 400, body: { error: 'helm or watch is missing' } };
    if (body.helm < this.helm || body.watch !== this.watch) return { status: 409, body: this.status() };
    this.seeToken(body.helm);
    this.execute(body.orders ?? []);
    return { status: 200, body: this.status() };
  }

  seeToken(helm) {
    if (helm <= this.helm) return;
    this.helm = helm;
    const now = performance.now();
    if (now - this.helmChangedAt < (this.settings.lease_s * 1000) / 2) return;
    this.helmChangedAt = now;
    this.change();
  }

  change() {
    this.changed = true;
    this.wake();
  }

  /** Reports to one controller at a time, one report at a time. */
  async report() {
    while (!this.stopped) {
      const startedAt = performance.now();
      this.changed = false;
      const next = await this.reportOnce();
      const interval = this.settings.report_s * 1000 * (0.75 + 0.5 * Math.random());
      const minimum = startedAt + Math.max(MIN_REPORT_MS, next);
      await pause(Math.max(0, minimum - performance.now()));
      const remaining = startedAt + Math.max(interval, next) - performance.now();
      if (!this.changed && !this.stopped && next === 0 && remaining > 0)
        await Promise.race([pause(remaining), new Promise((resolve) => (this.wake = resolve))]);
    }
  }

  /** Returns after how many milliseconds at least the next report is sent; 0: at the usual interval. */
  async reportOnce() {
    const { watch } = this;
    const sentAt = performance.now();
    const node = this.nodes[this.target];
    const body = this.status();
    this.lastReportBytes = Buffer.byteLength(JSON.stringify(body));
    if (this.lastReportBytes > MAX_BODY_BYTES) {
      if (this.oversized !== watch) this.record(`${this.name}: a report of ${this.lastReportBytes} bytes`);
      this.oversized = watch;
      return 0;
    }
    const answer = await call(node.port, 'POST', '/agent/beat', body, REPORT_TIMEOUT_MS);
    if (this.stopped) return 0;
    if (answer.status === 200) {
      if (watch === this.watch && (answer.body?.helm ?? -1) >= this.helm) {
        this.seeToken(answer.body.helm);
        this.renewedAt = Math.max(this.renewedAt, sentAt);
        this.execute(answer.body.orders ?? []);
      }
      return 0;
    }
    const named = answer.status === 421 ? answer.body?.harbormaster : undefined;
    const index = this.nodes.findIndex(({ name }) => name === named);
    if (index >= 0 && index !== this.target) {
      this.target = index;
      return performance.now() - sentAt + 500 * Math.random();
    }
    this.tryNext();
    return performance.now() - sentAt + RETRY_MS;
  }

  tryNext() {
    this.target = (this.target + 1) % this.nodes.length;
  }

  async watchLease() {
    while (!this.stopped) {
      await pause(20);
      if (performance.now() - this.renewedAt <= this.settings.lease_s * 1000) continue;
      const count = [...this.legs.values()].filter(({ status }) => status !== 'exited').length;
      this.record(`${this.name}: lease of session ${this.watch} is over, ${count} tasks killed`);
      for (const task of this.legs.values()) {
        clearTimeout(task.timer);
        if (task.status === 'exited') continue;
        this.onTask('end', this, task, 'lease over');
        if (task.job.shape === 'standing') this.killed += 1;
      }
      this.legs.clear();
      this.watch += 1;
      this.renewedAt = performance.now();
      this.change();
    }
  }

  execute(orders) {
    for (const { order, leg, sailing } of orders) {
      const task = this.legs.get(leg);
      if (order === 'launch') this.launch(leg, sailing, task);
      else if (task?.sailing !== sailing) continue;
      else if (order === 'kill' && task.status !== 'exited') this.exit(task, 'halted');
      else if (order === 'clear' && task.status === 'exited') this.legs.delete(leg);
    }
  }

  launch(leg, sailing, task) {
    if (task?.sailing === sailing) return;
    const job = this.jobs.get(leg.slice(0, leg.indexOf('/')));
    const started = { leg, sailing, status: 'pulling', job };
    if (task && task.status !== 'exited') return;
    this.legs.set(leg, started);
    if (!job) {
      started.status = 'exited';
      started.cause = 'unknown';
    } else if (job.shape === 'gang') gather(this, started);
    else {
      started.status = 'running';
      this.onTask('start', this, started, '');
      const done = this.results.has(leg);
      if (job.shape === 'batch')
        started.timer = setTimeout(
          () => {
            this.results.add(leg);
            this.exit(started, 'done');
          },
          done ? 1 : (job.runS instanceof Function ? job.runS(leg) : job.runS) * 1000,
        );
    }
    this.change();
  }

  /** The machine stops with all that is on it: it sends nothing and answers nothing from now on. */
  die() {
    this.stopped = true;
    this.record(`${this.name}: stops with all that is on it`);
    for (const task of this.legs.values()) {
      clearTimeout(task.timer);
      if (task.status !== 'exited') this.onTask('end', this, task, 'machine gone');
    }
    this.legs.clear();
  }

  exit(task, cause) {
    if (task.status === 'exited' || this.legs.get(task.leg) !== task) return;
    clearTimeout(task.timer);
    task.status = 'exited';
    task.cause = cause;
    this.onTask('end', this, task, cause);
    this.change();
  }
}
