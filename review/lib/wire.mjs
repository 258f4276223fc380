/** HTTP on loopback: a server whose handler may leave a request without an answer, and a client. */
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

export const HOST = '127.0.0.1';

/** Returns a promise that is fulfilled after some milliseconds. */
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns free loopback ports. */
export async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createTcpServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, HOST, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function parse(chunks) {
  const text = Buffer.concat(chunks).toString('utf8');
  if (text === '') return null;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Serves HTTP at a port. `handle` gets method, URL, body and its size, and returns `{ status, body }`, or null: then the
 * connection stays open without an answer.
 */
export function serve(port, handle) {
  const server = createServer((incoming, outgoing) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('error', () => outgoing.destroy());
    incoming.on('end', async () => {
      const url = new URL(incoming.url ?? '/', `http://${HOST}`);
      const size = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      const answer = await handle({ method: incoming.method, url, body: parse(chunks), size });
      if (answer === null || outgoing.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      outgoing.writeHead(answer.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      outgoing.end(text);
    });
  });
  server.keepAliveTimeout = 120_000;
  server.on('clientError', (_, socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, () => resolve(server));
  });
}

/** Sends one request; resolves to `{ status, body, retryAfterS }`, with status 0 if there is no answer in time. */
export function call(port, method, path, body, timeoutMs) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    let timer = null;
    const end = (answer) => {
      if (timer) timer.close();
      resolve(answer);
    };
    const outgoing = request({ host: HOST, port, method, path, headers, agent: false }, (incoming) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('error', () => end({ status: 0, body: null, refused: false }));
      incoming.on('end', () =>
        end({
          status: incoming.statusCode,
          body: parse(chunks),
          retryAfterS: Number(incoming.headers['retry-after'] ?? 0),
        }),
      );
    });
    outgoing.on('error', (error) => end({ status: 0, body: null, refused: error.code === 'ECONNREFUSED' }));
    timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMs);
    outgoing.end(text);
  });
}
