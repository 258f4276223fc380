/**
 * Arrays with zone constraints while both builds lead shards. Production counts finished tasks for their zone until the
 * job ends, and moves no task out of no zone; what the working sources write must be safe for it to act on.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadProductionBuild, WORKING_BUILD, type ControllerBuild } from '../support/controller-builds.js';
import type { JobOptions, SimulatedCluster } from '../support/simulated-cluster.js';
import { restart, startClusterOf } from '../support/upgrade-cluster.js';

const production = await loadProductionBuild();

const NODES = [0, 1, 2];
/** Longer than all leases and waits of this deployment, and than the tasks of all jobs one after the other. */
const SETTLE_TIME_MS = 90_000;
const CONSTRAINTS: Readonly<Record<string, JobOptions>> = {
  given: { spread: true, zone: 'east' },
  together: { spread: true, oneZone: true },
  spread: { spread: true },
  one: { oneZone: true },
};

/** A cluster with arrays of each constraint, submitted in rounds. */
class ConstrainedArrays {
  private readonly ids: string[] = [];

  constructor(private readonly cluster: SimulatedCluster) {}

  async submit(round: number): Promise<void> {
    for (const [name, options] of Object.entries(CONSTRAINTS)) {
      const id = `req-${name}${round}`;
      await this.cluster.submit(round % NODES.length, id, {
        tasks: 5,
        cpus: 1,
        runMs: 1500 + 900 * round,
        ...options,
      });
      this.ids.push(id);
    }
    await this.cluster.step(2500);
  }

  async assertDone(): Promise<void> {
    await this.cluster.step(SETTLE_TIME_MS);
    for (const id of this.ids) {
      const { body } = await this.cluster.sendUserRequest(0, 'GET', `/v2/runs/${id}`);
      assert.equal(body['status'], 'done', id);
    }
    assert.deepEqual(this.cluster.violations, []);
  }
}

/** Restarts the nodes one after the other with a build, and submits jobs after each. */
async function replaceBuild(
  cluster: SimulatedCluster,
  builds: ControllerBuild[],
  build: ControllerBuild,
  afterEach: (node: number) => Promise<void>,
): Promise<void> {
  for (const node of NODES) {
    builds[node] = build;
    await restart(cluster, node);
    await afterEach(node);
  }
}

test('arrays with zone constraints from before and during an upgrade run to their end after it', async () => {
  const { cluster, builds } = await startClusterOf(production);
  const arrays = new ConstrainedArrays(cluster);
  await arrays.submit(0);
  await replaceBuild(cluster, builds, WORKING_BUILD, (node) => arrays.submit(node + 1));
  await arrays.assertDone();
});

test('an upgrade is rolled back and repeated while arrays with zone constraints run, and no constraint is violated', async () => {
  const { cluster, builds } = await startClusterOf(WORKING_BUILD);
  const arrays = new ConstrainedArrays(cluster);
  await arrays.submit(0);
  await replaceBuild(cluster, builds, production, (node) => arrays.submit(node + 1));
  assert.deepEqual(cluster.violations, []);
  await replaceBuild(cluster, builds, WORKING_BUILD, (node) => arrays.submit(node + 4));
  await arrays.assertDone();
});
