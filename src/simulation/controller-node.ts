/** Runs a real controller on a simulated host, with ports connected to the simulated services. */
import { Controller } from '../controller/controller.js';
import type { Ports } from '../controller/ports.js';
import type { Call, CallOutcome } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { Handler } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { frame, FrameReader, type PeerTransport } from '../peers/peer-transport.js';
import { parseTuning, type Settings } from '../settings/settings.js';
import type { Address, Incarnation } from '../model/units.js';
import { DriftingClock, Host, type EventQueue } from './clock.js';
import type { Network } from './network.js';
import type { Reply } from './store-service.js';
import type { Trace } from './trace.js';

const RESPONSE_TIMEOUT_MS = 4500;

/** Services, machines and peers that a controller can reach. */
export interface ControllerEnvironment {
  readonly queue: EventQueue;
  readonly network: Network;
  readonly trace: Trace;
  readonly log: Log;
  readonly store: { readonly host: Host; serve(from: Host, call: Call, reply: Reply): void };
  readonly cloud: { readonly host: Host; serve(call: Call, reply: Reply): void };
  /** Returns the machine at an address, or null. */
  readonly findMachine: (
    address: Address,
  ) => { readonly host: Host; serve(call: Call, reply: Reply): void } | null;
  readonly findPeer: (name: string) => ControllerNode | undefined;
  readonly tuning: string;
}

/** A production controller on a simulated host; each start after a stop is a new process. */
export class ControllerNode {
  readonly host: Host;
  private handler: Handler | null = null;
  private receive: ((message: unknown) => void) | null = null;

  constructor(
    readonly name: string,
    private readonly settings: Settings,
    private readonly drift: number,
    protected readonly environment: ControllerEnvironment,
  ) {
    this.host = new Host(name, settings.zone, environment.queue);
    this.host.up = false;
  }

  start(): void {
    if (this.host.up) return;
    const { trace, queue, log, tuning } = this.environment;
    this.host.start();
    trace.add(`${this.name} starts`);
    const clock = new DriftingClock(queue, this.host, this.drift, 1);
    const properties = parseTuning(tuning, 'scenario');
    void new Controller(this.settings, properties, clock, log, this.ports()).run();
  }

  stop(): void {
    if (!this.host.up) return;
    this.environment.trace.add(`${this.name} ends`);
    this.host.stop();
    this.handler = null;
    this.receive = null;
  }

  /** Handles a request that has arrived at this node. */
  serve(call: Call, reply: Reply): void {
    if (!this.handler) {
      reply({ status: HTTP_STATUS.serviceUnavailable, body: { error: 'starting' } });
      return;
    }
    const body = Buffer.from(call.body === undefined ? '' : JSON.stringify(call.body));
    let responded = false;
    const timeout = this.host.after(RESPONSE_TIMEOUT_MS, () => {
      responded = true;
      reply({
        status: HTTP_STATUS.serviceUnavailable,
        body: { error: 'not answered in time' },
        retryAfterS: 1,
      });
    });
    const { lifetime } = this.host;
    const handled = Promise.resolve(this.handler({ method: call.method, path: call.path, body }));
    void handled.then(
      (response) => {
        if (responded || this.host.lifetime !== lifetime) return;
        timeout.cancel();
        reply(response);
      },
      (error: unknown) => {
        this.environment.trace.add(`${this.name} fails at ${call.path}: ${String(error)}`);
        reply({ status: HTTP_STATUS.internalServerError, body: { error: 'internal error' } });
      },
    );
  }

  private ports(): Ports {
    const { store, cloud, findMachine } = this.environment;
    const storeClient = this.buildClient(store.host, (call, reply) => store.serve(this.host, call, reply));
    return {
      state: storeClient,
      stateWatch: storeClient,
      cloud: this.buildClient(cloud.host, (call, reply) => cloud.serve(call, reply)),
      worker: (address) => ({
        call: (call) => {
          const target = findMachine(address);
          if (!target) return this.unreachable(call);
          return this.buildClient(target.host, (received, reply) => target.serve(received, reply)).call(call);
        },
        close: () => undefined,
      }),
      mesh: (receive) => this.mesh(receive),
      listen: (handler) => {
        this.handler = handler;
        return Promise.resolve();
      },
      incarnation: () => `${this.name}-${this.host.lifetime}` as Incarnation,
    };
  }

  /** Builds a client for a service; promises of a process that has ended are never resolved. */
  private buildClient(
    to: Host,
    serve: (call: Call, reply: Reply) => void,
  ): { call: (call: Call) => Promise<CallOutcome> } {
    const { network } = this.environment;
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

  private unreachable(call: Call): Promise<CallOutcome> {
    return new Promise((resolve) => this.host.after(call.timeout, () => resolve({ kind: 'unsent' })));
  }

  private mesh(receive: (message: unknown) => void): PeerTransport {
    this.receive = receive;
    const send = (to: string, message: unknown): void => {
      const peer = this.environment.findPeer(to);
      if (!peer?.host.up) return;
      const bytes = frame(message);
      this.environment.network.send(this.host, peer.host, () => {
        for (const message of new FrameReader().push(bytes)) peer.receive?.(message);
      });
    };
    return { send, broadcast: (message) => this.settings.peers.forEach((peer) => send(peer.node, message)) };
  }
}
