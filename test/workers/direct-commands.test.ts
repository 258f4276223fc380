/** Tests how the outcome of a direct request to a worker changes the state of its machine and allocations. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Call, CallOutcome } from '../../src/http/client.js';
import { silentLog } from '../../src/logging/log.js';
import { attempt } from '../../src/model/units.js';
import { DirectCommands } from '../../src/workers/direct-commands.js';
import { ShardUpdates } from '../../src/workers/shard-updates.js';
import { ShardFixture, SHARD_FENCING_TOKEN } from '../support/shard-fixture.js';

class DirectCommandsFixture extends ShardFixture {
  readonly calls: Call[] = [];
  mayCommand = true;
  private readonly controller = {
    clock: { now: () => this.now, after: () => ({ cancel: () => undefined }) },
    log: silentLog(),
    settings: { maxConnections: 100 },
    recentlyEndedJobs: new Map<never, never>(),
    isRecordUnreadable: () => false,
    heartbeatIntervalMs: 1000,
    requestCycle: () => undefined,
    mayCommand: () => this.mayCommand,
    isResultRecorded: () => true,
    exclusive: <T>(work: () => T): Promise<T> => Promise.resolve(work()),
  };
  private readonly client = {
    call: (call: Call): Promise<CallOutcome> => {
      this.calls.push(call);
      return Promise.resolve(this.outcome);
    },
    close: () => undefined,
  };
  private readonly directCommands = new DirectCommands(
    this.controller,
    { clientFor: () => this.client },
    new ShardUpdates(this.controller, { addSample: () => undefined }),
  );

  constructor(private readonly outcome: CallOutcome) {
    super();
  }

  /** Sends the commands that are due, and waits until their outcome has been applied. */
  async dispatch(): Promise<void> {
    this.directCommands.dispatch(this.shard);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const NO_REPLY: CallOutcome = { kind: 'unknown' };

test('a launch without a reply is unacknowledged, and its machine is marked as unreachable', async () => {
  const fixture = new DirectCommandsFixture(NO_REPLY);
  const allocation = fixture.addAllocation({ launchPending: true });
  await fixture.dispatch();
  assert.equal(fixture.calls.length, 1);
  assert.equal(allocation.launchInFlight, false);
  assert.deepEqual(allocation.unacknowledged, {
    fencingToken: SHARD_FENCING_TOKEN,
    agentEpoch: 1,
    sentAt: fixture.now,
  });
  assert.equal(fixture.machine.unreachableSince, fixture.now);
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', ''),
    'applied; allocated 0@5 waiting 1',
    'the launch may still be executed',
  );
});

test('a launch that was certainly not executed is released by the next heartbeat that does not list it', async () => {
  const outcomes: CallOutcome[] = [{ kind: 'unsent' }, { kind: 'answer', status: 400, body: null }];
  for (const outcome of outcomes) {
    const fixture = new DirectCommandsFixture(outcome);
    const allocation = fixture.addAllocation({ launchPending: true });
    await fixture.dispatch();
    assert.equal(allocation.unacknowledged, null);
    assert.equal(fixture.receiveHeartbeat('heartbeat', ''), 'applied; allocated - waiting 0,1');
  }
});

test('a stop without a reply is due again', async () => {
  const fixture = new DirectCommandsFixture(NO_REPLY);
  const allocation = fixture.addAllocation({ phase: 'running', stop: { grace: 0, direct: 'due' } });
  await fixture.dispatch();
  assert.equal(fixture.calls.length, 1);
  assert.deepEqual(allocation.stop, { grace: 0, direct: 'due' });
});

test('nothing is sent after the command deadline, which is checked again when a request is written', async () => {
  const fixture = new DirectCommandsFixture(NO_REPLY);
  fixture.addAllocation({ launchPending: true });
  fixture.mayCommand = false;
  await fixture.dispatch();
  assert.equal(fixture.calls.length, 0);
  fixture.mayCommand = true;
  await fixture.dispatch();
  assert.equal(fixture.calls[0]?.mayStillSend?.(), true);
  fixture.mayCommand = false;
  assert.equal(fixture.calls[0]?.mayStillSend?.(), false);
});

test('a direct request that makes the worker forget an attempt has a higher token than all requests before', async () => {
  const fixture = new DirectCommandsFixture(NO_REPLY);
  fixture.receiveHeartbeat('heartbeat', '0:5:exited:error');
  fixture.addAllocation({ attempt: attempt(6), launchPending: true });
  await fixture.dispatch();
  const { helm, orders } = fixture.calls[0]?.body as { helm: number; orders: { order: string }[] };
  assert.equal(helm, SHARD_FENCING_TOKEN + 1);
  assert.deepEqual(
    orders.map(({ order }) => order),
    ['clear', 'launch'],
  );
});

test('a machine has a direct launch in flight until the request with the launch has ended', async () => {
  const fixture = new DirectCommandsFixture(NO_REPLY);
  fixture.addAllocation({ launchPending: true });
  const dispatched = fixture.dispatch();
  assert.equal(fixture.machine.directLaunchInFlight, true);
  await dispatched;
  assert.equal(fixture.machine.directLaunchInFlight, false);
});
