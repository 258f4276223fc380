/**
 * Jobs of teams at their quota are cancelled around a failover, on machines that hang or are cut off.
 * Each case is triggered by events (a commit, a start, a command in transit), runs through several phases, and is
 * checked against the rules of the protocol.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  NODES,
  type FaultInjectionCluster,
  startCluster,
  machinesOfShard,
  injectFault,
  recover,
  whenFailoverArrives,
} from '../support/fault-injection-cluster.js';

/**
 * Starts a cluster with both teams at their quota of 24 CPUs; as much again waits, and idle machines could run it
 * all.
 */
async function clusterWithTeamsAtQuota(): Promise<FaultInjectionCluster> {
  const cluster = await startCluster(8, 4);
  for (const team of ['red', 'blue'])
    await cluster.submit(0, `req-${team}`, { team, tasks: 12, runMs: 600_000 });
  await cluster.until(
    'both teams are at their quota',
    () => cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue') === 24,
  );
  for (const team of ['red', 'blue'])
    await cluster.submit(1, `req-next-${team}`, { team, tasks: 12, runMs: 600_000, image: 'another' });
  await cluster.step(1000);
  assert.equal(cluster.countRunningTasks('req-next-red'), 0);
  return cluster;
}

/**
 * Stops the leader of shard 0. Returns how many tasks of both teams' first jobs ran when the failover was committed.
 */
async function stopLeader(
  cluster: FaultInjectionCluster,
  afterFailover: () => void = () => undefined,
): Promise<number> {
  cluster.killNode(0);
  let running = 0;
  cluster.onFailover(0, () => {
    running = cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue');
    afterFailover();
  });
  await cluster.until('the shard has a new leader', () => cluster.leaderOf(0) !== 0);
  return running;
}

const bothCancelled = (cluster: FaultInjectionCluster): boolean =>
  ['req-red', 'req-blue'].every((job) => cluster.invariantChecker.finalState(job) === 'cancelled');

const countRunningNextTasks = (cluster: FaultInjectionCluster): number =>
  cluster.countRunningTasks('req-next-red') + cluster.countRunningTasks('req-next-blue');

for (const fault of ['hang', 'cut'] as const) {
  test(`teams at their quota, cancelled tasks on machines with a fault (${fault}), the leader stops`, async () => {
    for (const [cancelDelayMs, recoveryDelayMs] of [
      [0, 6000],
      [700, 8000],
      [1400, 14_000],
      [2500, 30_000],
    ] as const) {
      const cluster = await clusterWithTeamsAtQuota();
      const faultyMachines = cluster.machinesRunning('req-red').concat(cluster.machinesRunning('req-blue'));
      injectFault(cluster, fault, faultyMachines);
      cluster.clock.after(recoveryDelayMs, () => recover(cluster, faultyMachines));
      await cluster.step(cancelDelayMs);
      for (const team of ['red', 'blue']) cluster.cancel(`req-${team}`, 1);
      await cluster.until('both are cancelled', () => bothCancelled(cluster));
      const running = await stopLeader(cluster);
      assert.equal(running, 24, 'the tasks of the cancelled jobs still ran at the failover');
      await cluster.step(60_000);
      cluster.assertNoViolations(
        `${fault} ${cancelDelayMs} ms before the cancellation, ends after ${recoveryDelayMs} ms`,
      );
      assert.equal(
        countRunningNextTasks(cluster),
        24,
        `the quotas are used again:\n${cluster.traceLines.join('\n')}`,
      );
    }
  });
}

for (const fault of ['hang', 'cut'] as const) {
  test(`teams at their quota, the leader stops, machines with a fault (${fault}), then a cancellation`, async () => {
    for (const [cancelDelayMs, recoveryDelayMs] of [
      [0, 5000],
      [10, 9000],
      [400, 14_000],
      [3000, 30_000],
    ] as const) {
      const cluster = await clusterWithTeamsAtQuota();
      const faultyMachines = ['req-red', 'req-blue'].flatMap((job) => machinesOfShard(cluster, 0, job));
      injectFault(cluster, fault, faultyMachines);
      cluster.clock.after(recoveryDelayMs, () => recover(cluster, faultyMachines));
      const cancelAll = (): void => ['req-red', 'req-blue'].forEach((job) => cluster.cancel(job, 1));
      const running = await stopLeader(cluster, () => cluster.clock.after(cancelDelayMs, cancelAll));
      assert.equal(running, 24, 'no task had ended at the failover');
      await cluster.step(60_000);
      assert.ok(bothCancelled(cluster));
      cluster.assertNoViolations(
        `cancelled ${cancelDelayMs} ms after the failover, ${fault} ends ${recoveryDelayMs} ms after it began`,
      );
      assert.equal(
        countRunningNextTasks(cluster),
        24,
        `the quotas are used again:\n${cluster.traceLines.join('\n')}`,
      );
    }
  });
}

