/** HTTP/1.1 client on `net`: a few keep-alive connections per target; each exchange is bounded in time and size. */
import { connect, type Socket } from 'node:net';
import type { Address, Millis } from '../model/units.js';
import { HttpParser } from './parser.js';
import { parseAddress } from './server.js';

/** Outcome of a request; only `answer` comes from the server. */
export type CallOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  /** Certainly not carried out: the request was not written to a connection. */
  | { readonly kind: 'unsent' }
  /** Sent, but no readable answer arrived: the request was carried out, was not, or may be carried out later. */
  | { readonly kind: 'unknown' };

/** One request. `timeout` bounds first the wait for a free connection, and then separately the exchange itself. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeout: Millis;
  /** Called right before the request is written, after all waiting; if it returns false, the request is not sent. */
  readonly mayStillSend?: () => boolean;
}

interface Connection {
  readonly socket: Socket;
  parser: HttpParser;
  connected: boolean;
  /** Called once the connection is open; writes the waiting request. */
  whenConnected: (() => void) | null;
  exchange: { resolve: (outcome: CallOutcome) => void; timer: NodeJS.Timeout; sent: boolean } | null;
}

const IDLE_TIMEOUT_MS = 20_000;
const MAX_HEAD_BYTES = 16_384;
/** 4 MiB. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Limit on the open connections of several clients: above it, connections are closed after their exchange. */
export class KeepAliveLimit {
  openConnections = 0;

  constructor(readonly maxOpenConnections: number) {}

  get mayKeepAlive(): boolean {
    return this.openConnections <= this.maxOpenConnections;
  }
}

/**
 * Sends requests to one address over at most `maxConnections` connections. Network failures are returned as outcomes, not
 * thrown.
 */
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
    const connection = this.idleConnections.pop() ?? this.createConnection();
    return new Promise((resolve) => this.send(connection, call, resolve));
  }

  close(): void {
    for (const connection of this.idleConnections.splice(0)) connection.socket.destroy();
  }

  private waitForConnection(timeout: Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const grant = (): void => {
        clearTimeout(timer);
        resolve(true);
      };
      const timer = setTimeout(() => {
        const index = this.waitingCalls.indexOf(grant);
        if (index >= 0) this.waitingCalls.splice(index, 1);
        resolve(false);
      }, timeout);
      this.waitingCalls.push(grant);
    });
  }

  private createConnection(): Connection {
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
      // More than one answer, or an answer without a request: later answers may belong to other requests.
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

  /** Closes a connection and ends its exchange: `unknown` if the request was sent, else `unsent`. */
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

/** Parser of closed connections; marks a connection that is no longer counted as open. */
const CLOSED_PARSER = new HttpParser('response', { maxHeadBytes: 0, maxBodyBytes: 0 });
