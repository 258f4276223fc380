/**
 * What an event costs in a large pool, counted in machines that are looked at: it follows what the event is about and
 * what is free, not how many machines there are.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../src/core.js';
import { freeCapacityOf } from '../src/overflow/announcement.js';
import { silentLog } from '../src/logging/log.js';
import type { Machine } from '../src/shards/model.js';
import { reconcileHeartbeat, type ReconciliationContext } from '../src/workers/reconciliation.js';
import { decodeHeartbeat } from '../src/workers/wire.js';
import { Rounds } from './standins/rounds.js';

const SIZES = [500, 4000] as const;
const FREE_MACHINES = 3;
const CAPACITY = { cpus: 8, gpus: 0, memoryGb: 64 };
const PLENTY = { cpus: 1e6, gpus: 1e6, memoryGb: 1e9 };

interface FullPool {
  readonly rounds: Rounds;
  /** Machines looked at since it was emptied last. */
  readonly seen: Set<string>;
}

/** Records whoever reads what a machine has free, or what on it may make way. */
function watch(machine: Machine, seen: Set<string>): void {
  for (const field of ['used', 'preemptible'] as const) {
    const value = machine[field];
    Object.defineProperty(machine, field, {
      get: () => {
        seen.add(machine.id);
        return value;
      },
    });
  }
}

/** Every machine but a few is full of best-effort work. */
function fullPool(machines: number): FullPool {
  const rounds = new Rounds(machines, {
    capacity: CAPACITY,
    team: { cpus: 1e6, cpusMax: 1e6 },
    share: PLENTY,
  });
  for (let i = FREE_MACHINES; i < machines; i += 1)
    rounds.place(`req-full${i}`, `m-${i}`, { cpus: 8, memoryGb: 1, priority: 3, team: 'red' });
  rounds.round();
  const seen = new Set<string>();
  for (const machine of rounds.part.machines.values()) watch(machine, seen);
  return { rounds, seen };
}

/** Machines that an event looks at, at each size. */
function counts(event: (pool: FullPool) => void): number[] {
  return SIZES.map((size) => {
    const pool = fullPool(size);
    event(pool);
    return pool.seen.size;
  });
}

test('a round with nothing waiting looks at no machine', () => {
  assert.deepEqual(
    counts(({ rounds }) => rounds.round()),
    [0, 0],
  );
});

test('a round looks at the machines that have room, however many are full', () => {
  const looked = counts(({ rounds }) => {
    rounds.job('req-new', { cpus: 8, memoryGb: 1, tasks: 2, team: 'blue' });
    const said = rounds.round();
    assert.equal(said.split('start').length - 1, 2);
  });
  assert.deepEqual(looked, [FREE_MACHINES, FREE_MACHINES]);
});

test('a search for tasks to stop ends with a sample, however many may be stopped', () => {
  const [small = 0, large = 0] = counts(({ rounds }) => {
    rounds.job('req-urgent', { cpus: 8, memoryGb: 1, tasks: 4, team: 'blue', priority: 0 });
    const said = `${rounds.round()}; ${rounds.round()}`;
    assert.equal(said.split('stop').length - 1, 1, said);
  });
  assert.equal(large, small);
  assert.ok(large < 100, `${large} machines`);
});

test('a report looks at its own machine only, whatever it says', () => {
  for (const size of SIZES) {
    const { rounds, seen } = fullPool(size);
    const machine = rounds.part.machines.get('m-77' as never) as Machine;
    const report = decodeHeartbeat({
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
    assert.ok(report);
    const context = {
      now: 2_000_000,
      log: silentLog(),
      endedJobSpec: () => null,
      onTaskDone: () => undefined,
      heartbeatTimeout: 5000,
    } as unknown as ReconciliationContext;
    assert.equal(reconcileHeartbeat(rounds.part, machine, report, 'report', context), true);
    assert.deepEqual([...seen], ['m-77']);
    assert.equal(machine.allocations.size, 0, 'what the report does not show is gone');
  }
});

test('an announcement looks at the machines that have room', () => {
  const looked = counts(({ rounds }) => {
    const { part: shard } = rounds;
    const core = {
      clock: { now: () => 1_004_000 },
      heartbeatIntervalMs: 1500,
      types: shard.types,
      tuning: { announcementExpiry: 10_000 },
      settings: { shards: [{ shard: 0, zone: 'east' }], zone: 'east' },
    } as unknown as Core;
    for (const machine of shard.machines.values()) machine.lastHeardAt = 1_003_900 as never;
    const offer = freeCapacityOf(core, shard);
    assert.equal(
      offer.machines.reduce((sum, shape) => sum + shape.count, 0),
      FREE_MACHINES,
    );
  });
  assert.deepEqual(looked, [FREE_MACHINES, FREE_MACHINES]);
});
