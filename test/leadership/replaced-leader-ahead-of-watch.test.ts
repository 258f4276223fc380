/**
 * Guards against a task that runs on two machines at once. A slow controller's membership lease had expired, and
 * another controller had acquired its shard, which its watch did not show yet. The slow controller accepted a job, and
 * its own commit entered its watch cache before the changes written in between. Both leaders found the job newer than
 * their own acquisition, concluded that no earlier leader could have started it, and both started it. Revisions in the
 * logs of the two starts: job 16; replaced leader (token 3) acquired at 8, cache complete up to 11; successor (token 4)
 * acquired at 15, complete up to 17.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../../src/http/client.js';
import { RecordedLines } from '../support/recording-log.js';
import { startCluster, type FaultInjectionCluster } from '../support/fault-injection-cluster.js';

const OLD_LEADER = 'n0';
/** Longer than the test waits for a second start, shorter than the old leader's command deadline of 19 s. */
const WATCH_DELAY_MS = 12_000;

/** Loses all lease requests of one controller from now on. */
function loseLeaseRequests(cluster: FaultInjectionCluster, node: string): void {
  const call = cluster.store.call.bind(cluster.store);
  cluster.store.call = async (from: string, request: Call): Promise<CallOutcome> => {
    if (from !== node || !request.path.startsWith('/leases')) return call(from, request);
    await cluster.clock.sleep(request.timeout);
    return { kind: 'unknown' };
  };
}

/** Gives shard 0 a new leader, which the old leader's watch does not show yet. */
async function replaceLeaderUnnoticed(cluster: FaultInjectionCluster): Promise<void> {
  cluster.watchDelayMs = (node) => (node === OLD_LEADER ? WATCH_DELAY_MS : 0);
  loseLeaseRequests(cluster, OLD_LEADER);
  await cluster.until('another controller leads shard 0', () => cluster.leaderOf(0) > 0);
}

const startsOf = (cluster: FaultInjectionCluster, task: string): string[] =>
  cluster.traceLines.filter((line) => line.endsWith(` runs ${task}`));

test('a replaced leader does not start a job that it accepts before its watch shows the successor', async () => {
  const recorded = new RecordedLines();
  const cluster = await startCluster(6, 3, 24, (node) => recorded.logOf(`n${node}`));
  cluster.cutOff(['m-0'], [1, 2]);
  await replaceLeaderUnnoticed(cluster);
  const answer = await cluster.submit(0, 'req-late', { tasks: 2, zone: 'east', runMs: 15_000 });
  assert.equal(answer.status, 201, 'any controller may accept jobs, whichever shards it leads');
  await cluster.step(10_000);
  cluster.assertNoViolations('the replaced leader accepts a job');
  for (const start of recorded.find('start'))
    assert.ok(
      Number(start['assignedVersion']) <= Number(start['confirmedUpTo']),
      `a start was based on a record ahead of the watch: ${JSON.stringify(start)}`,
    );
  for (const task of ['req-late/0', 'req-late/1'])
    assert.equal(startsOf(cluster, task).length, 1, `${task}:\n${cluster.traceLines.join('\n')}`);
});

test('a replaced leader starts no task on a machine that it registers before its watch shows the successor', async () => {
  const cluster = await startCluster(2, 2);
  await cluster.submit(0, 'req-full', { tasks: 8, zone: 'east', runMs: 600_000 });
  await cluster.until('the east zone is full', () => cluster.countRunningTasks('req-full') === 8);
  await cluster.submit(0, 'req-wait', { team: 'blue', tasks: 2, zone: 'east', runMs: 15_000 });
  await cluster.step(1000);
  await replaceLeaderUnnoticed(cluster);
  // The successor knows that no waiting task was started. Two machines are added; the first reaches only the old
  // leader.
  await cluster.step(1000);
  const oldLeaderMachine = cluster.addWorker('large', 'east');
  cluster.cutOff([oldLeaderMachine], [1, 2]);
  await cluster.step(1500);
  cluster.addWorker('large', 'east');
  await cluster.step(8000);
  cluster.assertNoViolations('the replaced leader registers a machine');
});
