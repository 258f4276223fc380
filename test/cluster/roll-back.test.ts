/** The working sources are rolled back to the production build, which takes over what they have written and commanded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeFencingToken, decodeShardRecord, SHARDS_PREFIX, TOKEN_KEY } from '../../src/shards/codec.js';
import { loadProductionBuild, WORKING_BUILD } from '../support/controller-builds.js';
import { assertAllDone, restart, startClusterOf, submitJobs } from '../support/upgrade-cluster.js';

const production = await loadProductionBuild();
const NODES = [0, 1, 2];

test('after a roll back the production build commands machines whose fencing tokens were raised one by one', async () => {
  const { cluster, builds } = await startClusterOf(WORKING_BUILD);
  await submitJobs(cluster, 0);
  await cluster.step(8000);
  const acquired = [...cluster.store.entries]
    .filter(([key]) => key.startsWith(SHARDS_PREFIX))
    .map(([, entry]) => decodeShardRecord(entry.data)?.fencingToken ?? 0);
  const raised = [...cluster.workers.values()].filter(
    ({ fencingToken }) => !acquired.includes(fencingToken as never),
  );
  assert.ok(raised.length > 0, 'a worker has seen a token that no record names');
  const lastIssued = decodeFencingToken(cluster.store.entries.get(TOKEN_KEY)?.data);
  for (const { fencingToken } of cluster.workers.values())
    assert.ok(fencingToken <= lastIssued, 'the next token is above all that workers have seen');
  for (const node of NODES) {
    builds[node] = production;
    await restart(cluster, node);
    await submitJobs(cluster, node + 1);
  }
  await assertAllDone(cluster, NODES.length + 1);
  for (const { fencingToken } of cluster.workers.values())
    assert.ok(fencingToken > lastIssued, 'each worker obeys a production leader');
});
