/** Tests that records with invalid assignments are detected and logged once per job. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentProblem } from '../../src/jobs/assignment-check.js';
import { MisassignedJobs } from '../../src/jobs/misassigned-jobs.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { ShardId, ZoneId } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';

const PLACES = {
  shards: [{ shard: 0 as ShardId }, { shard: 1 as ShardId }],
  zones: ['east', 'west'] as ZoneId[],
};

type AssignmentRow = readonly [from: number, to: number, shard: number, zone: string | null];

/** Builds the record of a job with four tasks. */
const recordOf = (constraints: { oneZone?: boolean; spread?: boolean }, rows: AssignmentRow[]): JobRecord =>
  ({
    spec: buildJobSpec({ tasks: 4, ...constraints }),
    homeShard: 0,
    acceptedRevision: 1,
    acceptedAt: null,
    assignments: rows.map(([from, to, shard, zone]) => ({ from, to, shard, zone })),
    done: RangeSet.empty(),
  }) as unknown as JobRecord;

const problemOf = (...args: Parameters<typeof recordOf>): string | null =>
  assignmentProblem(recordOf(...args), PLACES);

test('assignments that this version creates are valid', () => {
  assert.equal(problemOf({}, [[0, 4, 0, null]]), null);
  assert.equal(
    problemOf({}, [
      [0, 1, 1, null],
      [1, 4, 0, null],
    ]),
    null,
  );
  assert.equal(problemOf({ oneZone: true }, [[0, 4, 1, 'west']]), null);
  assert.equal(
    problemOf({ spread: true }, [
      [0, 2, 0, 'east'],
      [2, 4, 1, 'west'],
    ]),
    null,
  );
  const half: AssignmentRow[] = [
    [0, 2, 0, 'east'],
    [2, 4, 0, ''],
  ];
  assert.equal(problemOf({ oneZone: true, spread: true }, half), null);
});

test('each kind of invalid assignment is reported', () => {
  const overlap: AssignmentRow[] = [
    [0, 3, 0, null],
    [2, 4, 1, null],
  ];
  assert.equal(problemOf({}, overlap), 'a task is assigned twice');
  assert.equal(problemOf({}, [[1, 4, 0, null]]), 'a task is assigned to no shard');
  assert.equal(problemOf({}, [[0, 5, 0, null]]), 'a task does not exist');
  assert.equal(problemOf({}, [[0, 4, 7, null]]), 'a shard does not exist');
  assert.equal(problemOf({}, [[0, 4, 0, 'north']]), 'a zone does not exist');
  const inTwoZones: AssignmentRow[] = [
    [0, 2, 0, 'east'],
    [2, 4, 1, 'west'],
  ];
  for (const spread of [false, true])
    assert.equal(
      problemOf({ oneZone: true, spread }, inTwoZones),
      'one zone is asked for, and there are several',
    );
  assert.equal(problemOf({ spread: true }, [[0, 4, 0, 'east']]), 'too many tasks are in one zone');
});

test('invalid assignments are logged once per job, until its record is valid or the job has ended', () => {
  const errors: unknown[] = [];
  const misassigned = new MisassignedJobs(PLACES, {
    error: (fields: unknown) => errors.push(fields),
  } as never);
  const bad = recordOf({}, [[0, 4, 7, null]]);
  const { id } = bad.spec;
  misassigned.update(id, bad);
  misassigned.update(id, bad);
  assert.deepEqual(errors, [{ job: id, problem: 'a shard does not exist' }]);
  assert.equal(misassigned.has(id), true);
  misassigned.update(id, recordOf({}, [[0, 4, 0, null]]));
  assert.equal(misassigned.has(id), false);
  misassigned.update(id, bad);
  misassigned.update(id, null);
  assert.equal(misassigned.has(id), false);
});
