/**
 * Rolling upgrades drawn from seeds: in any order, one or two controllers at a time, with crashes, stopped half-way or
 * rolled back.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomStream } from '../../src/simulation/random.js';
import { loadProductionBuild, WORKING_BUILD, type ControllerBuild } from '../support/controller-builds.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';

const production = await loadProductionBuild();

const FIVE_CONTROLLERS: ClusterConfig = { ...SMALL_CLUSTER, zones: ['east', 'east', 'west', 'west', 'east'] };
/** Longer than all leases, retries and waits of this deployment. */
const SETTLE_TIME_MS = 90_000;

/** Kinds of submitted jobs; the cancelled ones are cancelled by their user. */
const JOB_KINDS = ['array', 'gang', 'service', 'cancelled array', 'cancelled gang'] as const;
type JobKind = (typeof JOB_KINDS)[number];

class RollingUpgrade {
  readonly cluster: SimulatedCluster;
  private readonly builds: ControllerBuild[];
  private readonly jobs = new Map<string, JobKind>();

  constructor(
    config: ClusterConfig,
    private readonly random: RandomStream,
  ) {
    this.cluster = new SimulatedCluster(config);
    this.builds = config.zones.map(() => production);
    this.cluster.buildOf = (node) => this.builds[node] ?? production;
  }

  async start(): Promise<void> {
    const { cluster } = this;
    for (let i = 0; i < 10; i += 1)
      cluster.addWorker(i % 2 ? 'small' : 'large', i % 3 === 2 ? 'west' : 'east');
    await cluster.start();
  }

  private get aliveNodes(): number[] {
    return this.cluster.nodes.map((_, node) => node).filter((node) => this.cluster.nodes[node]?.handler);
  }

  /** Submits a job of each kind at random controllers, and cancels the cancelled kinds while they gather or run. */
  async submitJobs(round: number): Promise<void> {
    const { cluster, random } = this;
    for (const kind of JOB_KINDS) {
      const id = `req-${kind.replace(' ', '-')}${round}`;
      const gang = kind.endsWith('gang');
      const options = {
        tasks: gang ? 3 : 2,
        gang,
        service: kind === 'service',
        cpus: 1,
        runMs: 5000,
        checkpointDurationS: 1,
      };
      const { status } = await cluster.submit(random.pick(this.aliveNodes), id, options);
      if (status === 200 || status === 201) this.jobs.set(id, kind);
      await cluster.step(random.integer(0, 900));
    }
    for (const [id, kind] of this.jobs)
      if (kind.startsWith('cancelled') && id.endsWith(String(round)))
        await cluster.sendUserRequest(random.pick(this.aliveNodes), 'POST', `/v2/runs/${id}/abort`);
  }

  /** Kills these controllers together, waits 0.2 to 9 s, and starts them with a build. */
  async restart(nodes: readonly number[], build: ControllerBuild): Promise<void> {
    const { cluster, random } = this;
    for (const node of nodes) if (cluster.nodes[node]?.handler) cluster.killNode(node);
    await cluster.step(random.pick([200, 1500, 9000]));
    for (const node of nodes) {
      this.builds[node] = build;
      await cluster.startNode(node);
    }
    await cluster.step(random.integer(500, 6000));
  }

  /** Kills a random controller and restarts it with the build that it had. */
  async crash(): Promise<void> {
    const node = this.random.pick(this.aliveNodes);
    await this.restart([node], this.builds[node] ?? production);
  }

  /** Upgrades these controllers, one or two at a time, with new jobs after each step and a crash after some. */
  async upgrade(order: readonly number[]): Promise<void> {
    const remaining = [...order];
    for (let round = 1; remaining.length > 0; round += 1) {
      await this.restart(remaining.splice(0, this.random.pick([1, 1, 2])), WORKING_BUILD);
      await this.submitJobs(round);
      if (this.random.chance(0.4)) await this.crash();
    }
  }

  /** Checks that no invariant is violated and that every controller reports the expected status of every job. */
  async assertExpectedStatuses(): Promise<void> {
    const { cluster } = this;
    for (const [id, kind] of this.jobs)
      if (kind.startsWith('cancelled'))
        await cluster.sendUserRequest(this.random.pick(this.aliveNodes), 'POST', `/v2/runs/${id}/abort`);
    await cluster.step(SETTLE_TIME_MS);
    assert.ok(this.jobs.size >= 2 * JOB_KINDS.length, `${this.jobs.size} jobs accepted`);
    for (const node of this.aliveNodes) {
      for (const [id, kind] of this.jobs) {
        const { body } = await cluster.sendUserRequest(node, 'GET', `/v2/runs/${id}`);
        const expected =
          kind === 'service' ? ['running'] : kind.startsWith('cancelled') ? ['cancelled', 'done'] : ['done'];
        assert.ok(expected.includes(String(body['status'])), `${id} at ${node}: ${String(body['status'])}`);
      }
    }
    assert.deepEqual(cluster.violations, []);
  }
}

async function startUpgrade(
  config: ClusterConfig,
  seed: number,
): Promise<{ rollout: RollingUpgrade; order: number[]; random: RandomStream }> {
  const random = new RandomStream(seed);
  const rollout = new RollingUpgrade(config, random);
  await rollout.start();
  await rollout.submitJobs(0);
  const order = random.sample([...config.zones.keys()], config.zones.length);
  return { rollout, order, random };
}

for (const [controllers, config] of [
  [3, SMALL_CLUSTER],
  [5, FIVE_CONTROLLERS],
] as const) {
  test(`${controllers} controllers are upgraded in random orders, with crashes in between`, async () => {
    for (const seed of [1, 2, 3]) {
      const { rollout, order } = await startUpgrade(config, seed);
      await rollout.upgrade(order);
      await rollout.assertExpectedStatuses();
    }
  });

  test(`${controllers} controllers: an upgrade is stopped half-way for a minute and rolled back`, async () => {
    for (const seed of [11, 12]) {
      const { rollout, order, random } = await startUpgrade(config, seed);
      const upgraded = order.slice(0, Math.ceil(order.length / 2));
      await rollout.upgrade(upgraded);
      await rollout.cluster.step(60_000);
      await rollout.submitJobs(8);
      for (const node of random.sample(upgraded, upgraded.length)) await rollout.restart([node], production);
      await rollout.submitJobs(9);
      await rollout.assertExpectedStatuses();
    }
  });

  test(`${controllers} controllers: one is down for the whole upgrade and restarts with the old build`, async () => {
    for (const seed of [21, 22]) {
      const { rollout, order } = await startUpgrade(config, seed);
      const [downNode = 0, ...others] = order;
      rollout.cluster.killNode(downNode);
      await rollout.upgrade(others);
      await rollout.restart([downNode], production);
      await rollout.submitJobs(9);
      await rollout.assertExpectedStatuses();
    }
  });
}
