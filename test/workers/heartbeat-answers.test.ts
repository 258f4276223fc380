/** Tests the answers to heartbeats, and that only a leader before its command deadline renews leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { HttpResponse } from '../../src/http/server.js';
import { silentLog } from '../../src/logging/log.js';
import { millis, plus, steady, type ControllerId, type ShardId } from '../../src/model/units.js';
import type { ShardRecord } from '../../src/shards/codec.js';
import { HeartbeatHandler } from '../../src/workers/heartbeat-handler.js';
import { ShardUpdates } from '../../src/workers/shard-updates.js';
import { ShardFixture, SHARD_FENCING_TOKEN } from '../support/shard-fixture.js';

const PEER = 'controller-1' as ControllerId;

class HandlerFixture extends ShardFixture {
  mayCommand = true;
  leader: ControllerId | null = null;
  leaderSendsAnnouncements = true;
  /** Duration of the registration of an unknown machine. */
  registrationMs = 0;
  tokenRaises = 0;
  readonly redirected: string[] = [];
  private readonly controller = {
    clock: { now: () => this.now, after: () => ({ cancel: () => undefined }) },
    log: silentLog(),
    settings: { node: 'controller-0' as ControllerId },
    shards: new Map([[this.shard.id, this.shard]]),
    storeCache: { loaded: true, get: () => undefined },
    recentlyEndedJobs: new Map<never, never>(),
    isRecordUnreadable: () => false,
    heartbeatIntervalMs: 1000,
    requestCycle: () => undefined,
    mayCommand: () => this.mayCommand,
    isResultRecorded: () => true,
    exclusive: <T>(work: () => T): Promise<T> => Promise.resolve(work()),
    shardRecord: (): ShardRecord | null => this.leader && ({ leader: this.leader } as ShardRecord),
    hasAnnouncedWithin: () => this.leaderSendsAnnouncements,
  };
  private readonly handler = new HeartbeatHandler(
    this.controller,
    {
      raiseFencingToken: () => {
        this.tokenRaises += 1;
        return Promise.resolve();
      },
      recordRedirectedHeartbeat: (_shard: ShardId, machine) => this.redirected.push(machine),
    },
    { registerOnHeartbeat: () => this.register() },
    new ShardUpdates(this.controller, { addSample: () => undefined }),
  );
  private heartbeats = 100;

  private register(): Promise<ShardId> {
    this.now = plus(this.now, millis(this.registrationMs));
    return Promise.resolve(this.shard.id);
  }

  answerTo(machine = 'm-0', token: number = SHARD_FENCING_TOKEN): Promise<HttpResponse> {
    this.heartbeats += 1;
    const body = {
      berth: machine,
      endpoint: '10.0.0.9:1',
      hull: 't',
      harbor: 'east',
      driftboats: false,
      watch: 1,
      logNo: this.heartbeats,
      helm: token,
    };
    return this.handler.handle(Buffer.from(JSON.stringify(body)));
  }
}

test('the leader answers with its fencing token and renews the lease', async () => {
  const fixture = new HandlerFixture();
  fixture.now = steady(2000);
  assert.deepEqual(await fixture.answerTo(), {
    status: 200,
    body: { helm: SHARD_FENCING_TOKEN, orders: [] },
  });
  assert.equal(fixture.machine.lastHeartbeatAt, 2000);
});

test('after the command deadline a heartbeat is refused and changes nothing', async () => {
  const fixture = new HandlerFixture();
  fixture.now = steady(2000);
  fixture.mayCommand = false;
  assert.equal((await fixture.answerTo()).status, 503);
  assert.equal(fixture.machine.lastHeartbeatAt, 1000);
});

test('a heartbeat is refused if registering the machine took longer than its worker waits', async () => {
  const fixture = new HandlerFixture();
  fixture.registrationMs = 2501;
  assert.equal((await fixture.answerTo('m-9')).status, 503);
  assert.deepEqual(fixture.redirected, []);
  fixture.registrationMs = 2500;
  assert.equal((await fixture.answerTo('m-9')).status, 421);
});

test('a worker that has seen a higher fencing token is redirected, and the token is raised once in 3 s', async () => {
  const fixture = new HandlerFixture();
  for (const [now, raises] of [
    [2000, 1],
    [4999, 1],
    [5000, 2],
  ] as const) {
    fixture.now = steady(now);
    assert.deepEqual(await fixture.answerTo('m-0', SHARD_FENCING_TOKEN + 1), { status: 421, body: {} });
    assert.equal(fixture.tokenRaises, raises);
  }
  assert.equal(fixture.machine.lastHeartbeatAt, 1000);
});

test('a worker of another shard is redirected to its leader only while the leader sends announcements', async () => {
  const fixture = new HandlerFixture();
  fixture.leader = PEER;
  assert.deepEqual(await fixture.answerTo('m-9'), { status: 421, body: { harbormaster: PEER } });
  fixture.leaderSendsAnnouncements = false;
  assert.deepEqual(await fixture.answerTo('m-9'), { status: 421, body: {} });
  assert.deepEqual(fixture.redirected, ['m-9', 'm-9']);
});

test('after a failover a worker that never shows the new fencing token is refused after a timeout', async () => {
  const fixture = new HandlerFixture(true);
  fixture.now = steady(1000);
  assert.equal((await fixture.answerTo('m-0', SHARD_FENCING_TOKEN - 1)).status, 200);
  // Three heartbeat intervals plus a margin of 4 s.
  fixture.now = steady(1000 + 7000);
  assert.equal((await fixture.answerTo('m-0', SHARD_FENCING_TOKEN - 1)).status, 200);
  fixture.now = steady(1000 + 7001);
  assert.equal((await fixture.answerTo('m-0', SHARD_FENCING_TOKEN - 1)).status, 503);
  assert.equal(fixture.machine.heartbeatRefusedAt, 8001);
});
