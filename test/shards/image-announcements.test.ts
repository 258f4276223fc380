/** Which machines' images are announced next. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ImageId } from '../../src/model/units.js';
import type { Shard } from '../../src/shards/model.js';
import { addMachineTo, buildShard } from '../support/shard-builder.js';

const IMAGE = 'i1' as ImageId;

function shardWithImages(machines: number): Shard {
  const shard = buildShard();
  for (let number = 0; number < machines; number += 1)
    shard.recordImage(addMachineTo(shard, `m-${number}`), IMAGE, 1);
  return shard;
}

const announced = (shard: Shard, count: number): string[] =>
  [...shard.nextImageAnnouncements(count)].map(({ id }) => id);

test('changed machines are announced first, at most the requested number, and then all machines in turn', () => {
  const shard = shardWithImages(3);
  assert.deepEqual(announced(shard, 2), ['m-0', 'm-1']);
  assert.deepEqual(announced(shard, 2), ['m-2', 'm-0']);
  assert.deepEqual(announced(shard, 2), ['m-1', 'm-2']);
  assert.deepEqual(announced(shard, 2), ['m-0', 'm-1']);
});

test('a machine that has left the shard or holds no image is not announced', () => {
  const shard = shardWithImages(2);
  const [first] = shard.machines.values();
  assert.ok(first);
  shard.removeMachine(first);
  addMachineTo(shard, 'm-empty');
  assert.deepEqual(announced(shard, 5), ['m-1']);
});
