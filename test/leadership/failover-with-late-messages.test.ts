/**
 * Old heartbeats and delayed commands arrive after a failover.
 * Each case is triggered by events (a commit, a start, a command in transit), runs through several phases, and is
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

/** An earlier heartbeat: the last before the machine showed the job, the last that shows the job, or the newest. */
type HeartbeatKind = 'before' | 'running' | 'last';

/** Returns an earlier heartbeat of the machine, or null if there is none. */
function earlierHeartbeat(
  cluster: FaultInjectionCluster,
  machine: string,
  job: string,
  kind: HeartbeatKind,
): object | null {
  const sent = cluster.sentHeartbeats.get(machine) ?? [];
  const shows = (heartbeat: object): boolean => JSON.stringify(heartbeat).includes(`"leg":"${job}/`);
  if (kind === 'last') return sent.at(-1) ?? null;
  if (kind === 'running') return sent.filter(shows).at(-1) ?? null;
  const first = sent.findIndex(shows);
  return (first < 0 ? sent.at(-1) : sent[first - 1]) ?? null;
}

function replayToAllNodes(
  cluster: FaultInjectionCluster,
  machine: string,
  job: string,
  kind: HeartbeatKind,
): void {
  const heartbeat = earlierHeartbeat(cluster, machine, job, kind);
  assert.ok(heartbeat, `${machine} has sent such a heartbeat: ${kind}`);
  for (const node of NODES) void cluster.request(node, 'POST', '/agent/beat', heartbeat);
}

/** Which heartbeats are replayed: of the machine that the task has left, and of the machine that runs it. */
interface HeartbeatCopies {
  readonly formerMachine: HeartbeatKind | null;
  readonly currentMachine: HeartbeatKind | null;
}

test('copies of old heartbeats reach every controller just as a new leader takes over', async () => {
  for (const copies of [
    { formerMachine: 'running', currentMachine: null },
    { formerMachine: null, currentMachine: 'before' },
    { formerMachine: 'last', currentMachine: 'before' },
    { formerMachine: 'running', currentMachine: 'last' },
  ] as const) {
    for (const firstDelayMs of [0, 5]) await replayAtFailover(copies, firstDelayMs);
  }
});

async function replayAtFailover(copies: HeartbeatCopies, firstDelayMs: number): Promise<void> {
  // Without effective quotas only the leader's knowledge of the task prevents a second start.
  const cluster = await startCluster(4, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-long', { tasks: 1, zone: 'east', runMs: 600_000 });
  await cluster.until('the task runs', () => cluster.countRunningTasks('req-long') === 1);
  await cluster.step(3000);
  const [formerMachine] = cluster.machinesRunning('req-long') as [string];
  const shard = shardOfMachine(cluster, formerMachine);
  // The task moves to another machine; copies of heartbeats of the first machine still show it there.
  cluster.cutOff([formerMachine]);
  await cluster.until(
    'the lease has expired and the task runs on another machine',
    () => cluster.traceLines.filter((l) => / runs /.test(l)).length === 2,
  );
  cluster.heal([formerMachine]);
  await cluster.step(4000);
  const [currentMachine] = cluster.machinesRunning('req-long') as [string];
  assert.equal(shardOfMachine(cluster, currentMachine), shard);
  const deliver = (): void => {
    if (copies.formerMachine) replayToAllNodes(cluster, formerMachine, 'req-long', copies.formerMachine);
    if (copies.currentMachine) replayToAllNodes(cluster, currentMachine, 'req-long', copies.currentMachine);
  };
  cluster.onFailover(shard, () => {
    // The successor learns of its acquisition within 100 ms, and its first command is answered some 20 ms later.
    for (let delayMs = 0; delayMs < 150; delayMs += 10) cluster.clock.after(firstDelayMs + delayMs, deliver);
    for (const delayMs of [1000, 5000, 11_000, 12_500]) cluster.clock.after(firstDelayMs + delayMs, deliver);
  });
  // The machine can be neither probed nor deleted: either would show what it runs.
  cluster.cutOff([currentMachine]);
  cluster.cloudOutage = true;
  cluster.killNode(shard);
  await cluster.until('the shard has a new leader', () => cluster.leaderOf(shard) !== shard);
  await cluster.step(4000);
  cluster.heal([currentMachine]);
  await cluster.step(50_000);
  cluster.assertNoViolations(`copies: ${JSON.stringify(copies)}, from ${firstDelayMs} ms after the failover`);
  assert.equal(cluster.countRunningTasks('req-long'), 1, cluster.traceLines.join('\n'));
  const starts = cluster.traceLines.filter((l) => l.includes('runs req-long')).length;
  assert.equal(starts, 2, `copies of heartbeats cause no new start:\n${cluster.traceLines.join('\n')}`);
}

test('launches, kills and clears of a stopped leader arrive after the commands of the new leader', async () => {
  for (const commandDelayMs of [2000, 5000, 16_000]) {
    for (const unreachableMs of [0, 6000]) {
      for (const nodeRestarts of [false, true])
        await delayCommandsOfOldLeader(commandDelayMs, unreachableMs, nodeRestarts);
    }
  }
});

async function delayCommandsOfOldLeader(
  commandDelayMs: number,
  unreachableMs: number,
  nodeRestarts: boolean,
): Promise<void> {
  const cluster = await startCluster(8, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-over', { tasks: 3, zone: 'east', runMs: 600_000 });
  await cluster.submit(0, 'req-short', { tasks: 2, cpus: 1, zone: 'east', runMs: 1200, team: 'blue' });
  await cluster.until('the tasks run', () => cluster.countRunningTasks('req-over') === 3);
  const delayedTo = new Set<string>();
  cluster.commandDelayMs = (node, machine) => {
    if (node !== 0) return null;
    delayedTo.add(machine);
    return commandDelayMs;
  };
  cluster.cancel('req-over', 1);
  await cluster.submit(0, 'req-kept', { tasks: 4, cpus: 4, zone: 'east', runMs: 40_000 });
  await cluster.until('commands of n0 are in transit', () => delayedTo.size > 0);
  await cluster.step(300);
  const delayedMachines = [...delayedTo];
  cluster.killNode(0);
  // The new leader receives their heartbeats, but its fencing token does not reach them: they accept late commands.
  if (unreachableMs > 0) for (const machine of delayedMachines) cluster.unreachableMachines.add(machine);
  const reconnect = (): void =>
    delayedMachines.forEach((machine) => cluster.unreachableMachines.delete(machine));
  cluster.onLeaderWrite(
    0,
    () => true,
    () => cluster.clock.after(unreachableMs, reconnect),
  );
  if (nodeRestarts) cluster.clock.after(1000, () => void cluster.startNode(0));
  await cluster.step(70_000);
  cluster.assertNoViolations(
    `commands ${commandDelayMs} ms late, machines unreachable for ${unreachableMs} ms, n0 ${nodeRestarts ? 'restarted' : 'gone'}`,
  );
  const done = cluster.traceLines.filter((l) => /ends req-kept\/\d: done/.test(l)).length;
  assert.equal(done, 4, cluster.traceLines.join('\n'));
  assert.equal(cluster.countRunningTasks('req-over'), 0);
}
