/** A stand-in for the cloud: instance types, renting, returning and listing machines. Each machine has a worker. */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { serveJson } from './net-tools.mjs';
import { Worker } from './worker.mjs';

/** A machine that dies still appears as running for about this long. */
const DEAD_LISTED_MS = 30_000;

export class Cloud {
  machines = new Map();
  /** Machines that are gone, and since when: the list shows them for a while. */
  gone = [];
  workers = [];
  answers = new Map();
  nextNumber = 1;
  outage = false;

  /** `capacity(hull, harbor, spot)`: how many machines there may be at once. `newWorker`: options of a worker. */
  constructor({ hulls, capacity, bootMs, listLagS, workerOptions, log }) {
    Object.assign(this, { hulls, capacity, bootMs, workerOptions, log, lagMs: listLagS * 1000 });
  }

  async open() {
    this.server = await serveJson((method, url, body, reply) => this.serve(method, url, body, reply));
    return this;
  }

  close() {
    for (const worker of this.workers) worker.dispose();
    this.server.closeAllConnections();
    this.server.close();
  }

  serve(method, url, body, reply) {
    if (this.outage) return reply(503, { error: 'trouble' });
    const { pathname, searchParams } = new URL(url, 'http://cloud');
    if (method === 'GET' && pathname === '/catalog') return reply(200, { hulls: this.hulls });
    if (method === 'POST' && pathname === '/hosts') return this.rent(body, reply);
    if (method === 'POST' && pathname === '/hosts/delete') return this.remove(body, reply);
    if (method === 'GET' && pathname === '/hosts') return this.list(searchParams, reply);
    return reply(400, { error: 'malformed' });
  }

  count(hull, harbor, spot) {
    return [...this.machines.values()].filter(
      (machine) => machine.hull === hull && machine.harbor === harbor && machine.driftboats === spot,
    ).length;
  }

  async rent({ charter, hull, harbor, driftboats, number }, reply) {
    const known = this.answers.get(charter);
    if (known) return reply(200, known);
    const room = this.capacity(hull, harbor, driftboats) - this.count(hull, harbor, driftboats);
    const granted = Math.min(number, 50, room);
    this.log.add('rent', { charter, hull, harbor, driftboats, number, granted: Math.max(0, granted) });
    if (granted <= 0) return reply(503, { error: 'no capacity' });
    const berths = [];
    for (let i = 0; i < granted; i += 1) berths.push(this.add(hull, harbor, driftboats, this.bootMs));
    const answer = { berths };
    this.answers.set(charter, answer);
    return reply(200, answer);
  }

  /** Adds a machine that boots for a while; returns its name. */
  add(hullName, harbor, driftboats, bootMs) {
    const uid = `m-${String(this.nextNumber).padStart(6, '0')}`;
    this.nextNumber += 1;
    const hull = this.hulls.find(({ name }) => name === hullName);
    const worker = new Worker({
      ...this.workerOptions,
      name: uid,
      hull,
      harbor,
      spot: driftboats,
      log: this.log,
    });
    this.workers.push(worker);
    const machine = {
      uid,
      hull: hullName,
      harbor,
      driftboats,
      status: 'starting',
      worker,
      at: performance.now(),
    };
    this.machines.set(uid, machine);
    setTimeout(() => {
      if (!this.machines.has(uid)) return;
      machine.status = 'running';
      machine.runningAt = performance.now();
      void worker.start();
    }, bootMs);
    return uid;
  }

  remove({ berths }, reply) {
    for (const uid of berths) {
      const machine = this.machines.get(uid);
      if (!machine) continue;
      machine.worker.stop('deleted');
      this.machines.delete(uid);
      this.gone.push({ machine, at: performance.now() });
      this.log.add('deleted', { berth: uid });
    }
    return reply(200, {});
  }

  /** The machine stops on its own with all that is on it, and is silent from then on. */
  fail(uid) {
    const machine = this.machines.get(uid);
    machine.worker.stop('machine failed');
    machine.failedAt = performance.now();
    this.log.add('machine failed', { berth: uid });
  }

  /** The state of a machine at a time in the past, as the list shows it; null before its request. */
  stateAt({ at, runningAt, failedAt }, time) {
    if (at > time) return null;
    if (failedAt !== undefined && time > failedAt + DEAD_LISTED_MS) return 'failed';
    return runningAt !== undefined && runningAt <= time ? 'running' : 'starting';
  }

  /** Lists the machines as they were a moment ago. */
  list(query, reply) {
    const time = performance.now() - this.lagMs;
    const from = query.get('from') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const justGone = this.gone.filter(({ at }) => at > time).map(({ machine }) => machine);
    const all = [...this.machines.values(), ...justGone]
      .filter((machine) => machine.uid > from && this.stateAt(machine, time) !== null)
      .sort((first, second) => (first.uid < second.uid ? -1 : 1));
    const berths = all.slice(0, most).map((machine) => ({
      uid: machine.uid,
      endpoint: machine.worker.endpoint ?? '',
      hull: machine.hull,
      harbor: machine.harbor,
      driftboats: machine.driftboats,
      status: this.stateAt(machine, time),
      ageS: (time - machine.at) / 1000,
    }));
    return reply(200, { berths, hasNext: all.length > most });
  }
}
