/** HTTP/1.1 server on `net`: bounded connections, heads, bodies and waiting; never an uncaught exception. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Log } from '../logging/log.js';
import type { Address, Millis } from '../model/units.js';
import { HttpError, HttpParser, type HttpMessage } from './parser.js';

/** A request as its handler sees it, the body unread. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** A handler's answer: `body` is sent as JSON, `retryAfterS` as the header Retry-After, in seconds. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterS?: number;
}

/** Answers one request; what it throws is logged and answered with 500. */
export type Handler = (request: HttpRequest) => HttpResponse | Promise<HttpResponse>;

/** How more clients than connections are served: with many open, some are closed as soon as they are answered. */
export interface CrowdingPolicy {
  /** More open connections than this are many. */
  readonly crowdedAbove: number;
  /** Whether the connection of a request for this path may be closed after its answer. */
  readonly mayCloseAfter: (path: string) => boolean;
}

/** Bounds of a server; times in milliseconds. */
export interface ServerOptions {
  readonly maxConnections: number;
  /** Absent: connections stay open until the client or `idle` ends them. */
  readonly crowding?: CrowdingPolicy;
  /** A head or body must be complete this long after its first byte. */
  readonly receiveTimeout: Millis;
  readonly idleTimeout: Millis;
  /** What is not answered by then gets 503. */
  readonly responseTimeout: Millis;
}

const PARSER_LIMITS = { maxHeadBytes: 16 * 1024, maxBodyBytes: 64 * 1024 };
const MAX_UNSENT_BYTES = 1024 * 1024;
const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  409: 'Conflict',
  413: 'Content Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  501: 'Not Implemented',
  503: 'Service Unavailable',
  504: 'Gateway Timeout',
};

/** The bytes of a response as text, head and body. */
export function encodeResponse(response: HttpResponse, keepAlive: boolean): string {
  const body = JSON.stringify(response.body);
  const retry = response.retryAfterS === undefined ? '' : `Retry-After: ${response.retryAfterS}\r\n`;
  const close = keepAlive ? '' : 'Connection: close\r\n';
  const head = `HTTP/1.1 ${response.status} ${REASON_PHRASES[response.status] ?? 'Status'}\r\nContent-Type: application/json\r\n`;
  return `${head}Content-Length: ${Buffer.byteLength(body)}\r\n${retry}${close}\r\n${body}`;
}

class Connection {
  private readonly parser = new HttpParser('request', PARSER_LIMITS);
  private readonly pendingRequests: HttpMessage[] = [];
  private handling = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly handler: Handler,
    private readonly options: ServerOptions,
    private readonly log: Log,
    private readonly isCrowded: () => boolean,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (data) => this.receive(data));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => clearTimeout(this.timer));
    this.restartTimer(options.idleTimeout);
  }

  private restartTimer(delay: Millis): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.socket.destroy(), delay);
  }

  private receive(data: Buffer): void {
    const wasIdle = this.parser.idle;
    try {
      this.pendingRequests.push(...this.parser.push(data));
    } catch (error) {
      const status = error instanceof HttpError ? error.status : 400;
      this.reject(status, error instanceof HttpError ? error.message : 'bad request');
      return;
    }
    // The protocol has no pipelining: a flood of requests without waiting is a misuse, not a load to queue.
    if (this.pendingRequests.length > 8) return this.reject(429, 'too many requests at once');
    if (!this.parser.idle && (wasIdle || this.pendingRequests.length > 0))
      this.restartTimer(this.options.receiveTimeout);
    void this.handlePending();
  }

  private reject(status: number, error: string): void {
    this.socket.pause();
    this.pendingRequests.length = 0;
    this.socket.end(encodeResponse({ status, body: { error } }, false), () => this.socket.destroy());
  }

  private async handlePending(): Promise<void> {
    if (this.handling) return;
    this.handling = true;
    for (let message = this.pendingRequests.shift(); message; message = this.pendingRequests.shift()) {
      if (this.parser.idle) clearTimeout(this.timer);
      const response = await this.respond(message);
      if (this.socket.destroyed) return;
      const keepAlive = message.keepAlive && !this.mustFreeConnection(message.startLine[1]);
      this.socket.write(encodeResponse(response, keepAlive));
      if (!keepAlive || this.socket.writableLength > MAX_UNSENT_BYTES) {
        this.socket.end(() => this.socket.destroy());
        return;
      }
      if (this.parser.idle) this.restartTimer(this.options.idleTimeout);
    }
    this.handling = false;
  }

  private mustFreeConnection(path: string): boolean {
    return this.isCrowded() && this.options.crowding?.mayCloseAfter(path) === true;
  }

  private async respond(message: HttpMessage): Promise<HttpResponse> {
    const [method, path] = message.startLine;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<HttpResponse>((resolve) => {
      const timeoutResponse: HttpResponse = {
        status: 503,
        body: { error: 'not answered in time' },
        retryAfterS: 1,
      };
      timer = setTimeout(() => resolve(timeoutResponse), this.options.responseTimeout);
    });
    try {
      return await Promise.race([this.handler({ method, path, body: message.body }), timeout]);
    } catch (error) {
      this.log.error({ err: error, method, path }, 'request failed');
      return { status: 500, body: { error: 'internal error' }, retryAfterS: 1 };
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Splits `host:port`. */
export function parseAddress(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Resolves once the server listens; rejects if it cannot. The caller closes it. */
export function startHttpServer(
  address: Address,
  handler: Handler,
  options: ServerOptions,
  log: Log,
): Promise<Server> {
  let openConnections = 0;
  const isCrowded = (): boolean =>
    options.crowding !== undefined && openConnections > options.crowding.crowdedAbove;
  const server = createServer({ noDelay: true }, (socket) => {
    openConnections += 1;
    socket.once('close', () => (openConnections -= 1));
    new Connection(socket, handler, options, log, isCrowded);
  });
  server.maxConnections = options.maxConnections;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...parseAddress(address), backlog: 511 }, () => {
      server.off('error', reject);
      server.on('error', (err) => log.error({ err }, 'server'));
      resolve(server);
    });
  });
}
