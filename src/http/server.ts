/** HTTP/1.1 server on `net` with limits on connections, sizes and times; it never throws an uncaught exception. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Log } from '../logging/log.js';
import type { Address, Millis } from '../model/units.js';
import { HttpError, HttpParser, type HttpMessage } from './parser.js';
import { HTTP_STATUS } from './status.js';

/** A request as its handler receives it, with an undecoded body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** A handler's response: `body` is sent as JSON, `retryAfterS` as the Retry-After header, in seconds. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterS?: number;
}

/** Handles one request. An exception is logged and answered with status 500. */
export type Handler = (request: HttpRequest) => HttpResponse | Promise<HttpResponse>;

/** Closes connections after their response while many are open, so that more clients than connections are served. */
export interface CrowdingPolicy {
  /** Number of open connections above which connections are closed after their response. */
  readonly crowdedAbove: number;
  /** Returns whether a connection may be closed after the response to a request for this path. */
  readonly mayCloseAfter: (path: string) => boolean;
}

/** Limits of a server. */
export interface ServerOptions {
  readonly maxConnections: number;
  /** If absent, connections stay open until the client closes them or `idleTimeout` expires. */
  readonly crowding?: CrowdingPolicy;
  /** Time from the first byte of a head or body until it must be complete. */
  readonly receiveTimeout: Millis;
  readonly idleTimeout: Millis;
  /** Time after which a request that the handler has not answered is answered with 503. */
  readonly responseTimeout: Millis;
}

const MAX_HEAD_BYTES = 16_384;
const MAX_BODY_BYTES = 65_536;
const PARSER_LIMITS = { maxHeadBytes: MAX_HEAD_BYTES, maxBodyBytes: MAX_BODY_BYTES };
/** A client is disconnected if more response bytes than this are unsent because it does not read them. */
const MAX_UNSENT_BYTES = 1_048_576;
/** Requests on one connection that may wait for their response. */
const MAX_PENDING_REQUESTS = 8;
/** Delay after which a client may repeat a request that has failed or timed out. */
const RETRY_AFTER_S = 1;
/** Connections that the operating system queues until the server accepts them. */
const LISTEN_BACKLOG = 511;
const REASON_PHRASES: Record<number, string> = {
  [HTTP_STATUS.ok]: 'OK',
  [HTTP_STATUS.created]: 'Created',
  [HTTP_STATUS.badRequest]: 'Bad Request',
  [HTTP_STATUS.notFound]: 'Not Found',
  [HTTP_STATUS.methodNotAllowed]: 'Method Not Allowed',
  [HTTP_STATUS.conflict]: 'Conflict',
  [HTTP_STATUS.contentTooLarge]: 'Content Too Large',
  [HTTP_STATUS.misdirectedRequest]: 'Misdirected Request',
  [HTTP_STATUS.unprocessableContent]: 'Unprocessable Content',
  [HTTP_STATUS.tooManyRequests]: 'Too Many Requests',
  [HTTP_STATUS.headerFieldsTooLarge]: 'Request Header Fields Too Large',
  [HTTP_STATUS.internalServerError]: 'Internal Server Error',
  [HTTP_STATUS.notImplemented]: 'Not Implemented',
  [HTTP_STATUS.serviceUnavailable]: 'Service Unavailable',
  [HTTP_STATUS.gatewayTimeout]: 'Gateway Timeout',
};

/** Encodes a response, head and body. */
function encodeResponse(response: HttpResponse, keepAlive: boolean): string {
  const body = JSON.stringify(response.body);
  const retryAfterHeader =
    response.retryAfterS === undefined ? '' : `Retry-After: ${response.retryAfterS}\r\n`;
  const connectionHeader = keepAlive ? '' : 'Connection: close\r\n';
  const head = `HTTP/1.1 ${response.status} ${REASON_PHRASES[response.status] ?? 'Status'}\r\nContent-Type: application/json\r\n`;
  return `${head}Content-Length: ${Buffer.byteLength(body)}\r\n${retryAfterHeader}${connectionHeader}\r\n${body}`;
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
      const status = error instanceof HttpError ? error.status : HTTP_STATUS.badRequest;
      this.reject(status, error instanceof HttpError ? error.message : 'bad request');
      return;
    }
    // The protocol does not use pipelining: too many pending requests on one connection are rejected, not queued.
    if (this.pendingRequests.length > MAX_PENDING_REQUESTS) {
      this.reject(HTTP_STATUS.tooManyRequests, 'too many requests at once');
      return;
    }
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

  /** Returns whether the connection must be closed to make room for other clients. */
  private mustFreeConnection(path: string): boolean {
    return this.isCrowded() && this.options.crowding?.mayCloseAfter(path) === true;
  }

  private async respond(message: HttpMessage): Promise<HttpResponse> {
    const [method, path] = message.startLine;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<HttpResponse>((resolve) => {
      const timeoutResponse: HttpResponse = {
        status: HTTP_STATUS.serviceUnavailable,
        body: { error: 'not answered in time' },
        retryAfterS: RETRY_AFTER_S,
      };
      timer = setTimeout(() => resolve(timeoutResponse), this.options.responseTimeout);
    });
    try {
      return await Promise.race([this.handler({ method, path, body: message.body }), timeout]);
    } catch (error) {
      this.log.error({ err: error, method, path }, 'request failed');
      return {
        status: HTTP_STATUS.internalServerError,
        body: { error: 'internal error' },
        retryAfterS: RETRY_AFTER_S,
      };
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Splits `host:port` into host and port. */
export function parseAddress(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Starts a server. Resolves once it listens, rejects if it cannot. The caller closes it. */
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
    server.listen({ ...parseAddress(address), backlog: LISTEN_BACKLOG }, () => {
      server.off('error', reject);
      server.on('error', (err) => log.error({ err }, 'HTTP server error'));
      resolve(server);
    });
  });
}
