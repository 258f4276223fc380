/**
 * Hosts exchange requests and answers over connections: latency, jitter, loss with resend, and cuts that drop, hold or
 * refuse. A connection that was given up carries no late request; one that stands may deliver what was sent on it long
 * after the sender has given up (PROTOCOL, "Delayed messages").
 */
import type { Outcome } from '../http/client.js';
import type { EventQueue, Host } from './clock.js';
import type { RandomStream } from './random.js';

export type CutMode = 'drop' | 'hold' | 'refuse';

/** A part of the network in which nothing passes from one host to another. */
export interface Cut {
  readonly mode: CutMode;
  blocks(from: Host, to: Host): boolean;
}

export interface NetworkOptions {
  readonly sameZoneMs: number;
  readonly crossZoneMs: number;
  /** Share of the latency that varies. */
  readonly jitter: number;
  /** Share of packets that are lost and sent again. */
  readonly loss: number;
}

export interface Response {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterS?: number;
}

export type ExchangeOutcome = Outcome & { readonly retryAfterS?: number };

interface Held {
  readonly from: Host;
  readonly to: Host;
  readonly arrive: () => void;
}

interface Exchange {
  readonly from: Host;
  readonly to: Host;
  readonly timeoutMs: number;
  /** Runs at the other side; may answer later, or never. */
  readonly serve: (reply: (response: Response) => void) => void;
}

const RESEND_MS = 200;
const IDLE_MS = 20_000;

export class Network {
  private readonly cuts = new Set<Cut>();
  private held: Held[] = [];
  /** Until when a connection stands, by sender, receiver and their lives. */
  private readonly connections = new Map<string, number>();
  private readonly lastArrival = new Map<string, number>();

  constructor(
    private readonly queue: EventQueue,
    private readonly options: NetworkOptions,
    private readonly random: RandomStream,
  ) {}

  cut(cut: Cut): void {
    this.cuts.add(cut);
  }

  /** What was held is delivered in the order in which it was sent. */
  heal(cut: Cut): void {
    this.cuts.delete(cut);
    const waiting = this.held;
    this.held = [];
    for (const h of waiting) this.send(h.from, h.to, h.arrive);
  }

  blocking(from: Host, to: Host): Cut | null {
    for (const cut of this.cuts) if (cut.blocks(from, to)) return cut;
    return null;
  }

  private latency(from: Host, to: Host): number {
    const near = from.zone !== null && from.zone === to.zone;
    const base = near ? this.options.sameZoneMs : this.options.crossZoneMs;
    const lost = this.random.chance(this.options.loss) ? RESEND_MS : 0;
    return base * (1 + this.options.jitter * this.random.unit()) + lost;
  }

  /** One packet; packets between two hosts arrive in order. */
  send(from: Host, to: Host, arrive: () => void): void {
    const cut = this.blocking(from, to);
    if (cut) {
      if (cut.mode === 'hold') this.held.push({ from, to, arrive });
      return;
    }
    const key = `${from.name}>${to.name}`;
    const due = Math.max(this.queue.now + this.latency(from, to), this.lastArrival.get(key) ?? 0);
    this.lastArrival.set(key, due);
    to.after(due - this.queue.now, arrive);
  }

  /** How an attempt to connect ends: established, refused at once, or never answered. */
  private connect(from: Host, to: Host): 'open' | 'refused' | 'silent' {
    const cut = this.blocking(from, to) ?? this.blocking(to, from);
    if (cut) return cut.mode === 'refuse' ? 'refused' : 'silent';
    // A machine without power is silent; where only the process has ended, its system refuses.
    if (!to.up) return to.name.startsWith('m-') ? 'silent' : 'refused';
    return 'open';
  }

  exchange(e: Exchange): Promise<ExchangeOutcome> {
    const { from, to } = e;
    const key = `${from.name}/${from.life}>${to.name}/${to.life}`;
    const standing = to.up && (this.connections.get(key) ?? 0) > this.queue.now;
    return new Promise((resolve) => {
      if (standing) return this.request(e, key, resolve);
      const result = this.connect(from, to);
      if (result === 'open') {
        // The handshake takes a round trip.
        from.after(2 * this.latency(from, to), () => this.request(e, key, resolve));
      } else {
        const wait = result === 'refused' ? 2 * this.latency(from, to) : e.timeoutMs;
        from.after(wait, () => resolve({ kind: 'unsent' }));
      }
    });
  }

  private request(e: Exchange, key: string, resolve: (o: ExchangeOutcome) => void): void {
    const { from, to } = e;
    let settled = false;
    this.connections.set(key, this.queue.now + IDLE_MS);
    const giveUp = from.after(e.timeoutMs, () => {
      settled = true;
      this.connections.delete(key);
      resolve({ kind: 'unknown' });
    });
    const reply = (response: Response): void => {
      const copy = JSON.parse(JSON.stringify(response)) as Response;
      this.send(to, from, () => {
        if (settled) return;
        settled = true;
        giveUp.cancel();
        this.connections.set(key, this.queue.now + IDLE_MS);
        resolve({ kind: 'answer', ...copy });
      });
    };
    this.send(from, to, () => {
      if (to.up) e.serve(reply);
    });
  }
}
