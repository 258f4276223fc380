/**
 * Incremental HTTP/1.1 message parser: strict, bounded, one message at a time. It reads what our interfaces
 * use (Content-Length and chunked bodies) and refuses everything ambiguous: two lengths, a length beside
 * chunks, folded headers, control characters.
 */

/** Sizes above which a message is refused. */
export interface ParserLimits {
  readonly maxHeadBytes: number;
  readonly maxBodyBytes: number;
}

/** One complete request or response. */
export interface HttpMessage {
  /** Request: method, target, version. Response: version, status, reason. */
  readonly startLine: readonly [string, string, string];
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly keepAlive: boolean;
}

/** A message that cannot be read; `status` is what a server answers. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
// Anything outside printable ASCII, tab and Latin-1 has no place in a header value.
const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
const MAX_HEADERS = 100;
const MAX_CHUNK_LINE_BYTES = 1024;

type ParserPhase = 'head' | 'length' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

/** Reads the bytes of one connection; an instance that has thrown must not be used again. */
export class HttpParser {
  private buffer: Buffer = Buffer.alloc(0);
  private phase: ParserPhase = 'head';
  private startLine: [string, string, string] = ['', '', ''];
  private headers = new Map<string, string>();
  private expectedBytes = 0;
  private chunks: Buffer[] = [];
  private bodyBytes = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** True between messages: nothing of a next one has arrived. */
  get idle(): boolean {
    return this.phase === 'head' && this.buffer.length === 0;
  }

  /** Takes bytes; returns the messages they complete. Throws HttpError; the parser is then spent. */
  push(data: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const messages: HttpMessage[] = [];
    for (;;) {
      const message = this.parseNext();
      if (message === 'more') return messages;
      if (message !== null) messages.push(message);
    }
  }

  /** The other side closed. A body that runs until the close ends here; anything else is cut short. */
  end(): HttpMessage | null {
    if (this.phase === 'until-close') return this.completeMessage();
    if (this.idle) return null;
    throw new HttpError(400, 'message cut short');
  }

  private parseNext(): HttpMessage | null | 'more' {
    switch (this.phase) {
      case 'head':
        return this.readHead();
      case 'length':
        return this.readSized();
      case 'chunk-size':
        return this.readChunkSize();
      case 'chunk-data':
        return this.readChunkData();
      case 'chunk-end':
        return this.readChunkEnd();
      case 'trailer':
        return this.readTrailer();
      case 'until-close':
        if (this.buffer.length > 0) this.consumeBody(this.buffer.length);
        return 'more';
    }
  }

