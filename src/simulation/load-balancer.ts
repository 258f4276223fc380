/** Load balancer in front of the controllers: health probes, ejection with growing periods, least connections. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { Millis } from '../model/units.js';
import type { EventQueue, Host } from './clock.js';
import type { ControllerNode } from './controller-node.js';
import type { ExchangeOutcome, Network } from './network.js';
import type { RandomStream } from './random.js';

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** Number of recent probes that count, and of failures among them that make a backend unhealthy. */
const PROBE_WINDOW = 6;
const UNHEALTHY_FAILURE_COUNT = 3;
const MIN_EJECTION_MS = 3000;
const MAX_EJECTION_MS = 60_000;
/** An ejection within this time after the previous one lasts twice as long. */
const EJECTION_MEMORY_MS = 120_000;
const SLOW_START_MS = 10_000;
const CONNECT_TIMEOUT_MS = 500;
const MAX_ATTEMPTS = 3;
const SKIP_BACKEND_MS = 3000;
const SKIP_AFTER_FAILURES = 3;
const PROBE_INTERVAL_FACTOR = { low: 0.95, high: 1.05 };
/** Initial share of its normal load that a backend gets when it has just become healthy. */
const SLOW_START_SHARE = 0.05;
/** Time that a refused connection attempt takes. */
const REFUSAL_DELAY_MS = 1;

interface Backend {
  readonly node: ControllerNode;
  healthy: boolean;
  everHealthy: boolean;
  /** Results of the last probes, oldest first; true if the answer was 200. */
  probes: boolean[];
  healthySince: number;
  ejectedAt: number;
  ejectionMs: number;
  openConnections: number;
  consecutiveFailures: number;
  skipUntil: number;
}

/** Forwards users' requests to healthy controllers. */
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
      ejectedAt: -Infinity,
      ejectionMs: 0,
      openConnections: 0,
      consecutiveFailures: 0,
      skipUntil: 0,
    }));
    for (const backend of this.backends)
      this.queue.after(this.random.between(0, PROBE_INTERVAL_MS), () => this.probe(backend));
  }

  private probe(backend: Backend): void {
    this.queue.after(PROBE_INTERVAL_MS * this.random.within(PROBE_INTERVAL_FACTOR), () =>
      this.probe(backend),
    );
    const call: Call = { method: 'GET', path: '/up', timeout: PROBE_TIMEOUT_MS as Millis };
    void this.exchange(backend, call).then((outcome) =>
      this.updateHealth(backend, outcome.kind === 'answer' && outcome.status === HTTP_STATUS.ok),
    );
  }

  private updateHealth(backend: Backend, succeeded: boolean): void {
    const { now } = this.queue;
    backend.probes = [...backend.probes, succeeded].slice(-PROBE_WINDOW);
    const lastTwoProbes = backend.probes.slice(-2);
    const failures = backend.probes.filter((succeeded) => !succeeded).length;
    if (backend.healthy) {
      if (lastTwoProbes.some(Boolean) && failures < UNHEALTHY_FAILURE_COUNT) return;
      backend.healthy = false;
      backend.ejectionMs =
        now - backend.ejectedAt < EJECTION_MEMORY_MS
          ? Math.min(MAX_EJECTION_MS, backend.ejectionMs * 2)
          : MIN_EJECTION_MS;
      backend.ejectedAt = now;
      return;
    }
    const becomesHealthy = backend.everHealthy
      ? lastTwoProbes.length === 2 && lastTwoProbes.every(Boolean)
      : succeeded;
    if (!becomesHealthy || (backend.everHealthy && now - backend.ejectedAt < backend.ejectionMs)) return;
    backend.healthy = true;
    backend.healthySince = backend.everHealthy ? now : now - SLOW_START_MS;
    backend.everHealthy = true;
    backend.probes = [];
  }

  private exchange(backend: Backend, call: Call): Promise<ExchangeOutcome> {
    const { node } = backend;
    const serve = (reply: Parameters<ControllerNode['serve']>[1]): void => node.serve(call, reply);
    return this.network.exchange({ from: this.host, to: node.host, timeoutMs: call.timeout, serve });
  }

  /** Returns healthy backends, fewest open connections first; the load of a newly healthy backend grows gradually. */
  private candidates(): Backend[] {
    const { now } = this.queue;
    const load = (backend: Backend): number =>
      (backend.openConnections + 1 + this.random.unit() / 2) /
      Math.min(1, SLOW_START_SHARE + (now - backend.healthySince) / SLOW_START_MS);
    return this.backends
      .filter((backend) => backend.healthy && now >= backend.skipUntil)
      .map((backend) => ({ backend, load: load(backend) }))
      .sort((one, other) => one.load - other.load)
      .map(({ backend }) => backend);
  }

  /** Forwards one request on a new connection; tries up to `MAX_ATTEMPTS` backends. */
  async request(call: Call): Promise<ExchangeOutcome> {
    for (const backend of this.candidates().slice(0, MAX_ATTEMPTS)) {
      if (await this.canConnect(backend)) return this.forward(backend, call);
    }
    return { kind: 'unsent' };
  }

  private async canConnect(backend: Backend): Promise<boolean> {
    const { host } = backend.node;
    const partition =
      this.network.blockingPartition(this.host, host) ?? this.network.blockingPartition(host, this.host);
    if (host.up && !partition) {
      backend.consecutiveFailures = 0;
      return true;
    }
    backend.consecutiveFailures += 1;
    if (backend.consecutiveFailures >= SKIP_AFTER_FAILURES) {
      backend.consecutiveFailures = 0;
      backend.skipUntil = this.queue.now + SKIP_BACKEND_MS;
    }
    const refused = partition ? partition.mode === 'refuse' : true;
    await new Promise<void>((resolve) =>
      this.queue.after(refused ? REFUSAL_DELAY_MS : CONNECT_TIMEOUT_MS, resolve),
    );
    return false;
  }

  private async forward(backend: Backend, call: Call): Promise<ExchangeOutcome> {
    backend.openConnections += 1;
    const outcome = await this.exchange(backend, call);
    backend.openConnections -= 1;
    return outcome;
  }

  /** Sends a request directly to one controller, as the fault `close_looks` does with every controller. */
  requestAt(node: number, call: Call): Promise<ExchangeOutcome> {
    return this.exchange(this.backends[node] as Backend, call);
  }
}
