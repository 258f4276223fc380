/**
 * A new leader learns late, or while it is still listing all keys, of events before its failover.
 * Each case is triggered by events (a commit, a start, a command in transit), runs through several phases, and is
 * checked against the rules of the protocol.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { RangeSet } from '../../src/model/ranges.js';
import { Shard } from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import {
  UNLIMITED_CPUS,
  type FaultInjectionCluster,
  startCluster,
  shardOfMachine,
  whenFailoverArrives,
} from '../support/fault-injection-cluster.js';
import { buildJobSpec } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

test('a job is accepted and started just before the failover; the successor learns late of earlier events', async () => {
  for (const lagMs of [0, 300, 1200]) {
    for (const cancelDelayMs of [0, 300, 1500]) {
      const cluster = await startCluster(4, 2);
      cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : lagMs);
      await cluster.step(2000);
      cluster.onStart = (machine) => {
        if (shardOfMachine(cluster, machine) !== 0) return;
        cluster.onStart = () => undefined;
        cluster.killNode(0);
        cluster.cutOff([machine]);
        cluster.clock.after(9000, () => cluster.heal([machine]));
      };
      cluster.onFailover(0, () => cluster.clock.after(cancelDelayMs, () => cluster.cancel('req-over', 2)));
      await cluster.submit(0, 'req-kept', { tasks: 3, zone: 'east', runMs: 60_000 });
      void cluster.request(
        1,
        'POST',
        '/v2/runs',
        cluster.submissionBody('req-over', { tasks: 3, runMs: 60_000 }),
      );
      await cluster.until('n0 has started a task', () =>
        cluster.traceLines.some((l) => l.includes('n0 is killed')),
      );
      await cluster.step(45_000);
      cluster.assertNoViolations(
        `watches ${lagMs} ms late, cancelled ${cancelDelayMs} ms after the failover`,
      );
      assert.equal(cluster.countRunningTasks('req-kept'), 3, cluster.traceLines.join('\n'));
      assert.equal(cluster.countRunningTasks('req-over'), 0);
    }
  }
});

const lastJob = { tasks: 2, zone: 'east', runMs: 40_000 };

test('a leader without its membership key continues until the failover commits; the successor learns late of the last job that this leader accepted', async () => {
  for (const lagMs of [0, 700, 1400]) {
    for (const cancelled of [false, true]) {
      const cluster = await startCluster(4, 2);
      refuseLeases(cluster, 'n0');
      whenFailoverArrives(cluster, 600, () => {
        cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : lagMs);
        void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody('req-last', lastJob));
        if (cancelled) cluster.clock.after(400, () => cluster.cancel('req-last', 0));
      });
      let startedOn = '';
      cluster.onStart = (machine) => {
        if (startedOn !== '') return;
        startedOn = machine;
        cluster.cutOff([machine], [1, 2]);
      };
      await cluster.until('n0 starts a job during the failover of its shard', () => startedOn !== '');
      assert.equal(cluster.leaderOf(0), 0, cluster.traceLines.join('\n'));
      await cluster.step(60_000);
      cluster.assertNoViolations(`watches ${lagMs} ms late, ${cancelled ? 'cancelled' : 'not cancelled'}`);
      const done = cluster.traceLines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
      assert.equal(done, cancelled ? 0 : 2, cluster.traceLines.join('\n'));
    }
  }
});

test('the successor lists all keys while its failover commits: changes between the pages are older than the failover', async () => {
  for (const added of ['job', 'machine'] as const) {
    const cluster = await startCluster(4, 2, UNLIMITED_CPUS);
    if (added === 'machine')
      await cluster.submit(0, 'req-long', { tasks: 4, cpus: 4, zone: 'east', runMs: 600_000 });
    await cluster.step(3000);
    refuseLeases(cluster, 'n0');
    let failedOver = false;
    cluster.onFailover(0, () => (failedOver = true));
    let addedMachine = '';
    const submitLast = (): void =>
      void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody('req-last', lastJob));
    const betweenPages = (): void => {
      if (added === 'job') {
        submitLast();
        return;
      }
      addedMachine = cluster.addWorker('large', 'east');
      cluster.clock.after(300, submitLast);
    };
    whenFailoverArrives(cluster, 1200, () =>
      forceFullList(cluster, ['n1', 'n2'], () => failedOver, betweenPages),
    );
    let startedOn = '';
    cluster.onStart = (machine) => {
      if (startedOn !== '' || failedOver) return;
      startedOn = machine;
      cluster.cutOff([machine], [1, 2]);
      // Capacity for a second start of all tasks.
      for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
    };
    await cluster.until('n0 starts a task during the failover of its shard', () => startedOn !== '');
    if (added === 'machine') assert.equal(startedOn, addedMachine);
    assert.equal(cluster.leaderOf(0), 0);
    await cluster.step(90_000);
    cluster.assertNoViolations(`a ${added} between the pages`);
    const done = cluster.traceLines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
    assert.equal(done, 2, cluster.traceLines.join('\n'));
  }
});

test('tasks assigned to a shard before its failover and read after it may be running; tasks assigned later are not', () => {
  const failover = 10;
  const shard = new Shard(0 as never, 7 as never, failover as never, 0 as never, new Map());
  const record = (assignedTasks: number): JobRecord => ({
    spec: buildJobSpec({ tasks: 6 }),
    homeShard: 1 as never,
    acceptedRevision: 1 as never,
    acceptedAt: null,
    assignments: [
      { from: 0, to: assignedTasks, shard: 0 as never, zone: null },
      { from: assignedTasks, to: 6, shard: 1 as never, zone: null },
    ],
    done: RangeSet.empty(),
  });
  syncConfirmedJob(shard, record(2), 5 as never, 0 as never, true);
  requeueAccountedTasks(shard);
  const job = shard.jobs.get('req-1' as never);
  assert.deepEqual(job?.waiting.ranges(), [[0, 2]], 'the shard has no machine on which the tasks could be');
  syncConfirmedJob(shard, record(4), 9 as never, 0 as never, false);
  assert.deepEqual(job?.unaccounted.ranges(), [[2, 4]]);
  syncConfirmedJob(shard, record(6), 11 as never, 0 as never, false);
  assert.deepEqual(job?.unaccounted.ranges(), [[2, 4]]);
  requeueAccountedTasks(shard);
  assert.deepEqual(job?.waiting.ranges(), [[0, 6]], 'the shard is reconciled again');
});

/**
 * Makes the store answer these controllers that their watches are too old, so that they list all keys. The second
 * page of the list begins with the shards and is delayed until `failedOver` returns true; `betweenPages` runs when
 * all of these controllers have read the first page.
 */
