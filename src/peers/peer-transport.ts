/**
 * Transport of messages between controllers: length-prefixed msgpack frames over one outgoing connection per peer.
 * Delivery is not guaranteed and not reported. It is used for hints only: a message that is lost, late, duplicated or
 * sent by an earlier incarnation must not cause anything unsafe.
 */
import { connect, createServer, type Socket } from 'node:net';
import { Packr } from 'msgpackr';
import type { Log } from '../logging/log.js';
import type { Address, ControllerId } from '../model/units.js';
import { parseAddress } from '../http/server.js';

/** Size of the frame header, an unsigned big-endian integer that holds the length of the message in bytes. */
const FRAME_HEADER_BYTES = 4;
/** Maximum size of a message, without the header. */
const MAX_FRAME_BYTES = 1024 * 1024;
/** Maximum amount of unsent data in a socket; further messages to that peer are dropped. */
const MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES;
/** Delay before the peer is dialed again after its connection has closed. */
const RECONNECT_DELAY_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
const MAX_INCOMING_CONNECTIONS = 32;
/**
 * Encodes maps as plain objects and disables msgpackr's record extension, so that any msgpack library can decode them.
 */
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** Thrown if a frame header declares a message larger than the maximum. The stream cannot be read any further. */
class FrameTooLargeError extends Error {
  constructor() {
    super('frame too large');
  }
}

/** Splits a byte stream into frames and decodes their messages. Each connection needs its own reader. */
export class FrameReader {
  private buffer = Buffer.alloc(0);

  /**
   * Appends received bytes and returns the messages that they complete, in order. Throws `FrameTooLargeError`, or
   * msgpackr's error if a message cannot be decoded; the stream must be closed then.
   */
  push(data: Buffer): unknown[] {
    this.buffer = Buffer.concat([this.buffer, data]);
    const messages: unknown[] = [];
    while (this.buffer.length >= FRAME_HEADER_BYTES) {
      const messageBytes = this.buffer.readUInt32BE(0);
      if (messageBytes > MAX_FRAME_BYTES) throw new FrameTooLargeError();
      const frameEnd = FRAME_HEADER_BYTES + messageBytes;
      if (this.buffer.length < frameEnd) break;
      messages.push(packr.unpack(this.buffer.subarray(FRAME_HEADER_BYTES, frameEnd)));
      this.buffer = this.buffer.subarray(frameEnd);
    }
    return messages;
  }
}

/** Encodes one message as a frame. */
export function frame(message: unknown): Buffer {
  const body = packr.pack(message);
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32BE(body.length, 0);
  return Buffer.concat([header, body]);
}

/** The connection to one peer. It is reestablished whenever it closes, for as long as the process runs. */
class OutgoingConnection {
  private socket: Socket | null = null;
  private connected = false;
  private reconnectTimer: NodeJS.Timeout | null = null;

  constructor(private readonly address: Address) {
    this.dial();
  }

  /** Sends the frame, or drops it if the peer is not connected or reads too slowly. */
  send(bytes: Buffer): void {
    if (this.connected && this.socket && this.socket.writableLength < MAX_UNSENT_BYTES)
      this.socket.write(bytes);
  }

  private dial(): void {
    const socket = connect({ ...parseAddress(this.address), noDelay: true });
    this.socket = socket;
    const dialTimer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(dialTimer);
      this.connected = true;
    });
    socket.on('error', () => socket.destroy());
    // Peers send no data on this connection, but without a `data` listener its end would not be detected.
    socket.on('data', () => undefined);
    socket.on('close', () => {
      clearTimeout(dialTimer);
      this.connected = false;
      this.scheduleReconnect();
    });
  }

  private scheduleReconnect(): void {
    this.reconnectTimer ??= setTimeout(() => {
      this.reconnectTimer = null;
      this.dial();
    }, RECONNECT_DELAY_MS);
  }
}

/** Sends messages to peers without delivery guarantee. */
export interface PeerTransport {
  /** Sends a message to one peer. Does nothing if the controller is not a peer. */
  send(to: ControllerId, message: unknown): void;
  /** Sends a message to all peers. */
  broadcast(message: unknown): void;
}

/**
 * Listens for connections of peers and dials all peers. `receive` is called synchronously with every message, which is
 * not validated; if it throws, the connection is closed. The listener and the connections last as long as the process.
 */
export function openPeerTransport(
  listen: Address,
  peers: readonly { node: ControllerId; address: Address }[],
  receive: (message: unknown) => void,
  log: Log,
): PeerTransport {
  listenForPeers(listen, receive, log);
  const connections = new Map(peers.map((peer) => [peer.node, new OutgoingConnection(peer.address)]));
  return {
    send: (to, message) => connections.get(to)?.send(frame(message)),
    broadcast: (message) => {
      const bytes = frame(message);
      for (const connection of connections.values()) connection.send(bytes);
    },
  };
}

function listenForPeers(listen: Address, receive: (message: unknown) => void, log: Log): void {
  const server = createServer({ noDelay: true }, (socket) => {
    const reader = new FrameReader();
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => {
      try {
        for (const message of reader.push(data)) receive(message);
      } catch (err) {
        log.error({ err }, 'invalid peer message');
        socket.destroy();
      }
    });
  });
  server.maxConnections = MAX_INCOMING_CONNECTIONS;
  server.on('error', (err) => log.error({ err }, 'peer transport server'));
  server.listen(parseAddress(listen));
}
