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

/** Shard 0 has a new leader; the old one has not heard of it, and reaches a machine that the new one does not reach. */
async function replaceLeaderUnseen(cluster: FaultInjectionCluster, unreached: string): Promise<void> {
  cluster.watchDelayMs = (node) => (node === OLD_LEADER ? WATCH_DELAY_MS : 0);
  loseLeaseRenewals(cluster, OLD_LEADER);
  cluster.cutOff([unreached], [1, 2]);
  await cluster.until('another controller leads shard 0', () => cluster.leaderOf(0) > 0);
}

const startsOf = (cluster: FaultInjectionCluster, task: string): string[] =>
  cluster.traceLines.filter((line) => line.endsWith(` runs ${task}`));

test('a replaced leader does not start a job that it accepts before its watch shows the successor', async () => {
  const recorded = new RecordedLines();
  const cluster = await startCluster(6, 3, 24, (node) => recorded.logOf(`n${node}`));
  await replaceLeaderUnseen(cluster, 'm-0');
  const answer = await cluster.submit(0, 'req-late', { tasks: 2, zone: 'east', runMs: 15_000 });
  assert.equal(answer.status, 201, 'a controller may accept jobs whatever it leads');
  await cluster.step(10_000);
  cluster.assertNoViolations('the replaced leader accepts a job');
  for (const start of recorded.find('start'))
    assert.ok(
      Number(start['assignedVersion']) <= Number(start['completeUpTo']),
      `a start was decided by a record ahead of the watch: ${JSON.stringify(start)}`,
    );
  for (const task of ['req-late/0', 'req-late/1'])
    assert.equal(startsOf(cluster, task).length, 1, `${task}:\n${cluster.traceLines.join('\n')}`);
});
