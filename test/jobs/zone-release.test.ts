/**
 * Release of the zones of finished tasks.
 *
 * Guards against (review/7): an array that may have half of its tasks in a zone, and has only one zone, never starts
 * the other half, since finished tasks count for their zone until the job ends.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { activeJobKey, decodeRecord, encodeRecord } from '../../src/jobs/codec.js';
import { JobRecordCache } from '../../src/jobs/job-record-cache.js';
import { ProgressWriter, type ProgressContext } from '../../src/jobs/progress.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { storedSizeBytes } from '../../src/jobs/stored-size.js';
import { awaitsPlace, releasableTasks, withReleasedZones } from '../../src/jobs/zone-release.js';
import { silentLog } from '../../src/logging/log.js';
import { RangeSet, type Range } from '../../src/model/ranges.js';
import { revision, shardId, steady, type ZoneId } from '../../src/model/units.js';
import { addToMachine, type Shard } from '../../src/shards/model.js';
import type { Condition } from '../../src/store/wire.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';
import { addMachineTo, buildAllocation, buildShard } from '../support/shard-builder.js';
import { recordWithZones, type AssignmentRow } from '../support/zone-job.js';

type Specification = Parameters<typeof recordWithZones>[0];

const OWN_SHARD = shardId(0);
const MAX_BYTES = 4000;
const HALF_IN_ZONE: readonly AssignmentRow[] = [
  [0, 2, 0, 'east'],
  [2, 4, 0, ''],
];

const recordOf = (
  rows: readonly AssignmentRow[],
  done: Range[],
  specification: Specification = { spread: true },
): JobRecord => recordWithZones(specification, rows, done);

const rowsOf = ({ assignments }: JobRecord): AssignmentRow[] =>
  assignments.map(({ from, to, shard, zone }) => [from, to, shard, zone]);

function reconciledShard(): Shard {
  const shard = buildShard();
  shard.reconciled = true;
  return shard;
}

test('the finished tasks of a reconciled shard are releasable, except those that a machine holds', () => {
  const shard = reconciledShard();
  const record = recordOf(HALF_IN_ZONE, [[0, 2]]);
  assert.deepEqual(releasableTasks(shard, record).ranges(), [[0, 2]]);
  const machine = addMachineTo(shard, 'm-0');
  addToMachine(shard, machine, buildAllocation(shard, machine, 1));
  assert.deepEqual(releasableTasks(shard, record).ranges(), [[0, 1]], 'task 1 was started again');
  shard.reconciled = false;
  assert.ok(releasableTasks(shard, record).isEmpty, 'a machine may still obey an earlier leader');
});

test('only finished tasks of arrays with a zone constraint that the shard has in a zone are releasable', () => {
  const shard = reconciledShard();
  const done: Range[] = [[0, 4]];
  const releasable = (rows: readonly AssignmentRow[], specification?: Specification): Range[] =>
    releasableTasks(shard, recordOf(rows, done, specification)).ranges();
  assert.deepEqual(releasable(HALF_IN_ZONE), [[0, 2]], 'the other half has no zone');
  assert.deepEqual(
    releasable([
      [0, 2, 1, 'east'],
      [2, 4, 0, 'west'],
    ]),
    [[2, 4]],
    'the leader of another shard releases its own',
  );
  assert.deepEqual(releasable([[0, 4, 0, 'east']], { oneZone: true }), [[0, 4]]);
  const inGivenZone = { oneZone: true, zone: 'east' as ZoneId };
  assert.deepEqual(releasable([[0, 4, 0, 'east']], inGivenZone), [], 'the tasks that are left stay there');
  assert.deepEqual(releasable([[0, 4, 0, null]], {}), []);
  assert.deepEqual(releasable(HALF_IN_ZONE, { spread: true, kind: 'gang' }), []);
});

test('released tasks are assigned to no zone, and all others stay where they are', () => {
  const record = recordOf(
    [
      [0, 4, 0, 'east'],
      [4, 8, 1, 'west'],
    ],
    [
      [1, 3],
      [4, 6],
    ],
  );
  const released = withReleasedZones(record, OWN_SHARD, RangeSet.of([[1, 3]]), MAX_BYTES);
  assert.deepEqual(rowsOf(released), [
    [0, 1, 0, 'east'],
    [1, 3, 0, ''],
    [3, 4, 0, 'east'],
    [4, 8, 1, 'west'],
  ]);
});

test('releases leave room for the ranges of finished tasks, and are never refused if the record does not grow', () => {
  const scattered = Array.from({ length: 200 }, (_, i) => [2 * i, 2 * i + 1] as const);
  const record = recordOf([[0, 400, 0, 'east']], [...scattered, [300, 350]]);
  const limitBytes = 3000;
  const released = withReleasedZones(record, OWN_SHARD, record.done, limitBytes);
  assert.ok(storedSizeBytes(released) <= Math.max(limitBytes / 2, storedSizeBytes(record)));
  const half: AssignmentRow[] = [
    [0, 2, 0, 'east'],
    [2, 4, 0, ''],
  ];
  const allOfZoneDone = recordOf(half, [[0, 2]]);
  const atLimit = withReleasedZones(
    allOfZoneDone,
    OWN_SHARD,
    allOfZoneDone.done,
    storedSizeBytes(allOfZoneDone),
  );
  assert.deepEqual(rowsOf(atLimit), [[0, 4, 0, '']]);
});

test('a job awaits a place while an unfinished task is assigned to no zone', () => {
  assert.equal(awaitsPlace(recordOf(HALF_IN_ZONE, [])), true);
  assert.equal(awaitsPlace(recordOf(HALF_IN_ZONE, [[2, 3]])), true);
  assert.equal(awaitsPlace(recordOf(HALF_IN_ZONE, [[2, 4]])), false);
  assert.equal(awaitsPlace(recordOf([[0, 4, 0, 'east']], [])), false);
});

interface SentWrite {
  readonly conditions: readonly Condition[];
  readonly record: JobRecord | null;
}

/** Ticks a progress writer at the given times, and returns the writes that it sends; the store accepts none. */
function writesOf(shard: Shard, record: JobRecord, tickTimes: readonly number[] = [1000]): SentWrite[] {
  const activeJobs = new JobRecordCache();
  activeJobs.update(record.spec.id, encodeRecord(record));
  const writes: SentWrite[] = [];
  let now = 0;
  const context = {
    clock: { now: () => now },
    log: silentLog(),
    settings: { maxValueBytes: MAX_BYTES },
    shards: new Map([[shard.id, shard]]),
    activeJobs,
    leaderCondition: () => ({ key: 'c/parts/0', version: 7 }),
    requestCycle: () => undefined,
    storeCache: { version: () => 21, apply: () => undefined },
    store: {
      writeRate: 10,
      compareAndSwap: (conditions: Condition[], [change]: { value: unknown }[]) => {
        writes.push({ conditions, record: decodeRecord(change?.value) });
        return Promise.resolve({ kind: 'unknown' });
      },
    },
  } as unknown as ProgressContext;
  const writer = new ProgressWriter(context, () => undefined);
  for (const time of tickTimes) {
    now = time;
    writer.tick();
  }
  return writes;
}

