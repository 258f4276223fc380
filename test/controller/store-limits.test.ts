import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  borrowStoreLimits,
  divideStoreLimits,
  type LimitBorrowingContext,
  type LimitDivisionContext,
} from '../../src/controller/store-limits.js';
import {
  revision,
  steady,
  type ControllerId,
  type Incarnation,
  type StoreKey,
} from '../../src/model/units.js';
import { PeerDirectory } from '../../src/peers/peer-directory.js';
import type { StoreUsage } from '../../src/store/client.js';
import type { Entry } from '../../src/store/wire.js';

const node = (name: string): ControllerId => name as ControllerId;
const WHOLE_SHARE: StoreUsage = { requests: 30, writes: 10 };

/** The context of the first of three controllers; records the limits that are set. */
class FakeLimits implements LimitBorrowingContext, LimitDivisionContext {
  readonly controllerCounts: number[] = [];
  readonly usages: (readonly StoreUsage[])[] = [];
  readonly peers = new PeerDirectory();
  readonly settings = {
    peers: ['n1', 'n2'].map((name) => ({ node: node(name) })),
    shards: [0, 1, 2],
  };
  readonly store: LimitBorrowingContext['store'] & LimitDivisionContext['store'] = {
    requestRate: WHOLE_SHARE.requests,
    writeRate: WHOLE_SHARE.writes,
    setControllerCount: (count) => this.controllerCounts.push(count),
    borrowUnusedLimits: (usages) => this.usages.push(usages),
  };

  constructor(
    private readonly alive: readonly string[],
    private readonly announcing: readonly string[],
  ) {}

  readonly storeCache = {
    entriesUnder: (prefix: string): Generator<Entry> => this.entries(prefix),
  };

  isAlive(name: ControllerId): boolean {
    return this.alive.includes(name);
  }

  hasAnnouncedWithin(name: ControllerId): boolean {
    return this.announcing.includes(name);
  }

  announceUsage(name: string, storeUsage: StoreUsage): void {
    this.peers.set(node(name), {
      lastAnnouncementAt: steady(0),
      incarnation: 'first' as Incarnation,
      storeHealthy: true,
      storeUsage,
      runningTasks: new Map(),
      redirectedHeartbeats: new Map(),
    });
  }

  private *entries(prefix: string): Generator<Entry> {
    for (const name of this.alive)
      yield { key: `${prefix}${name}` as StoreKey, value: {}, version: revision(1) };
  }
}

test('the limits are divided by the number of live controllers, from one to all configured controllers', () => {
  const countFor = (alive: readonly string[]): number | undefined => {
    const limits = new FakeLimits(alive, []);
    divideStoreLimits(limits);
    return limits.controllerCounts[0];
  };
  assert.deepEqual(
    [countFor([]), countFor(['n0']), countFor(['n0', 'n1']), countFor(['n0', 'n1', 'n2', 'n3'])],
    [1, 1, 2, 3],
  );
});

test('a live peer is counted with its announced usage', () => {
  const limits = new FakeLimits(['n0', 'n1'], ['n1']);
  limits.announceUsage('n1', { requests: 3, writes: 2 });
  borrowStoreLimits(limits);
  assert.deepEqual(limits.usages, [[{ requests: 3, writes: 2 }]]);
});

test('a live peer without recent announcements is counted with its whole share, and a peer that is not alive is not counted', () => {
  const limits = new FakeLimits(['n0', 'n1'], []);
  limits.announceUsage('n1', { requests: 3, writes: 2 });
  limits.announceUsage('n2', { requests: 3, writes: 2 });
  borrowStoreLimits(limits);
  assert.deepEqual(limits.usages, [[WHOLE_SHARE]]);
});
