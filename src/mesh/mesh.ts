/**
 * Messages between controllers: msgpack, length-framed, one outgoing connection a peer. They are hints:
 * nothing unsafe follows when one is lost, late, doubled or sent by an older incarnation.
 */
import { connect, createServer, type Socket } from 'node:net';
import { Packr } from 'msgpackr';
import type { Log } from '../log.js';
import type { Address, NodeId } from '../units.js';
import { splitAddress } from '../http/server.js';

const MAX_FRAME = 1024 * 1024;
const MAX_UNSENT = 4 * MAX_FRAME;
const RETRY_MS = 500;
const DIAL_MS = 1500;
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** Cuts a byte stream into frames: four bytes of length, then the message. */
export class FrameReader {
  private buffer = Buffer.alloc(0);

  push(data: Buffer): unknown[] {
    this.buffer = Buffer.concat([this.buffer, data]);
    const out: unknown[] = [];
    while (this.buffer.length >= 4) {
      const size = this.buffer.readUInt32BE(0);
      if (size > MAX_FRAME) throw new Error('frame too large');
      if (this.buffer.length < 4 + size) break;
      out.push(packr.unpack(this.buffer.subarray(4, 4 + size)));
      this.buffer = this.buffer.subarray(4 + size);
    }
    return out;
  }
}

export function frame(message: unknown): Buffer {
  const body = packr.pack(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length, 0);
  return Buffer.concat([head, body]);
}

class Outgoing {
  private socket: Socket | null = null;
  private ready = false;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly address: Address) {
    this.dial();
  }

  send(bytes: Buffer): void {
    if (this.ready && this.socket && this.socket.writableLength < MAX_UNSENT) this.socket.write(bytes);
  }

  private dial(): void {
    const socket = connect({ ...splitAddress(this.address), noDelay: true });
    this.socket = socket;
    const giveUp = setTimeout(() => socket.destroy(), DIAL_MS);
    socket.on('connect', () => {
      clearTimeout(giveUp);
      this.ready = true;
    });
    socket.on('error', () => socket.destroy());
    // Peers never talk back on this connection; reading notices its end.
    socket.on('data', () => undefined);
    socket.on('close', () => {
      clearTimeout(giveUp);
      this.ready = false;
      this.timer ??= setTimeout(() => {
        this.timer = null;
        this.dial();
      }, RETRY_MS);
    });
  }
}

export interface Mesh {
  send(to: NodeId, message: unknown): void;
  broadcast(message: unknown): void;
}

export function openMesh(
  listen: Address,
  peers: readonly { node: NodeId; address: Address }[],
  receive: (message: unknown) => void,
  log: Log,
): Mesh {
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
  server.maxConnections = 32;
  server.on('error', (err) => log.error({ err }, 'mesh server'));
  server.listen(splitAddress(listen));
  const links = new Map(peers.map((p) => [p.node, new Outgoing(p.address)]));
  return {
    send: (to, message) => links.get(to)?.send(frame(message)),
    broadcast: (message) => {
      const bytes = frame(message);
      for (const link of links.values()) link.send(bytes);
    },
  };
}
