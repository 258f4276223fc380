/** Small network helpers of the cases: addresses, JSON over HTTP, and a TCP proxy that can be cut. */
import { Buffer } from 'node:buffer';
import { createServer as createHttpServer, request, Agent } from 'node:http';
import { connect, createServer } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';

export const HOST = '127.0.0.1';
export const sleep = (ms) => wait(ms);

/** Returns loopback addresses for the controllers of one run: no connection takes a port of theirs by chance. */
export function controllerHosts(count) {
  const [second, third] = [100, 0].map((low) => low + Math.floor(Math.random() * 150));
  return Array.from({ length: count }, (_, index) => `127.${second}.${third}.${index + 1}`);
}

/** Returns the value of a body, null if it is empty, undefined if it is not JSON. */
function parse(bytes) {
  try {
    return bytes.length === 0 ? null : JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Starts an HTTP server on a free port; `handle(method, url, body, reply)` answers with `reply(status, value)`. */
export function serveJson(handle) {
  const server = createHttpServer((incoming, outgoing) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      const reply = (status, value) => {
        const text = JSON.stringify(value ?? {});
        outgoing.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        });
        outgoing.end(text);
      };
      const body = parse(Buffer.concat(chunks));
      if (body === undefined) reply(400, { error: 'not JSON' });
      else handle(incoming.method, incoming.url, body, reply);
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve) => server.listen(0, HOST, () => resolve(server)));
}

export const portOf = (server) => server.address().port;

/**
 * Sends one request. Resolves to `{status, body, retryAfterS}`, with status 0 if no answer came in time. The agent may
 * be null for a connection of its own.
 */
export function callJson(address, method, path, body, timeoutMs, agent = false) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body);
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const outgoing = request({ host, port, method, path, headers, agent }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', () => finish({ status: 0, body: null }));
      answer.on('end', () => {
        const value = parse(Buffer.concat(chunks)) ?? null;
        finish({
          status: answer.statusCode,
          body: value,
          retryAfterS: Number(answer.headers['retry-after'] ?? 0),
        });
      });
    });
    const timer = setTimeout(() => finish({ status: 0, body: null }), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
      if (result.status === 0) outgoing.destroy();
    };
    outgoing.on('error', () => finish({ status: 0, body: null }));
    outgoing.end(text);
  });
}

export const newAgent = () => new Agent({ keepAlive: true, maxSockets: 1 });

/**
 * A TCP proxy on a free port. In mode `hold` it passes nothing on and answers nothing, like a cut that holds packets
 * back, and passes everything on afterwards; in mode `reset` it ends all connections.
 */
export class Link {
  mode = 'open';
  pairs = new Set();
  waiting = [];

  static async open(target) {
    const link = new Link();
    link.target = target;
    link.server = createServer({ allowHalfOpen: false }, (client) => link.accept(client));
    await new Promise((resolve) => link.server.listen(0, HOST, resolve));
    link.address = `${HOST}:${link.server.address().port}`;
    return link;
  }

  accept(client) {
    client.on('error', () => client.destroy());
    client.setNoDelay(true);
    if (this.mode === 'reset') client.resetAndDestroy();
    else if (this.mode === 'hold') {
      client.pause();
      this.waiting.push(client);
    } else this.join(client);
  }

  join(client) {
    const [host, port] = this.target.split(':');
    const upstream = connect({ host, port: Number(port), noDelay: true });
    const pair = { client, upstream };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ]) {
      from.on('data', (data) => to.write(data));
      from.on('end', () => to.end());
      from.on('error', end);
      from.on('close', () => to.end());
    }
    client.resume();
  }

  cut(mode) {
    this.mode = mode;
    for (const { client, upstream } of this.pairs) {
      if (mode === 'reset') {
        client.resetAndDestroy();
        upstream.resetAndDestroy();
      } else {
        client.pause();
        upstream.pause();
      }
    }
  }

  heal() {
    this.mode = 'open';
    for (const { client, upstream } of this.pairs) {
      client.resume();
      upstream.resume();
    }
    for (const client of this.waiting.splice(0)) if (!client.destroyed) this.join(client);
  }

  close() {
    this.server.close();
    for (const { client, upstream } of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
    for (const client of this.waiting) client.destroy();
  }
}
