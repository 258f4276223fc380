/** Tests which allocations a worker's status releases and which it must not, mostly on one shard with one machine. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../../src/jobs/spec.js';
import { mayRunOn } from '../../src/model/constraints.js';
import { steady, type AgentEpoch, type InstanceTypeId, type ZoneId } from '../../src/model/units.js';
import { usageOf } from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import { ShardFixture, SHARD_FENCING_TOKEN, TWO_TASK_SPEC as spec } from '../support/shard-fixture.js';

test('a delayed heartbeat that is older than the known state changes nothing', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:5:running', { sequence: 9 }),
    'applied; allocated 0@5 waiting 1',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { sequence: 8 }),
    'outdated; allocated 0@5 waiting 1',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { agentEpoch: 2, sequence: 1 }),
    'applied; allocated - waiting 0,1',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:5:running', { agentEpoch: 1, sequence: 99 }),
    'outdated; allocated - waiting 0,1',
  );
});

test('a launch in a heartbeat answer is acknowledged by the next heartbeat, not by a direct message in between', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(fixture.pendingCommands(), 'start 0@5');
  assert.equal(fixture.receiveHeartbeat('direct', ''), 'applied; allocated 0@5 waiting 1');
  assert.equal(fixture.receiveHeartbeat('heartbeat', ''), 'applied; allocated - waiting 0,1');
});

test('an unacknowledged direct launch stays allocated, and its exit is not forgotten, until a higher fencing token is seen', () => {
  const unacknowledged = {
    fencingToken: SHARD_FENCING_TOKEN,
    agentEpoch: 1 as AgentEpoch,
    sentAt: steady(0),
  };
  const fixture = new ShardFixture();
  fixture.addAllocation({ unacknowledged });
  assert.equal(fixture.receiveHeartbeat('heartbeat', ''), 'applied; allocated 0@5 waiting 1');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:5:exited:stopped'),
    'applied; allocated - waiting 0,1',
  );
  assert.equal(
    fixture.pendingCommands(),
    '',
    'if the exit were forgotten now, the late launch would start the task again',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:5:exited:stopped', { fencingToken: 8 }),
    'applied; allocated - waiting 0,1',
  );
  assert.equal(fixture.pendingCommands(), 'forget 0@5');
});

test('a reported attempt other than the launched one stays allocated until the launch can no longer arrive', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(fixture.pendingCommands(), 'start 0@5');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:3:running'),
    'applied; allocated 0@3 waiting 1',
    'attempt 5 may still start once attempt 3 has ended',
  );
  assert.equal(fixture.receiveHeartbeat('heartbeat', ''), 'applied; allocated 0@3 waiting 1');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { fencingToken: 8 }),
    'applied; allocated - waiting 0,1',
  );
});

test('after a failover a task is unaccounted until every machine has sent a status with the new fencing token', () => {
  const fixture = new ShardFixture(true);
  assert.equal(fixture.describeState(), 'allocated - waiting -');
  assert.equal(
    usageOf(fixture.shard).unattributed.cpus,
    16,
    'a machine without a status may be full of tasks of any team',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { fencingToken: 6 }),
    'applied; allocated - waiting -',
  );
  assert.equal(requeueAccountedTasks(fixture.shard), false, 'the previous leader may still command it');
  assert.equal(fixture.receiveHeartbeat('direct', '1:4:running'), 'applied; allocated 1@4 waiting -');
  assert.equal(requeueAccountedTasks(fixture.shard), true);
  assert.equal(fixture.describeState(), 'allocated 1@4 waiting 0');
  assert.equal(usageOf(fixture.shard).unattributed.cpus, 0);
});

test('after a failover a task waits only for machines on which its job allows it', () => {
  const fixture = new ShardFixture(true);
  fixture.addMachine('m-1', '10.0.0.8:1', { reconciled: false, spot: true });
  assert.equal(requeueAccountedTasks(fixture.shard), false);
  assert.equal(fixture.describeState(), 'allocated - waiting -', 'the tasks may be on the on-demand machine');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '1:4:running', { fencingToken: 7 }),
    'applied; allocated 1@4 waiting -',
  );
  assert.equal(requeueAccountedTasks(fixture.shard), false, 'the spot machine has not sent a status');
  assert.equal(fixture.describeState(), 'allocated 1@4 waiting 0', 'its job does not allow spot machines');
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '', { fencingToken: 7 }),
    'applied; allocated - waiting 0',
    'no longer on its machine: unaccounted again',
  );
  requeueAccountedTasks(fixture.shard);
  assert.equal(fixture.describeState(), 'allocated - waiting 0,1');
});

test('a task that a delayed heartbeat shows on a second machine waits until it has left both machines', () => {
  const fixture = new ShardFixture(true);
  const other = fixture.addMachine('m-1', '10.0.0.8:1', { reconciled: false });
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:3:running', { fencingToken: 6 }),
    'applied; allocated 0@3 waiting -',
  );
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:4:running 1:4:running', { fencingToken: 7 }, other),
    'applied; allocated 0@3,1@4 waiting -',
  );
  // The next current heartbeat of the first machine: the task left it long ago.
  fixture.receiveHeartbeat('heartbeat', '', { fencingToken: 7 });
  requeueAccountedTasks(fixture.shard);
  assert.equal(
    fixture.describeState(),
    'allocated 1@4,0@4 waiting -',
    'the task is on the other machine, where it is being stopped',
  );
  fixture.receiveHeartbeat('heartbeat', '1:4:running', { fencingToken: 7 }, other);
  assert.equal(fixture.describeState(), 'allocated 1@4 waiting 0');
});

test('a task that is not assigned to the shard is stopped, and stays allocated until it has exited', () => {
  const fixture = new ShardFixture();
  fixture.addAllocation();
  assert.equal(
    fixture.receiveHeartbeat('heartbeat', '0:5:running 1:3:running'),
    'applied; allocated 0@5,1@3 waiting -',
  );
  const otherFixture = new ShardFixture();
  otherFixture.shard.jobs.delete(spec.id);
  assert.equal(otherFixture.receiveHeartbeat('heartbeat', '0:3:running'), 'applied; allocated 0@3 waiting -');
  assert.equal(otherFixture.pendingCommands(), 'stop 0@3');
  assert.equal(
    otherFixture.receiveHeartbeat('heartbeat', '0:3:exited:stopped'),
    'applied; allocated - waiting -',
  );
  assert.equal(otherFixture.pendingCommands(), 'forget 0@3');
});

test('instance type, zone, spot and required zone each restrict where a task may start', () => {
  const may = (
    changes: Partial<JobSpec>,
    type: string,
    zone: string,
    spot: boolean,
    requiredZone: string | null,
  ): boolean =>
    mayRunOn(
      { ...spec, types: null, zone: null, spot: false, ...changes },
      type as InstanceTypeId,
      zone as ZoneId,
      spot,
      requiredZone as ZoneId | null,
    );
  assert.equal(may({}, 't', 'east', false, null), true);
  assert.equal(may({}, 't', 'east', true, null), false);
  assert.equal(may({ spot: true }, 't', 'east', true, null), true);
  assert.equal(may({ types: ['u' as InstanceTypeId] }, 't', 'east', false, null), false);
  assert.equal(may({ zone: 'west' as ZoneId }, 't', 'east', false, null), false);
  assert.equal(may({}, 't', 'east', false, 'west'), false);
  assert.equal(may({}, 't', 'east', false, 'east'), true);
});

/*
 * Guards against a task that runs again after it was done. After a failover a delayed heartbeat showed the task on a
 * machine that it had left, so the new leader allocated it there. Another machine then listed it as done; the result
 * was not recorded because the task was allocated elsewhere, and the answer to the heartbeat with `0:4:exited:done`
 * still contained `forget 0@4`. After the next heartbeat of the first machine, which did not list the task, it was
 * queued again.
 */
test('a result is kept while a delayed heartbeat shows its task on another machine, and the task does not run again', () => {
  const fixture = new ShardFixture(true);
  const other = fixture.addMachine('m-1', '10.0.0.8:1', { reconciled: false });
  // A delayed heartbeat from before the failover: the task has left this machine since, and ended on the other one.
  fixture.receiveHeartbeat('heartbeat', '0:3:running', { fencingToken: 6 });
  fixture.receiveHeartbeat('heartbeat', '0:4:exited:done 1:4:running', { fencingToken: 7 }, other);
  assert.equal(
    fixture.pendingCommands(other),
    '',
    'if it were forgotten, nothing would show that the task is done',
  );
  fixture.receiveHeartbeat('heartbeat', '', { fencingToken: 7 });
  requeueAccountedTasks(fixture.shard);
  assert.equal(fixture.describeState(), 'allocated 1@4 waiting -', 'the task is done and does not wait');
});
