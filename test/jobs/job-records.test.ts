/** Tests job records: earlier and unknown formats, reassignment of tasks to shards, and the size limit of a value. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeRecord, encodeRecord } from '../../src/jobs/codec.js';
import { withFinishedTasks } from '../../src/jobs/stored-size.js';
import { reassign, type JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { RangeSet } from '../../src/model/ranges.js';
import { revision, shardId, type ClusterMs, type ZoneId } from '../../src/model/units.js';
import { RandomStream } from '../../src/simulation/random.js';
import { assertTraceMatches } from '../support/recorded-trace.js';
import { SimulatedCluster } from '../support/simulated-cluster.js';

const spec = { id: 'req-1', tasks: 100, kind: 'array' } as JobSpec;
const record = {
  spec,
  homeShard: shardId(0),
  acceptedRevision: revision(3),
  acceptedAt: 7 as ClusterMs,
  assignments: [{ from: 0, to: 100, shard: shardId(0), zone: null }],
  done: RangeSet.empty(),
};

test('a record of an earlier version, without revision and time of acceptance, is still read', () => {
  const { born, at, ...old } = encodeRecord(record);
  assert.deepEqual([born, at], [3, 7]);
  assert.equal(decodeRecord(old)?.acceptedRevision, 0);
  assert.equal(decodeRecord(old)?.acceptedAt, null);
  assert.equal(decodeRecord({ ...old, parts: 'none' }), null);
});

test('a record that cannot be read stops no task: it may come from a newer version', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east');
  cluster.addWorker('large', 'west');
  await cluster.start();
  await cluster.submit(0, 'req-1', { service: true });
  await cluster.step(1000);
  const entry = cluster.store.entries.get('c/live/req-1');
  assert.ok(entry);
  cluster.store.applyTransaction({
    when: [],
    apply: [{ put: 'c/live/req-1', data: { ...(entry.data as object), parts: 'new form' } }],
  });
  await cluster.step(3000);
  assert.equal([...cluster.workers.values()].flatMap((worker) => worker.runningTasks()).length, 1);
  assertTraceMatches(cluster, 'unreadable-record');
});

test('reassigning tasks splits an assignment, and merges adjacent ranges again', () => {
  const moved = reassign(record, RangeSet.of([[10, 20]]), shardId(1), (zone) => zone);
  assert.deepEqual(
    moved.assignments.map((assignment) => [assignment.from, assignment.to, assignment.shard]),
    [
      [0, 10, 0],
      [10, 20, 1],
      [20, 100, 0],
    ],
  );
  const back = reassign(moved, RangeSet.of([[10, 20]]), shardId(0), (zone) => zone);
  assert.deepEqual(back.assignments, record.assignments);
});

test('reassigning any set of tasks changes these tasks alone, in as few ranges as possible', () => {
  const random = new RandomStream(1);
  const placeOf = ({ assignments }: Pick<JobRecord, 'assignments'>, index: number): string => {
    const found = assignments.filter(({ from, to }) => from <= index && index < to);
    assert.equal(found.length, 1);
    return `${found[0]?.shard}/${found[0]?.zone}`;
  };
  for (let round = 0; round < 200; round += 1) {
    const draw = (): RangeSet =>
      RangeSet.of(
        Array.from({ length: random.integer(0, 12) }, () => {
          const start = random.integer(0, 99);
          return [start, Math.min(100, start + random.integer(1, 20))] as const;
        }),
      );
    const scattered = reassign(record, draw(), shardId(2), () => 'west' as ZoneId);
    const moved = draw();
    const reassigned = reassign(scattered, moved, shardId(1), () => 'east' as ZoneId);
    for (let index = 0; index < spec.tasks; index += 1)
      assert.equal(placeOf(reassigned, index), moved.has(index) ? '1/east' : placeOf(scattered, index));
    for (const [i, { from, shard, zone }] of reassigned.assignments.entries()) {
      const previous = reassigned.assignments[i - 1];
      assert.equal(from, previous?.to ?? 0);
      assert.ok(!previous || previous.shard !== shard || previous.zone !== zone);
    }
  }
});

test('scattered finished tasks that do not fit into a value are written later; the record stays within the size limit', () => {
  const evenTasks = RangeSet.of(Array.from({ length: 50 }, (_, i) => [2 * i, 2 * i + 1] as const));
  const partial = withFinishedTasks(record, evenTasks, 300);
  assert.ok(partial.done.size > 0 && partial.done.size < 50);
  assert.equal(withFinishedTasks(record, evenTasks, 4096).done.size, 50);
});
