/** A stand-in for the worker of one machine: reports, leases, tokens, sessions, direct commands and tasks. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { callJson, HOST, newAgent, portOf, serveJson, sleep } from './net-tools.mjs';
import { TaskRunner } from './task-runner.mjs';

const REPORT_TIMEOUT_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
/** A request body is at most this long. */
const MAX_BODY_BYTES = 65_536;
const TICK_MS = 20;
const KEPT_REPORTS = 40;

export class Worker extends TaskRunner {
  watch = 1;
  logNo = 0;
  helm = 0;
  /** Answers and direct commands are lost; reports arrive. */
  deaf = false;
  /** Reports reach no controller; direct commands arrive. */
  mute = false;
  gone = false;
  nodeIndex = 0;
  lastReportAt = -Infinity;
  changed = true;
  reports = [];

  constructor(options) {
    super();
    // name, hull, harbor, spot, terms {reportS, leaseS}, nodes [{label, address}], jobs, log
    Object.assign(this, options);
  }

  async start() {
    this.server = await serveJson((method, url, body, reply) => this.serve(method, url, body, reply));
    this.endpoint = `${HOST}:${portOf(this.server)}`;
    this.leaseFrom = performance.now();
    this.agents = this.nodes.map(() => newAgent());
    this.timer = setInterval(() => this.tick(), TICK_MS);
    void this.reportLoop();
    return this;
  }

  /** The machine stops with all that is on it. Connections to it hang from then on, without any error. */
  stop(why) {
    if (this.gone) return;
    this.gone = true;
    clearInterval(this.timer);
    for (const task of this.legs.values()) this.leave(task, why);
  }

  /** Closes its sockets at the end of the run. */
  dispose() {
    this.stop('end of the run');
    this.server?.closeAllConnections();
    this.server?.close();
    for (const agent of this.agents ?? []) agent.destroy();
  }

  report() {
    this.logNo += 1;
    const legs = [...this.legs.values()].map(({ leg, sailing, status, cause, saved }) => ({
      leg,
      sailing,
      status,
      ...(cause ? { cause } : {}),
      ...(saved ? { saved } : {}),
    }));
    const { name: berth, endpoint, harbor, spot: driftboats, watch, logNo, helm } = this;
    const hull = this.hull.name;
    return { berth, endpoint, hull, harbor, driftboats, watch, logNo, helm, recallS: null, legs };
  }

  tick() {
    const now = performance.now();
    if (now - this.leaseFrom > this.terms.leaseS * 1000) {
      // A machine that hung is told apart from one that ran on: its tasks are gone when the lease ends.
      const endedAt = Math.round(this.leaseFrom + this.terms.leaseS * 1000 - this.log.startedAt);
      for (const task of this.legs.values()) this.leave(task, 'lease ended', { at: endedAt });
      this.legs.clear();
      this.watch += 1;
      this.leaseFrom = now;
      this.changed = true;
      this.log.add('session', { berth: this.name, watch: this.watch });
    }
    for (const task of this.legs.values()) this.advance(task, now);
  }

  /** The machine does not run, answer or report until `resume`. */
  hang() {
    this.hung = true;
    this.hungAt = performance.now();
    this.held = [];
    clearInterval(this.timer);
    this.log.add('hangs', { berth: this.name });
  }

  resume() {
    if (!this.hung || this.gone) return;
    const pausedMs = performance.now() - this.hungAt;
    this.hung = false;
    this.log.add('resumes', { berth: this.name });
    for (const task of this.legs.values()) {
      if (task.readyAt) task.readyAt += pausedMs;
      if (task.endsAt) task.endsAt += pausedMs;
    }
    this.tick();
    this.timer = setInterval(() => this.tick(), TICK_MS);
    for (const serveHeld of this.held.splice(0)) serveHeld();
  }

  exit(task, cause) {
    this.leave(task, cause);
    task.status = 'exited';
    task.cause = cause;
    this.changed = true;
  }

