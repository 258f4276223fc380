/** Counts of machines whose heartbeats arrive here although another controller leads their shard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RedirectedHeartbeats } from '../../src/leadership/redirected-heartbeats.js';
import { shardId } from '../../src/model/units.js';
import { SimulatedClock } from '../support/simulated-clock.js';

test('a machine counts once, by shard, for six seconds after its last redirected heartbeat', async () => {
  const clock = new SimulatedClock();
  const redirected = new RedirectedHeartbeats(clock);
  redirected.record(shardId(1), 'm-1');
  redirected.record(shardId(1), 'm-1');
  redirected.record(shardId(1), 'm-2');
  redirected.record(shardId(2), 'm-3');
  assert.deepEqual(
    [...redirected.counts()],
    [
      [1, 2],
      [2, 1],
    ],
  );
  await clock.advance(3000);
  redirected.record(shardId(1), 'm-2');
  await clock.advance(3000);
  assert.equal(
    redirected.count(shardId(1), clock.now()),
    2,
    'a heartbeat still counts after exactly six seconds',
  );
  await clock.advance(1);
  assert.deepEqual([...redirected.counts()], [[1, 1]], 'only the machine with a later heartbeat');
  assert.equal(redirected.count(shardId(0), clock.now()), 0, 'a shard without redirected heartbeats');
});