  private readHead(): HttpMessage | null | 'more' {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) {
      if (this.buffer.length > this.limits.maxHeadBytes) throw new HttpError(431, 'head too large');
      if (this.kind === 'request') this.checkFirstBytes();
      return 'more';
    }
    if (end > this.limits.maxHeadBytes) throw new HttpError(431, 'head too large');
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    this.readStartLine(lines[0] ?? '');
    this.readHeaders(lines.slice(1));
    return this.beginBody();
  }

  /** Refuses a peer that does not speak HTTP without waiting for a full head. */
  private checkFirstBytes(): void {
    const first = this.buffer[0];
    if (first !== undefined && !(first >= 0x41 && first <= 0x5a))
      throw new HttpError(400, 'not an HTTP request');
  }

  private readStartLine(line: string): void {
    const request = /^([A-Z]{1,16}) ([\x21-\x7e]{1,2048}) (HTTP\/1\.[01])$/.exec(line);
    const response = /^(HTTP\/1\.[01]) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?$/.exec(line);
    const match = this.kind === 'request' ? request : response;
    if (!match) throw new HttpError(400, `bad ${this.kind} line`);
    this.startLine = [match[1] ?? '', match[2] ?? '', match[3] ?? ''];
  }

  private readHeaders(lines: readonly string[]): void {
    if (lines.length > MAX_HEADERS) throw new HttpError(431, 'too many headers');
    this.headers = new Map();
    for (const line of lines) {
      const colon = line.indexOf(':');
      const key = line.slice(0, colon).toLowerCase();
      const value = line.slice(colon + 1).trim();
      if (colon <= 0 || !HEADER_NAME_PATTERN.test(key) || !HEADER_VALUE_PATTERN.test(value))
        throw new HttpError(400, 'bad header');
      const previous = this.headers.get(key);
      if (
        previous !== undefined &&
        (key === 'content-length' || key === 'transfer-encoding' || key === 'host')
      ) {
        throw new HttpError(400, `repeated ${key}`);
      }
      this.headers.set(key, previous === undefined ? value : `${previous}, ${value}`);
    }
  }

  private beginBody(): HttpMessage | null {
    this.chunks = [];
    this.bodyBytes = 0;
    const length = this.headers.get('content-length');
    const transferEncoding = this.headers.get('transfer-encoding');
    if (transferEncoding !== undefined) {
      if (length !== undefined) throw new HttpError(400, 'length beside transfer-encoding');
      if (transferEncoding.toLowerCase() !== 'chunked') throw new HttpError(501, 'unknown transfer-encoding');
      this.phase = 'chunk-size';
      return null;
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpError(400, 'bad content-length');
      this.expectedBytes = Number(length);
      if (this.expectedBytes > this.limits.maxBodyBytes) throw new HttpError(413, 'body too large');
      this.phase = 'length';
      return null;
    }
    const status = this.startLine[1];
    if (this.kind === 'response' && status !== '204' && status !== '304') {
      this.phase = 'until-close';
      return null;
    }
    return this.completeMessage();
  }

  private consumeBody(count: number): void {
    this.bodyBytes += count;
    if (this.bodyBytes > this.limits.maxBodyBytes) throw new HttpError(413, 'body too large');
    this.chunks.push(this.buffer.subarray(0, count));
    this.buffer = this.buffer.subarray(count);
  }

  private readSized(): HttpMessage | 'more' {
    if (this.buffer.length < this.expectedBytes) return 'more';
    this.consumeBody(this.expectedBytes);
    return this.completeMessage();
  }

  private consumeLine(): string | null {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0 ? this.buffer.length > MAX_CHUNK_LINE_BYTES : end > MAX_CHUNK_LINE_BYTES)
      throw new HttpError(400, 'chunk line too long');
    if (end < 0) return null;
    const line = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return line;
  }

  private readChunkSize(): null | 'more' {
    const line = this.consumeLine();
    if (line === null) return 'more';
    const match = /^([0-9a-fA-F]{1,8})(?:[ \t]*;.*)?$/.exec(line);
    if (!match) throw new HttpError(400, 'bad chunk size');
    this.expectedBytes = parseInt(match[1] ?? '', 16);
    if (this.bodyBytes + this.expectedBytes > this.limits.maxBodyBytes)
      throw new HttpError(413, 'body too large');
    this.phase = this.expectedBytes === 0 ? 'trailer' : 'chunk-data';
    return null;
  }

  private readChunkData(): null | 'more' {
    if (this.buffer.length < this.expectedBytes) return 'more';
    this.consumeBody(this.expectedBytes);
    this.phase = 'chunk-end';
    return null;
  }

  private readChunkEnd(): null | 'more' {
    if (this.buffer.length < 2) return 'more';
    if (this.buffer[0] !== 0x0d || this.buffer[1] !== 0x0a) throw new HttpError(400, 'bad chunk end');
    this.buffer = this.buffer.subarray(2);
    this.phase = 'chunk-size';
    return null;
  }

  private readTrailer(): HttpMessage | null | 'more' {
    const line = this.consumeLine();
    if (line === null) return 'more';
    return line === '' ? this.completeMessage() : null;
  }

  private completeMessage(): HttpMessage {
    const body = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const version = this.kind === 'request' ? this.startLine[2] : this.startLine[0];
    const untilClose = this.phase === 'until-close';
    const keepAlive = !untilClose && !/\bclose\b/.test(connection) && version === 'HTTP/1.1';
    this.phase = 'head';
    this.chunks = [];
    return { startLine: this.startLine, headers: this.headers, body, keepAlive };
  }
}