  async reportLoop() {
    while (!this.gone) {
      const now = performance.now();
      if (this.hung) {
        await sleep(TICK_MS);
        continue;
      }
      const isDue =
        now >= (this.nextReportAt ?? 0) || (this.changed && now - this.lastReportAt >= MIN_REPORT_GAP_MS);
      if (isDue && now >= (this.pauseUntil ?? 0)) await this.sendReport(now);
      else await sleep(TICK_MS);
    }
  }

  async sendReport(now) {
    this.lastReportAt = now;
    this.changed = false;
    this.nextReportAt = now + this.terms.reportS * 1000 * (0.75 + Math.random() / 2);
    const node = this.nodes[this.nodeIndex];
    const body = this.report();
    const bytes = JSON.stringify(body).length;
    if (bytes > MAX_BODY_BYTES) {
      this.log.add('report too long', { berth: this.name, bytes, legs: body.legs.length });
      return;
    }
    this.reports.push({ at: now, body });
    if (this.reports.length > KEPT_REPORTS) this.reports.shift();
    const answer = this.mute
      ? await sleep(REPORT_TIMEOUT_MS).then(() => ({ status: 0 }))
      : await callJson(
          node.address,
          'POST',
          '/agent/beat',
          body,
          REPORT_TIMEOUT_MS,
          this.agents[this.nodeIndex],
        );
    while (this.hung) await sleep(TICK_MS);
    if (this.gone) return;
    if (performance.now() - now > REPORT_TIMEOUT_MS) answer.status = 0;
    const { watch, logNo, helm } = body;
    this.log.add('report', { berth: this.name, node: node.label, watch, logNo, helm, status: answer.status });
    if (this.deaf) {
      await sleep(Math.max(0, now + REPORT_TIMEOUT_MS - performance.now()));
      this.moveOn();
    } else this.handleAnswer(answer, now, body.watch, node);
  }

  moveOn(to = (this.nodeIndex + 1) % this.nodes.length, delayMs = 1000) {
    this.nodeIndex = to;
    this.pauseUntil = performance.now() + delayMs;
    this.nextReportAt = this.pauseUntil;
  }

  handleAnswer(answer, sentAt, watch, node) {
    if (answer.status === 200) {
      if (watch !== this.watch || typeof answer.body?.helm !== 'number' || answer.body.helm < this.helm)
        return;
      this.adopt(answer.body.helm);
      this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      this.execute(answer.body.orders ?? [], `answer of ${node.label}`);
      return;
    }
    const named = this.nodes.findIndex(({ label }) => label === answer.body?.harbormaster);
    if (answer.status === 421 && named >= 0 && named !== this.nodeIndex)
      this.moveOn(named, Math.random() * 500);
    else this.moveOn();
  }

  adopt(helm) {
    if (helm <= this.helm) return;
    this.helm = helm;
    const now = performance.now();
    if (now - (this.helmReportedAt ?? -Infinity) < this.terms.leaseS * 500) return;
    this.helmReportedAt = now;
    this.changed = true;
  }

  serve(method, url, body, reply) {
    if (this.deaf || this.gone) return undefined;
    if (this.hung) return this.held.push(() => this.serve(method, url, body, reply));
    if (method === 'GET' && url === '/status') return reply(200, this.report());
    if (url !== '/orders' || typeof body?.helm !== 'number' || typeof body.watch !== 'number')
      return reply(400, { error: 'malformed' });
    if (body.helm < this.helm || body.watch !== this.watch) return reply(409, this.report());
    this.adopt(body.helm);
    this.execute(body.orders ?? [], `direct, helm ${body.helm}`);
    return reply(200, this.report());
  }

  /** Sends a copy of an earlier report to a controller once more; its answer is of no use. */
  sendCopy(body, address) {
    setTimeout(() => void callJson(address, 'POST', '/agent/beat', body, REPORT_TIMEOUT_MS), 0);
  }
}
