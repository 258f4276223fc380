/**
 * Transport of messages between controllers: msgpack in frames with a length, over one outgoing connection a peer. It
 * gives no guarantee and reports no outcome: its users send hints only, from which nothing unsafe may follow when one is
 * lost, late, duplicated or sent by an earlier incarnation.
 */
import { connect, createServer, type Socket } from 'node:net';
import { Packr } from 'msgpackr';
import type { Log } from '../logging/log.js';
import type { Address, ControllerId } from '../model/units.js';
import { parseAddress } from '../http/server.js';

/** Length of a frame's header, an unsigned big-endian number: the length of the message behind it, in bytes. */
const FRAME_HEADER_BYTES = 4;
/** Largest message in bytes, without the header. */
const MAX_FRAME_BYTES = 1024 * 1024;
/** What may be unsent in a socket, in bytes; further messages to that peer are dropped. */
const MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES;
/** How long after the end of a connection the peer is dialled again. */
const RECONNECT_DELAY_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
const MAX_INCOMING_CONNECTIONS = 32;
/** Maps are sent as plain objects, and without msgpackr's own records: any msgpack library reads the messages. */
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** A peer announced a frame beyond the largest one: the stream cannot be read any further. */
class FrameTooLargeError extends Error {
  constructor() {
    super('frame too large');
  }
}

/** Cuts a byte stream into frames and unpacks their messages; one reader for each connection. */
export class FrameReader {
  private buffer = Buffer.alloc(0);

  /**
   * The messages that these bytes complete, in order. Throws `FrameTooLargeError`, or msgpackr's error for a message that
   * cannot be unpacked; the stream is of no use then.
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

/** The frame of one message. */
export function frame(message: unknown): Buffer {
  const body = packr.pack(message);
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32BE(body.length, 0);
  return Buffer.concat([header, body]);
}

/** The connection to one peer, dialled again whenever it ends, for as long as the process runs. */
class OutgoingConnection {
  private socket: Socket | null = null;
  private connected = false;
  private reconnectTimer: NodeJS.Timeout | null = null;

  constructor(private readonly address: Address) {
    this.dial();
  }

  /** Sends the frame, or drops it when the peer is not connected or reads too slowly. */
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
    // Peers send nothing on this connection; without a reader its end would not be noticed.
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

/** Sends messages to peers, without any guarantee that they arrive. */
export interface PeerTransport {
  /** To one peer; does nothing for a controller that is not a peer. */
  send(to: ControllerId, message: unknown): void;
  /** To all peers. */
  broadcast(message: unknown): void;
}

/**
 * Listens for peers and dials them. `receive` gets every message of any of them, unchecked and synchronously; an error
 * that it throws ends the connection on which the message came. Listener and connections last as long as the process.
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
