/** HTTP/1.1 server on `net`: bounded connections, heads, bodies and waiting; never an uncaught exception. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Log } from '../log.js';
import type { Address, Millis } from '../model/units.js';
import { HttpError, HttpParser, type Message } from './parser.js';

export interface Request {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

export interface Answer {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterS?: number;
}

export type Handler = (request: Request) => Answer | Promise<Answer>;

/** How more clients than connections are served: with many open, some are closed as soon as they are answered. */
export interface ConnectionTurns {
  /** More open connections than this are many. */
  readonly crowdedAt: number;
  /** Whether the connection of a request for this path may be closed after its answer. */
  readonly mayCloseAfter: (path: string) => boolean;
}

export interface ServerOptions {
  readonly maxConnections: number;
  /** Absent: connections stay open until the client or `idle` ends them. */
  readonly turns?: ConnectionTurns;
  /** A head or body must be complete this long after its first byte. */
  readonly receive: Millis;
  readonly idle: Millis;
  /** What is not answered by then gets 503. */
  readonly answer: Millis;
}

const LIMITS = { head: 16 * 1024, body: 64 * 1024 };
const MAX_UNSENT = 1024 * 1024;
const REASONS: Record<number, string> = {
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

export function encodeAnswer(answer: Answer, keepAlive: boolean): string {
  const body = JSON.stringify(answer.body);
  const retry = answer.retryAfterS === undefined ? '' : `Retry-After: ${answer.retryAfterS}\r\n`;
  const close = keepAlive ? '' : 'Connection: close\r\n';
  const head = `HTTP/1.1 ${answer.status} ${REASONS[answer.status] ?? 'Status'}\r\nContent-Type: application/json\r\n`;
  return `${head}Content-Length: ${Buffer.byteLength(body)}\r\n${retry}${close}\r\n${body}`;
}

class Connection {
  private readonly parser = new HttpParser('request', LIMITS);
  private readonly waiting: Message[] = [];
  private busy = false;
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
    this.arm(options.idle);
  }

  private arm(delay: Millis): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.socket.destroy(), delay);
  }

  private receive(data: Buffer): void {
    const wasIdle = this.parser.idle;
    try {
      this.waiting.push(...this.parser.push(data));
    } catch (e) {
      const status = e instanceof HttpError ? e.status : 400;
      this.refuse(status, e instanceof HttpError ? e.message : 'bad request');
      return;
    }
    // The protocol has no pipelining: a flood of requests without waiting is a misuse, not a load to queue.
    if (this.waiting.length > 8) return this.refuse(429, 'too many requests at once');
    if (!this.parser.idle && (wasIdle || this.waiting.length > 0)) this.arm(this.options.receive);
    void this.drain();
  }

  private refuse(status: number, error: string): void {
    this.socket.pause();
    this.waiting.length = 0;
    this.socket.end(encodeAnswer({ status, body: { error } }, false), () => this.socket.destroy());
  }

  private async drain(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    for (let message = this.waiting.shift(); message; message = this.waiting.shift()) {
      if (this.parser.idle) clearTimeout(this.timer);
      const answer = await this.answer(message);
      if (this.socket.destroyed) return;
      const keepAlive = message.keepAlive && !this.mustMakeRoom(message.start[1]);
      this.socket.write(encodeAnswer(answer, keepAlive));
      if (!keepAlive || this.socket.writableLength > MAX_UNSENT) {
        this.socket.end(() => this.socket.destroy());
        return;
      }
      if (this.parser.idle) this.arm(this.options.idle);
    }
    this.busy = false;
  }

  private mustMakeRoom(path: string): boolean {
    return this.isCrowded() && this.options.turns?.mayCloseAfter(path) === true;
  }

  private async answer(message: Message): Promise<Answer> {
    const [method, path] = message.start;
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<Answer>((resolve) => {
      const answer: Answer = { status: 503, body: { error: 'not answered in time' }, retryAfterS: 1 };
      timer = setTimeout(() => resolve(answer), this.options.answer);
    });
    try {
      return await Promise.race([this.handler({ method, path, body: message.body }), late]);
    } catch (e) {
      this.log.error({ err: e, method, path }, 'request failed');
      return { status: 500, body: { error: 'internal error' }, retryAfterS: 1 };
    } finally {
      clearTimeout(timer);
    }
  }
}

export function splitAddress(address: Address): { host: string; port: number } {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}

export function serve(address: Address, handler: Handler, options: ServerOptions, log: Log): Promise<Server> {
  let open = 0;
  const isCrowded = (): boolean => options.turns !== undefined && open > options.turns.crowdedAt;
  const server = createServer({ noDelay: true }, (socket) => {
    open += 1;
    socket.once('close', () => (open -= 1));
    new Connection(socket, handler, options, log, isCrowded);
  });
  server.maxConnections = options.maxConnections;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...splitAddress(address), backlog: 511 }, () => {
      server.off('error', reject);
      server.on('error', (err) => log.error({ err }, 'server'));
      resolve(server);
    });
  });
}
