/**
 * A task ran on two machines at once. A controller whose membership lease had run out while it was slow was replaced as
 * the leader of its shard, and its watch had not shown that yet. It took a submission, and its own commit entered its
 * watch cache before what had been written in between. Each of the two compared the job with its own acquisition, found
 * it newer, and concluded that no earlier leader could have started it. Their lines for the same task settled it: the
 * replaced leader's "start" has fencingToken 3, jobVersion 16, acquiredVersion 8 and completeUpTo 11, so it knew the job
 * and not the revisions 12 to 15; the successor's has fencingToken 4, jobVersion 16, acquiredVersion 15, completeUpTo 17.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../../src/http/client.js';
import { RecordedLines } from '../support/recording-log.js';
import { startCluster, type FaultInjectionCluster } from '../support/fault-injection-cluster.js';

const OLD_LEADER = 'n0';
/** Longer than the test watches for a second start, shorter than the old leader's command deadline of 19 s. */
const WATCH_DELAY_MS = 12_000;

/** Renewals of the membership lease of one controller are lost from now on. */
function loseLeaseRenewals(cluster: FaultInjectionCluster, node: string): void {
  const call = cluster.store.call.bind(cluster.store);
  cluster.store.call = async (from: string, request: Call): Promise<CallOutcome> => {
    if (from !== node || !request.path.startsWith('/leases')) return call(from, request);
    await cluster.clock.sleep(request.timeout);
    return { kind: 'unknown' };
  };
}

/** Shard 0 has a new leader, and the old one has not heard of it. */
async function replaceLeaderUnseen(cluster: FaultInjectionCluster): Promise<void> {
  cluster.watchDelayMs = (node) => (node === OLD_LEADER ? WATCH_DELAY_MS : 0);
  loseLeaseRenewals(cluster, OLD_LEADER);
  await cluster.until('another controller leads shard 0', () => cluster.leaderOf(0) > 0);
}

const startsOf = (cluster: FaultInjectionCluster, task: string): string[] =>
  cluster.traceLines.filter((line) => line.endsWith(` runs ${task}`));

test('a replaced leader does not start a job that it accepts before its watch shows the successor', async () => {
  const recorded = new RecordedLines();
  const cluster = await startCluster(6, 3, 24, (node) => recorded.logOf(`n${node}`));
  cluster.cutOff(['m-0'], [1, 2]);
  await replaceLeaderUnseen(cluster);
  const answer = await cluster.submit(0, 'req-late', { tasks: 2, zone: 'east', runMs: 15_000 });
  assert.equal(answer.status, 201, 'a controller may accept jobs whatever it leads');
  await cluster.step(10_000);
  cluster.assertNoViolations('the replaced leader accepts a job');
  for (const start of recorded.find('start'))
    assert.ok(
      Number(start['assignedVersion']) <= Number(start['confirmedUpTo']),
      `a start was decided by a record ahead of the watch: ${JSON.stringify(start)}`,
    );
  for (const task of ['req-late/0', 'req-late/1'])
    assert.equal(startsOf(cluster, task).length, 1, `${task}:\n${cluster.traceLines.join('\n')}`);
});

test('a replaced leader starts nothing on a machine that it registers before its watch shows the successor', async () => {
  const cluster = await startCluster(2, 2);
  await cluster.submit(0, 'req-full', { tasks: 8, zone: 'east', runMs: 600_000 });
  await cluster.until('the east is full', () => cluster.countRunningTasks('req-full') === 8);
  await cluster.submit(0, 'req-wait', { team: 'blue', tasks: 2, zone: 'east', runMs: 15_000 });
  await cluster.step(1000);
  await replaceLeaderUnseen(cluster);
  // The successor knows that nothing was started of what waits; both now get a machine that only one of them reaches.
  await cluster.step(1000);
  const reachedByOld = cluster.addWorker('large', 'east');
  cluster.cutOff([reachedByOld], [1, 2]);
  await cluster.step(1500);
  cluster.addWorker('large', 'east');
  await cluster.step(8000);
  cluster.assertNoViolations('the replaced leader registers a machine');
});
