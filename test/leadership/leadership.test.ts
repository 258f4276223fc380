/** Leadership requests to the store, and the effects of shard records in the watch cache. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardLeadership, type LeadershipContext } from '../../src/leadership/leadership.js';
import {
  aliveKey,
  encodeFencingToken,
  encodeMembership,
  encodeShardRecord,
  shardKey,
  TOKEN_KEY,
} from '../../src/shards/codec.js';
import { TOKENS_PER_ACQUISITION } from '../../src/shards/leadership-tokens.js';
import type { Shard } from '../../src/shards/model.js';
import { StoreCache } from '../../src/store/cache.js';
import type { CompareAndSwapResult } from '../../src/store/client.js';
import type { Change, Condition } from '../../src/store/wire.js';
import {
  fencingToken,
  millis,
  revision,
  shardId,
  type ControllerId,
  type FencingToken,
  type Incarnation,
  type LeaseId,
  type Revision,
  type ShardId,
  type StoreKey,
  type ZoneId,
} from '../../src/model/units.js';
import { RecordedLines } from '../support/recording-log.js';
import { SimulatedClock, flushPromises } from '../support/simulated-clock.js';

type CertainResult = Exclude<CompareAndSwapResult, { kind: 'unknown' }>;

const SELF = 'n0' as ControllerId;
const PEER = 'n1' as ControllerId;
const INCARNATION = 'n0-1' as Incarnation;
const EAST = 'east' as ZoneId;
const MEMBERSHIP_TTL = millis(60_000);
const HOME_SHARD = shardId(0);
const PEER_SHARD = shardId(1);

/** A controller with a membership lease and one peer. Its leadership requests stay open until the test answers them. */
class LeadershipFixture {
  readonly clock = new SimulatedClock();
  readonly shards = new Map<ShardId, Shard>();
  readonly log = new RecordedLines();
  readonly requests: {
    conditions: Condition[];
    changes: Change[];
    answer: (result: CertainResult) => void;
  }[] = [];
  readonly leadership: ShardLeadership;
  readonly storeCache = new StoreCache((key, value, version) => {
    if (key.startsWith('c/parts/')) this.leadership.onShardRecord(key, value, version);
  });
  private lastRevision = 0;

  constructor() {
    this.leadership = new ShardLeadership(this.context(), () => Promise.resolve(true));
    void this.leadership.runKeepAlive();
    this.storeCache.loadSnapshot([], revision(0), this.clock.now());
  }

  /** Writes a value to the store (undefined: deletes the key), and applies the change to the watch cache. */
  put(key: StoreKey, value: unknown): Revision {
    this.lastRevision += 1;
    const version = revision(this.lastRevision);
    this.storeCache.applyEvents([{ key, value, version }], version, this.clock.now());
    return version;
  }

  /** Writes the membership key, which is the only key that is written without the leadership requests. */
  private commit(change: Change | undefined): Revision {
    assert.ok(change?.op === 'put' && change.key === aliveKey(SELF));
    return this.put(change.key, change.value);
  }

  putLeader(shard: ShardId, leader: ControllerId, incarnation: Incarnation, token: FencingToken): Revision {
    this.put(TOKEN_KEY, encodeFencingToken(token));
    return this.put(shardKey(shard), encodeShardRecord({ leader, incarnation, fencingToken: token }));
  }

  private context(): LeadershipContext {
    const { clock, storeCache, shards } = this;
    return {
      clock,
      storeCache,
      shards,
      settings: {
        node: SELF,
        shard: HOME_SHARD,
        zone: EAST,
        peers: [],
        shards: [
          { shard: HOME_SHARD, node: SELF, zone: EAST },
          { shard: PEER_SHARD, node: PEER, zone: EAST },
        ],
      },
      tuning: { membershipTtl: MEMBERSHIP_TTL, watchTimeout: millis(60_000) },
      incarnation: INCARNATION,
      log: this.log.logOf(SELF),
      heartbeatIntervalMs: 2500,
      store: {
        grantLease: () => Promise.resolve({ kind: 'granted', lease: 1 as LeaseId }),
        renewLease: () => Promise.resolve({ kind: 'renewed' }),
        get: () => Promise.resolve({ kind: 'absent' }),
        compareAndSwap: (_, [change]) => Promise.resolve({ kind: 'done', revision: this.commit(change) }),
      },
      types: new Map(),
      activeJobs: new Map(),
      imageHints: new Map(),
      peers: new Map(),
      clusterClock: { age: () => millis(0) },
      random: () => 0,
      sleep: (delay) => clock.sleep(delay),
      isAlive: (node) => storeCache.get(aliveKey(node)) !== undefined,
      hasAnnouncedWithin: () => false,
      leaderCondition: (shard) => ({ key: shardKey(shard.id), version: shard.version }),
      compareAndSwapUntilCertain: (conditions, changes) =>
        new Promise((answer) => this.requests.push({ conditions, changes, answer })),
    };
  }
}

