/** Tests the range of fencing tokens of an acquisition, from which the tokens of single machines are raised. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fencingToken } from '../../src/model/units.js';
import { lastTokenOfRange, TOKENS_PER_ACQUISITION } from '../../src/shards/leadership-tokens.js';
import { ShardFixture, SHARD_FENCING_TOKEN } from '../support/shard-fixture.js';

test('the token of a machine is raised within the range of the acquisition, and of no other machine', () => {
  const fixture = new ShardFixture();
  const { shard, machine } = fixture;
  const other = fixture.addMachine('m-1', '10.0.0.8:1', {
    reconciled: true,
  });
  let raises = 0;
  while (shard.tokens.raiseTokenOf(machine)) raises += 1;
  assert.equal(raises, TOKENS_PER_ACQUISITION - 1);
  assert.equal(shard.tokens.tokenOf(machine), lastTokenOfRange(SHARD_FENCING_TOKEN));
  assert.equal(shard.tokens.tokenOf(other), SHARD_FENCING_TOKEN);
  assert.equal(shard.fencingToken, SHARD_FENCING_TOKEN);
});

test('a new range is requested before the tokens of a machine are used up, and is above the old one', () => {
  const { shard, machine } = new ShardFixture();
  const raise = (times: number): void => {
    for (let i = 0; i < times; i += 1) assert.ok(shard.tokens.raiseTokenOf(machine));
  };
  raise(TOKENS_PER_ACQUISITION / 2);
  assert.equal(shard.tokens.needsNewRange, false);
  raise(TOKENS_PER_ACQUISITION / 4);
  assert.equal(shard.tokens.needsNewRange, true);
  const next = fencingToken(lastTokenOfRange(SHARD_FENCING_TOKEN) + 1);
  shard.tokens.adopt(next);
  assert.equal(shard.tokens.needsNewRange, false);
  assert.equal(shard.tokens.tokenOf(machine), next);
});
