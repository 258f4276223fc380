/**
 * Messages between controllers: msgpack, length-framed, one outgoing connection a peer. They are hints:
 * nothing unsafe follows when one is lost, late, doubled or sent by an older incarnation.
 */
import { connect, createServer, type Socket } from 'node:net';
import { Packr } from 'msgpackr';
import type { Log } from '../logging/log.js';
import type { Address, ControllerId } from '../model/units.js';
import { parseAddress } from '../http/server.js';

/** Largest message in bytes, without its length. */
const MAX_FRAME_BYTES = 1024 * 1024;
/** What may wait in a socket, in bytes; further messages to that peer are dropped. */
const MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES;
/** How long after the end of a connection the peer is dialled again, in milliseconds. */
const RECONNECT_DELAY_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
const MAX_INCOMING_CONNECTIONS = 32;
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** Cuts a byte stream into frames: four bytes of length, then the message. */
export class FrameReader {
  private buffer = Buffer.alloc(0);

  /** The messages that these bytes complete. Throws when a frame is larger than it may be. */
  push(data: Buffer): unknown[] {
    this.buffer = Buffer.concat([this.buffer, data]);
    const messages: unknown[] = [];
    while (this.buffer.length >= 4) {
      const size = this.buffer.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) throw new Error('frame too large');
      if (this.buffer.length < 4 + size) break;
      messages.push(packr.unpack(this.buffer.subarray(4, 4 + size)));
      this.buffer = this.buffer.subarray(4 + size);
    }
    return messages;
  }
}

/** One message as it goes over a connection. */
export function frame(message: unknown): Buffer {
  const body = packr.pack(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length, 0);
  return Buffer.concat([head, body]);
}

/** The connection to one peer, dialled anew whenever it ends. */
class OutgoingConnection {
  private socket: Socket | null = null;
  private connected = false;
  private reconnectTimer: NodeJS.Timeout | null = null;

  constructor(private readonly address: Address) {
    this.dial();
  }

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
    // Peers never talk back on this connection; reading notices its end.
    socket.on('data', () => undefined);
    socket.on('close', () => {
      clearTimeout(dialTimer);
      this.connected = false;
      this.reconnectTimer ??= setTimeout(() => {
        this.reconnectTimer = null;
        this.dial();
      }, RECONNECT_DELAY_MS);
    });
  }
}

/** Messages to peers, without any promise that they arrive. */
export interface PeerTransport {
  send(to: ControllerId, message: unknown): void;
  /** To all peers. */
  broadcast(message: unknown): void;
}

/** Listens for peers and dials them; `receive` gets every message of any of them. */
export function openPeerTransport(
  listen: Address,
  peers: readonly { node: ControllerId; address: Address }[],
  receive: (message: unknown) => void,
  log: Log,
): PeerTransport {
  const server = createServer({ noDelay: true }, (socket) => {
    const reader = new FrameReader();
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => {
      try {
        for (const message of reader.push(data)) receive(message);
      } catch (err) {
        log.error({ err }, 'bad mesh message');
        socket.destroy();
      }
    });
  });
  server.maxConnections = MAX_INCOMING_CONNECTIONS;
  server.on('error', (err) => log.error({ err }, 'mesh server'));
  server.listen(parseAddress(listen));
  const connections = new Map(peers.map((p) => [p.node, new OutgoingConnection(p.address)]));
  return {
    send: (to, message) => connections.get(to)?.send(frame(message)),
    broadcast: (message) => {
      const bytes = frame(message);
      for (const connection of connections.values()) connection.send(bytes);
    },
  };
}
