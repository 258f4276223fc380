import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeRecord } from '../../src/jobs/codec.js';
import { JobRecordCache } from '../../src/jobs/job-record-cache.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { JobId } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';

const job = (index: number): JobId => `req-${index}` as JobId;

const storedRecord = (id: JobId): unknown =>
  encodeRecord({
    spec: buildJobSpec({ id }),
    homeShard: 0 as never,
    acceptedRevision: 3 as never,
    acceptedAt: 7 as never,
    assignments: [{ from: 0, to: 1, shard: 0 as never, zone: null }],
    done: RangeSet.empty(),
  });

test('a stored record makes the job active', () => {
  const records = new JobRecordCache();
  const update = records.update(job(1), storedRecord(job(1)));
  assert.equal(update.kind, 'active');
  assert.equal(records.has(job(1)), true);
  assert.equal(records.get(job(1))?.spec.id, 'req-1');
  assert.deepEqual(
    [...records.values()].map((record) => record.spec.id),
    ['req-1'],
  );
});

test('deleting the record ends the job, and its specification is kept', () => {
  const records = new JobRecordCache();
  records.update(job(1), storedRecord(job(1)));
  assert.deepEqual(records.update(job(1), undefined), { kind: 'ended' });
  assert.equal(records.has(job(1)), false);
  assert.equal(records.recentlyEnded.get(job(1))?.id, 'req-1');
});

test('a record that cannot be read leaves the job unchanged', () => {
  const records = new JobRecordCache();
  records.update(job(1), storedRecord(job(1)));
  assert.deepEqual(records.update(job(1), { parts: 'none' }), { kind: 'unreadable' });
  assert.equal(records.has(job(1)), true);
  assert.equal(records.recentlyEnded.size, 0);
});

test('the oldest ended jobs are evicted, but as many are kept as there are active jobs', () => {
  const records = new JobRecordCache();
  const keptCount = (): number => records.recentlyEnded.size;
  for (let index = 0; index < 1300; index += 1) records.update(job(index), storedRecord(job(index)));
  for (let index = 0; index < 650; index += 1) records.update(job(index), undefined);
  assert.equal(keptCount(), 650);
  assert.ok(records.recentlyEnded.has(job(0)));
  for (let index = 650; index < 1300; index += 1) records.update(job(index), undefined);
  assert.ok(!records.recentlyEnded.has(job(0)));
  assert.ok(records.recentlyEnded.has(job(1299)));
  assert.ok(keptCount() >= 500);
});
