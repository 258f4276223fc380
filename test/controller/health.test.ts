import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HealthCheck, type HealthContext } from '../../src/controller/health.js';
import { steady, type ControllerId, type Incarnation } from '../../src/model/units.js';
import { PeerDirectory } from '../../src/peers/peer-directory.js';

const PEER = { node: 'n1' as ControllerId };
const HEALTHY = { status: 200, body: { ok: true } };
const STARTING = { status: 503, body: { error: 'starting' } };
const CUT_OFF = { status: 503, body: { error: 'cut off from the state service' } };

/** A controller with one peer; the test sets the state of both. */
class HealthFixture {
  time = 100_000;
  loaded = true;
  confirmedAt = 100_000;
  instanceTypes = 1;
  readonly peers = new PeerDirectory();
  readonly check: HealthCheck;

  constructor(configuredPeers: HealthContext['settings']['peers'] = [PEER]) {
    const now = (): ReturnType<typeof steady> => steady(this.time);
    const state = (): HealthContext['storeCache'] => ({
      loaded: this.loaded,
      confirmedAt: steady(this.confirmedAt),
    });
    const typeCount = (): number => this.instanceTypes;
    this.check = new HealthCheck({
      clock: { now },
      peers: this.peers,
      settings: { peers: configuredPeers },
      get storeCache() {
        return state();
      },
      get types() {
        return { size: typeCount() };
      },
    });
  }

  receiveAnnouncement(storeHealthy: boolean): void {
    this.peers.set(PEER.node, {
      lastAnnouncementAt: steady(this.time),
      incarnation: 'first' as Incarnation,
      storeHealthy,
      storeUsage: { requests: 0, writes: 0 },
      runningTasks: new Map(),
      redirectedHeartbeats: new Map(),
    });
  }

  /**
   * Returns `count` answers at intervals of 500 ms. Before each answer an announcement of the peer with this store
   * health arrives; null: no announcement arrives.
   */
  answersWhilePeerAnnounces(storeHealthy: boolean | null, count: number): unknown[] {
    return Array.from({ length: count }, () => {
      this.time += 500;
      if (storeHealthy !== null) this.receiveAnnouncement(storeHealthy);
      return this.check.answer();
    });
  }
}

test('a controller is starting until it has read the store and knows instance types', () => {
  const fixture = new HealthFixture();
  fixture.loaded = false;
  assert.deepEqual(fixture.check.answer(), STARTING);
  fixture.loaded = true;
  fixture.instanceTypes = 0;
  assert.deepEqual(fixture.check.answer(), STARTING);
  fixture.instanceTypes = 1;
  assert.deepEqual(fixture.check.answer(), HEALTHY);
});

test('a controller refused by a store that serves its peer is unhealthy after the grace time', () => {
  const fixture = new HealthFixture();
  fixture.confirmedAt = fixture.time - 4500;
  // The watch cache is stale from the first answer on; the grace time ends 2.5 s later.
  const answers = fixture.answersWhilePeerAnnounces(true, 7);
  assert.deepEqual(answers, [HEALTHY, HEALTHY, HEALTHY, HEALTHY, HEALTHY, CUT_OFF, CUT_OFF]);
});

test('in a store outage for all controllers every controller stays healthy', () => {
  const fixture = new HealthFixture();
  fixture.confirmedAt = fixture.time - 60_000;
  const answers = fixture.answersWhilePeerAnnounces(false, 20);
  assert.ok(answers.every((answer) => JSON.stringify(answer) === JSON.stringify(HEALTHY)));
});

test('a controller that reaches neither the store nor a peer is unhealthy', () => {
  const fixture = new HealthFixture();
  fixture.confirmedAt = fixture.time - 60_000;
  assert.deepEqual(fixture.answersWhilePeerAnnounces(null, 6).at(-1), CUT_OFF);
});

test('a controller without configured peers stays healthy in a store outage', () => {
  const fixture = new HealthFixture([]);
  fixture.confirmedAt = fixture.time - 60_000;
  assert.deepEqual(fixture.answersWhilePeerAnnounces(null, 20).at(-1), HEALTHY);
});

test('a confirmation by the store restarts the grace time', () => {
  const fixture = new HealthFixture();
  fixture.confirmedAt = fixture.time - 60_000;
  assert.deepEqual(fixture.answersWhilePeerAnnounces(true, 6).at(-1), CUT_OFF);
  fixture.confirmedAt = fixture.time;
  assert.deepEqual(fixture.check.answer(), HEALTHY);
  fixture.confirmedAt = fixture.time - 60_000;
  assert.deepEqual(fixture.answersWhilePeerAnnounces(true, 5).at(-1), HEALTHY);
  assert.deepEqual(fixture.answersWhilePeerAnnounces(true, 1).at(-1), CUT_OFF);
});
