/** A stand-in for the cloud: a catalog, a list of machines, and deletion; it has no capacity for further machines. */
import { performance } from 'node:perf_hooks';
import { serve } from './wire.mjs';

/** How long a machine that has died is listed as running. */
const LISTED_AS_RUNNING_MS = 30_000;

/** Rents no machines beyond those that it has at the start. */
export class Cloud {
  machines = new Map();
  servers = [];

  /** `onDelete` is called with the name of each machine that is deleted. */
  constructor(types, record, onDelete) {
    this.types = types;
    this.record = record;
    this.onDelete = onDelete;
  }

  add(machine) {
    this.machines.set(machine.name, { ...machine, rentedAt: performance.now() - 600_000 });
  }

  /** Records that a machine has stopped on its own. */
  markDead(name) {
    this.machines.get(name).diedAt = performance.now();
  }

  async listen(port) {
    this.servers.push(await serve(port, (request) => this.handle(request)));
  }

  close() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  handle({ method, url, body }) {
    if (method === 'GET' && url.pathname === '/catalog') return { status: 200, body: { hulls: this.types } };
    if (method === 'GET' && url.pathname === '/hosts') return this.list(url.searchParams);
    if (method === 'POST' && url.pathname === '/hosts')
      return { status: 503, body: { error: 'no capacity' } };
    if (method === 'POST' && url.pathname === '/hosts/delete') {
      for (const name of body.berths) {
        if (!this.machines.delete(name)) continue;
        this.record(`cloud: ${name} is deleted`);
        this.onDelete(name);
      }
      return { status: 200, body: {} };
    }
    return { status: 400, body: { error: 'malformed' } };
  }

  list(query) {
    const from = query.get('from') ?? '';
    const now = performance.now();
    const names = [...this.machines.keys()].filter((name) => name > from).sort();
    const berths = names.map((name) => {
      const { endpoint, type, zone, spot, rentedAt, diedAt } = this.machines.get(name);
      const ageS = (now - rentedAt) / 1000;
      const status = diedAt !== undefined && now - diedAt > LISTED_AS_RUNNING_MS ? 'failed' : 'running';
      return { uid: name, endpoint, hull: type, harbor: zone, driftboats: spot, status, ageS };
    });
    return { status: 200, body: { berths, hasNext: false } };
  }
}
