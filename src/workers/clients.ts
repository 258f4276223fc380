/** Connections to workers' own addresses: one client an address, closed when no machine has it any more. */
import type { Caller } from '../store/client.js';
import type { Address } from '../model/units.js';
import { millis } from '../model/units.js';
import { decodeHeartbeat, type Heartbeat } from './wire.js';

/**
 * Share of our sockets: calls to workers at once, and as many again that are kept open after a call. The rest is for
 * those who come to us: a controller that is left alone has a connection of every machine.
 */
export const DIRECT_CALL_SHARE = 0.1;

const STATUS_CALL = { method: 'GET', path: '/status', timeout: millis(1000) } as const;

/** A way to one worker's own address. */
export interface WorkerClient extends Caller {
  close(): void;
}

/** The clients of all workers that were called lately. */
export class WorkerClients {
  private readonly clients = new Map<Address, WorkerClient>();

  constructor(private readonly dial: (address: Address) => WorkerClient) {}

  /** The client for an address, opened when it is first asked for. */
  clientFor(address: Address): WorkerClient {
    let client = this.clients.get(address);
    if (!client) {
      client = this.dial(address);
      this.clients.set(address, client);
    }
    return client;
  }

  /** Closes the clients whose address is not wanted. */
  closeExcept(wanted: ReadonlySet<Address>): void {
    for (const [address, client] of this.clients) {
      if (wanted.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }

  /**
   * Does the machine answer at its own address? What reports and cannot be reached takes no orders; and a late copy
   * of a report from a machine that was deleted, perhaps before this process began, finds nobody there.
   */
  async isReachable(heartbeat: Heartbeat): Promise<boolean> {
    const outcome = await this.clientFor(heartbeat.address).call(STATUS_CALL);
    if (outcome.kind !== 'answer' || outcome.status !== 200) return false;
    return decodeHeartbeat(outcome.body)?.machine === heartbeat.machine;
  }

  /** How many of these addresses answer a status call. */
  async countReachable(addresses: readonly Address[]): Promise<number> {
    const outcomes = await Promise.all(addresses.map((address) => this.clientFor(address).call(STATUS_CALL)));
    return outcomes.filter((outcome) => outcome.kind === 'answer' && outcome.status === 200).length;
  }
}
