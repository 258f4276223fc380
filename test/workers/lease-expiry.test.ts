/** Tests when a machine's lease has certainly expired, and when an unacknowledged launch raises the fencing token. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../../src/logging/log.js';
import { seconds, steady, type AgentEpoch } from '../../src/model/units.js';
import { LeaseExpiry } from '../../src/workers/lease-expiry.js';
import { ShardFixture, SHARD_FENCING_TOKEN } from '../support/shard-fixture.js';

const LEASE_MS = 5000;
const CANCEL_S = 10;
/** `CANCEL_S` with the allowance for clock drift. */
const PREVIOUS_LEADER_TIMEOUT_MS = 10_010;

class LeaseExpiryFixture extends ShardFixture {
  tokenRaises = 0;
  private readonly storeCache = { confirmedAt: steady(0) };
  private readonly leaseExpiry = new LeaseExpiry(
    {
      clock: { now: () => this.now, after: () => ({ cancel: () => undefined }) },
      log: silentLog(),
      settings: { cancelS: seconds(CANCEL_S) },
      storeCache: this.storeCache,
      heartbeatIntervalMs: 1000,
      leaseDurationMs: LEASE_MS,
    },
    {
      raiseFencingToken: () => {
        this.tokenRaises += 1;
        return Promise.resolve();
      },
    },
    { onShardChanged: () => undefined },
  );

  /**
   * Checks the shard at `nowMs`, with the leadership confirmed up to `confirmedMs`, and returns the resulting state.
   */
  reviewAt(nowMs: number, confirmedMs = nowMs): string {
    this.now = steady(nowMs);
    this.storeCache.confirmedAt = steady(confirmedMs);
    this.leaseExpiry.expire(this.shard);
    return this.describeState();
  }
}

test('a lease expires a lease duration after the last heartbeat, and not a millisecond earlier', () => {
  const fixture = new LeaseExpiryFixture();
  fixture.addAllocation();
  assert.equal(fixture.reviewAt(1000 + LEASE_MS - 1), 'allocated 0@5 waiting 1');
  assert.equal(fixture.reviewAt(1000 + LEASE_MS), 'allocated - waiting 0,1');
});

test('a lease expires only once the leadership was confirmed after its end', () => {
  const fixture = new LeaseExpiryFixture();
  fixture.addAllocation();
  const leaseEnd = 1000 + LEASE_MS;
  assert.equal(fixture.reviewAt(leaseEnd + 60_000, leaseEnd - 1), 'allocated 0@5 waiting 1');
  assert.equal(fixture.reviewAt(leaseEnd + 60_000, leaseEnd), 'allocated - waiting 0,1');
});

test('after a failover a silent machine is not reconciled before the previous leader has stopped', () => {
  const fixture = new LeaseExpiryFixture(true);
  fixture.reviewAt(PREVIOUS_LEADER_TIMEOUT_MS - 1);
  assert.equal(fixture.machine.reconciled, false);
  fixture.reviewAt(PREVIOUS_LEADER_TIMEOUT_MS);
  assert.equal(fixture.machine.reconciled, true);
});

test('a direct reply shows the token after a failover, but not when the lease was last renewed', () => {
  const fixture = new LeaseExpiryFixture(true);
  fixture.receiveHeartbeat('direct', '0:5:running');
  assert.equal(fixture.machine.reconciled, true);
  assert.match(fixture.reviewAt(PREVIOUS_LEADER_TIMEOUT_MS - 1), /^allocated 0@5 /);
  assert.match(fixture.reviewAt(PREVIOUS_LEADER_TIMEOUT_MS), /^allocated - /);
});

test('an agent epoch that a direct reply showed first has a lease of its own', () => {
  const fixture = new LeaseExpiryFixture();
  fixture.now = steady(4000);
  fixture.receiveHeartbeat('direct', '', { agentEpoch: 2 });
  fixture.addAllocation();
  assert.equal(fixture.reviewAt(1000 + LEASE_MS), 'allocated 0@5 waiting 1');
  assert.equal(fixture.reviewAt(4000 + LEASE_MS - 1), 'allocated 0@5 waiting 1');
  assert.equal(fixture.reviewAt(4000 + LEASE_MS), 'allocated - waiting 0,1');
});

test('a delayed heartbeat of an agent epoch whose lease has expired changes nothing', () => {
  const fixture = new LeaseExpiryFixture();
  fixture.addAllocation();
  fixture.reviewAt(1000 + LEASE_MS);
  assert.equal(fixture.receiveHeartbeat('heartbeat', '0:5:running'), 'outdated; allocated - waiting 0,1');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { agentEpoch: 2 }),
    'applied; allocated - waiting 0,1',
  );
});

test('an unacknowledged launch raises the fencing token after 3 s, unless its machine is silent', () => {
  const unacknowledged = {
    fencingToken: SHARD_FENCING_TOKEN,
    agentEpoch: 1 as AgentEpoch,
    sentAt: steady(1000),
  };
  const fixture = new LeaseExpiryFixture();
  fixture.addAllocation({ unacknowledged });
  fixture.now = steady(3500);
  fixture.receiveHeartbeat('heartbeat', '');
  fixture.reviewAt(4000);
  assert.equal(fixture.tokenRaises, 0);
  fixture.reviewAt(4001);
  assert.equal(fixture.tokenRaises, 1);
  const silent = new LeaseExpiryFixture();
  silent.addAllocation({ unacknowledged });
  silent.reviewAt(4001);
  assert.equal(silent.tokenRaises, 0, 'a silent machine would not receive the higher token');
});

test('an unacknowledged launch under a token that was raised for its machine raises the fencing token', () => {
  const fixture = new LeaseExpiryFixture();
  assert.ok(fixture.shard.tokens.raiseTokenOf(fixture.machine));
  const token = fixture.shard.tokens.tokenOf(fixture.machine);
  const unacknowledged = { fencingToken: token, agentEpoch: 1 as AgentEpoch, sentAt: steady(1000) };
  fixture.addAllocation({ unacknowledged });
  fixture.now = steady(3500);
  fixture.receiveHeartbeat('heartbeat', '', { fencingToken: token });
  fixture.reviewAt(4001);
  assert.equal(fixture.tokenRaises, 1);
  assert.ok(fixture.shard.tokens.raiseTokenOf(fixture.machine));
  fixture.reviewAt(4002);
  assert.equal(fixture.tokenRaises, 1, 'the next message rules the launch out');
});
