/** How long a shard's situation has lasted, less the delay of this controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ObservedSituations, type SituationContext } from '../../src/leadership/observed-situations.js';
import { shardId, steady, type ControllerId, type ZoneId } from '../../src/model/units.js';

const SHARD = shardId(1);
const HOME_CONTROLLER = 'n1' as ControllerId;
const EAST = 'east' as ZoneId;
const WEST = 'west' as ZoneId;

function situationsSeenFrom(zone: ZoneId, draws: number[]): ObservedSituations {
  const context: SituationContext = {
    settings: { zone, shards: [{ shard: SHARD, node: HOME_CONTROLLER, zone: EAST }] },
    random: (limit) => {
      assert.equal(limit, 150);
      return draws.shift() ?? assert.fail('more than one random delay for a situation');
    },
  };
  return new ObservedSituations(context);
}

test('the delay is random in the home zone, and 250 ms longer in another zone', () => {
  for (const [zone, delayMs] of [
    [EAST, 40],
    [WEST, 290],
  ] as const) {
    const situations = situationsSeenFrom(zone, [40]);
    assert.equal(situations.isDelayed(SHARD, steady(1000)), false, 'nothing has been observed');
    assert.equal(situations.observe(SHARD, 'failed', steady(1000), HOME_CONTROLLER), -delayMs);
    assert.equal(situations.isDelayed(SHARD, steady(1000 + delayMs - 1)), true);
    assert.equal(situations.isDelayed(SHARD, steady(1000 + delayMs)), false);
    assert.equal(
      situations.observe(SHARD, 'failed', steady(2000), HOME_CONTROLLER),
      1000 - delayMs,
      'the situation has not changed',
    );
  }
});

test('a new situation is measured from its start, with a new random delay', () => {
  const situations = situationsSeenFrom(EAST, [40, 70]);
  situations.observe(SHARD, 'alive', steady(1000), HOME_CONTROLLER);
  assert.equal(situations.observe(SHARD, 'failed', steady(9000), HOME_CONTROLLER), -70);
  assert.equal(situations.observe(SHARD, 'failed', steady(9100), HOME_CONTROLLER), 30);
});
