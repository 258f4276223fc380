/** The real controllers, each on a host of its own, with ports that lead into the model. */
import { Controller, type Ports } from '../controller.js';
import type { Call, Outcome } from '../http/client.js';
import type { Handler } from '../http/server.js';
import type { Log } from '../log.js';
import { frame, FrameReader, type Mesh } from '../mesh/mesh.js';
import { parseTuning, type Settings } from '../settings/settings.js';
import type { Address, Incarnation } from '../model/units.js';
import { DriftingClock, Host, type EventQueue } from './clock.js';
import type { Network } from './network.js';
import type { Reply } from './state-service.js';
import type { Trace } from './trace.js';

const ANSWER_MS = 4500;

/** What a controller's requests reach. */
export interface Surroundings {
  readonly queue: EventQueue;
  readonly network: Network;
  readonly trace: Trace;
  readonly log: Log;
  readonly state: { readonly host: Host; serve(from: Host, call: Call, reply: Reply): void };
  readonly cloud: { readonly host: Host; serve(call: Call, reply: Reply): void };
  /** The machine at an address; null: nobody is there. */
  readonly machine: (
    address: Address,
  ) => { readonly host: Host; serve(call: Call, reply: Reply): void } | null;
  readonly node: (name: string) => ControllerNode | undefined;
  readonly tuning: string;
}

export class ControllerNode {
  readonly host: Host;
  private handler: Handler | null = null;
  private receive: ((message: unknown) => void) | null = null;

  constructor(
    readonly name: string,
    private readonly settings: Settings,
    private readonly drift: number,
    private readonly around: Surroundings,
  ) {
    this.host = new Host(name, settings.zone, around.queue);
    this.host.up = false;
  }

  start(): void {
    if (this.host.up) return;
    const { trace, queue, log, tuning } = this.around;
    this.host.start();
    trace.add(`${this.name} starts`);
    const clock = new DriftingClock(queue, this.host, this.drift, 1);
    const properties = parseTuning(tuning, 'scenario');
    void new Controller(this.settings, properties, clock, log, this.ports()).run();
  }

  end(): void {
    if (!this.host.up) return;
    this.around.trace.add(`${this.name} ends`);
    this.host.end();
    this.handler = null;
    this.receive = null;
  }

  /** A request has arrived at this node. */
  serve(call: Call, reply: Reply): void {
    if (!this.handler) return reply({ status: 503, body: { error: 'starting' } });
    const body = Buffer.from(call.body === undefined ? '' : JSON.stringify(call.body));
    let settled = false;
    const late = this.host.after(ANSWER_MS, () => {
      settled = true;
      reply({ status: 503, body: { error: 'not answered in time' }, retryAfterS: 1 });
    });
    const { life } = this.host;
    const handled = Promise.resolve(this.handler({ method: call.method, path: call.path, body }));
    void handled.then(
      (answer) => {
        if (settled || this.host.life !== life) return;
        late.cancel();
        reply(answer);
      },
      (error: unknown) => {
        this.around.trace.add(`${this.name} fails at ${call.path}: ${String(error)}`);
        reply({ status: 500, body: { error: 'internal error' } });
      },
    );
  }

  private ports(): Ports {
    const { state, cloud, machine } = this.around;
    const toState = this.caller(state.host, (call, reply) => state.serve(this.host, call, reply));
    return {
      state: toState,
      stateWatch: toState,
      cloud: this.caller(cloud.host, (call, reply) => cloud.serve(call, reply)),
      worker: (address) => ({
        call: (call) => {
          const target = machine(address);
          if (!target) return this.nobody(call);
          return this.caller(target.host, (c, reply) => target.serve(c, reply)).call(call);
        },
        close: () => undefined,
      }),
      mesh: (receive) => this.mesh(receive),
      listen: (handler) => {
        this.handler = handler;
        return Promise.resolve();
      },
      incarnation: () => `${this.name}-${this.host.life}` as Incarnation,
    };
  }

  /** A process that has ended never learns an outcome: its promises stay open. */
  private caller(
    to: Host,
    serve: (call: Call, reply: Reply) => void,
  ): { call: (call: Call) => Promise<Outcome> } {
    const { network } = this.around;
    return {
      call: (call) =>
        network.exchange({
          from: this.host,
          to,
          timeoutMs: call.timeout,
          serve: (reply) => serve(JSON.parse(JSON.stringify(call)) as Call, reply),
        }),
    };
  }

  private nobody(call: Call): Promise<Outcome> {
    return new Promise((resolve) => this.host.after(call.timeout, () => resolve({ kind: 'unsent' })));
  }

  private mesh(receive: (message: unknown) => void): Mesh {
    this.receive = receive;
    const send = (to: string, message: unknown): void => {
      const peer = this.around.node(to);
      if (!peer?.host.up) return;
      const bytes = frame(message);
      this.around.network.send(this.host, peer.host, () => {
        for (const m of new FrameReader().push(bytes)) peer.receive?.(m);
      });
    };
    return { send, broadcast: (m) => this.settings.peers.forEach((p) => send(p.node, m)) };
  }
}
