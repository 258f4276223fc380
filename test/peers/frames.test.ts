/** Frames of the peer transport, in a byte stream that arrives in chunks of any size. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { frame, FrameReader } from '../../src/peers/peer-transport.js';

const FIRST = { kind: 'cancelled', job: 'req-1', version: 7 };
const SECOND = { kind: 'cancelled', job: 'req-2', version: 8 };
const MAX_FRAME_BYTES = 1024 * 1024;

test('messages are decoded from a stream that is split at any byte', () => {
  const stream = Buffer.concat([frame(FIRST), frame(SECOND)]);
  for (let split = 0; split <= stream.length; split += 1) {
    const reader = new FrameReader();
    const messages = [...reader.push(stream.subarray(0, split)), ...reader.push(stream.subarray(split))];
    assert.deepEqual(messages, [FIRST, SECOND], `split at byte ${split}`);
  }
});

test('a frame above the maximum size is rejected when its header arrives', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
  assert.throws(() => new FrameReader().push(header), /frame too large/);
  header.writeUInt32BE(MAX_FRAME_BYTES, 0);
  assert.deepEqual(new FrameReader().push(header), []);
});
