/** Which controller tries to become the leader of a shard, and when. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideFailover, type FailoverFacts } from '../../src/leadership/failover.js';
import { steady, type ControllerId, type Incarnation } from '../../src/model/units.js';

test('which controller takes over a shard, and when', () => {
  const base: FailoverFacts = {
    now: steady(100_000),
    self: 'n1' as ControllerId,
    incarnation: 'n1-1' as Incarnation,
    homeController: 'n0' as ControllerId,
    leader: 'n0' as ControllerId,
    leaderIncarnation: 'n0-1' as Incarnation,
    leaderAlive: true,
    homeControllerAlive: true,
    ledHomeShardBefore: true,
    membershipStableSince: steady(10_000),
    redirectedHeartbeats: 0,
    releasedBySelf: false,
    workersReachable: false,
    situationAgeMs: 0,
  };
  const decide = (facts: Partial<Record<keyof FailoverFacts, unknown>>): string =>
    decideFailover({ ...base, ...facts } as FailoverFacts);
  assert.equal(decide({}), 'wait', 'its owner is alive');
  assert.equal(decide({ leaderAlive: false, homeControllerAlive: false }), 'claim', 'its owner is gone');
  assert.equal(
    decide({ leaderAlive: false, homeControllerAlive: false, membershipStableSince: null }),
    'wait',
    'our view may be old',
  );
  assert.equal(
    decide({ leaderAlive: false, situationAgeMs: 500 }),
    'wait',
    'its owner restarted and claims for itself',
  );
  assert.equal(decide({ leaderAlive: false, situationAgeMs: 5000 }), 'claim', 'it does not get so far');
  assert.equal(
    decide({ leader: null, leaderIncarnation: null }),
    'wait',
    'released, but its workers do not come to us',
  );
  const redirected = { leader: null, leaderIncarnation: null, redirectedHeartbeats: 2 };
  assert.equal(decide({ ...redirected, situationAgeMs: 700 }), 'claim', 'released, and they do');
  assert.equal(decide(redirected), 'wait', 'its home goes first');
  assert.equal(decide({ ...redirected, homeControllerAlive: false }), 'claim', 'there is no home');
  assert.equal(decide({ ...redirected, homeController: 'n1' }), 'claim', 'its home, without waiting');
  assert.equal(
    decide({ leader: null, leaderIncarnation: null, redirectedHeartbeats: 2, releasedBySelf: true }),
    'wait',
    'released by us',
  );
  const home = { homeController: 'n1', leader: 'n2', leaderIncarnation: 'n2-1' };
  assert.equal(decide({ ...home, ledHomeShardBefore: false }), 'claim', 'started anew');
  assert.equal(decide(home), 'probe', 'back, but do our workers answer?');
  assert.equal(decide({ ...home, workersReachable: true }), 'claim', 'back and steady');
  assert.equal(
    decide({ ...home, workersReachable: true, membershipStableSince: 99_000 }),
    'wait',
    'back for a moment',
  );
});
