/** HTTP/1.1 client on `net`: a few kept connections a target, every exchange bounded in time and size. */
import { connect, type Socket } from 'node:net';
import type { Address, Millis } from '../model/units.js';
import { HttpParser } from './parser.js';
import { splitAddress } from './server.js';

export type Outcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  /** Certainly not carried out: no connection came about. */
  | { readonly kind: 'unsent' }
  /** Sent, and no readable answer: carried out, not carried out, or to be carried out later. */
  | { readonly kind: 'unknown' };

export interface Call {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeout: Millis;
  /** Asked at the moment of writing, after every wait for a turn or a connection; false: it is not sent. */
  readonly mayStillSend?: () => boolean;
}

interface Link {
  readonly socket: Socket;
  parser: HttpParser;
  connected: boolean;
  /** Writes the request that waits for the connection. */
  whenConnected: (() => void) | null;
  current: { resolve: (o: Outcome) => void; timer: NodeJS.Timeout; sent: boolean } | null;
}

const IDLE_CLOSE = 20_000;

/** Connections of many clients together: beyond this many none is kept open for a later request. */
export class Sockets {
  open = 0;

  constructor(readonly kept: number) {}

  get mayKeep(): boolean {
    return this.open <= this.kept;
  }
}

export class HttpClient {
  private readonly idle: Link[] = [];
  private open = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    private readonly address: Address,
    private readonly maxLinks: number,
    private readonly bodyLimit = 4 * 1024 * 1024,
    private readonly sockets = new Sockets(Infinity),
  ) {}

  async call(call: Call): Promise<Outcome> {
    if (this.open >= this.maxLinks && this.idle.length === 0) {
      const waited = await this.waitTurn(call.timeout);
      if (!waited) return { kind: 'unsent' };
    }
    const link = this.idle.pop() ?? this.dial();
    return new Promise((resolve) => this.send(link, call, resolve));
  }

  close(): void {
    for (const link of this.idle.splice(0)) link.socket.destroy();
  }

  private waitTurn(timeout: Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const turn = (): void => {
        clearTimeout(timer);
        resolve(true);
      };
      const timer = setTimeout(() => {
        const at = this.queue.indexOf(turn);
        if (at >= 0) this.queue.splice(at, 1);
        resolve(false);
      }, timeout);
      this.queue.push(turn);
    });
  }

  private dial(): Link {
    this.open += 1;
    this.sockets.open += 1;
    const socket = connect({ ...splitAddress(this.address), noDelay: true });
    const link: Link = {
      socket,
      parser: this.newParser(),
      connected: false,
      whenConnected: null,
      current: null,
    };
    socket.on('connect', () => {
      link.connected = true;
      link.whenConnected?.();
      link.whenConnected = null;
    });
    socket.on('data', (data) => this.receive(link, data));
    socket.on('error', () => this.drop(link));
    socket.on('end', () => this.ended(link));
    socket.on('close', () => this.drop(link));
    socket.setTimeout(IDLE_CLOSE, () => {
      if (!link.current) socket.destroy();
    });
    return link;
  }

  private newParser(): HttpParser {
    return new HttpParser('response', { head: 16 * 1024, body: this.bodyLimit });
  }

  private send(link: Link, call: Call, resolve: (o: Outcome) => void): void {
    const timer = setTimeout(() => this.drop(link), call.timeout);
    link.current = { resolve, timer, sent: false };
    if (link.connected) this.write(link, call);
    else link.whenConnected = () => this.write(link, call);
  }

  private write(link: Link, call: Call): void {
    if (!link.current) return;
    if (call.mayStillSend?.() === false) return this.drop(link);
    link.current.sent = true;
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    const type = call.body === undefined ? '' : 'Content-Type: application/json\r\n';
    link.socket.write(
      `${call.method} ${call.path} HTTP/1.1\r\nHost: ${this.address}\r\n${type}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  private receive(link: Link, data: Buffer): void {
    try {
      const messages = link.parser.push(data);
      if (messages.length === 0) return;
      // More than one answer, or one that nobody asked for: the stream cannot be trusted any more.
      if (messages.length > 1 || !link.current) return this.drop(link);
      this.settle(
        link,
        messages[0]?.start[1] ?? '',
        messages[0]?.body ?? Buffer.alloc(0),
        messages[0]?.keepAlive ?? false,
      );
    } catch {
      this.drop(link);
    }
  }

  private ended(link: Link): void {
    try {
      const message = link.parser.end();
      if (message && link.current) this.settle(link, message.start[1], message.body, false);
      else this.drop(link);
    } catch {
      this.drop(link);
    }
  }

  private settle(link: Link, status: string, raw: Buffer, keep: boolean): void {
    const current = link.current;
    if (!current) return;
    let body: unknown;
    try {
      body = raw.length === 0 ? null : JSON.parse(raw.toString('utf8'));
    } catch {
      return this.drop(link);
    }
    clearTimeout(current.timer);
    link.current = null;
    if (keep && this.sockets.mayKeep && !link.socket.destroyed && link.parser.idle) {
      this.idle.push(link);
      this.queue.shift()?.();
    } else this.drop(link);
    current.resolve({ kind: 'answer', status: Number(status), body });
  }

  /** Ends a connection; its exchange gets the outcome that is certain from here. */
  private drop(link: Link): void {
    const at = this.idle.indexOf(link);
    if (at >= 0) this.idle.splice(at, 1);
    if (link.parser !== spent) {
      link.parser = spent;
      this.open -= 1;
      this.sockets.open -= 1;
      this.queue.shift()?.();
    }
    link.socket.destroy();
    const current = link.current;
    if (!current) return;
    link.current = null;
    clearTimeout(current.timer);
    current.resolve(current.sent ? { kind: 'unknown' } : { kind: 'unsent' });
  }
}

/** Marks a connection that is already counted as closed. */
const spent = new HttpParser('response', { head: 0, body: 0 });