function forceFullList(
  cluster: FaultInjectionCluster,
  nodes: readonly string[],
  failedOver: () => boolean,
  betweenPages: () => void,
): void {
  const call = cluster.store.call.bind(cluster.store);
  const tooOld = new Set(nodes);
  let firstPages = 0;
  cluster.store.call = async (node: string, request: Call): Promise<CallOutcome> => {
    const isListing = request.path.startsWith('/kv?') && nodes.includes(node);
    if (isListing && !request.path.includes('from=')) {
      const firstPageKeys = [...cluster.store.entries.keys()].filter(
        (key) => key.startsWith('c/') && key < 'c/parts/',
      );
      const path = request.path.replace('most=1000', `most=${firstPageKeys.length}`);
      const page = await call(node, { ...request, path });
      firstPages += 1;
      if (firstPages === nodes.length) betweenPages();
      return page;
    }
    if (request.path.startsWith('/follow') && tooOld.delete(node))
      return { kind: 'answer', status: 410, body: {} };
    while (isListing && !failedOver()) await cluster.clock.sleep(5);
    return call(node, request);
  };
  // Ends the open watches of the controllers; their next watches are refused.
  cluster.store.applyTransaction({ when: [], apply: [{ put: 'c/note', data: {} }] });
}

/** Makes the store refuse a controller's lease requests only: its membership key expires, and it keeps working. */
function refuseLeases(cluster: FaultInjectionCluster, node: string): void {
  const call = cluster.store.call.bind(cluster.store);
  cluster.store.call = (from: string, request: Call): Promise<CallOutcome> => {
    const isRefused = from === node && request.path.startsWith('/leases');
    return isRefused ? Promise.resolve({ kind: 'answer', status: 503, body: {} }) : call(from, request);
  };
}
