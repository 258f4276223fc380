/** What a worker's messages end, and what they must not end: small traces of one part and one machine. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { silentLog } from '../../src/logging/log.js';
import {
  allocate,
  newMachine,
  Shard,
  syncJob,
  usageOf,
  type Allocation,
  type Machine,
} from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import { mayRunOn } from '../../src/model/constraints.js';
import { RangeSet } from '../../src/model/ranges.js';
import { commandsInReply } from '../../src/workers/commands.js';
import { reconcileHeartbeat } from '../../src/workers/reconciliation.js';
import type { Heartbeat, TaskStatus } from '../../src/workers/wire.js';

const spec = {
  id: 'req-1',
  team: 'red',
  kind: 'array',
  priority: 2,
  tasks: 2,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'i',
  types: null,
  zone: null,
  spot: false,
} as unknown as JobSpec;
const record = {
  spec,
  homeShard: 0,
  acceptedRevision: 1,
  acceptedAt: null,
  assignments: [{ from: 0, to: 2, shard: 0, zone: null }],
  done: RangeSet.empty(),
} as unknown as JobRecord;

class ShardFixture {
  readonly shard = new Shard(
    0 as never,
    7 as never,
    1 as never,
    0 as never,
    new Map([['t', { cpus: 16, gpus: 0 }]]) as never,
  );
  readonly machine: Machine;
  private sequence = 0;

  constructor(afterFailover = false) {
    this.machine = newMachine({
      id: 'm-0' as never,
      address: '10.0.0.9:1' as never,
      type: 't' as never,
      zone: 'east' as never,
      spot: false,
      addedAt: 0 as never,
      reconciled: !afterFailover,
    });
    this.shard.addMachine(this.machine);
    syncJob(this.shard, record, 2 as never, 0 as never, afterFailover);
    if (!afterFailover) requeueAccountedTasks(this.shard);
    // Tasks are only started on machines that have been heard.
    if (!afterFailover) this.receiveHeartbeat('report', '');
  }

  addAllocation(changes: Partial<Allocation> = {}): Allocation {
    const allocation = {
      id: 'req-1/0',
      job: 'req-1',
      index: 0,
      attempt: 5,
      machine: 'm-0',
      spec,
      phase: 'ordered',
      allocatedAt: 0,
      runningSince: null,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      answeredSequence: null,
      ...changes,
    } as unknown as Allocation;
    allocate(this.shard, this.machine, allocation);
    return allocation;
  }

  /** Tasks as `index:attempt:state[:cause]`. */
  receiveHeartbeat(
    channel: 'report' | 'direct',
    tasks: string,
    changes: Partial<Record<keyof Heartbeat, number>> = {},
    machine = this.machine,
  ): string {
    this.sequence += 1;
    const taskStatuses = tasks
      .split(' ')
      .filter(Boolean)
      .map((text) => {
        const [index, attempt, state, cause] = text.split(':');
        return {
          job: 'req-1',
          index: Number(index),
          attempt: Number(attempt),
          state,
          cause: cause ?? null,
        } as unknown as TaskStatus;
      });
    const heartbeat = {
      machine: machine.id,
      address: machine.address,
      type: 't',
      zone: 'east',
      spot: false,
      agentEpoch: 1,
      sequence: this.sequence,
      fencingToken: 7,
      interruptionNoticeS: null,
      tasks: taskStatuses,
      ...changes,
    } as unknown as Heartbeat;
    const ctx = {
      now: 1000 as never,
      endedJobSpec: () => null,
      onTaskDone: () => undefined,
      heartbeatTimeout: 1e9 as never,
      log: silentLog(),
    };
    const accepted = reconcileHeartbeat(this.shard, machine, heartbeat, channel, ctx);
    return `${accepted ? 'taken' : 'older'}; ${this.describeState()}`;
  }

  describeState(): string {
    const job = this.shard.jobs.get('req-1' as never);
    const allocated = [...this.shard.allocations.values()]
      .map((allocation) => `${allocation.index}@${allocation.attempt}`)
      .join(',');
    return `bound ${allocated || '-'} waiting ${[...(job?.waiting ?? [])].join(',') || '-'}`;
  }

  pendingCommands(): string {
    return commandsInReply(this.shard, this.machine)
      .map((changes) => `${changes.op} ${changes.index}@${changes.attempt}`)
      .join(', ');
  }
}

test('a delayed heartbeat is older than the known state, and changes nothing', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(
    fixture.receiveHeartbeat('report', '0:5:running', { sequence: 9 }),
    'taken; bound 0@5 waiting 1',
  );
  assert.equal(fixture.receiveHeartbeat('report', '', { sequence: 8 }), 'older; bound 0@5 waiting 1');
  assert.equal(
    fixture.receiveHeartbeat('report', '', { agentEpoch: 2, sequence: 1 }),
    'taken; bound - waiting 0,1',
  );
  assert.equal(
    fixture.receiveHeartbeat('report', '0:5:running', { agentEpoch: 1, sequence: 99 }),
    'older; bound - waiting 0,1',
  );
});

test('a launch in a heartbeat answer is acknowledged by the next heartbeat, not by a direct message in between', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(fixture.pendingCommands(), 'start 0@5');
  assert.equal(fixture.receiveHeartbeat('direct', ''), 'taken; bound 0@5 waiting 1');
  assert.equal(fixture.receiveHeartbeat('report', ''), 'taken; bound - waiting 0,1');
});

