/** For how long a shard has been in one situation, less the delay of this controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ObservedSituations, type SituationContext } from '../../src/leadership/observed-situations.js';
import { shardId, steady, type ControllerId, type ZoneId } from '../../src/model/units.js';

const SHARD = shardId(1);
const HOME = 'n1' as ControllerId;
const EAST = 'east' as ZoneId;
const WEST = 'west' as ZoneId;

function situationsSeenFrom(zone: ZoneId, draws: number[]): ObservedSituations {
  const context: SituationContext = {
    settings: { zone, shards: [{ shard: SHARD, node: HOME, zone: EAST }] },
    random: (limit) => {
      assert.equal(limit, 150);
      return draws.shift() ?? assert.fail('one draw for each new situation');
    },
  };
  return new ObservedSituations(context);
}

test('a controller of the home zone holds back for its random delay, one of another zone for 250 ms more', () => {
  for (const [zone, delayMs] of [
    [EAST, 40],
    [WEST, 290],
  ] as const) {
    const situations = situationsSeenFrom(zone, [40]);
    assert.equal(situations.isDelayed(SHARD, steady(1000)), false, 'nothing has been observed');
    assert.equal(situations.observe(SHARD, 'failed', steady(1000), HOME), -delayMs);
    assert.equal(situations.isDelayed(SHARD, steady(1000 + delayMs - 1)), true);
    assert.equal(situations.isDelayed(SHARD, steady(1000 + delayMs)), false);
    assert.equal(situations.observe(SHARD, 'failed', steady(2000), HOME), 1000 - delayMs, 'it goes on');
  }
});

test('another situation begins anew, with a delay of its own', () => {
  const situations = situationsSeenFrom(EAST, [40, 70]);
  situations.observe(SHARD, 'alive', steady(1000), HOME);
  assert.equal(situations.observe(SHARD, 'failed', steady(9000), HOME), -70);
  assert.equal(situations.observe(SHARD, 'failed', steady(9100), HOME), 30);
});
