/**
 * Tests that nothing is overwritten, stopped or acquired based on a record that this version cannot read, because a
 * later version may have written it.
 *
 * Guards against three faults described in docs/incidents/2026-12-ran-twice-at-size.md ("Found beside it, not mended").
 * (1) Progress was computed from the last readable record, but the condition of the write was the revision of the
 * newer, unreadable record, which was therefore overwritten. (2) A controller that started and could not read a job's
 * record assumed that the job had ended, and stopped its tasks. (3) An unreadable token record was treated as 0, so that
 * the next leader's fencing token was 1.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeRecord } from '../../src/jobs/codec.js';
import { JobRecordCache } from '../../src/jobs/job-record-cache.js';
import { ProgressWriter, type ProgressContext } from '../../src/jobs/progress.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { LeadershipTransactions } from '../../src/leadership/leadership-transactions.js';
import { silentLog } from '../../src/logging/log.js';
import { RangeSet } from '../../src/model/ranges.js';
import { fencingToken, revision, steady, taskId, taskIndex } from '../../src/model/units.js';
import { TOKEN_KEY } from '../../src/shards/codec.js';
import { lastTokenOfRange } from '../../src/shards/leadership-tokens.js';
import { StoreCache } from '../../src/store/cache.js';
import { buildShard } from '../support/shard-builder.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';
import { buildJobSpec } from '../support/job-specs.js';
import { ShardFixture, TWO_TASK_SPEC } from '../support/shard-fixture.js';
import { SimulatedClock } from '../support/simulated-clock.js';

const RECORD = {
  spec: buildJobSpec({ id: 'req-1', tasks: 2 }),
  homeShard: 0,
  acceptedRevision: 1,
  acceptedAt: null,
  assignments: [{ from: 0, to: 2, shard: 0, zone: null }],
  done: RangeSet.empty(),
} as unknown as JobRecord;
const JOB = RECORD.spec.id;
const WRITTEN_BY_A_LATER_VERSION = { form: 2, spec: 'elsewhere' };

/** Returns the number of progress writes that are sent while the store contains this value of the job's record. */
function progressWrites(storedValue: unknown): number {
  const shard = buildShard();
  syncConfirmedJob(shard, RECORD, revision(20), steady(0), false);
  const job = shard.jobs.get(JOB);
  assert.ok(job);
  job.waiting.removeRange(0, 2);
  job.finished.addRange(0, 2);
  shard.jobsWithUnrecordedResults.add(job);
  const activeJobs = new JobRecordCache();
  activeJobs.update(JOB, encodeRecord(RECORD));
  activeJobs.update(JOB, storedValue);
  let writes = 0;
  const context = {
    clock: { now: () => 1000 },
    log: silentLog(),
    settings: { maxValueBytes: 4000 },
    shards: new Map([[shard.id, shard]]),
    activeJobs,
    requestCycle: () => undefined,
    storeCache: { version: () => 21, apply: () => undefined },
    store: {
      writeRate: 10,
      compareAndSwap: () => {
        writes += 1;
        return Promise.resolve({ kind: 'unknown' });
      },
    },
  } as unknown as ProgressContext;
  new ProgressWriter(context, () => undefined).tick();
  return writes;
}

test('no progress is written over a record that cannot be read', () => {
  assert.equal(progressWrites(encodeRecord(RECORD)), 1);
  assert.equal(progressWrites(WRITTEN_BY_A_LATER_VERSION), 0);
});

test('tasks of a job whose record cannot be read keep running, and are adopted once it can be read', () => {
  const fixture = new ShardFixture();
  const { shard, machine } = fixture;
  const job = shard.jobs.get(TWO_TASK_SPEC.id);
  assert.ok(job);
  shard.jobs.delete(TWO_TASK_SPEC.id);
  fixture.unreadableJobs.add(TWO_TASK_SPEC.id);
  fixture.receiveHeartbeat('heartbeat', '0:5:running');
  assert.equal(fixture.pendingCommands(), '', 'nothing is stopped');
  assert.equal(machine.unknownSizeTaskCount, 1, 'a task of unknown size blocks other starts on its machine');
  fixture.unreadableJobs.clear();
  syncConfirmedJob(shard, job.record, revision(9), steady(2000), false);
  assert.deepEqual(
    [...(shard.jobs.get(TWO_TASK_SPEC.id)?.waiting ?? [])],
    [1],
    'the running task does not wait',
  );
  fixture.receiveHeartbeat('heartbeat', '0:5:running');
  assert.equal(fixture.pendingCommands(), '');
  assert.equal(machine.unknownSizeTaskCount, 0);
  assert.equal(shard.allocations.get(taskId(TWO_TASK_SPEC.id, taskIndex(0)))?.spec, job.spec);
});

test('tasks of an ended job or without a job are still stopped', () => {
  const fixture = new ShardFixture();
  fixture.shard.jobs.delete(TWO_TASK_SPEC.id);
  fixture.receiveHeartbeat('heartbeat', '0:5:running');
  assert.equal(fixture.pendingCommands(), 'stop 0@5');
});

test('no shard is acquired while the fencing token record cannot be read', async () => {
  const tokens: unknown[] = [];
  const acquireWith = async (value: unknown): Promise<boolean> => {
    const storeCache = new StoreCache(() => undefined);
    if (value !== undefined) storeCache.apply(TOKEN_KEY, value, revision(5));
    const transactions = new LeadershipTransactions({
      clock: new SimulatedClock(),
      log: silentLog(),
      settings: { node: 'n0' as never },
      incarnation: 'x' as never,
      storeCache,
      leaderCondition: () => ({ key: TOKEN_KEY, version: revision(0) }),
      compareAndSwapUntilCertain: (_conditions, changes) => {
        tokens.push(...changes.map((change) => (change.op === 'put' ? change.value : null)).slice(0, 1));
        return Promise.resolve({ kind: 'done', revision: revision(6) });
      },
    });
    return transactions.acquire(0 as never, { reason: 'higher fencing token needed' });
  };
  assert.equal(await acquireWith({ token: 8 }), true);
  assert.equal(await acquireWith(undefined), true);
  for (const value of [{ token: 'x' }, {}, null]) assert.equal(await acquireWith(value), false);
  assert.deepEqual(
    tokens,
    [9, 1].map((first) => ({ token: lastTokenOfRange(fencingToken(first)) })),
  );
});
