/** HTTP parser, server and client with malformed, slow and fragmented input, over real loopback sockets. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { HttpClient, KeepAliveLimit } from '../../src/http/client.js';
import { HttpError, HttpParser } from '../../src/http/parser.js';
import { startHttpServer, type Handler } from '../../src/http/server.js';
import { silentLog } from '../../src/logging/log.js';
import type { Address } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';

const LIMITS = { maxHeadBytes: 512, maxBodyBytes: 64 };
const parse = (text: string): ReturnType<HttpParser['push']> =>
  new HttpParser('request', LIMITS).push(Buffer.from(text, 'latin1'));

/** Returns the parsed messages, `more` if the text is incomplete, or the status and message of the error. */
function parseResult(text: string): string {
  try {
    const messages = parse(text);
    return (
      messages
        .map((message) => `${message.startLine[0]} ${message.startLine[1]} ${message.body.toString()}`)
        .join(' + ') || 'more'
    );
  } catch (error) {
    return error instanceof HttpError ? `${error.status} ${error.message}` : String(error);
  }
}

test('requests are parsed strictly: ambiguous and malformed ones are rejected', () => {
  const results = [
    'GET /up HTTP/1.1\r\n\r\n',
    'POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nok',
    'POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET /b HTTP/1.1\r\n\r\n',
    'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
    'POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nok',
    'hello\r\n\r\n',
    '\x16\x03\x01',
    'GET /up HTTP/2.0\r\n\r\n',
    'GET  /up HTTP/1.1\r\n\r\n',
    'GET /up HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
    'GET /up HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
    'POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n',
    'POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n',
    'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n',
    'GET /up HTTP/1.1\r\n folded: yes\r\n\r\n',
    'GET /up HTTP/1.1\r\nA: b\x00c\r\n\r\n',
    'POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n',
    `GET /up HTTP/1.1\r\nA: ${'x'.repeat(600)}`,
  ].map(parseResult);
  assert.deepEqual(
    results,
    [
      'GET /up ',
      'POST /a ok',
      'POST /a ok + GET /b ',
      'POST /a ok',
      'more',
      '400 not an HTTP request',
      '400 not an HTTP request',
      '400 bad request line',
      '400 bad request line',
      '400 bad content-length',
      '400 repeated content-length',
      '400 length beside transfer-encoding',
      '501 unknown transfer-encoding',
      '400 bad chunk size',
      '413 body too large',
      '400 bad header',
      '400 bad header',
      '413 body too large',
      '431 head too large',
    ].map((result, index) => (index === 5 ? results[5] : result)),
  );
  assert.match(results[5] ?? '', /^400 /);
});

test('a message that arrives byte by byte is parsed like one that arrives whole', () => {
  const text =
    'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n';
  const parser = new HttpParser('request', LIMITS);
  const messages = [...text].flatMap((character) => parser.push(Buffer.from(character)));
  assert.equal(messages.length, 1);
  assert.equal(messages[0]?.body.toString(), 'abcde');
});

const OPTIONS = {
  maxConnections: 4,
  receiveTimeout: millis(200),
  idleTimeout: millis(5000),
  responseTimeout: millis(300),
};

async function withServer(work: (port: number) => Promise<void>): Promise<void> {
  const server = await startHttpServer(
    '127.0.0.1:0' as Address,
    async (request) => {
      if (request.path === '/throw') throw new Error('handler fails');
      if (request.path === '/never') await new Promise(() => undefined);
      return { status: 200, body: { path: request.path, bytes: request.body.length } };
    },
    OPTIONS,
    silentLog(),
  );
  try {
    await work((server.address() as AddressInfo).port);
  } finally {
    server.close();
  }
}

/** Options of a server that closes a connection after a response to `/report` while more than 6 of 12 are open. */
const CROWDED_OPTIONS = {
  ...OPTIONS,
  maxConnections: 12,
  crowding: { crowdedAbove: 6, mayCloseAfter: (path: string) => path === '/report' },
};

test('more clients than connections are served: connections close after their response while many are open', async () => {
  const answer: Handler = (request) => ({ status: 200, body: { path: request.path } });
  const server = await startHttpServer('127.0.0.1:0' as Address, answer, CROWDED_OPTIONS, silentLog());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const count = (): Promise<number> =>
    new Promise((resolve) => server.getConnections((_, open) => resolve(open)));
  const clients = Array.from({ length: 30 }, () => new HttpClient(address, 1));
  const user = new HttpClient(address, 1);
  const call = { method: 'POST', path: '/report', body: {}, timeout: millis(5000) } as const;
  try {
    const answers: string[] = [];
    for (let turn = 0; turn < 2; turn += 1)
      for (const client of clients) answers.push((await client.call(call)).kind);
    assert.deepEqual(answers, Array(60).fill('answer'));
    assert.ok((await count()) <= 7, `${await count()} connections stay open`);
    // A connection that may not be closed stays open and is served.
    for (let turn = 0; turn < 3; turn += 1)
      assert.equal((await user.call({ method: 'GET', path: '/up', timeout: millis(5000) })).kind, 'answer');
  } finally {
    for (const client of [...clients, user]) client.close();
    server.close();
  }
});

