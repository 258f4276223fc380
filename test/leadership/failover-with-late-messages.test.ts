/**
 * Old heartbeats and delayed commands arrive after a failover.
 * Each case is brought about by events (a commit, a start, a command on its way), over several phases, and
 * checked against the rules of the protocol.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  NODES,
  UNLIMITED_CPUS,
  type FaultInjectionCluster,
  startCluster,
  shardOfMachine,
} from '../support/fault-injection-cluster.js';

/** Heartbeats by what they say of the job: from before it ran there, from when it did, and the newest one. */
type Kind = 'before' | 'running' | 'last';

/** An earlier heartbeat of the machine, or null. */
function earlierHeartbeat(
  cluster: FaultInjectionCluster,
  machine: string,
  job: string,
  kind: Kind,
): object | null {
  const sent = cluster.sentHeartbeats.get(machine) ?? [];
  const shows = (heartbeat: object): boolean => JSON.stringify(heartbeat).includes(`"leg":"${job}/`);
  if (kind === 'last') return sent.at(-1) ?? null;
  if (kind === 'running') return sent.filter(shows).at(-1) ?? null;
  const first = sent.findIndex(shows);
  return (first < 0 ? sent.at(-1) : sent[first - 1]) ?? null;
}

function replayToAllNodes(cluster: FaultInjectionCluster, machine: string, job: string, kind: Kind): void {
  const heartbeat = earlierHeartbeat(cluster, machine, job, kind);
  assert.ok(heartbeat, `${machine} has sent such a heartbeat: ${kind}`);
  for (const node of NODES) void cluster.request(node, 'POST', '/agent/beat', heartbeat);
}

/** Which copies come of the machine where the task was, and of the one where it is. */
interface HeartbeatCopies {
  readonly left: Kind | null;
  readonly holder: Kind | null;
}

test('copies of old heartbeats reach every controller just as a new leader begins', async () => {
  for (const copies of [
    { left: 'running', holder: null },
    { left: null, holder: 'before' },
    { left: 'last', holder: 'before' },
    { left: 'running', holder: 'last' },
  ] as const) {
    for (const firstAfter of [0, 5]) await replayAtFailover(copies, firstAfter);
  }
});

async function replayAtFailover(copies: HeartbeatCopies, firstAfter: number): Promise<void> {
  // Limits so wide that they keep nothing from starting: only what is known of the task does.
  const cluster = await startCluster(4, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-long', { tasks: 1, zone: 'east', runMs: 600_000 });
  await cluster.until('it runs', () => cluster.countRunningTasks('req-long') === 1);
  await cluster.step(3000);
  const [first] = cluster.machinesRunning('req-long') as [string];
  const shard = shardOfMachine(cluster, first);
  // The task starts elsewhere: copies from the first machine say that it still runs there.
  cluster.cutOff([first]);
  await cluster.until(
    'its lease is over and it runs elsewhere',
    () => cluster.traceLines.filter((l) => / runs /.test(l)).length === 2,
  );
  cluster.heal([first]);
  await cluster.step(4000);
  const [second] = cluster.machinesRunning('req-long') as [string];
  assert.equal(shardOfMachine(cluster, second), shard);
  const deliver = (): void => {
    if (copies.left) replayToAllNodes(cluster, first, 'req-long', copies.left);
    if (copies.holder) replayToAllNodes(cluster, second, 'req-long', copies.holder);
  };
  cluster.onFailover(shard, () => {
    // The successor learns of its failover within 100 ms, and its first command is answered some 20 ms later.
    for (let after = 0; after < 150; after += 10) cluster.clock.after(firstAfter + after, deliver);
    for (const after of [1000, 5000, 11_000, 12_500]) cluster.clock.after(firstAfter + after, deliver);
  });
  // It can be neither probed nor deleted, either of which would show what it runs.
  cluster.cutOff([second]);
  cluster.cloudOutage = true;
  cluster.killNode(shard);
  await cluster.until('the shard has a new leader', () => cluster.leaderOf(shard) !== shard);
  await cluster.step(4000);
  cluster.heal([second]);
  await cluster.step(50_000);
  cluster.assertNoViolations(`copies: ${JSON.stringify(copies)}, from ${firstAfter} ms after the failover`);
  assert.equal(cluster.countRunningTasks('req-long'), 1, cluster.traceLines.join('\n'));
  const starts = cluster.traceLines.filter((l) => l.includes('runs req-long')).length;
  assert.equal(starts, 2, `what a copy says starts nothing anew:\n${cluster.traceLines.join('\n')}`);
}

test('launches, kills and clears of an ended leader arrive after the commands of the new one', async () => {
  for (const late of [2000, 5000, 16_000]) {
    for (const unreachableForMs of [0, 6000]) {
      for (const back of [false, true]) await delayCommandsOfOldLeader(late, unreachableForMs, back);
    }
  }
});

async function delayCommandsOfOldLeader(late: number, unreachableMs: number, back: boolean): Promise<void> {
  const cluster = await startCluster(8, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-over', { tasks: 3, zone: 'east', runMs: 600_000 });
  await cluster.submit(0, 'req-short', { tasks: 2, cpus: 1, zone: 'east', runMs: 1200, team: 'blue' });
  await cluster.until('it runs', () => cluster.countRunningTasks('req-over') === 3);
  const delayedTo = new Set<string>();
  cluster.commandDelayMs = (node, machine) => {
    if (node !== 0) return null;
    delayedTo.add(machine);
    return late;
  };
  cluster.cancel('req-over', 1);
  await cluster.submit(0, 'req-kept', { tasks: 4, cpus: 4, zone: 'east', runMs: 40_000 });
  await cluster.until('commands of n0 are on their way', () => delayedTo.size > 0);
  await cluster.step(300);
  const lost = [...delayedTo];
  cluster.killNode(0);
  // The new leader hears them, but its fencing token does not reach them: they still accept late commands.
  if (unreachableMs > 0) for (const machine of lost) cluster.unreachableMachines.add(machine);
  const hear = (): void => lost.forEach((machine) => cluster.unreachableMachines.delete(machine));
  cluster.onLeaderWrite(
    0,
    () => true,
    () => cluster.clock.after(unreachableMs, hear),
  );
  if (back) cluster.clock.after(1000, () => void cluster.startNode(0));
  await cluster.step(70_000);
  cluster.assertNoViolations(
    `commands ${late} ms late, machines unreachable for ${unreachableMs} ms, n0 ${back ? 'back' : 'gone'}`,
  );
  const done = cluster.traceLines.filter((l) => /ends req-kept\/\d: done/.test(l)).length;
  assert.equal(done, 4, cluster.traceLines.join('\n'));
  assert.equal(cluster.countRunningTasks('req-over'), 0);
}