test('a controller acquires its home shard under the next fencing token, and leads it only once the watch cache shows it', async () => {
  const fixture = new LeadershipFixture();
  fixture.put(aliveKey(PEER), encodeMembership('n1-1' as Incarnation));
  const tokenVersion = fixture.put(TOKEN_KEY, encodeFencingToken(fencingToken(6)));
  await flushPromises();
  fixture.leadership.tick();
  const [request] = fixture.requests;
  assert.ok(request && fixture.requests.length === 1, 'the shard of the starting peer is left to that peer');
  assert.deepEqual(request.conditions, [
    { key: TOKEN_KEY, version: tokenVersion },
    { key: shardKey(HOME_SHARD), version: 0 },
  ]);
  assert.deepEqual(request.changes, [
    { op: 'put', key: TOKEN_KEY, value: { token: 6 + TOKENS_PER_ACQUISITION } },
    { op: 'put', key: shardKey(HOME_SHARD), value: { owner: 'n0', incarnation: 'n0-1', token: 7 } },
  ]);
  request.answer({ kind: 'done', revision: revision(9) });
  await flushPromises();
  assert.equal(fixture.shards.size, 0, 'an answer alone does not open the shard');
  fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(7));
  assert.equal(fixture.shards.get(HOME_SHARD)?.fencingToken, 7);
});

test('while a request for a shard is in progress, neither a tick nor a raise of its fencing token sends another', async () => {
  const fixture = new LeadershipFixture();
  await flushPromises();
  fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(1));
  const shard = fixture.shards.get(HOME_SHARD);
  assert.ok(shard);
  void fixture.leadership.raiseFencingToken(shard);
  void fixture.leadership.raiseFencingToken(shard);
  fixture.leadership.tick();
  assert.equal(fixture.requests.length, 1);
  fixture.requests[0]?.answer({ kind: 'done', revision: revision(3) });
  await flushPromises();
  void fixture.leadership.raiseFencingToken(shard);
  assert.equal(fixture.requests.length, 2, 'the first request has ended');
});

test('a raised fencing token keeps the shard open; a record of another incarnation closes it', async () => {
  const fixture = new LeadershipFixture();
  await flushPromises();
  fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(1));
  const shard = fixture.shards.get(HOME_SHARD);
  const version = fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(2));
  assert.equal(fixture.shards.get(HOME_SHARD), shard);
  assert.equal(shard?.fencingToken, 2);
  assert.equal(shard.version, version);
  fixture.putLeader(HOME_SHARD, SELF, 'n0-2' as Incarnation, fencingToken(3));
  assert.equal(fixture.shards.size, 0, 'the same controller, but another process');
});

test('without a current watch cache no shard is acquired', async () => {
  for (const [cacheAgeMs, requests] of [
    [61_499, 1],
    [61_500, 0],
  ] as const) {
    const fixture = new LeadershipFixture();
    await flushPromises();
    await fixture.clock.advance(cacheAgeMs);
    fixture.leadership.tick();
    assert.equal(fixture.requests.length, requests, `confirmed ${cacheAgeMs} ms ago`);
  }
});

test('an attempt to acquire a shard is logged with its reason, and the changes of leader are counted', async () => {
  const fixture = new LeadershipFixture();
  await flushPromises();
  fixture.putLeader(HOME_SHARD, PEER, 'n1-1' as Incarnation, fencingToken(1));
  fixture.leadership.tick();
  fixture.requests[0]?.answer({ kind: 'done', revision: revision(9) });
  await flushPromises();
  const reason = { reason: 'failover', replacedLeader: 'n1', leaderAlive: false, membershipAgeMs: 0 };
  assert.equal(fixture.log.find('acquire leadership', { shard: 0, result: 'done', ...reason }).length, 1);
  fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(2));
  const shard = fixture.shards.get(HOME_SHARD);
  assert.ok(shard);
  void fixture.leadership.raiseFencingToken(shard);
  fixture.requests[1]?.answer({ kind: 'done', revision: revision(9) });
  await flushPromises();
  const raise = { shard: 0, reason: 'higher fencing token needed' };
  assert.equal(fixture.log.find('acquire leadership', raise).length, 1);
  fixture.putLeader(HOME_SHARD, PEER, 'n1-1' as Incarnation, fencingToken(3));
  assert.deepEqual(fixture.leadership.eventCounts(), { acquired: 1, lost: 1 });
});

// Two controllers whose keys were gone took a shard from each other without end.
test('a controller whose membership key is gone acquires no shard until the key is written again', async () => {
  for (const [shard, leader] of [
    [HOME_SHARD, PEER],
    [PEER_SHARD, 'n2' as ControllerId],
  ] as const) {
    const fixture = new LeadershipFixture();
    await flushPromises();
    fixture.putLeader(HOME_SHARD, SELF, INCARNATION, fencingToken(1));
    fixture.putLeader(PEER_SHARD, PEER, 'n1-1' as Incarnation, fencingToken(2));
    await fixture.clock.advance(10_000);
    fixture.put(aliveKey(PEER), encodeMembership('n1-1' as Incarnation));
    fixture.put(aliveKey(SELF), undefined);
    fixture.putLeader(shard, leader, 'n2-1' as Incarnation, fencingToken(3));
    fixture.leadership.tick();
    assert.deepEqual(fixture.requests, [], `shard ${shard} of ${leader}`);
    await fixture.clock.advance(10_000);
    // The first tick may probe the workers.
    fixture.leadership.tick();
    await flushPromises();
    fixture.leadership.tick();
    assert.equal(fixture.requests.length, 1, `shard ${shard} of ${leader}: the key has been written again`);
  }
});
