/**
 * Clients for direct calls to workers: one per address, opened on the first call and closed once no machine of this
 * controller's shards has the address.
 */
import type { CallOutcome } from '../http/client.js';
import type { HttpTransport } from '../store/client.js';
import type { Address } from '../model/units.js';
import { millis } from '../model/units.js';
import { decodeHeartbeat, WorkerPath, WorkerStatus, type Heartbeat } from './wire.js';

/**
 * Fraction of a controller's sockets for concurrent calls to workers; the same fraction again is for connections that
 * are kept open after a call. The rest is for incoming connections: a controller whose peers are all down has one from
 * every machine.
 */
export const DIRECT_CALL_SHARE = 0.1;

const STATUS_CALL = { method: 'GET', path: WorkerPath.status, timeout: millis(1000) } as const;

/** Client for one worker's address. */
export interface WorkerClient extends HttpTransport {
  /** Closes the connections; calls in flight end without an answer. */
  close(): void;
}

/** Creates and caches the clients for workers' addresses. */
export class WorkerClients {
  private readonly clients = new Map<Address, WorkerClient>();

  constructor(private readonly dial: (address: Address) => WorkerClient) {}

  /** Returns the client for an address, creating it on first use. */
  clientFor(address: Address): WorkerClient {
    let client = this.clients.get(address);
    if (!client) {
      client = this.dial(address);
      this.clients.set(address, client);
    }
    return client;
  }

  /** Closes the clients of all addresses that are not in `addressesInUse`. */
  closeExcept(addressesInUse: ReadonlySet<Address>): void {
    for (const [address, client] of this.clients) {
      if (addressesInUse.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }

  /**
   * Returns whether the machine replies at the address in its heartbeat.
   *
   * Prevents: a machine whose heartbeats arrive but which cannot be reached is registered, and receives no commands.
   * Also prevents: a delayed heartbeat of a machine that was deleted, perhaps before this process started, registers it
   * again.
   */
  async isReachable(heartbeat: Heartbeat): Promise<boolean> {
    const outcome = await this.clientFor(heartbeat.address).call(STATUS_CALL);
    return isStatus(outcome) && decodeHeartbeat(outcome.body)?.machine === heartbeat.machine;
  }

  /** Returns how many of these addresses reply to a status call. */
  async countReachable(addresses: readonly Address[]): Promise<number> {
    const outcomes = await Promise.all(addresses.map((address) => this.clientFor(address).call(STATUS_CALL)));
    return outcomes.filter(isStatus).length;
  }
}

function isStatus(outcome: CallOutcome): outcome is Extract<CallOutcome, { kind: 'answer' }> {
  return outcome.kind === 'answer' && outcome.status === WorkerStatus.ok;
}