test('all leaders stop, a new leader learns of running tasks of cancelled jobs, and the machines of these tasks hang', async () => {
  for (const hangMs of [3000, 9000, 25_000]) {
    const cluster = await clusterWithTeamsAtQuota();
    const holders = cluster.machinesRunning('req-red').concat(cluster.machinesRunning('req-blue'));
    injectFault(cluster, 'cut', holders);
    for (const team of ['red', 'blue']) cluster.cancel(`req-${team}`, 1);
    await cluster.until('both are cancelled', () => bothCancelled(cluster));
    for (const node of NODES) cluster.killNode(node);
    let hanging = 0;
    for (const machine of holders) {
      cluster.machinesWithLostHeartbeats.add(machine);
      hangWhenCalled(cluster, machine, () => {
        hanging += 1;
        cluster.clock.after(hangMs, () => recover(cluster, [machine]));
        cluster.clock.after(hangMs, () => cluster.machinesWithLostHeartbeats.delete(machine));
      });
    }
    cluster.heal(holders);
    await cluster.start();
    await cluster.until('all machines have received a command and hang', () => hanging === holders.length);
    assert.equal(cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue'), 24);
    await cluster.step(60_000);
    cluster.assertNoViolations(`hanging for ${hangMs} ms`);
    assert.equal(
      countRunningNextTasks(cluster),
      24,
      `the quotas are used again:\n${cluster.traceLines.join('\n')}`,
    );
  }
});

/** Lets the machine hang after its answer to the first command of a new leader; the answer lists its tasks. */
function hangWhenCalled(cluster: FaultInjectionCluster, machine: string, onHang: () => void): void {
  const worker = cluster.worker(machine);
  const receive = worker.receive.bind(worker);
  worker.receive = (call) => {
    const outcome = receive(call);
    if (call.path !== '/orders') return outcome;
    worker.receive = receive;
    injectFault(cluster, 'hang', [machine]);
    onHang();
    return outcome;
  };
}

test('a cancellation at every moment around the failover, with launches of the old leader in flight', async () => {
  // When the cancellation is requested, and how long the failover takes to commit (milliseconds).
  for (const [cancelDelayMs, commitDelayMs] of [
    [0, 0],
    [0, 4],
    [0, 8],
    [0, 60],
    [40, 0],
    [400, 0],
    [2500, 0],
  ] as const) {
    for (const launchDelayMs of [1500, 4000, 9000])
      await cancelAroundFailover(cancelDelayMs, commitDelayMs, launchDelayMs);
  }
});

async function cancelAroundFailover(
  cancelDelayMs: number,
  commitDelayMs: number,
  launchDelayMs: number,
): Promise<void> {
  const cluster = await startCluster(4, 2);
  let delayedCommands = 0;
  cluster.commandDelayMs = (node) => {
    if (node !== 0) return null;
    delayedCommands += 1;
    return launchDelayMs;
  };
  await cluster.submit(0, 'req-kept', { tasks: 4, zone: 'east', runMs: 60_000 });
  await cluster.submit(0, 'req-over', { tasks: 4, zone: 'east', runMs: 60_000 });
  await cluster.until('launches of n0 are in transit', () => delayedCommands > 0);
  let failedOver = false;
  whenFailoverArrives(cluster, commitDelayMs, () => {
    failedOver = true;
    cluster.clock.after(cancelDelayMs, () => cluster.cancel('req-over', 1));
  });
  cluster.killNode(0);
  await cluster.until('the failover is in progress', () => failedOver);
  await cluster.step(45_000);
  cluster.assertNoViolations(
    `cancelled at ${cancelDelayMs} ms, failover committed after ${commitDelayMs} ms, launches ${launchDelayMs} ms late`,
  );
  assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
  assert.equal(cluster.countRunningTasks('req-over'), 0);
  assert.equal(
    cluster.countRunningTasks('req-kept'),
    4,
    `the job that was not cancelled runs:\n${cluster.traceLines.join('\n')}`,
  );
}
