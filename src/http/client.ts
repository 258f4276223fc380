/** HTTP/1.1 client on `net`: a few kept connections a target, every exchange bounded in time and size. */
import { connect, type Socket } from 'node:net';
import type { Address, Millis } from '../model/units.js';
import { HttpParser } from './parser.js';
import { parseAddress } from './server.js';

/** What is known about a request afterwards; only `answer` comes from the other side. */
export type CallOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  /** Certainly not carried out: no connection came about. */
  | { readonly kind: 'unsent' }
  /** Sent, and no readable answer: carried out, not carried out, or to be carried out later. */
  | { readonly kind: 'unknown' };

/** One request. `timeout` (ms) bounds the wait for a free connection and then, anew, the exchange itself. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeout: Millis;
  /** Asked at the moment of writing, after every wait for a turn or a connection; false: it is not sent. */
  readonly mayStillSend?: () => boolean;
}

interface Connection {
  readonly socket: Socket;
  parser: HttpParser;
  connected: boolean;
  /** Writes the request that waits for the connection. */
  whenConnected: (() => void) | null;
  exchange: { resolve: (outcome: CallOutcome) => void; timer: NodeJS.Timeout; sent: boolean } | null;
}

const IDLE_TIMEOUT_MS = 20_000;
const MAX_HEAD_BYTES = 16_384;
/** 4 MiB. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Connections of many clients together: beyond this many none is kept open for a later request. */
export class KeepAliveLimit {
  openConnections = 0;

  constructor(readonly maxOpenConnections: number) {}

  get mayKeepAlive(): boolean {
    return this.openConnections <= this.maxOpenConnections;
  }
}

/** Requests to one address over at most `maxConnections` connections; failures of the network are outcomes, not exceptions. */
export class HttpClient {
  private readonly idleConnections: Connection[] = [];
  private openConnections = 0;
  private readonly waitingCalls: (() => void)[] = [];

  constructor(
    private readonly address: Address,
    private readonly maxConnections: number,
    private readonly maxBodyBytes = DEFAULT_MAX_BODY_BYTES,
    private readonly keepAliveLimit = new KeepAliveLimit(Infinity),
  ) {}

  async call(call: Call): Promise<CallOutcome> {
    if (this.openConnections >= this.maxConnections && this.idleConnections.length === 0) {
      const granted = await this.waitForConnection(call.timeout);
      if (!granted) return { kind: 'unsent' };
    }
    const connection = this.idleConnections.pop() ?? this.dial();
    return new Promise((resolve) => this.send(connection, call, resolve));
  }

  close(): void {
    for (const connection of this.idleConnections.splice(0)) connection.socket.destroy();
  }

  private waitForConnection(timeout: Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const proceed = (): void => {
        clearTimeout(timer);
        resolve(true);
      };
      const timer = setTimeout(() => {
        const index = this.waitingCalls.indexOf(proceed);
        if (index >= 0) this.waitingCalls.splice(index, 1);
        resolve(false);
      }, timeout);
      this.waitingCalls.push(proceed);
    });
  }

  private dial(): Connection {
    this.openConnections += 1;
    this.keepAliveLimit.openConnections += 1;
    const socket = connect({ ...parseAddress(this.address), noDelay: true });
    const connection: Connection = {
      socket,
      parser: this.newParser(),
      connected: false,
      whenConnected: null,
      exchange: null,
    };
    socket.on('connect', () => {
      connection.connected = true;
      connection.whenConnected?.();
      connection.whenConnected = null;
    });
    socket.on('data', (data) => this.receive(connection, data));
    socket.on('error', () => this.closeConnection(connection));
    socket.on('end', () => this.receiveEnd(connection));
    socket.on('close', () => this.closeConnection(connection));
    socket.setTimeout(IDLE_TIMEOUT_MS, () => {
      if (!connection.exchange) socket.destroy();
    });
    return connection;
  }

  private newParser(): HttpParser {
    return new HttpParser('response', { maxHeadBytes: MAX_HEAD_BYTES, maxBodyBytes: this.maxBodyBytes });
  }

  private send(connection: Connection, call: Call, resolve: (outcome: CallOutcome) => void): void {
    const timer = setTimeout(() => this.closeConnection(connection), call.timeout);
    connection.exchange = { resolve, timer, sent: false };
    if (connection.connected) this.write(connection, call);
    else connection.whenConnected = () => this.write(connection, call);
  }

  private write(connection: Connection, call: Call): void {
    if (!connection.exchange) return;
    if (call.mayStillSend?.() === false) {
      this.closeConnection(connection);
      return;
    }
    connection.exchange.sent = true;
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    const contentType = call.body === undefined ? '' : 'Content-Type: application/json\r\n';
    connection.socket.write(
      `${call.method} ${call.path} HTTP/1.1\r\nHost: ${this.address}\r\n${contentType}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  private receive(connection: Connection, data: Buffer): void {
    try {
      const messages = connection.parser.push(data);
      const [message] = messages;
      if (!message) return;
      // More than one answer, or one that nobody asked for: the stream cannot be trusted any more.
      if (messages.length > 1 || !connection.exchange) {
        this.closeConnection(connection);
        return;
      }
      this.completeExchange(connection, message.startLine[1], message.body, message.keepAlive);
    } catch {
      this.closeConnection(connection);
    }
  }

  private receiveEnd(connection: Connection): void {
    try {
      const message = connection.parser.end();
      if (message && connection.exchange)
        this.completeExchange(connection, message.startLine[1], message.body, false);
      else this.closeConnection(connection);
    } catch {
      this.closeConnection(connection);
    }
  }

  private completeExchange(connection: Connection, status: string, bytes: Buffer, keepAlive: boolean): void {
    const exchange = connection.exchange;
    if (!exchange) return;
    let body: unknown;
    try {
      body = bytes.length === 0 ? null : JSON.parse(bytes.toString('utf8'));
    } catch {
      this.closeConnection(connection);
      return;
    }
    clearTimeout(exchange.timer);
    connection.exchange = null;
    if (
      keepAlive &&
      this.keepAliveLimit.mayKeepAlive &&
      !connection.socket.destroyed &&
      connection.parser.idle
    ) {
      this.idleConnections.push(connection);
      this.waitingCalls.shift()?.();
    } else this.closeConnection(connection);
    exchange.resolve({ kind: 'answer', status: Number(status), body });
  }

  /** Ends a connection; its exchange gets the outcome that is certain from here. */
  private closeConnection(connection: Connection): void {
    const index = this.idleConnections.indexOf(connection);
    if (index >= 0) this.idleConnections.splice(index, 1);
    if (connection.parser !== CLOSED_PARSER) {
      connection.parser = CLOSED_PARSER;
      this.openConnections -= 1;
      this.keepAliveLimit.openConnections -= 1;
      this.waitingCalls.shift()?.();
    }
    connection.socket.destroy();
    const exchange = connection.exchange;
    if (!exchange) return;
    connection.exchange = null;
    clearTimeout(exchange.timer);
    exchange.resolve(exchange.sent ? { kind: 'unknown' } : { kind: 'unsent' });
  }
}

/** Marks a connection that is already counted as closed. */
const CLOSED_PARSER = new HttpParser('response', { maxHeadBytes: 0, maxBodyBytes: 0 });
