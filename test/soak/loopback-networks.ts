/** Reserves two networks of 127.0.0.0/8 for each run, so that concurrent runs do not use the same addresses. */
import { createServer, type Server } from 'node:net';

const MIN_SECOND_OCTET = 20;
const NETWORK_PAIR_COUNT = 110;
/** A run reserves a pair of networks by listening at this address of the first network. */
const RESERVATION_HOST_SUFFIX = '255.254';
const RESERVATION_PORT = 9999;

/** The networks of one run. A prefix is the first two octets of an address. */
export interface LoopbackNetworks {
  readonly controllerPrefix: string;
  readonly machinePrefix: string;
  /** Reserves the networks until it is closed or the process exits. */
  readonly reservation: Server;
}

function tryListen(host: string): Promise<Server | null> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(null));
    server.listen(RESERVATION_PORT, host, () => resolve(server));
  });
}

/** Reserves a pair of networks that no other run uses. Throws if all pairs are in use. */
export async function reserveNetworks(): Promise<LoopbackNetworks> {
  for (let pair = 0; pair < NETWORK_PAIR_COUNT; pair += 1) {
    const secondOctet = MIN_SECOND_OCTET + 2 * ((process.pid + pair) % NETWORK_PAIR_COUNT);
    const reservation = await tryListen(`127.${secondOctet}.${RESERVATION_HOST_SUFFIX}`);
    if (reservation)
      return { controllerPrefix: `127.${secondOctet}`, machinePrefix: `127.${secondOctet + 1}`, reservation };
  }
  throw new Error('no network of 127.0.0.0/8 is free');
}
