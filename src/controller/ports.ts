/** Everything that a controller reaches outside its process. Tests and the simulation put fakes in its place. */
import { randomBytes } from 'node:crypto';
import { HttpClient, KeepAliveLimit } from '../http/client.js';
import { startHttpServer, type Handler, type ServerOptions } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { millis, type Address, type Incarnation } from '../model/units.js';
import { openPeerTransport, type PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings/settings.js';
import type { Caller } from '../store/client.js';
import { DIRECT_CALL_SHARE, type WorkerClient } from '../workers/clients.js';
import { HEARTBEAT_PATH } from './routes.js';

/** Sockets for calls to the store, the cloud and peers, and for what users hold open beside the machines. */
const RESERVED_SOCKETS = 80;
/** What the server may hold open at least, however few sockets the settings allow. */
const MIN_SERVER_CONNECTIONS = 16;
/** Share of the server's connections that workers may keep open between heartbeats. */
const KEPT_WORKER_CONNECTION_SHARE = 0.7;
/** A connection without a request is closed after this many heartbeat intervals, ... */
const IDLE_HEARTBEAT_INTERVALS = 5;
/** ... but not before this. */
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

/** Clients and servers by what they are for. */
export interface Ports {
  /** Requests to the store, except for watches. */
  readonly state: Caller;
  /** Watches, which keep a connection busy for as long as they block. */
  readonly stateWatch: Caller;
  readonly cloud: Caller;
  /** A client for direct commands to the worker at an address. */
  readonly worker: (address: Address) => WorkerClient;
  /** Listens for peers and dials them; `receive` gets every message as it was decoded from its frame. */
  readonly mesh: (receive: (message: unknown) => void) => PeerTransport;
  /** Serves users and workers. */
  readonly listen: (handler: Handler) => Promise<void>;
  /** A name for this start of the process that no other start has. */
  readonly incarnation: () => Incarnation;
}

/** How the server shares its connections between users and workers. */
function serverOptions(settings: Settings, maxConnections: number): ServerOptions {
  return {
    maxConnections,
    // A controller that is left alone may have more machines than sockets: they take turns.
    crowding: {
      crowdedAbove: Math.floor(maxConnections * KEPT_WORKER_CONNECTION_SHARE),
      mayCloseAfter: (path) => path === HEARTBEAT_PATH,
    },
    receiveTimeout: millis(RECEIVE_TIMEOUT_MS),
    // What hundreds of machines leave open in a network fault is closed before they come back on new connections.
    idleTimeout: millis(
      Math.max(MIN_IDLE_TIMEOUT_MS, settings.heartbeatIntervalS * 1000 * IDLE_HEARTBEAT_INTERVALS),
    ),
    responseTimeout: millis(RESPONSE_TIMEOUT_MS),
  };
}

/** The ports of a controller process: HTTP and peer connections at the addresses of the settings. */
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
