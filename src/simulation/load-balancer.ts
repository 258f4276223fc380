/** The load balancer before the controllers: health probes, removal with growing pauses, fewest open connections. */
import type { Call } from '../http/client.js';
import type { Millis } from '../model/units.js';
import type { EventQueue, Host } from './clock.js';
import type { ControllerNode } from './controllers.js';
import type { ExchangeOutcome, Network } from './network.js';
import type { RandomStream } from './random.js';

const PROBE_GAP_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const RECENT_PROBES = 6;
const RECENT_FAILURES = 3;
const LEAST_PAUSE_MS = 3000;
const LONGEST_PAUSE_MS = 60_000;
const REMEMBER_MS = 120_000;
const RAMP_MS = 10_000;
const ACCEPT_MS = 500;
const TRIES = 3;
const SKIP_MS = 3000;

interface Backend {
  readonly node: ControllerNode;
  healthy: boolean;
  everHealthy: boolean;
  /** Latest last; true: answered 200. */
  probes: boolean[];
  healthySince: number;
  removedAt: number;
  pauseMs: number;
  open: number;
  failedInARow: number;
  skipUntil: number;
}

export class LoadBalancer {
  private readonly backends: Backend[];

  constructor(
    nodes: readonly ControllerNode[],
    private readonly host: Host,
    private readonly queue: EventQueue,
    private readonly network: Network,
    private readonly random: RandomStream,
  ) {
    this.backends = nodes.map((node) => ({
      node,
      healthy: false,
      everHealthy: false,
      probes: [],
      healthySince: 0,
      removedAt: -Infinity,
      pauseMs: 0,
      open: 0,
      failedInARow: 0,
      skipUntil: 0,
    }));
    for (const b of this.backends)
      this.queue.after(this.random.between(0, PROBE_GAP_MS), () => this.probe(b));
  }

  private probe(b: Backend): void {
    this.queue.after(PROBE_GAP_MS * this.random.between(0.95, 1.05), () => this.probe(b));
    const call: Call = { method: 'GET', path: '/up', timeout: PROBE_TIMEOUT_MS as Millis };
    void this.exchange(b, call).then((o) => this.judge(b, o.kind === 'answer' && o.status === 200));
  }

  private judge(b: Backend, ok: boolean): void {
    const { now } = this.queue;
    b.probes = [...b.probes, ok].slice(-RECENT_PROBES);
    const lastTwo = b.probes.slice(-2);
    const failures = b.probes.filter((p) => !p).length;
    if (b.healthy) {
      if (lastTwo.some(Boolean) && failures < RECENT_FAILURES) return;
      b.healthy = false;
      b.pauseMs =
        now - b.removedAt < REMEMBER_MS ? Math.min(LONGEST_PAUSE_MS, b.pauseMs * 2) : LEAST_PAUSE_MS;
      b.removedAt = now;
      return;
    }
    const enough = b.everHealthy ? lastTwo.length === 2 && lastTwo.every(Boolean) : ok;
    if (!enough || (b.everHealthy && now - b.removedAt < b.pauseMs)) return;
    b.healthy = true;
    b.healthySince = b.everHealthy ? now : now - RAMP_MS;
    b.everHealthy = true;
    b.probes = [];
  }

  private exchange(b: Backend, call: Call): Promise<ExchangeOutcome> {
    const { node } = b;
    const serve = (reply: Parameters<ControllerNode['serve']>[1]): void => node.serve(call, reply);
    return this.network.exchange({ from: this.host, to: node.host, timeoutMs: call.timeout, serve });
  }

  /** Fewest open connections first; a node that has just turned healthy gets its share gradually. */
  private order(): Backend[] {
    const { now } = this.queue;
    const load = (b: Backend): number =>
      (b.open + 1 + this.random.unit() / 2) / Math.min(1, 0.05 + (now - b.healthySince) / RAMP_MS);
    return this.backends
      .filter((b) => b.healthy && now >= b.skipUntil)
      .map((b) => ({ b, load: load(b) }))
      .sort((x, y) => x.load - y.load)
      .map(({ b }) => b);
  }

  /** One request on a new connection. */
  async request(call: Call): Promise<ExchangeOutcome> {
    for (const b of this.order().slice(0, TRIES)) {
      if (await this.accepts(b)) return this.forward(b, call);
    }
    return { kind: 'unsent' };
  }

  private async accepts(b: Backend): Promise<boolean> {
    const { host } = b.node;
    const cut = this.network.blocking(this.host, host) ?? this.network.blocking(host, this.host);
    if (host.up && !cut) {
      b.failedInARow = 0;
      return true;
    }
    b.failedInARow += 1;
    if (b.failedInARow >= 3) {
      b.failedInARow = 0;
      b.skipUntil = this.queue.now + SKIP_MS;
    }
    const refused = cut ? cut.mode === 'refuse' : true;
    await new Promise<void>((resolve) => this.queue.after(refused ? 1 : ACCEPT_MS, resolve));
    return false;
  }

  private async forward(b: Backend, call: Call): Promise<ExchangeOutcome> {
    b.open += 1;
    const outcome = await this.exchange(b, call);
    b.open -= 1;
    return outcome;
  }

  /** A request straight to one node, as `close_looks` does at all of them. */
  requestAt(node: number, call: Call): Promise<ExchangeOutcome> {
    return this.exchange(this.backends[node] as Backend, call);
  }
}
