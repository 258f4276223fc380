/** Deleted machines and their records in the store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SMALL_CLUSTER, SimulatedCluster } from '../support/simulated-cluster.js';

const IDLE_RETURN_MS = 10_000;
const OUTAGE_MS = 60_000;
/** Enough for a deletion, and for the retries after an outage. */
const SETTLING_MS = 30_000;

const recordsOf = (cluster: SimulatedCluster): string[] =>
  [...cluster.store.entries.keys()].filter((key) => key.startsWith('c/machines/'));

// The record of a deleted machine stayed for good if the store did not answer for ten seconds after the deletion.
test('the record of a deleted machine is deleted after an outage of the store, however long that lasts', async () => {
  const cluster = new SimulatedCluster({
    ...SMALL_CLUSTER,
    tuning: `fleet.idle.return.ms = ${IDLE_RETURN_MS}`,
  });
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('small', zone);
  await cluster.start();
  assert.equal(recordsOf(cluster).length, 3);
  for (let waitedMs = 0; cluster.workers.size === 3 && waitedMs < SETTLING_MS; waitedMs += 10)
    await cluster.step(10);
  assert.ok(cluster.workers.size < 3, 'an idle machine is deleted');
  cluster.store.outage = true;
  await cluster.step(OUTAGE_MS);
  cluster.store.endOutage();
  await cluster.step(SETTLING_MS);
  const machines = [...cluster.workers.keys()].map((id) => `c/machines/${id}`);
  assert.deepEqual(recordsOf(cluster).sort(), machines.sort());
});
