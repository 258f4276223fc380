/** Lifetimes of clusters 1.5 times as large as the largest in use, on three and five controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GPU_CLUSTER,
  GPU_WORKLOAD,
  LARGE_CLUSTER,
  runScaleScenario,
  TWO_ZONE_CLUSTER,
} from '../support/scale-scenario.js';

test('1,900 machines on three controllers: every invariant and limit holds', async () => {
  await runScaleScenario(LARGE_CLUSTER, 1900);
});

test('940 machines on five controllers in two zones: every invariant and limit holds', async () => {
  await runScaleScenario(TWO_ZONE_CLUSTER, 940);
});

test('975 machines of 8 GPUs on five controllers, 8 tasks on each: every invariant and limit holds', async () => {
  const cluster = await runScaleScenario(GPU_CLUSTER, 975, GPU_WORKLOAD);
  const fullMachines = [...cluster.workers.values()].filter((m) => m.runningTasks().length === 8).length;
  assert.ok(fullMachines > 0.8 * 975, `${fullMachines} machines have 8 tasks`);
});
