/**
 * Real sockets in front of the simulator's services. A controller process calls an address of loopback; the call goes
 * through the simulated network, with its partitions and delays, to the model behind it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { connect, createServer as createTcpServer, type Server as TcpServer, type Socket } from 'node:net';
import type { Call } from '../../src/http/client.js';
import type { Millis } from '../../src/model/units.js';
import type { Host } from '../../src/simulation/clock.js';
import type { Network } from '../../src/simulation/network.js';
import type { Reply } from '../../src/simulation/store-service.js';

/** Longer than any caller waits: callers give up by themselves. */
const ANSWER_TIMEOUT = 90_000 as Millis;
const PARTITION_CHECK_INTERVAL_MS = 100;

/** Who calls, whom, and what answers there. */
export interface Gateway {
  readonly caller: (call: Call) => Host;
  readonly target: Host;
  readonly serve: (caller: Host, call: Call, reply: Reply) => void;
}

async function readCall(request: IncomingMessage): Promise<Call> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  const method = request.method === 'GET' ? 'GET' : 'POST';
  const call = { method, path: request.url ?? '/', timeout: ANSWER_TIMEOUT } as const;
  return text === '' ? call : { ...call, body: JSON.parse(text) as unknown };
}

async function pass(
  request: IncomingMessage,
  response: ServerResponse,
  network: Network,
  gateway: Gateway,
): Promise<void> {
  const call = await readCall(request);
  const from = gateway.caller(call);
  const outcome = await network.exchange({
    from,
    to: gateway.target,
    timeoutMs: ANSWER_TIMEOUT,
    serve: (reply) => gateway.serve(from, call, reply),
  });
  if (outcome.kind !== 'answer') {
    response.destroy();
    return;
  }
  response.writeHead(outcome.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(outcome.body));
}

/** Serves HTTP at an address of loopback, through the simulated network. */
export function openGateway(host: string, port: number, network: Network, gateway: Gateway): Promise<Server> {
  const server = createServer((request, response) => {
    // A caller that has gone, or an answer nobody waits for, is no fault of the run.
    pass(request, response, network, gateway).catch(() => response.destroy());
  });
  server.keepAliveTimeout = ANSWER_TIMEOUT;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Where a proxy listens, and where it leads. */
export interface ProxyRoute {
  readonly host: string;
  readonly port: number;
  readonly targetHost: string;
  readonly from: () => Host;
  readonly to: () => Host;
}

/** Passes bytes from one controller to another; a partition between them ends and refuses connections. */
export function openPeerProxy(route: ProxyRoute, network: Network): Promise<TcpServer> {
  const isBlocked = (): boolean =>
    network.blockingPartition(route.from(), route.to()) !== null ||
    network.blockingPartition(route.to(), route.from()) !== null;
  const server = createTcpServer((incoming) => {
    if (isBlocked()) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(route.port, route.targetHost);
    const both: readonly Socket[] = [incoming, outgoing];
    const check = setInterval(() => {
      if (isBlocked()) for (const socket of both) socket.destroy();
    }, PARTITION_CHECK_INTERVAL_MS);
    for (const socket of both) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearInterval(check);
        for (const other of both) other.destroy();
      });
    }
    incoming.pipe(outgoing).pipe(incoming);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(route.port, route.host, () => resolve(server));
  });
}
