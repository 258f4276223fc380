/**
 * Zone reassignment of jobs that must be both in one zone and spread: half of their tasks, rounded up, run in one zone,
 * the other tasks wait indefinitely.
 *
 * Guards against (simulate run test/schedules/both-together-and-spread.toml, seed 20631): all machines of a zone end,
 * and services of two to four tasks whose running half was there never ran again, although two other zones had
 * capacity. Waiting tasks changed their zone only in jobs with exactly one of the two constraints; jobs with both were
 * left out, also if they had a single task:
 *
 *    48.921 m-000006 starts req-40900038/0 and /1        (the zone's machines end at 48.9 s)
 *   148.000 BROKEN left_waiting: req-40900038 waits for 90 s while there is room
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/cloud/wire.js';
import { reassign } from '../../src/jobs/record.js';
import { seededRandom } from '../../src/model/random.js';
import type { Range } from '../../src/model/ranges.js';
import type { ShardId, SteadyMs, ZoneId } from '../../src/model/units.js';
import {
  chooseZoneReassignment,
  ZONE_REASSIGNMENT_DELAY_MS,
  type ZoneReassignment,
} from '../../src/overflow/zone-reassignment.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import type { ShardJob } from '../../src/shards/model.js';
import { checkScenario, type FaultInput } from '../../src/simulation/scenario.js';
import { Simulation } from '../../src/simulation/simulation.js';
import { jobWithZones, type AssignmentRow } from '../support/zone-job.js';

const NOW = 1_000_000 as SteadyMs;
const OWN_SHARD = 0 as ShardId;
const LOST_ZONE = 'west' as ZoneId;
const TYPE = { name: 'large', cpus: 8, gpus: 0, memoryGb: 64, zones: ['east', 'west'] };

const freeIn = (shard: number, zone: string): FreeCapacity =>
  ({
    shard,
    zone,
    expiresAt: NOW + 9000,
    machines: [{ type: 'large', zone, spot: false, cpus: 8, gpus: 0, memoryGb: 64, count: 1 }],
  }) as unknown as FreeCapacity;

const CONTEXT = {
  now: NOW,
  homeZone: 'east' as ZoneId,
  shards: [{ shard: OWN_SHARD, zone: 'east' as ZoneId }],
  zones: ['east', 'west'] as ZoneId[],
  types: [TYPE as unknown as InstanceType],
  freeCapacity: new Map([[1 as ShardId, freeIn(1, 'east')]]),
  random: seededRandom(1),
};

/** A shard's state of a job that must be in one zone and spread, and that has waited long enough to be reassigned. */
function waitingJob(rows: readonly AssignmentRow[], done: Range[] = [], shardId = OWN_SHARD): ShardJob {
  const job = jobWithZones(
    shardId,
    { oneZone: true, spread: true, kind: 'service', priority: 0 },
    rows,
    done,
  );
  job.waitingSince = (NOW - ZONE_REASSIGNMENT_DELAY_MS) as SteadyMs;
  return job;
}

const choose = (job: ShardJob, fromZone = LOST_ZONE): ZoneReassignment | null =>
  chooseZoneReassignment(OWN_SHARD, job, fromZone, CONTEXT);

/** Five tasks: three are assigned to the lost zone, two to none. */
const HALF_IN_LOST_ZONE: readonly AssignmentRow[] = [
  [0, 3, 0, 'west'],
  [3, 5, 0, ''],
];

test('half of a job that must be in one zone and spread moves as one group, the other tasks stay without a zone', () => {
  const job = waitingJob(HALF_IN_LOST_ZONE);
  const reassignment = choose(job);
  assert.deepEqual(
    [reassignment?.tasks.ranges(), reassignment?.zone, reassignment?.shard],
    [[[0, 3]], 'east', 1],
  );
  assert.ok(reassignment);
  assert.deepEqual(
    reassign(job.record, reassignment.tasks, reassignment.shard, () => reassignment.zone).assignments,
    [
      { from: 0, to: 3, shard: 1, zone: 'east' },
      { from: 3, to: 5, shard: 0, zone: '' },
    ],
  );
  const single = choose(waitingJob([[0, 1, 0, 'west']]));
  assert.deepEqual([single?.tasks.ranges(), single?.zone], [[[0, 1]], 'east']);
});

