/** Consolidation of replicas onto fewer machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allocate, newMachine, Shard, type Allocation } from '../../src/shards/model.js';
import { chooseRelocation } from '../../src/scheduling/consolidation.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import { Priority } from '../../src/jobs/spec.js';
import { RangeSet } from '../../src/model/ranges.js';
import type {
  Attempt,
  ImageId,
  MachineId,
  ShardId,
  SteadyMs,
  TaskIndex,
  InstanceTypeId,
} from '../../src/model/units.js';
import { taskId, NO_REVISION } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const NOW = 1_000_000 as SteadyMs;
const types = new Map([
  [
    'small' as InstanceTypeId,
    {
      name: 'small',
      cpus: 4,
      gpus: 0,
      memoryGb: 16,
      cacheGb: 30,
      zones: ['east'],
    } as unknown as InstanceType,
  ],
]);

/** Builds a shard with machines by name, each with the given numbers of replicas and batch tasks. */
function shardWith(
  load: Record<string, { replicas: number; batch?: number }>,
  runningSince = NOW - 90_000,
): Shard {
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, types);
  shard.reconciled = true;
  const service = buildJobSpec({
    id: 'req-s',
    kind: 'service',
    priority: Priority.critical,
    cpus: 1,
    memoryGb: 1,
  });
  const batch = buildJobSpec({ id: 'req-b', cpus: 1, memoryGb: 1 });
  const nextIndex = { 'req-s': 0, 'req-b': 0 };
  for (const spec of [service, batch]) {
    const assignments = [{ from: 0, to: 50, shard: shard.id, zone: null }];
    const record = {
      spec: { ...spec, tasks: 50 },
      homeShard: shard.id,
      acceptedRevision: 0,
      assignments,
      done: RangeSet.empty(),
    };
    syncConfirmedJob(shard, record as never, 1 as never, 0 as SteadyMs, false);
  }
  for (const [name, { replicas, batch: batchTasks }] of Object.entries(load)) {
    const machine = newMachine({
      id: name as MachineId,
      address: 'a:1' as never,
      type: 'small' as InstanceTypeId,
      zone: 'east' as never,
      spot: false,
      addedAt: NOW,
      reconciled: true,
      registeredVersion: NO_REVISION,
    });
    machine.lastMessageAt = NOW;
    shard.addMachine(machine);
    shard.recordImage(machine, 'img' as ImageId, 1);
    for (let i = 0; i < replicas + (batchTasks ?? 0); i += 1) {
      const spec = i < replicas ? service : batch;
      const index = nextIndex[spec.id as 'req-s' | 'req-b']++ as TaskIndex;
      const allocation: Allocation = {
        id: taskId(spec.id, index),
        job: spec.id,
        index,
        attempt: 1 as Attempt,
        machine: machine.id,
        spec: { ...spec, image: 'img' as ImageId },
        phase: 'running',
        allocatedAt: runningSince as SteadyMs,
        runningSince: runningSince as SteadyMs,
        waitingForGangSince: null,
        stop: null,
        launchInFlight: false,
        launchPending: false,
        unacknowledged: null,
        launchAnswerSequence: null,
      };
      allocate(shard, machine, allocation);
    }
  }
  return shard;
}

const context = { now: NOW, types, heartbeatIntervalMs: 1500 };
const describeRelocation = (shard: Shard): string => {
  const relocation = chooseRelocation(shard, context);
  return relocation ? `${relocation.allocation.machine} -> ${relocation.target.id}` : 'stays';
};

test('consolidation moves replicas from the least to the most loaded machine, and only if that frees a machine', () => {
  const load = { e1: { replicas: 2, batch: 1 }, e2: { replicas: 2, batch: 1 }, e3: { replicas: 3 } };
  const idle = { i1: { replicas: 0 }, i2: { replicas: 0 } };
  const cases: Record<string, string> = {
    'one machine has a single replica': describeRelocation(
      shardWith({ a: { replicas: 1 }, ...load, ...idle }),
    ),
    'more than half of the capacity is in use': describeRelocation(
      shardWith({ a: { replicas: 1 }, ...load }),
    ),
    'a batch task runs on the same machine': describeRelocation(
      shardWith({ a: { replicas: 1, batch: 1 }, f: { replicas: 3 }, ...idle }),
    ),
    'no other machine has more load': describeRelocation(
      shardWith({ a: { replicas: 1 }, b: { replicas: 1 } }),
    ),
    'no capacity would be left for more replicas': describeRelocation(
      shardWith({ a: { replicas: 1 }, f: { replicas: 3 } }),
    ),
    'the replica started recently': describeRelocation(
      shardWith({ a: { replicas: 1 }, ...load, ...idle }, NOW - 20_000),
    ),
  };
  assert.deepEqual(cases, {
    'one machine has a single replica': 'a -> e1',
    'more than half of the capacity is in use': 'stays',
    'a batch task runs on the same machine': 'stays',
    'no other machine has more load': 'stays',
    'no capacity would be left for more replicas': 'stays',
    'the replica started recently': 'stays',
  });
});
