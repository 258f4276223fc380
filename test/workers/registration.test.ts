/** Tests that many machines are registered despite a low write limit, and that no waiting machine is deleted. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';

const MACHINES = 240;
/** Registering all machines takes longer than the boot time after which an unregistered machine is deleted. */
const SLOW_STORE_CLUSTER: ClusterConfig = {
  ...SMALL_CLUSTER,
  storeLimits: { ...SMALL_CLUSTER.storeLimits, writeRps: 5, enforced: true },
  tuning: 'fleet.idle.return.ms = 3600000',
  recordHeartbeats: false,
};

test('machines that wait to be registered are not deleted as unused', async () => {
  const cluster = new SimulatedCluster(SLOW_STORE_CLUSTER);
  for (let i = 0; i < MACHINES; i += 1) cluster.addWorker('small', i % 3 === 2 ? 'west' : 'east');
  await cluster.start();
  await cluster.step(120_000);
  const registered = [...cluster.store.entries.keys()].filter((key) => key.startsWith('c/machines/')).length;
  assert.equal(cluster.observed.deletions, 0);
  assert.equal(registered, MACHINES);
  assert.deepEqual(cluster.violations, []);
});