test('a group that is split among shards is collected on the one with the lowest id that has tasks of it', () => {
  const assignments: readonly AssignmentRow[] = [
    [0, 1, 1, 'west'],
    [1, 3, 2, 'west'],
    [3, 5, 0, ''],
  ];
  const shard = 2 as ShardId;
  const collected = chooseZoneReassignment(shard, waitingJob(assignments, [], shard), LOST_ZONE, CONTEXT);
  assert.deepEqual([collected?.tasks.ranges(), collected?.zone, collected?.shard], [[[1, 3]], LOST_ZONE, 1]);
});

test('the group does not move if any of its tasks may be on a machine or has ended; the other tasks never move', () => {
  for (const state of ['unaccounted', 'unconfirmed', 'transferring', 'allocated'] as const) {
    const job = waitingJob(HALF_IN_LOST_ZONE);
    job.waiting.remove(1);
    if (state !== 'allocated') job[state].add(1);
    assert.equal(choose(job), null, state);
  }
  assert.equal(choose(waitingJob(HALF_IN_LOST_ZONE, [[0, 1]])), null, 'a task of the group is done');
  assert.equal(choose(waitingJob(HALF_IN_LOST_ZONE), '' as ZoneId), null, 'tasks without a zone');
  const onAnotherShard = waitingJob([
    [0, 2, 0, 'west'],
    [2, 3, 1, 'west'],
    [3, 5, 0, ''],
  ]);
  assert.equal(choose(onAnotherShard), null, 'another shard may run a task of the group');
  const inTwoZones = waitingJob([
    [0, 3, 0, 'west'],
    [3, 5, 1, 'east'],
  ]);
  assert.equal(choose(inTwoZones), null, 'an earlier version assigned it to two zones');
});

const LOST_AT_S = 40;
const ENDED: FaultInput = { kind: 'machine_end', at_s: LOST_AT_S, zone: 'marsh' };
/** Faults by which the zone is lost. */
const LOSSES: Readonly<Record<string, FaultInput[]>> = {
  'the machines end': [ENDED],
  'the machines are disconnected and continue to run': [
    { kind: 'machine_cut', at_s: LOST_AT_S, zone: 'marsh', for_s: 60, mode: 'drop' },
  ],
  'the machines are disconnected for less than the lease': [
    { kind: 'machine_cut', at_s: LOST_AT_S, zone: 'marsh', for_s: 7, mode: 'hold' },
  ],
  'the leader ends during a write': [
    ENDED,
    { kind: 'controller_end', at_s: LOST_AT_S + 4, on: 'commit', key: 'c/live/', node: 'event' },
  ],
  'all controllers end': [ENDED, { kind: 'all_controllers_end', at_s: LOST_AT_S + 6 }],
  'responses of the store are lost': [
    ENDED,
    { kind: 'late_writes', at_s: LOST_AT_S, for_s: 30, share: 0.7, at_once: true },
  ],
  'transactions are applied late': [ENDED, { kind: 'late_writes', at_s: LOST_AT_S, for_s: 30, share: 0.5 }],
};

/**
 * Returns the violated rules, including `left_waiting` if a job has no task on any machine for 90 s although there is
 * capacity.
 */
async function violationsAfter(faults: FaultInput[], seed: number): Promise<string[]> {
  const types = [{ name: 'birch', cpus: 8, memory_gb: 32 }];
  const scenario = checkScenario(
    {
      name: 'zone-lost',
      seed,
      duration_s: 240,
      deployment: {
        zones: ['fjord', 'ridge', 'marsh'],
        controllers: ['fjord', 'ridge', 'marsh'],
        lease_s: 10,
        cloud: { capacity: 0 },
        types,
        teams: [{ name: 'tides', cpus: 60, cpus_max: 90 }],
        machines: [
          { type: 'birch', zone: 'fjord', count: 2 },
          { type: 'birch', zone: 'ridge', count: 2 },
          { type: 'birch', zone: 'marsh', count: 5 },
        ],
      },
      load: [
        {
          class: 'service',
          team: 'tides',
          shape: 'service',
          priority: 'critical',
          tasks: [1, 5],
          at_start: 4,
          same_zone: true,
          spread: true,
        },
      ],
      faults,
    },
    'zone-lost',
  );
  const { violations, figures } = await new Simulation(scenario, { seed }).run();
  assert.ok(Number(figures['accepted']) > 0);
  return violations.map((violation) => `${violation.rule}: ${violation.detail}`);
}

test('services in one zone and spread run again after the loss of their zone, and never in two zones', async () => {
  for (const [loss, faults] of Object.entries(LOSSES)) {
    for (const seed of [1, 2, 3]) {
      assert.deepEqual(await violationsAfter(faults, seed), [], `${loss}, seed ${seed}`);
    }
  }
});
