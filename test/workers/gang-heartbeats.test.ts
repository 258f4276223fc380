/** Reports about gangs that make no sense: nothing that may still run is freed, and nothing ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../../src/logging/log.js';
import type { Machine, Shard } from '../../src/shards/model.js';
import { reconcileHeartbeat, type ReconciliationContext } from '../../src/workers/reconciliation.js';
import { decodeHeartbeat } from '../../src/workers/wire.js';
import { CycleRunner } from '../support/cycle-runner.js';

interface Leg {
  readonly leg: string;
  readonly sailing: number;
  readonly status: string;
  readonly cause?: string;
}

const context = {
  now: 1_100_000,
  log: silentLog(),
  endedJobSpec: () => null,
  onTaskDone: () => undefined,
  heartbeatTimeout: 5000,
} as unknown as ReconciliationContext;

let sequence = 0;

/** Its reports below belong to the session in which the tasks were started. */
function withAgentEpoch(shard: Shard): Shard {
  for (const machine of shard.machines.values()) machine.agentEpoch = 1 as never;
  return shard;
}

function receiveHeartbeat(shard: Shard, machine: string, taskStatuses: readonly Leg[]): Machine {
  sequence += 1;
  const decoded = decodeHeartbeat({
    berth: machine,
    endpoint: '10.0.0.1:1',
    hull: 't',
    harbor: 'east',
    driftboats: false,
    watch: 1,
    logNo: sequence,
    helm: 7,
    legs: taskStatuses,
  });
  assert.ok(decoded);
  const known = shard.machines.get(machine as never) as Machine;
  assert.equal(reconcileHeartbeat(shard, known, decoded, 'heartbeat', context), true);
  return known;
}

/** A gang of two on two machines of two CPUs each. */
function shardWithGang(): { part: Shard; attempt: number } {
  const runner = new CycleRunner(2, { capacity: { cpus: 2, gpus: 0, memoryGb: 8 } });
  runner.addJob('req-g', { kind: 'gang', tasks: 2, cpus: 2 });
  assert.equal(runner.runCycle().split('start').length - 1, 2);
  const shard = withAgentEpoch(runner.shard);
  return { part: shard, attempt: [...shard.allocations.values()][0]?.attempt ?? 0 };
}

const waiting = (shard: Shard): number => shard.jobs.get('req-g' as never)?.waiting.size ?? -1;
const finished = (shard: Shard): number => shard.jobs.get('req-g' as never)?.finished.size ?? -1;

test('a task that belongs to no gang and is said to wait for its gang stays where it is', () => {
  const runner = new CycleRunner(1);
  runner.addJob('req-a', { tasks: 1, cpus: 2 });
  runner.runCycle();
  const shard = withAgentEpoch(runner.shard);
  const attempt = [...shard.allocations.values()][0]?.attempt ?? 0;
  const machine = receiveHeartbeat(shard, 'm-0', [{ leg: 'req-a/0', sailing: attempt, status: 'gathering' }]);
  assert.equal(machine.used.cpus, 2);
  assert.equal(shard.jobs.get('req-a' as never)?.waiting.size, 0);
});

test('an unknown state keeps its allocation; an unknown cause ends the task, and does not complete it', () => {
  const { part: shard, attempt } = shardWithGang();
  const first = [...shard.allocations.values()].find((b) => b.index === 0);
  const machine = receiveHeartbeat(shard, first?.machine ?? '', [
    { leg: 'req-g/0', sailing: attempt, status: 'dancing' },
  ]);
  assert.equal(machine.used.cpus, 2);
  assert.equal(waiting(shard), 0);
  receiveHeartbeat(shard, machine.id, [
    { leg: 'req-g/0', sailing: attempt, status: 'exited', cause: 'whim' },
  ]);
  assert.equal(finished(shard), 0);
  assert.equal(waiting(shard), 1);
});

test('an attempt that disagrees, or is larger than any that was issued, keeps its allocation and is stopped', () => {
  const { part: shard, attempt } = shardWithGang();
  const first = [...shard.allocations.values()].find((b) => b.index === 0);
  const machine = receiveHeartbeat(shard, first?.machine ?? '', [
    { leg: 'req-g/0', sailing: attempt + 1_000_000, status: 'running' },
  ]);
  assert.equal(machine.used.cpus, 2);
  assert.equal(waiting(shard), 0, 'the task is not started elsewhere');
  assert.ok([...machine.allocations.values()].every((b) => b.stop !== null));
});

test('one task that is done completes the gang; the others are neither waiting nor lost', () => {
  const { part: shard, attempt } = shardWithGang();
  const first = [...shard.allocations.values()].find((b) => b.index === 0);
  receiveHeartbeat(shard, first?.machine ?? '', [
    { leg: 'req-g/0', sailing: attempt, status: 'exited', cause: 'done' },
  ]);
  assert.equal(finished(shard), 2);
  assert.equal(waiting(shard), 0);
  assert.equal(shard.allocations.size, 1, 'the other is still on its machine');
});
