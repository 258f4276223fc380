/** 4,000 machines of 8 GPUs on five controllers, through a whole life; and with all controllers but one gone. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  runWorkload,
  GPU_CLUSTER,
  GPU_WORKLOAD,
  runScaleScenario,
  countRunningTasks,
  type Workload,
} from '../support/scale-scenario.js';
import type { ClusterConfig } from '../support/simulated-cluster.js';

const MACHINES = 4000;
const GPUS_PER_MACHINE = 8;

const CONFIG: ClusterConfig = {
  ...GPU_CLUSTER,
  // The smaller deployment has 25: its run at this size was before registrations were queued, and failed.
  storeLimits: { ...GPU_CLUSTER.storeLimits, writeRps: 40 },
  teams: GPU_CLUSTER.teams.map((team) => ({ ...team, gpus: 6000, gpusMax: 20_000 })),
};
/** Tasks that run longer: 8 on each machine, without more starts a second than in the smaller deployment. */
const WORKLOAD: Workload = {
  ...GPU_WORKLOAD,
  service: { ...GPU_WORKLOAD.service, tasks: 16 },
  array: { ...GPU_WORKLOAD.array, tasks: 300, runMs: 120_000 },
};

test('4,000 machines of 8 GPUs: every invariant and limit holds, also with one controller left', async () => {
  const cluster = await runScaleScenario(CONFIG, MACHINES, WORKLOAD);
  const full = [...cluster.workers.values()].filter(
    (m) => m.runningTasks().length === GPUS_PER_MACHINE,
  ).length;
  assert.ok(full > 0.6 * MACHINES, `${full} machines have ${GPUS_PER_MACHINE} tasks`);

  const ran = countRunningTasks(cluster);
  const counts = { asked: 100_000, accepted: 0, refused: 0 };
  const from = counts.asked;
  for (const node of [0, 1, 2, 3]) cluster.killNode(node);
  await runWorkload(cluster, Math.ceil(CONFIG.leaseS) + 30, counts, [], WORKLOAD);
  assert.equal((await cluster.sendUserRequest(4, 'GET', '/up')).status, 200);
  assert.ok(
    countRunningTasks(cluster) > 0.6 * ran,
    `${countRunningTasks(cluster)} of ${ran} tasks run on one controller`,
  );
  assert.ok(counts.refused <= 0.2 * (counts.asked - from), `${counts.refused} submissions refused`);
  assert.deepEqual(cluster.violations, []);
});
