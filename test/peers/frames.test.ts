/** Frames of the peer transport: messages in a byte stream that arrives in pieces of any size. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { frame, FrameReader } from '../../src/peers/peer-transport.js';

const FIRST = { kind: 'cancelled', job: 'req-1', version: 7 };
const SECOND = { kind: 'cancelled', job: 'req-2', version: 8 };
const LARGEST_FRAME_BYTES = 1024 * 1024;

test('messages are read from a stream cut at any byte', () => {
  const stream = Buffer.concat([frame(FIRST), frame(SECOND)]);
  for (let cut = 0; cut <= stream.length; cut += 1) {
    const reader = new FrameReader();
    const messages = [...reader.push(stream.subarray(0, cut)), ...reader.push(stream.subarray(cut))];
    assert.deepEqual(messages, [FIRST, SECOND], `cut at byte ${cut}`);
  }
});

test('a frame beyond the largest is refused by its header alone', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(LARGEST_FRAME_BYTES + 1, 0);
  assert.throws(() => new FrameReader().push(header), /frame too large/);
  header.writeUInt32BE(LARGEST_FRAME_BYTES, 0);
  assert.deepEqual(new FrameReader().push(header), []);
});
