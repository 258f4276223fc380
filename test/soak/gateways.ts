/**
 * Real sockets in front of the simulated services. A controller process sends a request to a loopback address; the
 * request passes through the simulated network, with its partitions and delays, to the simulated service.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { connect, createServer as createTcpServer, type Server as TcpServer, type Socket } from 'node:net';
import type { Call } from '../../src/http/client.js';
import type { Millis } from '../../src/model/units.js';
import type { Host } from '../../src/simulation/clock.js';
import type { Network } from '../../src/simulation/network.js';
import type { Reply } from '../../src/simulation/store-service.js';

/** Longer than the timeout of any caller, so that callers time out on their side. */
const ANSWER_TIMEOUT_MS = 90_000 as Millis;
const PARTITION_CHECK_INTERVAL_MS = 100;

/** The two hosts of a gateway's connection and the handler of its requests. */
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
  const call = { method, path: request.url ?? '/', timeout: ANSWER_TIMEOUT_MS } as const;
  return text === '' ? call : { ...call, body: JSON.parse(text) as unknown };
}

/** Sends a request through the simulated network; closes the connection if no answer arrives. */
async function forward(
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
    timeoutMs: ANSWER_TIMEOUT_MS,
    serve: (reply) => gateway.serve(from, call, reply),
  });
  if (outcome.kind !== 'answer') {
    response.destroy();
    return;
  }
  response.writeHead(outcome.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(outcome.body));
}

/** Serves HTTP at a loopback address and forwards each request through the simulated network. */
export function openGateway(host: string, port: number, network: Network, gateway: Gateway): Promise<Server> {
  const server = createServer((request, response) => {
    // Errors are expected here: the caller may have disconnected or timed out before the answer.
    forward(request, response, network, gateway).catch(() => response.destroy());
  });
  server.keepAliveTimeout = ANSWER_TIMEOUT_MS;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** The address where a proxy listens, the address that it connects to, and the hosts of the two controllers. */
export interface ProxyRoute {
  readonly host: string;
  readonly port: number;
  readonly targetAddress: string;
  readonly from: () => Host;
  readonly to: () => Host;
}

/** Relays bytes between two controllers; during a partition between them, closes and refuses connections. */
export function openPeerProxy(route: ProxyRoute, network: Network): Promise<TcpServer> {
  const isPartitioned = (): boolean =>
    network.blockingPartition(route.from(), route.to()) !== null ||
    network.blockingPartition(route.to(), route.from()) !== null;
  const server = createTcpServer((incoming) => {
    if (isPartitioned()) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(route.port, route.targetAddress);
    const sockets: readonly Socket[] = [incoming, outgoing];
    const partitionCheck = setInterval(() => {
      if (isPartitioned()) for (const socket of sockets) socket.destroy();
    }, PARTITION_CHECK_INTERVAL_MS);
    for (const socket of sockets) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearInterval(partitionCheck);
        for (const openSocket of sockets) openSocket.destroy();
      });
    }
    incoming.pipe(outgoing).pipe(incoming);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(route.port, route.host, () => resolve(server));
  });
}
