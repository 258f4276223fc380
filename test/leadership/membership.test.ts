/** The loop that maintains the membership lease and key, against a scripted store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Membership, type MembershipContext } from '../../src/leadership/membership.js';
import { silentLog } from '../../src/logging/log.js';
import { millis, type ControllerId, type Incarnation, type Millis } from '../../src/model/units.js';
import { KEY, MembershipStore, PREDECESSOR } from '../support/membership-store.js';
import { SimulatedClock } from '../support/simulated-clock.js';

const TTL = millis(3000);

function startMembership(prepare: (store: MembershipStore) => void = () => undefined): {
  clock: SimulatedClock;
  store: MembershipStore;
  membership: Membership;
} {
  const clock = new SimulatedClock();
  const store = new MembershipStore(clock);
  prepare(store);
  const context: MembershipContext = {
    clock,
    store,
    storeCache: store.watchCache,
    log: silentLog(),
    settings: { node: 'n0' as ControllerId },
    tuning: { membershipTtl: TTL },
    incarnation: 'n0-1' as Incarnation,
    random: () => 0,
    sleep: (delay: Millis) => clock.sleep(delay),
  };
  const membership = new Membership(context);
  void membership.run();
  return { clock, store, membership };
}

test('the membership key is written once, on the lease, and the lease is renewed after each third of its time to live', async () => {
  const { clock, store, membership } = startMembership();
  const startedAt = clock.now();
  assert.equal(membership.stableSince(clock.now()), null, 'nothing is confirmed yet');
  await clock.advance(2500);
  assert.deepEqual(store.requests, ['grant', 'write', 'renew 1', 'renew 1']);
  assert.deepEqual(store.writes, [
    { op: 'put', key: 'c/alive/n0', value: { incarnation: 'n0-1' }, lease: 1 },
  ]);
  assert.equal(membership.stableSince(clock.now()), startedAt, 'since the first request was sent');
});

test('without an answer the membership counts as stable until one time to live after the last renewal was sent', async () => {
  const { clock, store, membership } = startMembership();
  const startedAt = clock.now();
  await clock.advance(500);
  store.renewal = 'failed';
  await clock.advance(TTL - 501);
  assert.equal(membership.stableSince(clock.now()), startedAt, 'the store cannot have deleted the key yet');
  await clock.advance(1);
  assert.equal(membership.stableSince(clock.now()), null, 'the key may be gone');
  store.renewal = 'renewed';
  await clock.advance(1000);
  assert.equal(
    membership.stableSince(clock.now()),
    startedAt,
    'the lease has been held without interruption',
  );
});

test('after the lease has expired a new lease is granted, the key is written again, and the stable time restarts', async () => {
  const { clock, store, membership } = startMembership();
  const startedAt = clock.now();
  await clock.advance(500);
  store.expireLease();
  await clock.advance(600);
  assert.equal(membership.stableSince(clock.now()), null);
  await clock.advance(400);
  assert.deepEqual(store.requests, ['grant', 'write', 'renew 1', 'grant', 'write']);
  assert.equal(store.writes.at(-1)?.op, 'put');
  const since = membership.stableSince(clock.now());
  assert.ok(since !== null && since > startedAt + 1000, `stable since ${since}`);
});

test('after a refused write of the key a new lease is requested; after an uncertain write the key is written again', async () => {
  for (const [kind, requests] of [
    ['refused', ['grant', 'write', 'grant', 'write']],
    ['unknown', ['grant', 'write', 'renew 1', 'write']],
  ] as const) {
    const { clock, store, membership } = startMembership((store) => (store.write = { kind }));
    await clock.advance(100);
    assert.equal(membership.stableSince(clock.now()), null, kind);
    store.write = null;
    await clock.advance(500);
    assert.deepEqual(store.requests, requests, kind);
    assert.notEqual(membership.stableSince(clock.now()), null, kind);
  }
});

test('without a lease the membership is not stable, and the next attempt follows within half a second', async () => {
  const { clock, store, membership } = startMembership((store) => (store.grants = false));
  await clock.advance(1000);
  assert.equal(membership.stableSince(clock.now()), null);
  assert.deepEqual(store.requests, ['grant', 'grant', 'grant', 'grant']);
});

// A late write of an ended process replaced the key: it must meet a version that the new process has changed.
test('the key is written on condition of its version; after a conflict the stored version is read', async () => {
  const { clock, store, membership } = startMembership((store) => {
    store.commit(PREDECESSOR);
  });
  // The watch cache does not show the predecessor's key, and a late write of the predecessor follows the read.
  await clock.advance(35);
  store.commit(PREDECESSOR);
  await clock.advance(100);
  assert.equal(membership.stableSince(clock.now()), null, 'the second write has met a conflict too');
  await clock.advance(400);
  assert.deepEqual(store.requests, ['grant', 'write', 'read', 'write', 'renew 1', 'write', 'read', 'write']);
  assert.notEqual(membership.stableSince(clock.now()), null);
});

// The key was written once and never looked at again: the lease was renewed for ever without a key.
test('a key that is deleted or replaced while the lease is renewed is written again on the same lease', async () => {
  for (const value of [undefined, PREDECESSOR]) {
    const { clock, store, membership } = startMembership();
    await clock.advance(5000);
    assert.notEqual(membership.stableSince(clock.now()), null);
    store.requests.length = 0;
    store.change(value);
    assert.equal(membership.stableSince(clock.now()), null, 'peers do not see this process any more');
    const lostAt = clock.now();
    membership.checkKey();
    await clock.advance(50);
    assert.deepEqual(store.requests, ['renew 1', 'write']);
    assert.deepEqual(store.writes.at(-1), {
      op: 'put',
      key: KEY,
      value: { incarnation: 'n0-1' },
      lease: 1,
    });
    const since = membership.stableSince(clock.now());
    assert.ok(since !== null && since >= lostAt, 'the stable time restarts');
  }
});

test('a key in place causes no write, however often it is checked and however late the watch cache shows it', async () => {
  const { clock, store, membership } = startMembership();
  for (let i = 0; i < 20; i += 1) {
    await clock.advance(100);
    membership.checkKey();
  }
  assert.deepEqual(store.requests, ['grant', 'write', 'renew 1']);
  assert.notEqual(membership.stableSince(clock.now()), null);
});

test('after a conflict nothing is written until the key can be read', async () => {
  const { clock, store, membership } = startMembership((store) => {
    store.commit(PREDECESSOR);
    store.reads = false;
  });
  await clock.advance(100);
  assert.deepEqual(store.requests, ['grant', 'write', 'read']);
  assert.equal(membership.stableSince(clock.now()), null);
  store.reads = true;
  await clock.advance(500);
  assert.notEqual(membership.stableSince(clock.now()), null);
});
