/**
 * Waiting tasks take the places of finished tasks of their job in a zone.
 *
 * Guards against (review/7): an array that may have half of its tasks in a zone, and has only one zone, never starts
 * the other half, since finished tasks count for their zone until the job ends. The same kept the tasks of an array in
 * a lost zone, if its other tasks had finished in the zone that is left.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/cloud/wire.js';
import { seededRandom } from '../../src/model/random.js';
import type { ShardId, SteadyMs, ZoneId } from '../../src/model/units.js';
import {
  chooseZoneReassignment,
  ZONE_REASSIGNMENT_DELAY_MS,
  type ZoneReassignment,
  type ZoneReassignmentContext,
} from '../../src/overflow/zone-reassignment.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import type { ShardJob } from '../../src/shards/model.js';
import { jobWithZones, type AssignmentRow, type recordWithZones } from '../support/zone-job.js';

const NOW = 1_000_000 as SteadyMs;
const OWN_SHARD = 0 as ShardId;
const EAST_SHARD = 1 as ShardId;
const NO_ZONE = '' as ZoneId;
const WEST = 'west' as ZoneId;
const TYPE = { name: 'large', cpus: 8, gpus: 0, memoryGb: 64, zones: ['east', 'west'] };

const freeIn = (zone: string, cpus: number): FreeCapacity =>
  ({
    shard: EAST_SHARD,
    zone,
    expiresAt: NOW + 9000,
    machines: [{ type: 'large', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }],
  }) as unknown as FreeCapacity;

const contextWith = (...capacities: FreeCapacity[]): ZoneReassignmentContext => ({
  now: NOW,
  homeZone: WEST,
  shards: [
    { shard: OWN_SHARD, zone: WEST },
    { shard: EAST_SHARD, zone: 'east' as ZoneId },
  ],
  zones: ['east', 'west'] as ZoneId[],
  types: [TYPE as unknown as InstanceType],
  freeCapacity: new Map(capacities.map((capacity) => [capacity.shard, capacity])),
  random: seededRandom(1),
});

/** A job whose tasks need one CPU each. */
const jobWith = (...[specification, ...rest]: Parameters<typeof recordWithZones>): ShardJob =>
  jobWithZones(OWN_SHARD, { cpus: 1, ...specification }, ...rest);

const choose = (
  job: ShardJob,
  fromZone = NO_ZONE,
  context = contextWith(freeIn('east', 8)),
): ZoneReassignment | null => chooseZoneReassignment(OWN_SHARD, job, fromZone, context);

const summary = (choice: ZoneReassignment | null): unknown =>
  choice && [choice.tasks.ranges(), choice.zone, choice.shard];

const IN_EAST = { spread: true, zone: 'east' as ZoneId };

test('as many waiting tasks as finished ones were released take their places, at once', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 1, ''],
    [2, 4, 1, 'east'],
    [4, 8, 0, ''],
  ];
  const job = jobWith(IN_EAST, rows, [[0, 2]]);
  assert.equal(job.waitingSince, null, 'the job need not have waited');
  assert.deepEqual(summary(choose(job)), [[[4, 6]], 'east', EAST_SHARD]);
  assert.deepEqual(
    summary(choose(job, NO_ZONE, contextWith(freeIn('east', 1)))),
    [[[4, 5]], 'east', EAST_SHARD],
    'not more than there is capacity for',
  );
});

test('finished tasks keep their places until these are released', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 1, 'east'],
    [2, 4, 0, ''],
  ];
  assert.equal(choose(jobWith(IN_EAST, rows, [[0, 2]])), null);
});

test('a place without capacity is taken too, so that the task counts as demand in the zone', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 1, ''],
    [2, 4, 0, ''],
  ];
  const job = jobWith(IN_EAST, rows, [[0, 2]]);
  assert.deepEqual(summary(choose(job, NO_ZONE, contextWith())), [[[2, 4]], 'east', EAST_SHARD]);
});

test('a job bound to a zone takes no place elsewhere, also while no instance type is known', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 0, ''],
    [2, 4, 0, ''],
  ];
  const inWest = jobWith({ spread: true, zone: WEST }, rows, [[0, 2]]);
  assert.deepEqual(
    summary(choose(inWest)),
    [[[2, 4]], WEST, OWN_SHARD],
    'capacity in another zone is no choice',
  );
  const withoutTypes = { ...contextWith(freeIn('east', 8)), types: [] };
  assert.deepEqual(summary(choose(inWest, NO_ZONE, withoutTypes)), [[[2, 4]], WEST, OWN_SHARD]);
});

test('no task moves while it is not known of all tasks of the job whether they are on a machine', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 1, ''],
    [2, 4, 0, ''],
  ];
  for (const state of ['unaccounted', 'unconfirmed', 'transferring'] as const) {
    const job = jobWith(IN_EAST, rows, [[0, 2]]);
    job.waiting.remove(3);
    job[state].add(3);
    assert.equal(choose(job), null, state);
  }
});

test('the other half of a job in one zone joins the tasks that are left there, and is free after the last of them', () => {
  const oneZone = { spread: true, oneZone: true };
  const someLeft: AssignmentRow[] = [
    [0, 1, 0, ''],
    [1, 2, 0, 'west'],
    [2, 4, 0, ''],
  ];
  assert.deepEqual(
    summary(choose(jobWith(oneZone, someLeft, [[0, 1]]))),
    [[[2, 3]], WEST, OWN_SHARD],
    'capacity in another zone is no choice',
  );
  const noneLeft: AssignmentRow[] = [
    [0, 2, 0, ''],
    [2, 4, 0, ''],
  ];
  assert.deepEqual(summary(choose(jobWith(oneZone, noneLeft, [[0, 2]]))), [[[2, 4]], 'east', EAST_SHARD]);
});

test('tasks of a lost zone take the places of finished tasks in another zone', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 1, ''],
    [2, 4, 0, 'west'],
  ];
  const spread = jobWith({ spread: true }, rows, [[0, 2]]);
  spread.waitingSince = (NOW - ZONE_REASSIGNMENT_DELAY_MS) as SteadyMs;
  assert.deepEqual(summary(choose(spread, WEST)), [[[2, 4]], 'east', EAST_SHARD]);
  spread.waitingSince = NOW;
  assert.equal(choose(spread, WEST), null, 'the zone may come back');
});

test('tasks of a job in one zone leave a lost zone, also if others of the job have finished there', () => {
  const released: AssignmentRow[] = [
    [0, 2, 0, ''],
    [2, 4, 0, 'west'],
  ];
  const job = jobWith({ oneZone: true }, released, [[0, 2]]);
  job.waitingSince = (NOW - ZONE_REASSIGNMENT_DELAY_MS) as SteadyMs;
  assert.deepEqual(summary(choose(job, WEST)), [[[2, 4]], 'east', EAST_SHARD]);
  const unreleased = jobWith({ oneZone: true }, [[0, 4, 0, 'west']], [[0, 2]]);
  unreleased.waitingSince = job.waitingSince;
  assert.equal(choose(unreleased, WEST), null, 'a machine may still hold a finished task');
});

test('replicas and gangs without a zone stay there', () => {
  const rows: AssignmentRow[] = [
    [0, 2, 0, 'east'],
    [2, 4, 0, ''],
  ];
  assert.equal(choose(jobWith({ ...IN_EAST, kind: 'service' }, rows)), null);
  assert.equal(choose(jobWith({ ...IN_EAST, kind: 'gang' }, rows, [[0, 2]])), null);
});
