/** Tests the answers to heartbeats, and that only a leader before its command deadline renews leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { HttpResponse } from '../../src/http/server.js';
import { millis, plus, steady, type ControllerId, type ShardId } from '../../src/model/units.js';
import type { ShardRecord } from '../../src/shards/codec.js';
import { HeartbeatHandler } from '../../src/workers/heartbeat-handler.js';
import { ShardUpdates } from '../../src/workers/shard-updates.js';
import { RecordedLines } from '../support/recording-log.js';
import { ShardFixture, SHARD_FENCING_TOKEN, TWO_TASK_SPEC } from '../support/shard-fixture.js';

const PEER = 'controller-1' as ControllerId;

class HandlerFixture extends ShardFixture {
  mayCommand = true;
  leader: ControllerId | null = null;
  leaderSendsAnnouncements = true;
  /** Duration of the registration of an unknown machine. */
  registrationMs = 0;
  tokenRaises = 0;
  readonly redirected: string[] = [];
  readonly log = new RecordedLines();
  private readonly controller = {
    clock: { now: () => this.now, after: () => ({ cancel: () => undefined }) },
    log: this.log.logOf('controller-0'),
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
  readonly updates = new ShardUpdates(this.controller, { addSample: () => undefined });
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
    this.updates,
  );
  private heartbeats = 100;

  private register(): Promise<ShardId> {
    this.now = plus(this.now, millis(this.registrationMs));
    return Promise.resolve(this.shard.id);
  }

  /** Sends a heartbeat that lists the job's first task as exited. */
  answerToExit(attempt: number, token: number): Promise<HttpResponse> {
    const task = { leg: `${TWO_TASK_SPEC.id}/0`, sailing: attempt, status: 'exited', cause: 'error' };
    return this.answerTo('m-0', token, { legs: [task] });
  }

  answerTo(
    machine = 'm-0',
    token: number = SHARD_FENCING_TOKEN,
    changes: object = {},
  ): Promise<HttpResponse> {
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
      ...changes,
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

const EXITED_ATTEMPT = 5;
const forgetUnder = (token: number): unknown => ({
  helm: token,
  orders: [{ order: 'clear', leg: `${TWO_TASK_SPEC.id}/0`, sailing: EXITED_ATTEMPT }],
});

test('each answer that makes a worker forget an attempt has a higher token than all messages before', async () => {
  const fixture = new HandlerFixture();
  const first = await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  assert.deepEqual(first.body, forgetUnder(SHARD_FENCING_TOKEN + 1));
  const repeated = await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  assert.deepEqual(repeated.body, forgetUnder(SHARD_FENCING_TOKEN + 2));
  const next = await fixture.answerTo('m-0', SHARD_FENCING_TOKEN + 2);
  assert.deepEqual(next.body, { helm: SHARD_FENCING_TOKEN + 2, orders: [] });
  assert.equal(fixture.tokenRaises, 0, 'without a write to the store');
});

test('no answer makes a worker refuse a direct launch that is on its way', async () => {
  const fixture = new HandlerFixture();
  fixture.machine.directRequestInFlight = true;
  fixture.machine.directLaunchInFlight = true;
  const answer = await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  assert.deepEqual(answer.body, { helm: SHARD_FENCING_TOKEN, orders: [] });
  fixture.machine.directLaunchInFlight = false;
  const next = await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  assert.deepEqual(
    next.body,
    forgetUnder(SHARD_FENCING_TOKEN + 1),
    'a stop on its way is in this answer too',
  );
});

test('a worker that lists a forgotten attempt again is reported with both tokens and its agent epoch', async () => {
  const fixture = new HandlerFixture();
  await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN);
  assert.equal(fixture.updates.sentCommands.counts()['reappeared'], undefined, 'the answer may be lost');
  await fixture.answerTo('m-0', SHARD_FENCING_TOKEN + 2);
  await fixture.answerToExit(EXITED_ATTEMPT, SHARD_FENCING_TOKEN + 2);
  assert.deepEqual(fixture.updates.sentCommands.counts(), { forget: 3, reappeared: 1 });
  const [line] = fixture.log.find('worker lists an attempt again that it was told to forget');
  const fields = ['machine', 'task', 'attempt', 'forgetToken', 'fencingToken', 'agentEpoch'];
  assert.deepEqual(Object.fromEntries(fields.map((field) => [field, line?.[field]])), {
    machine: 'm-0',
    task: `${TWO_TASK_SPEC.id}/0`,
    attempt: EXITED_ATTEMPT,
    forgetToken: SHARD_FENCING_TOKEN + 2,
    fencingToken: SHARD_FENCING_TOKEN + 2,
    agentEpoch: 1,
  });
});

test('a token that was never issued and an earlier agent epoch are logged and change nothing', async () => {
  const fixture = new HandlerFixture();
  const allocation = fixture.addAllocation({ phase: 'running' });
  assert.equal((await fixture.answerTo('m-0', SHARD_FENCING_TOKEN + 1)).status, 421);
  assert.equal(fixture.log.find('worker has seen a higher fencing token').length, 1);
  assert.equal((await fixture.answerTo('m-0', SHARD_FENCING_TOKEN, { watch: 0 })).status, 503);
  assert.equal(fixture.log.find('heartbeat of an earlier agent epoch refused').length, 1);
  assert.equal(fixture.shard.allocations.get(allocation.id), allocation);
});
