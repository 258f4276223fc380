/**
 * Simulated network: latency, jitter, loss with resend, and partitions that drop or hold messages or refuse connections.
 * A failed connection attempt never delivers its request later. An open connection may deliver a request long after its
 * sender has timed out (PROTOCOL, "Delayed messages").
 */
import type { CallOutcome } from '../http/client.js';
import type { EventQueue, Host } from './clock.js';
import type { RandomStream } from './random.js';

/** What a partition does to packets: drop them, hold them until it heals, or drop them and refuse new connections. */
export type PartitionMode = 'drop' | 'hold' | 'refuse';

/** A network partition: stops packets between the hosts that `blocks` selects. */
export interface Partition {
  readonly mode: PartitionMode;
  blocks(from: Host, to: Host): boolean;
}

/** Latencies in milliseconds within and between zones, with their variation and packet loss. */
export interface NetworkOptions {
  readonly sameZoneMs: number;
  readonly crossZoneMs: number;
  /** Maximum random addition to the latency, as a share of it. */
  readonly jitter: number;
  /** Share of packets that are lost and resent. */
  readonly loss: number;
}

/** An HTTP response; `retryAfterS` is in seconds. */
export interface Response {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterS?: number;
}

/** Outcome of an exchange, with the Retry-After header in seconds if the response has one. */
export type ExchangeOutcome = CallOutcome & { readonly retryAfterS?: number };

interface HeldMessage {
  readonly from: Host;
  readonly to: Host;
  readonly arrive: () => void;
}

interface Exchange {
  readonly from: Host;
  readonly to: Host;
  readonly timeoutMs: number;
  /** Runs on the receiving host; may reply later, or never. */
  readonly serve: (reply: (response: Response) => void) => void;
}

const RESEND_DELAY_MS = 200;
const CONNECTION_IDLE_TIMEOUT_MS = 20_000;

/** Delivers packets between hosts, subject to latency and partitions. */
export class Network {
  private readonly partitions = new Set<Partition>();
  private heldMessages: HeldMessage[] = [];
  /** Time until which a connection stays open, by sender, receiver and their process lifetimes. */
  private readonly connections = new Map<string, number>();
  private readonly lastArrival = new Map<string, number>();

  constructor(
    private readonly queue: EventQueue,
    private readonly options: NetworkOptions,
    private readonly random: RandomStream,
  ) {}

  addPartition(partition: Partition): void {
    this.partitions.add(partition);
  }

  /** Removes a partition and delivers held messages in the order in which they were sent. */
  heal(partition: Partition): void {
    this.partitions.delete(partition);
    const released = this.heldMessages;
    this.heldMessages = [];
    for (const message of released) this.send(message.from, message.to, message.arrive);
  }

  blockingPartition(from: Host, to: Host): Partition | null {
    for (const partition of this.partitions) if (partition.blocks(from, to)) return partition;
    return null;
  }

  private latency(from: Host, to: Host): number {
    const isSameZone = from.zone !== null && from.zone === to.zone;
    const base = isSameZone ? this.options.sameZoneMs : this.options.crossZoneMs;
    const resendDelayMs = this.random.chance(this.options.loss) ? RESEND_DELAY_MS : 0;
    return base * (1 + this.options.jitter * this.random.unit()) + resendDelayMs;
  }

  /** Sends one packet; packets between two hosts arrive in order. */
  send(from: Host, to: Host, arrive: () => void): void {
    const partition = this.blockingPartition(from, to);
    if (partition) {
      if (partition.mode === 'hold') this.heldMessages.push({ from, to, arrive });
      return;
    }
    const key = `${from.name}>${to.name}`;
    const arrivesAt = Math.max(this.queue.now + this.latency(from, to), this.lastArrival.get(key) ?? 0);
    this.lastArrival.set(key, arrivesAt);
    to.after(arrivesAt - this.queue.now, arrive);
  }

  /** Returns the result of a connection attempt: established, refused at once, or never answered. */
  private connect(from: Host, to: Host): 'open' | 'refused' | 'silent' {
    const partition = this.blockingPartition(from, to) ?? this.blockingPartition(to, from);
    if (partition) return partition.mode === 'refuse' ? 'refused' : 'silent';
    // A machine that is off does not answer; if only a process has ended, its operating system refuses the connection.
    if (!to.up) return to.name.startsWith('m-') ? 'silent' : 'refused';
    return 'open';
  }

  exchange(exchange: Exchange): Promise<ExchangeOutcome> {
    const { from, to } = exchange;
    const key = `${from.name}/${from.lifetime}>${to.name}/${to.lifetime}`;
    const connected = to.up && (this.connections.get(key) ?? 0) > this.queue.now;
    return new Promise((resolve) => {
      if (connected) {
        this.request(exchange, key, resolve);
        return;
      }
      const result = this.connect(from, to);
      if (result === 'open') {
        // The handshake takes a round trip.
        from.after(2 * this.latency(from, to), () => this.request(exchange, key, resolve));
      } else {
        const waitMs = result === 'refused' ? 2 * this.latency(from, to) : exchange.timeoutMs;
        from.after(waitMs, () => resolve({ kind: 'unsent' }));
      }
    });
  }

  private request(exchange: Exchange, key: string, resolve: (outcome: ExchangeOutcome) => void): void {
    const { from, to } = exchange;
    let resolved = false;
    this.connections.set(key, this.queue.now + CONNECTION_IDLE_TIMEOUT_MS);
    const timeoutTimer = from.after(exchange.timeoutMs, () => {
      resolved = true;
      this.connections.delete(key);
      resolve({ kind: 'unknown' });
    });
    const reply = (response: Response): void => {
      const copy = JSON.parse(JSON.stringify(response)) as Response;
      this.send(to, from, () => {
        if (resolved) return;
        resolved = true;
        timeoutTimer.cancel();
        this.connections.set(key, this.queue.now + CONNECTION_IDLE_TIMEOUT_MS);
        resolve({ kind: 'answer', ...copy });
      });
    };
    this.send(from, to, () => {
      if (to.up) exchange.serve(reply);
    });
  }
}
