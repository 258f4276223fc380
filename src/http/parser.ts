/**
 * Incremental HTTP/1.1 message parser: strict, bounded, one message at a time. It supports bodies with Content-Length and
 * chunked bodies, and rejects everything ambiguous: two lengths, a length together with chunked encoding, folded headers,
 * control characters.
 */
import { parseHeaderFields } from './header-fields.js';
import { HttpError, malformed } from './http-error.js';
import { HTTP_STATUS } from './status.js';

export { HttpError };

/** Sizes above which a message is rejected. */
export interface ParserLimits {
  readonly maxHeadBytes: number;
  readonly maxBodyBytes: number;
}

/** One complete request or response. */
export interface HttpMessage {
  /** Of a request: method, target, version. Of a response: version, status, reason phrase. */
  readonly startLine: readonly [string, string, string];
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly keepAlive: boolean;
}

const MAX_CHUNK_LINE_BYTES = 1024;
const REQUEST_LINE_PATTERN = /^([A-Z]{1,16}) ([\x21-\x7e]{1,2048}) (HTTP\/1\.[01])$/;
const STATUS_LINE_PATTERN = /^(HTTP\/1\.[01]) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?$/;
const CONTENT_LENGTH_PATTERN = /^\d{1,15}$/;
const CHUNK_SIZE_PATTERN = /^([0-9a-fA-F]{1,8})(?:[ \t]*;.*)?$/;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
/** Range of the first byte of a method: A to Z. */
const FIRST_METHOD_BYTE = { low: 0x41, high: 0x5a };
const HEXADECIMAL = 16;

/** Result of a parse step: a complete message, progress within a message, or `more` if more bytes are needed. */
type ParseStep = HttpMessage | 'progress' | 'more';
type ParserPhase = 'head' | 'length' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

/** Parses the bytes of one connection. An instance that has thrown must not be used again. */
export class HttpParser {
  private buffer: Buffer = Buffer.alloc(0);
  private phase: ParserPhase = 'head';
  private startLine: [string, string, string] = ['', '', ''];
  private headers: ReadonlyMap<string, string> = new Map();
  private expectedBytes = 0;
  private chunks: Buffer[] = [];
  private bodyBytes = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** Whether the parser is between messages: no byte of the next message has arrived. */
  get idle(): boolean {
    return this.phase === 'head' && this.buffer.length === 0;
  }

  /** Parses further bytes and returns the messages that they complete. Throws HttpError. */
  push(data: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const messages: HttpMessage[] = [];
    for (;;) {
      const step = this.parseNext();
      if (step === 'more') return messages;
      if (step !== 'progress') messages.push(step);
    }
  }

  /**
   * Handles the end of the stream: completes a body that is delimited by it. Throws HttpError within any other message.
   */
  end(): HttpMessage | null {
    if (this.phase === 'until-close') return this.completeMessage();
    if (this.idle) return null;
    throw malformed('message cut short');
  }

