/**
 * Writes of a controller's membership key that are applied late: a controller ends right after its start and is back at
 * once, and a transaction of the ended process replaces or removes the key of the new one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadProductionBuild, WORKING_BUILD, type ControllerBuild } from '../support/controller-builds.js';
import type { TransactionBody } from '../support/fake-store.js';
import { SMALL_CLUSTER, SimulatedCluster } from '../support/simulated-cluster.js';

const KEY = 'c/alive/n0';
const KILL_AFTER_MS = 300;
const RESTART_DELAY_MS = 100;
/** Time for all controllers to lead their home shards, after the faults have ended. */
const SETTLING_MS = 15_000;
const OBSERVED_MS = 100_000;
/** Before, during and after the restart; the lease of the ended process expires about 3 s after the write. */
const LATEST_HOLD_MS = 2800;
const HOLD_TIMES_MS = [200, 600, 1000, 2050, LATEST_HOLD_MS];
const SERVICE_START_MS = 5000;
/** No job may wait for longer while a machine that fits has room. */
const MAX_WAITING_MS = 90_000;
const MACHINE_CPUS = 8;
/** Two replicas fit on a machine. */
const REPLICA_CPUS = 3;

const writesKey = (body: TransactionBody, key: string): boolean =>
  (body.apply ?? []).some((change) => change.put === key);

/** A cluster that counts how often a shard changes its leader. */
class ObservedCluster extends SimulatedCluster {
  leaderChanges = 0;

  constructor() {
    super(SMALL_CLUSTER);
    this.store.onTransactionApplied = (body) => {
      for (const change of body.apply ?? []) if (change.put?.startsWith('c/parts/')) this.leaderChanges += 1;
    };
  }

  leaderOf(shard: number): string | null {
    return (this.store.entries.get(`c/parts/${shard}`)?.data as { owner: string | null }).owner;
  }

  membershipOf(node: number): unknown {
    return this.store.entries.get(`c/alive/n${node}`)?.data;
  }
}

/**
 * Ends the first controller while its first write of the membership key is held back, and starts it again at once.
 * @param firstBuild the build that the ended process runs
 */
async function restartDuringMembershipWrite(
  holdMs: number,
  firstBuild: ControllerBuild,
): Promise<ObservedCluster> {
  const cluster = new ObservedCluster();
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('large', zone);
  let isHeld = false;
  cluster.buildOf = (node) => (node === 0 && !isHeld ? firstBuild : WORKING_BUILD);
  cluster.store.transactionFate = (_, body) => {
    if (isHeld || !writesKey(body, KEY)) return 'normal';
    isHeld = true;
    cluster.clock.after(KILL_AFTER_MS, () => cluster.killNode(0));
    cluster.clock.after(KILL_AFTER_MS + RESTART_DELAY_MS, () => void cluster.startNode(0));
    return { holdMs };
  };
  await cluster.start();
  await cluster.step(SETTLING_MS);
  assert.ok(isHeld);
  return cluster;
}

async function assertLeadershipRests(cluster: ObservedCluster, holdMs: number): Promise<void> {
  cluster.leaderChanges = 0;
  await cluster.step(OBSERVED_MS);
  const leaders = cluster.config.zones.map((_, shard) => cluster.leaderOf(shard));
  assert.equal(cluster.leaderChanges, 0, `held for ${holdMs} ms: ${leaders.join()}`);
  assert.deepEqual(leaders, ['n0', 'n1', 'n2'], `held for ${holdMs} ms`);
  // The first process is n0-1, and its end counts as an incarnation.
  assert.deepEqual(cluster.membershipOf(0), { incarnation: 'n0-3' }, `held for ${holdMs} ms`);
}

// A late write of an ended process replaced the key of its successor and expired: the shard changed hands without end.
test('a late write of an ended process does not make leadership change hands without end', async () => {
  for (const holdMs of HOLD_TIMES_MS)
    await assertLeadershipRests(await restartDuringMembershipWrite(holdMs, WORKING_BUILD), holdMs);
});

// The version in production writes the key without a condition, so that its late write does replace the key.
test('during an upgrade, a late write of an ended process of the earlier version does not either', async () => {
  const production = await loadProductionBuild();
  for (const holdMs of HOLD_TIMES_MS)
    await assertLeadershipRests(await restartDuringMembershipWrite(holdMs, production), holdMs);
});

// The waiting times of a new leader never passed, since each led for less than a second.
test('a service that fits only on one machine starts after a late write of an ended process', async () => {
  const cluster = await restartDuringMembershipWrite(LATEST_HOLD_MS, WORKING_BUILD);
  const service = { service: true, priority: 'critical', runMs: 600_000 };
  for (const node of [1, 2])
    await cluster.submit(node, `req-filler-${node}`, { ...service, cpus: MACHINE_CPUS });
  await cluster.step(SERVICE_START_MS);
  for (const image of ['img-1', 'img-2']) {
    const job = `req-${image}`;
    await cluster.submit(0, job, { ...service, team: 'blue', cpus: REPLICA_CPUS, image });
    await cluster.step(MAX_WAITING_MS);
    const running = [...cluster.workers.values()].flatMap((worker) => worker.runningTasks());
    assert.ok(
      running.some((task) => task.taskId === `${job}/0`),
      `${job} runs beside ${running.map((task) => task.taskId).join()}`,
    );
  }
});
