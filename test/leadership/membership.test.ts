/** The loop that maintains the membership lease and key, against a scripted store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Membership, type MembershipContext } from '../../src/leadership/membership.js';
import { silentLog } from '../../src/logging/log.js';
import type { CompareAndSwapResult } from '../../src/store/client.js';
import type { LeaseGrantResult, LeaseRenewalResult } from '../../src/store/outcomes.js';
import type { Change } from '../../src/store/wire.js';
import {
  millis,
  revision,
  type ControllerId,
  type Incarnation,
  type LeaseId,
  type Millis,
} from '../../src/model/units.js';
import { SimulatedClock } from '../support/simulated-clock.js';

const TTL = millis(3000);

/** A store that grants numbered leases; every request takes 10 ms. */
class ScriptedStore {
  readonly requests: string[] = [];
  readonly writes: Change[] = [];
  grants = true;
  renewal: LeaseRenewalResult['kind'] = 'renewed';
  write: CompareAndSwapResult = { kind: 'done', revision: revision(1) };
  private lastLease = 0;

  constructor(private readonly clock: SimulatedClock) {}

  async grantLease(): Promise<LeaseGrantResult> {
    this.requests.push('grant');
    await this.clock.sleep(10);
    if (!this.grants) return { kind: 'failed' };
    this.lastLease += 1;
    return { kind: 'granted', lease: this.lastLease as LeaseId };
  }

  async renewLease(lease: LeaseId): Promise<LeaseRenewalResult> {
    this.requests.push(`renew ${lease}`);
    await this.clock.sleep(10);
    return { kind: this.renewal };
  }

  async compareAndSwap(_conditions: unknown, changes: readonly Change[]): Promise<CompareAndSwapResult> {
    this.requests.push('write');
    this.writes.push(...changes);
    await this.clock.sleep(10);
    return this.write;
  }
}

function startMembership(prepare: (store: ScriptedStore) => void = () => undefined): {
  clock: SimulatedClock;
  store: ScriptedStore;
  membership: Membership;
} {
  const clock = new SimulatedClock();
  const store = new ScriptedStore(clock);
  prepare(store);
  const context: MembershipContext = {
    clock,
    store,
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
  store.renewal = 'expired';
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
    store.write = { kind: 'done', revision: revision(2) };
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
