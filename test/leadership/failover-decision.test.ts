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
  assert.equal(decide({}), 'wait', 'the leader is alive');
  assert.equal(decide({ leaderAlive: false, homeControllerAlive: false }), 'claim', 'the leader has failed');
  assert.equal(
    decide({ leaderAlive: false, homeControllerAlive: false, membershipStableSince: null }),
    'wait',
    'the watch cache may be out of date',
  );
  assert.equal(
    decide({ leaderAlive: false, situationAgeMs: 500 }),
    'wait',
    'the leader has restarted and acquires its shard itself',
  );
  assert.equal(
    decide({ leaderAlive: false, situationAgeMs: 5000 }),
    'claim',
    'the restarted leader does not acquire it in time',
  );
  assert.equal(
    decide({ leader: null, leaderIncarnation: null }),
    'wait',
    'released, but no heartbeats of its workers arrive here',
  );
  const redirected = { leader: null, leaderIncarnation: null, redirectedHeartbeats: 2 };
  assert.equal(
    decide({ ...redirected, situationAgeMs: 700 }),
    'claim',
    'released, and heartbeats of its workers arrive here',
  );
  assert.equal(decide(redirected), 'wait', 'the home controller has a head start');
  assert.equal(
    decide({ ...redirected, homeControllerAlive: false }),
    'claim',
    'the home controller is not alive',
  );
  assert.equal(decide({ ...redirected, homeController: 'n1' }), 'claim', 'the home controller does not wait');
  assert.equal(
    decide({ leader: null, leaderIncarnation: null, redirectedHeartbeats: 2, releasedBySelf: true }),
    'wait',
    'released by this controller',
  );
  const unclaimed = { leader: null, leaderIncarnation: null, releasedBySelf: true, situationAgeMs: 10_001 };
  for (const homeController of ['n0', 'n1'])
    assert.equal(decide({ ...unclaimed, homeController }), 'claim', 'no peer has acquired it since');
  assert.equal(decide({ ...unclaimed, situationAgeMs: 10_000 }), 'wait', 'a peer may still acquire it');
  const home = { homeController: 'n1', leader: 'n2', leaderIncarnation: 'n2-1' };
  assert.equal(
    decide({ ...home, ledHomeShardBefore: false }),
    'claim',
    'a restarted process that has not led its home shard yet',
  );
  assert.equal(decide(home), 'probe', 'stable membership, but it is unknown whether the workers answer');
  assert.equal(
    decide({ ...home, workersReachable: true }),
    'claim',
    'stable membership, and the workers answer',
  );
  assert.equal(
    decide({ ...home, workersReachable: true, membershipStableSince: 99_000 }),
    'wait',
    'the membership is too recent',
  );
});