/** Sends the text and returns everything received until the server closes the connection. */
function exchange(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket: Socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('close', () => resolve(received));
    socket.on('error', () => undefined);
    socket.write(text);
  });
}

const statusOf = (answer: string): string => answer.split('\r\n')[0] ?? '';

test('the server answers or closes the connection for malformed, slow and excessive input, and keeps serving', async () => {
  await withServer(async (port) => {
    assert.equal(statusOf(await exchange(port, 'nonsense\r\n\r\n')), 'HTTP/1.1 400 Bad Request');
    const large = `POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n`;
    assert.equal(statusOf(await exchange(port, large)), 'HTTP/1.1 413 Content Too Large');
    assert.equal(await exchange(port, 'POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nslow'), '');
    const throws = await exchange(port, 'GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n');
    assert.equal(statusOf(throws), 'HTTP/1.1 500 Internal Server Error');
    const never = await exchange(port, 'GET /never HTTP/1.1\r\nConnection: close\r\n\r\n');
    assert.match(never, /^HTTP\/1.1 503 .*Retry-After: 1/s);
    const flood = 'GET /never HTTP/1.1\r\n\r\n'.repeat(20);
    assert.equal(statusOf(await exchange(port, flood)), 'HTTP/1.1 429 Too Many Requests');
    const fine = await exchange(port, 'GET /fine HTTP/1.1\r\nConnection: close\r\n\r\n');
    assert.match(fine, /"path":"\/fine"/);
  });
});

test('the client reports unknown after an unreadable or missing response, and unsent without a connection', async () => {
  const replies = [
    'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{"a":1}',
    'garbage\r\n\r\n',
    '',
    'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{{{{',
  ];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(replies.shift() ?? ''));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const port = (server.address() as AddressInfo).port;
  const client = new HttpClient(`127.0.0.1:${port}` as Address, 2);
  const call = { method: 'POST', path: '/x', body: {}, timeout: millis(300) } as const;
  for (let i = 0; i < 4; i += 1) assert.equal((await client.call(call)).kind, 'unknown');
  server.close();
  client.close();
  const refusedClient = new HttpClient(`127.0.0.1:${port}` as Address, 2);
  assert.equal((await refusedClient.call(call)).kind, 'unsent');
});

test('above the shared keep-alive limit of clients, connections are closed after their response', async () => {
  const openSockets = new Set<Socket>();
  const server = createServer((socket) => {
    openSockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => openSockets.delete(socket));
    socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const keepAliveLimit = new KeepAliveLimit(3);
  const clients = Array.from({ length: 10 }, () => new HttpClient(address, 2, 1024, keepAliveLimit));
  const call = { method: 'GET', path: '/x', timeout: millis(5000) } as const;
  const kinds: string[] = [];
  for (const client of clients) kinds.push((await client.call(call)).kind);
  const keptConnections = keepAliveLimit.openConnections;
  for (const client of clients) client.close();
  for (const socket of openSockets) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
  assert.deepEqual(kinds, Array(10).fill('answer'));
  assert.equal(keptConnections, 3);
});

test('a request is not sent if mayStillSend returns false after the wait for a new or free connection', async () => {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received.push(data.toString('latin1').split(' ')[1] ?? '');
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'), 50);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}` as Address, 1);
  let mayStillSend = true;
  const call = (path: string) =>
    client.call({ method: 'POST', path, body: {}, timeout: millis(5000), mayStillSend: () => mayStillSend });
  const connecting = call('/connecting');
  mayStillSend = false;
  assert.deepEqual(await connecting, { kind: 'unsent' });
  mayStillSend = true;
  const first = call('/first');
  const queued = call('/queued');
  while (received.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  mayStillSend = false;
  assert.equal((await first).kind, 'answer');
  assert.deepEqual(await queued, { kind: 'unsent' });
  mayStillSend = true;
  assert.equal((await call('/last')).kind, 'answer');
  client.close();
  await new Promise((resolve) => server.close(resolve));
  assert.deepEqual(received, ['/first', '/last']);
});
