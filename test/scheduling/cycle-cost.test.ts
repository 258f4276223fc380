/**
 * The cost of events on a large shard, counted as the number of machines inspected. It must depend on the event and on
 * the free capacity, not on the number of machines.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { computeFreeCapacity } from '../../src/overflow/announcement.js';
import { silentLog } from '../../src/logging/log.js';
import type { Machine } from '../../src/shards/model.js';
import { reconcileHeartbeat, type ReconciliationContext } from '../../src/workers/reconciliation.js';
import { decodeHeartbeat } from '../../src/workers/wire.js';
import { CycleRunner } from '../support/cycle-runner.js';

const SIZES = [500, 4000] as const;
const FREE_MACHINES = 3;
const CAPACITY = { cpus: 8, gpus: 0, memoryGb: 64 };
const AMPLE_QUOTA = { cpus: 1e6, gpus: 1e6, memoryGb: 1e9 };

interface FullShard {
  readonly runner: CycleRunner;
  /** Ids of the machines inspected since the setup. */
  readonly inspectedMachines: Set<string>;
}

/** Records the id of the machine whenever its used or preemptible resources are read. */
function recordInspections(machine: Machine, inspectedMachines: Set<string>): void {
  for (const field of ['used', 'preemptible'] as const) {
    const value = machine[field];
    Object.defineProperty(machine, field, {
      get: () => {
        inspectedMachines.add(machine.id);
        return value;
      },
    });
  }
}

/** Builds a shard of which all machines but FREE_MACHINES are full of best-effort tasks. */
function buildFullShard(machines: number): FullShard {
  const runner = new CycleRunner(machines, {
    capacity: CAPACITY,
    team: { cpus: 1e6, cpusMax: 1e6 },
    shardQuota: AMPLE_QUOTA,
  });
  for (let i = FREE_MACHINES; i < machines; i += 1)
    runner.addRunningTask(`req-full${i}`, `m-${i}`, { cpus: 8, memoryGb: 1, priority: 3, team: 'red' });
  runner.runCycle();
  const inspectedMachines = new Set<string>();
  for (const machine of runner.shard.machines.values()) recordInspections(machine, inspectedMachines);
  return { runner, inspectedMachines };
}

/** Returns how many machines an event inspects, for each shard size. */
function inspectedCounts(event: (shard: FullShard) => void): number[] {
  return SIZES.map((size) => {
    const shard = buildFullShard(size);
    event(shard);
    return shard.inspectedMachines.size;
  });
}

test('a scheduling cycle with nothing waiting inspects no machine', () => {
  assert.deepEqual(
    inspectedCounts(({ runner }) => runner.runCycle()),
    [0, 0],
  );
});

test('a scheduling cycle inspects the machines with free capacity, however many are full', () => {
  const counts = inspectedCounts(({ runner }) => {
    runner.addJob('req-new', { cpus: 8, memoryGb: 1, tasks: 2, team: 'blue' });
    const decisions = runner.runCycle();
    assert.equal(decisions.split('start').length - 1, 2);
  });
  assert.deepEqual(counts, [FREE_MACHINES, FREE_MACHINES]);
});

test('a search for preemption victims ends after a sample of machines, however many qualify', () => {
  const [small = 0, large = 0] = inspectedCounts(({ runner }) => {
    runner.addJob('req-urgent', { cpus: 8, memoryGb: 1, tasks: 4, team: 'blue', priority: 0 });
    const decisions = `${runner.runCycle()}; ${runner.runCycle()}`;
    assert.equal(decisions.split('stop').length - 1, 1, decisions);
  });
  assert.equal(large, small);
  assert.ok(large < 100, `${large} machines`);
});

test('a heartbeat inspects its own machine only, whatever it reports', () => {
  for (const size of SIZES) {
    const { runner, inspectedMachines } = buildFullShard(size);
    const machine = runner.shard.machines.get('m-77' as never) as Machine;
    const heartbeat = decodeHeartbeat({
      berth: 'm-77',
      endpoint: '10.0.0.1:1',
      hull: 't',
      harbor: 'east',
      driftboats: false,
      watch: 1,
      logNo: 5,
      helm: 7,
      legs: [],
    });
    assert.ok(heartbeat);
    const context = {
      now: 2_000_000,
      log: silentLog(),
      endedJobSpec: () => null,
      onTaskDone: () => undefined,
      heartbeatTimeout: 5000,
    } as unknown as ReconciliationContext;
    assert.equal(reconcileHeartbeat(runner.shard, machine, heartbeat, 'heartbeat', context), true);
    assert.deepEqual([...inspectedMachines], ['m-77']);
    assert.equal(machine.allocations.size, 0, 'a task that the heartbeat does not report is released');
  }
});

test('an announcement inspects the machines with free capacity', () => {
  const counts = inspectedCounts(({ runner }) => {
    const { shard } = runner;
    const core = {
      clock: { now: () => 1_004_000 },
      heartbeatIntervalMs: 1500,
      types: shard.types,
      tuning: { announcementExpiry: 10_000 },
      settings: { shards: [{ shard: 0, zone: 'east' }], zone: 'east' },
    } as unknown as Core;
    for (const machine of shard.machines.values()) machine.lastMessageAt = 1_003_900 as never;
    const capacity = computeFreeCapacity(core, shard);
    assert.equal(
      capacity.machines.reduce((sum, group) => sum + group.count, 0),
      FREE_MACHINES,
    );
  });
  assert.deepEqual(counts, [FREE_MACHINES, FREE_MACHINES]);
});
