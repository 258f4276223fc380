/** A cluster in which controllers of different builds run side by side, with jobs of which one is cancelled in each round. */
import assert from 'node:assert/strict';
import type { ControllerBuild } from './controller-builds.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from './simulated-cluster.js';

/** Starts a cluster whose controllers all run a build; `builds` selects the build of each node at its next start. */
export async function startClusterOf(
  build: ControllerBuild,
  config: ClusterConfig = SMALL_CLUSTER,
): Promise<{ cluster: SimulatedCluster; builds: ControllerBuild[] }> {
  const cluster = new SimulatedCluster(config);
  const builds = config.zones.map(() => build);
  cluster.buildOf = (node) => builds[node] ?? build;
  for (let i = 0; i < 6; i += 1) cluster.addWorker(i % 2 ? 'small' : 'large', i % 3 === 2 ? 'west' : 'east');
  await cluster.start();
  return { cluster, builds };
}

/** Submits three jobs through different nodes, and cancels one of them through another node. */
export async function submitJobs(cluster: SimulatedCluster, round: number): Promise<void> {
  const aliveNodes = cluster.nodes.map((_, node) => node).filter((node) => cluster.nodes[node]?.handler);
  const pickNode = (i: number): number => aliveNodes[i % aliveNodes.length] ?? 0;
  await cluster.submit(pickNode(round), `req-a${round}`, { tasks: 3, runMs: 4000 });
  await cluster.submit(pickNode(round + 1), `req-s${round}`, {
    service: true,
    tasks: 1,
    cpus: 1,
    team: 'blue',
  });
  await cluster.submit(pickNode(round + 2), `req-c${round}`, { tasks: 2, runMs: 30_000, team: 'blue' });
  await cluster.step(1000);
  await cluster.sendUserRequest(pickNode(round + 1), 'POST', `/v2/runs/req-c${round}/abort`);
}

/** Ends a node and starts it again with the build that is selected for it. */
export async function restart(cluster: SimulatedCluster, node: number): Promise<void> {
  cluster.killNode(node);
  await cluster.step(1500);
  await cluster.startNode(node);
  await cluster.step(2500);
}

/** Fails unless the jobs of all rounds have ended as submitted, by every node's answer, and no rule was violated. */
export async function assertAllDone(cluster: SimulatedCluster, rounds: number): Promise<void> {
  await cluster.step(25_000);
  for (let round = 0; round < rounds; round += 1) {
    for (const node of cluster.nodes.keys()) {
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-a${round}`)).body['status'],
        'done',
      );
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-c${round}`)).body['status'],
        'cancelled',
      );
      assert.equal(
        (await cluster.sendUserRequest(node, 'GET', `/v2/runs/req-s${round}`)).body['status'],
        'running',
      );
    }
  }
  assert.deepEqual(cluster.violations, []);
}
