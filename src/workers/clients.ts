/**
 * Connections to workers' own addresses: one client an address, opened on the first call and closed once no machine of
 * this controller's shards has the address.
 */
import type { CallOutcome } from '../http/client.js';
import type { Caller } from '../store/client.js';
import type { Address } from '../model/units.js';
import { millis } from '../model/units.js';
import { decodeHeartbeat, WorkerPath, WorkerStatus, type Heartbeat } from './wire.js';

/**
 * Share of a controller's sockets for calls to workers at once, and as many again for connections that are kept open
 * after a call. The rest is for incoming ones: a controller without living peers has one from every machine.
 */
export const DIRECT_CALL_SHARE = 0.1;

const STATUS_CALL = { method: 'GET', path: WorkerPath.status, timeout: millis(1000) } as const;

/** Client of one worker's own address. */
export interface WorkerClient extends Caller {
  /** Ends its connections; calls in flight end without an answer. */
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

  /** Closes the clients of all other addresses. */
  closeExcept(wanted: ReadonlySet<Address>): void {
    for (const [address, client] of this.clients) {
      if (wanted.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }

  /**
   * Whether the machine replies at its own address.
   *
   * Prevents: a machine that is heard and cannot be reached is registered, and takes no commands; and a delayed heartbeat
   * of a machine that was deleted, perhaps before this process began, registers it again.
   */
  async isReachable(heartbeat: Heartbeat): Promise<boolean> {
    const outcome = await this.clientFor(heartbeat.address).call(STATUS_CALL);
    return isStatus(outcome) && decodeHeartbeat(outcome.body)?.machine === heartbeat.machine;
  }

  /** How many of these addresses reply to a status call. */
  async countReachable(addresses: readonly Address[]): Promise<number> {
    const outcomes = await Promise.all(addresses.map((address) => this.clientFor(address).call(STATUS_CALL)));
    return outcomes.filter(isStatus).length;
  }
}

function isStatus(outcome: CallOutcome): outcome is Extract<CallOutcome, { kind: 'answer' }> {
  return outcome.kind === 'answer' && outcome.status === WorkerStatus.ok;
}