  private parseNext(): ParseStep {
    switch (this.phase) {
      case 'head':
        return this.readHead();
      case 'length':
        return this.readSizedBody();
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

  private readHead(): ParseStep {
    const end = this.buffer.indexOf(HEAD_END);
    if (end < 0) {
      if (this.buffer.length > this.limits.maxHeadBytes)
        throw new HttpError(HTTP_STATUS.headerFieldsTooLarge, 'head too large');
      if (this.kind === 'request') this.checkFirstBytes();
      return 'more';
    }
    if (end > this.limits.maxHeadBytes)
      throw new HttpError(HTTP_STATUS.headerFieldsTooLarge, 'head too large');
    const lines = this.buffer.toString('latin1', 0, end).split(LINE_END);
    this.buffer = this.buffer.subarray(end + HEAD_END.length);
    this.readStartLine(lines[0] ?? '');
    this.headers = parseHeaderFields(lines.slice(1));
    return this.beginBody();
  }

  /** Rejects a client that does not speak HTTP without waiting for a complete head. */
  private checkFirstBytes(): void {
    const first = this.buffer[0];
    if (first !== undefined && !(first >= FIRST_METHOD_BYTE.low && first <= FIRST_METHOD_BYTE.high))
      throw malformed('not an HTTP request');
  }

  private readStartLine(line: string): void {
    const match = (this.kind === 'request' ? REQUEST_LINE_PATTERN : STATUS_LINE_PATTERN).exec(line);
    if (!match) throw malformed(`bad ${this.kind} line`);
    this.startLine = [match[1] ?? '', match[2] ?? '', match[3] ?? ''];
  }

  private beginBody(): ParseStep {
    this.chunks = [];
    this.bodyBytes = 0;
    const length = this.headers.get('content-length');
    const transferEncoding = this.headers.get('transfer-encoding');
    if (transferEncoding !== undefined) {
      if (length !== undefined) throw malformed('length beside transfer-encoding');
      if (transferEncoding.toLowerCase() !== 'chunked')
        throw new HttpError(HTTP_STATUS.notImplemented, 'unknown transfer-encoding');
      this.phase = 'chunk-size';
      return 'progress';
    }
    if (length !== undefined) {
      if (!CONTENT_LENGTH_PATTERN.test(length)) throw malformed('bad content-length');
      this.expectedBytes = Number(length);
      this.checkBodySize(this.expectedBytes);
      this.phase = 'length';
      return 'progress';
    }
    const status = this.startLine[1];
    if (this.kind === 'response' && status !== '204' && status !== '304') {
      this.phase = 'until-close';
      return 'progress';
    }
    return this.completeMessage();
  }

  private checkBodySize(bytes: number): void {
    if (bytes > this.limits.maxBodyBytes) throw new HttpError(HTTP_STATUS.contentTooLarge, 'body too large');
  }

  private consumeBody(count: number): void {
    this.bodyBytes += count;
    this.checkBodySize(this.bodyBytes);
    this.chunks.push(this.buffer.subarray(0, count));
    this.buffer = this.buffer.subarray(count);
  }

  private readSizedBody(): ParseStep {
    if (this.buffer.length < this.expectedBytes) return 'more';
    this.consumeBody(this.expectedBytes);
    return this.completeMessage();
  }

  /** Returns the next line without its line end, or null if it is not complete yet. */
  private consumeLine(): string | null {
    const end = this.buffer.indexOf(LINE_END);
    if (end < 0 ? this.buffer.length > MAX_CHUNK_LINE_BYTES : end > MAX_CHUNK_LINE_BYTES)
      throw malformed('chunk line too long');
    if (end < 0) return null;
    const line = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + LINE_END.length);
    return line;
  }

  private readChunkSize(): ParseStep {
    const line = this.consumeLine();
    if (line === null) return 'more';
    const match = CHUNK_SIZE_PATTERN.exec(line);
    if (!match) throw malformed('bad chunk size');
    this.expectedBytes = parseInt(match[1] ?? '', HEXADECIMAL);
    this.checkBodySize(this.bodyBytes + this.expectedBytes);
    this.phase = this.expectedBytes === 0 ? 'trailer' : 'chunk-data';
    return 'progress';
  }

  private readChunkData(): ParseStep {
    if (this.buffer.length < this.expectedBytes) return 'more';
    this.consumeBody(this.expectedBytes);
    this.phase = 'chunk-end';
    return 'progress';
  }

  private readChunkEnd(): ParseStep {
    if (this.buffer.length < LINE_END.length) return 'more';
    if (this.buffer[0] !== CARRIAGE_RETURN || this.buffer[1] !== LINE_FEED) throw malformed('bad chunk end');
    this.buffer = this.buffer.subarray(LINE_END.length);
    this.phase = 'chunk-size';
    return 'progress';
  }

  private readTrailer(): ParseStep {
    const line = this.consumeLine();
    if (line === null) return 'more';
    return line === '' ? this.completeMessage() : 'progress';
  }

  private completeMessage(): HttpMessage {
    const body = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const version = this.kind === 'request' ? this.startLine[2] : this.startLine[0];
    const bodyEndsAtClose = this.phase === 'until-close';
    const keepAlive = !bodyEndsAtClose && !/\bclose\b/.test(connection) && version === 'HTTP/1.1';
    this.phase = 'head';
    this.chunks = [];
    return { startLine: this.startLine, headers: this.headers, body, keepAlive };
  }
}