test('the write that records finished tasks also releases their zones, if this controller still leads the shard', () => {
  const shard = reconciledShard();
  const record = recordOf(HALF_IN_ZONE, []);
  syncConfirmedJob(shard, record, revision(20), steady(0), false);
  const job = shard.jobs.get(record.spec.id);
  assert.ok(job);
  job.waiting.removeRange(0, 1);
  job.finished.addRange(0, 1);
  shard.jobsWithUnrecordedResults.add(job);
  const [write, ...others] = writesOf(shard, record);
  assert.equal(others.length, 0);
  assert.ok(write?.record);
  assert.deepEqual(write.record.done.ranges(), [[0, 1]]);
  assert.deepEqual(rowsOf(write.record), [
    [0, 1, 0, ''],
    [1, 2, 0, 'east'],
    [2, 4, 0, ''],
  ]);
  assert.deepEqual(write.conditions, [
    { key: activeJobKey(record.spec.id), version: 21 },
    { key: 'c/parts/0', version: 7 },
  ]);
});

test('zones that an earlier version or an earlier leader did not release are released without new results', () => {
  const record = recordOf(HALF_IN_ZONE, [[0, 2]]);
  const shard = reconciledShard();
  const writes = writesOf(shard, record);
  assert.deepEqual(
    writes.map((write) => write.record && rowsOf(write.record)),
    [[[0, 4, 0, '']]],
  );
  assert.equal(writesOf(shard, recordOf([[0, 4, 0, '']], [[0, 2]])).length, 0, 'nothing is left to release');
  shard.reconciled = false;
  assert.equal(writesOf(shard, record).length, 0, 'a machine may still obey an earlier leader');
});
