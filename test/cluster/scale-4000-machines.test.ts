/** 4,000 machines of two CPU types on three controllers, for a cluster lifetime. */
import { test } from 'node:test';
import { LARGE_CLUSTER, runScaleScenario } from '../support/scale-scenario.js';

test('4,000 machines on three controllers: every invariant and limit holds', async () => {
  const teams = LARGE_CLUSTER.teams.map((team) => ({ ...team, cpus: 5000, cpusMax: 13_000 }));
  await runScaleScenario({ ...LARGE_CLUSTER, teams }, 4000);
});