test('an unacknowledged direct launch stays allocated, and its exit is not cleared, until a higher fencing token is seen', () => {
  const unacknowledged = {
    fencingToken: 7,
    agentEpoch: 1,
    sentAt: 0,
  } as unknown as Allocation['unacknowledged'];
  const fixture = new ShardFixture();
  fixture.addAllocation({ unacknowledged });
  assert.equal(fixture.receiveHeartbeat('report', ''), 'taken; bound 0@5 waiting 1');
  assert.equal(fixture.receiveHeartbeat('report', '0:5:exited:stopped'), 'taken; bound - waiting 0,1');
  assert.equal(fixture.pendingCommands(), '', 'a clear now, and the late launch would start it anew');
  assert.equal(
    fixture.receiveHeartbeat('report', '0:5:exited:stopped', { fencingToken: 8 }),
    'taken; bound - waiting 0,1',
  );
  assert.equal(fixture.pendingCommands(), 'forget 0@5');
});

test('after a failover a task is unaccounted until every machine has sent a heartbeat under the new fencing token', () => {
  const fixture = new ShardFixture(true);
  assert.equal(fixture.describeState(), 'bound - waiting -');
  assert.equal(
    usageOf(fixture.shard).unattributed.cpus,
    16,
    'a machine not heard from may be full of any team',
  );
  assert.equal(fixture.receiveHeartbeat('report', '', { fencingToken: 6 }), 'taken; bound - waiting -');
  assert.equal(requeueAccountedTasks(fixture.shard), false, 'the owner before us may still command it');
  assert.equal(fixture.receiveHeartbeat('direct', '1:4:running'), 'taken; bound 1@4 waiting -');
  assert.equal(requeueAccountedTasks(fixture.shard), true);
  assert.equal(fixture.describeState(), 'bound 1@4 waiting 0');
  assert.equal(usageOf(fixture.shard).unattributed.cpus, 0);
});

test('after a failover a task waits only for machines on which its job allows it', () => {
  const fixture = new ShardFixture(true);
  const spot = newMachine({
    id: 'm-1' as never,
    address: '10.0.0.8:1' as never,
    type: 't' as never,
    zone: 'east' as never,
    spot: true,
    addedAt: 0 as never,
    reconciled: false,
  });
  fixture.shard.addMachine(spot);
  assert.equal(requeueAccountedTasks(fixture.shard), false);
  assert.equal(fixture.describeState(), 'bound - waiting -', 'it may be on the ordinary machine');
  assert.equal(
    fixture.receiveHeartbeat('report', '1:4:running', { fencingToken: 7 }),
    'taken; bound 1@4 waiting -',
  );
  assert.equal(requeueAccountedTasks(fixture.shard), false, 'the spot machine has not spoken');
  assert.equal(fixture.describeState(), 'bound 1@4 waiting 0', 'its job does not allow spot machines');
  assert.equal(
    fixture.receiveHeartbeat('report', '', { fencingToken: 7 }),
    'taken; bound - waiting 0',
    'gone from there: frozen anew',
  );
  requeueAccountedTasks(fixture.shard);
  assert.equal(fixture.describeState(), 'bound - waiting 0,1');
});

test('a late heartbeat copy lists a task that runs elsewhere: it waits until it has ended there too', () => {
  const fixture = new ShardFixture(true);
  const other = newMachine({
    id: 'm-1' as never,
    address: '10.0.0.8:1' as never,
    type: 't' as never,
    zone: 'east' as never,
    spot: false,
    addedAt: 0 as never,
    reconciled: false,
  });
  fixture.shard.addMachine(other);
  assert.equal(
    fixture.receiveHeartbeat('report', '0:3:running', { fencingToken: 6 }),
    'taken; bound 0@3 waiting -',
  );
  assert.equal(
    fixture.receiveHeartbeat('report', '0:4:running 1:4:running', { fencingToken: 7 }, other),
    'taken; bound 0@3,1@4 waiting -',
  );
  // What the machine of the copy says itself: the task is not there, and has not been for long.
  fixture.receiveHeartbeat('report', '', { fencingToken: 7 });
  requeueAccountedTasks(fixture.shard);
  assert.equal(
    fixture.describeState(),
    'bound 1@4,0@4 waiting -',
    'it is on the other machine, told to stop',
  );
  fixture.receiveHeartbeat('report', '1:4:running', { fencingToken: 7 }, other);
  assert.equal(fixture.describeState(), 'bound 1@4 waiting 0');
});

test('a task that is not ours to run is stopped, and counts until it is gone', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(
    fixture.receiveHeartbeat('report', '0:5:running 1:3:running'),
    'taken; bound 0@5,1@3 waiting -',
  );
  const otherFixture = new ShardFixture();
  otherFixture.shard.jobs.delete('req-1' as never);
  assert.equal(otherFixture.receiveHeartbeat('report', '0:3:running'), 'taken; bound 0@3 waiting -');
  assert.equal(otherFixture.pendingCommands(), 'stop 0@3');
  assert.equal(otherFixture.receiveHeartbeat('report', '0:3:exited:stopped'), 'taken; bound - waiting -');
  assert.equal(otherFixture.pendingCommands(), 'forget 0@3');
});

test('where a task may start: kind, type, zone and pin each decide', () => {
  const may = (
    changes: Partial<JobSpec>,
    type: string,
    zone: string,
    spot: boolean,
    pin: string | null,
  ): boolean =>
    mayRunOn(
      { ...spec, types: null, zone: null, spot: false, ...changes },
      type as never,
      zone as never,
      spot,
      pin as never,
    );
  assert.equal(may({}, 't', 'east', false, null), true);
  assert.equal(may({}, 't', 'east', true, null), false);
  assert.equal(may({ spot: true }, 't', 'east', true, null), true);
  assert.equal(may({ types: ['u'] as never }, 't', 'east', false, null), false);
  assert.equal(may({ zone: 'west' as never }, 't', 'east', false, null), false);
  assert.equal(may({}, 't', 'east', false, 'west'), false);
  assert.equal(may({}, 't', 'east', false, 'east'), true);
});
