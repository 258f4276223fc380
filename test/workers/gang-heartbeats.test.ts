/** Tests heartbeats with invalid reports about gangs: no task that may still run is released or marked as finished. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../../src/logging/log.js';
import { millis, steady, type AgentEpoch, type JobId, type MachineId } from '../../src/model/units.js';
import type { Allocation, Machine, Shard } from '../../src/shards/model.js';
import { reconcileHeartbeat, type ReconciliationContext } from '../../src/workers/reconciliation.js';
import { decodeHeartbeat } from '../../src/workers/wire.js';
import { CycleRunner } from '../support/cycle-runner.js';

const GANG = 'req-g' as JobId;
const ARRAY = 'req-a' as JobId;
const FIRST_MACHINE = 'm-0' as MachineId;
const AGENT_EPOCH = 1 as AgentEpoch;

const context: ReconciliationContext = {
  now: steady(1_100_000),
  log: silentLog(),
  endedJobSpec: () => null,
  isRecordUnreadable: () => false,
  onTaskDone: () => undefined,
  onUnexpectedTask: () => undefined,
  heartbeatTimeout: millis(5000),
};

/** Builds one task of a heartbeat in wire format; `status` and `cause` may be arbitrary text. */
const wireTask = (task: string, attempt: number, status: string, cause?: string) => ({
  leg: task,
  sailing: attempt,
  status,
  cause,
});

let sequence = 0;

/** Sets the agent epoch of all machines to the one that the heartbeats below carry. */
function withAgentEpoch(shard: Shard): Shard {
  for (const machine of shard.machines.values()) machine.agentEpoch = AGENT_EPOCH;
  return shard;
}

function receiveHeartbeat(shard: Shard, id: MachineId, ...tasks: ReturnType<typeof wireTask>[]): Machine {
  sequence += 1;
  const heartbeat = decodeHeartbeat({
    berth: id,
    endpoint: '10.0.0.1:1',
    hull: 't',
    harbor: 'east',
    driftboats: false,
    watch: AGENT_EPOCH,
    logNo: sequence,
    helm: 7,
    legs: tasks,
  });
  assert.ok(heartbeat);
  const machine = shard.machines.get(id);
  assert.ok(machine);
  assert.equal(reconcileHeartbeat(shard, machine, heartbeat, 'heartbeat', context), true);
  return machine;
}

/** Builds a shard with a gang of two tasks on two machines of two CPUs each; returns its first task's allocation. */
function shardWithGang(): { shard: Shard; first: Allocation; attempt: number } {
  const runner = new CycleRunner(2, { capacity: { cpus: 2, gpus: 0, memoryGb: 8 } });
  runner.addJob(GANG, { kind: 'gang', tasks: 2, cpus: 2 });
  assert.equal(runner.runCycle().split('start').length - 1, 2);
  const shard = withAgentEpoch(runner.shard);
  const first = [...shard.allocations.values()].find((allocation) => allocation.index === 0);
  assert.ok(first);
  return { shard, first, attempt: first.attempt };
}

const waiting = (shard: Shard): number => shard.jobs.get(GANG)?.waiting.size ?? -1;
const finished = (shard: Shard): number => shard.jobs.get(GANG)?.finished.size ?? -1;

test('a task without a gang that is reported as gathering keeps its allocation', () => {
  const runner = new CycleRunner(1);
  runner.addJob(ARRAY, { tasks: 1, cpus: 2 });
  runner.runCycle();
  const shard = withAgentEpoch(runner.shard);
  const attempt = [...shard.allocations.values()][0]?.attempt ?? 0;
  const machine = receiveHeartbeat(shard, FIRST_MACHINE, wireTask('req-a/0', attempt, 'gathering'));
  assert.equal(machine.used.cpus, 2);
  assert.equal(shard.jobs.get(ARRAY)?.waiting.size, 0);
});

test('a task in an unknown state keeps its allocation; an unknown exit cause ends the task without completing it', () => {
  const { shard, first, attempt } = shardWithGang();
  const machine = receiveHeartbeat(shard, first.machine, wireTask('req-g/0', attempt, 'dancing'));
  assert.equal(machine.used.cpus, 2);
  assert.equal(waiting(shard), 0);
  receiveHeartbeat(shard, first.machine, wireTask('req-g/0', attempt, 'exited', 'whim'));
  assert.equal(finished(shard), 0);
  assert.equal(waiting(shard), 1);
});

test('an attempt other than the allocated one, larger than any issued, is allocated and stopped', () => {
  const { shard, first, attempt } = shardWithGang();
  const machine = receiveHeartbeat(shard, first.machine, wireTask('req-g/0', attempt + 1_000_000, 'running'));
  assert.equal(machine.used.cpus, 2);
  assert.equal(waiting(shard), 0, 'the task must not be started elsewhere');
  assert.ok([...machine.allocations.values()].every((allocation) => allocation.stop !== null));
});

test('one finished task completes the gang; the other tasks do not wait, and keep their allocations', () => {
  const { shard, first, attempt } = shardWithGang();
  receiveHeartbeat(shard, first.machine, wireTask('req-g/0', attempt, 'exited', 'done'));
  assert.equal(finished(shard), 2);
  assert.equal(waiting(shard), 0);
  assert.equal(shard.allocations.size, 1, 'the other task is still on its machine');
});
