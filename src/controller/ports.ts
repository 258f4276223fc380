/** Ports of a controller to everything outside its process. Tests and the simulation replace them with fakes. */
import { randomBytes } from 'node:crypto';
import { HttpClient, KeepAliveLimit } from '../http/client.js';
import { startHttpServer, type Handler, type ServerOptions } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { millis, type Address, type Incarnation } from '../model/units.js';
import { openPeerTransport, type PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings/settings.js';
import type { HttpTransport } from '../store/client.js';
import { DIRECT_CALL_SHARE, type WorkerClient } from '../workers/clients.js';
import { HEARTBEAT_PATH } from './routes.js';

/** Sockets reserved for calls to the store, the cloud and peers, and for connections of users. */
const RESERVED_SOCKETS = 80;
/** Minimum number of server connections, however few sockets the settings allow. */
const MIN_SERVER_CONNECTIONS = 16;
/** Share of the server's connections that workers may keep open between heartbeats. */
const IDLE_WORKER_CONNECTION_SHARE = 0.7;
/** An idle connection is closed after this many heartbeat intervals, but not before `MIN_IDLE_TIMEOUT_MS`. */
const IDLE_HEARTBEAT_INTERVALS = 5;
const MIN_IDLE_TIMEOUT_MS = 30_000;
const RECEIVE_TIMEOUT_MS = 10_000;
const RESPONSE_TIMEOUT_MS = 4500;

const MAX_STORE_CONNECTIONS = 12;
const MAX_WATCH_CONNECTIONS = 2;
const MAX_CLOUD_CONNECTIONS = 3;
const MAX_CONNECTIONS_PER_WORKER = 2;
const BYTES_PER_MIB = 1_048_576;
const MAX_WATCH_RESPONSE_MIB = 64;
const MAX_WORKER_RESPONSE_MIB = 1;
const INCARNATION_BYTES = 6;

/** Clients and servers by purpose. */
export interface Ports {
  /** Client for requests to the store, except watches. */
  readonly state: HttpTransport;
  /** Client for watches, which occupy a connection for as long as they block. */
  readonly stateWatch: HttpTransport;
  readonly cloud: HttpTransport;
  /** Creates a client for direct commands to the worker at an address. */
  readonly worker: (address: Address) => WorkerClient;
  /** Listens for peers and connects to them; calls `receive` with every message decoded from its frame. */
  readonly mesh: (receive: (message: unknown) => void) => PeerTransport;
  /** Starts the server for users and workers. */
  readonly listen: (handler: Handler) => Promise<void>;
  /** Returns a unique name for this start of the process. */
  readonly incarnation: () => Incarnation;
}

/** Returns the server options, by which users and workers share the connections. */
function serverOptions(settings: Settings, maxConnections: number): ServerOptions {
  return {
    maxConnections,
    // A controller that leads all shards may have more machines than sockets: the machines take turns.
    crowding: {
      crowdedAbove: Math.floor(maxConnections * IDLE_WORKER_CONNECTION_SHARE),
      mayCloseAfter: (path) => path === HEARTBEAT_PATH,
    },
    receiveTimeout: millis(RECEIVE_TIMEOUT_MS),
    // Connections that machines leave open in a network fault are closed before hundreds of machines reconnect.
    idleTimeout: millis(
      Math.max(MIN_IDLE_TIMEOUT_MS, settings.heartbeatIntervalS * 1000 * IDLE_HEARTBEAT_INTERVALS),
    ),
    responseTimeout: millis(RESPONSE_TIMEOUT_MS),
  };
}

/** Creates the ports of a controller process: HTTP and peer connections at the addresses from the settings. */
export function networkPorts(settings: Settings, log: Log): Ports {
  const peers = settings.peers.map((peer) => ({ node: peer.node, address: peer.address }));
  const workerConnections = new KeepAliveLimit(Math.floor(settings.maxConnections * DIRECT_CALL_SHARE));
  const maxConnections = Math.max(
    MIN_SERVER_CONNECTIONS,
    settings.maxConnections - RESERVED_SOCKETS - 2 * workerConnections.maxOpenConnections,
  );
  const options = serverOptions(settings, maxConnections);
  return {
    state: new HttpClient(settings.storeAddress, MAX_STORE_CONNECTIONS),
    stateWatch: new HttpClient(
      settings.storeAddress,
      MAX_WATCH_CONNECTIONS,
      MAX_WATCH_RESPONSE_MIB * BYTES_PER_MIB,
    ),
    cloud: new HttpClient(settings.cloudAddress, MAX_CLOUD_CONNECTIONS),
    worker: (address) =>
      new HttpClient(
        address,
        MAX_CONNECTIONS_PER_WORKER,
        MAX_WORKER_RESPONSE_MIB * BYTES_PER_MIB,
        workerConnections,
      ),
    mesh: (receive) => openPeerTransport(settings.peerListenAddress, peers, receive, log),
    listen: async (handler) => {
      await startHttpServer(settings.listenAddress, handler, options, log);
    },
    incarnation: () => randomBytes(INCARNATION_BYTES).toString('hex') as Incarnation,
  };
}
