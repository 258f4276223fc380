/** Two networks of 127.0.0.0/8 for each run, so that runs at the same time do not meet at an address. */
import { createServer, type Server } from 'node:net';

const FIRST_NETWORK = 20;
const NETWORK_PAIRS = 110;
/** Whoever listens here has the pair of networks. */
const RESERVATION_HOST_SUFFIX = '255.254';
const RESERVATION_PORT = 9999;

/** The networks of one run, as the first two parts of their addresses. */
export interface LoopbackNetworks {
  readonly controllers: string;
  readonly machines: string;
  /** Ends with the run, or with its process. */
  readonly reservation: Server;
}

function tryListen(host: string): Promise<Server | null> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(null));
    server.listen(RESERVATION_PORT, host, () => resolve(server));
  });
}

/** Reserves a pair that no other run has. Throws when all are taken. */
export async function reserveNetworks(): Promise<LoopbackNetworks> {
  for (let pair = 0; pair < NETWORK_PAIRS; pair += 1) {
    const first = FIRST_NETWORK + 2 * ((process.pid + pair) % NETWORK_PAIRS);
    const reservation = await tryListen(`127.${first}.${RESERVATION_HOST_SUFFIX}`);
    if (reservation) return { controllers: `127.${first}`, machines: `127.${first + 1}`, reservation };
  }
  throw new Error('no network of 127.0.0.0/8 is free');
}
