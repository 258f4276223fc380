/** Rolls of an upgrade drawn from seeds: any order, one or several at a time, crashes, stopped half-way, rolled back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomStream } from '../../src/simulation/random.js';
import { loadProductionBuild, WORKING_BUILD, type ControllerBuild } from '../support/controller-builds.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';

const production = await loadProductionBuild();

const FIVE_CONTROLLERS: ClusterConfig = { ...SMALL_CLUSTER, zones: ['east', 'east', 'west', 'west', 'east'] };
/** Beyond all leases, retries and waits of this deployment. */
const SETTLE_TIME_MS = 90_000;

/** What becomes of a job: an array, a gang, a service, and one of each of the first two that its user cancels. */
const KINDS = ['array', 'gang', 'service', 'cancelled array', 'cancelled gang'] as const;
type Kind = (typeof KINDS)[number];

class RollingUpgrade {
  readonly cluster: SimulatedCluster;
  private readonly builds: ControllerBuild[];
  private readonly jobs = new Map<string, Kind>();

  constructor(
    shape: ClusterConfig,
    private readonly random: RandomStream,
  ) {
    this.cluster = new SimulatedCluster(shape);
    this.builds = shape.zones.map(() => production);
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

  /** A few jobs through any controllers; some are cancelled through others while they gather or run. */
  async submitJobs(round: number): Promise<void> {
    const { cluster, random } = this;
    for (const kind of KINDS) {
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

  /** Ends these controllers together; they come back with a version, each after a while of its own. */
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

  /** A controller ends out of turn, and comes back with the version that it had. */
  async crash(): Promise<void> {
    const node = this.random.pick(this.aliveNodes);
    await this.restart([node], this.builds[node] ?? production);
  }

  /** Upgrades some, one or several at a time, with work and a crash between. */
  async upgrade(order: readonly number[]): Promise<void> {
    const left = [...order];
    for (let round = 1; left.length > 0; round += 1) {
      await this.restart(left.splice(0, this.random.pick([1, 1, 2])), WORKING_BUILD);
      await this.submitJobs(round);
      if (this.random.chance(0.4)) await this.crash();
    }
  }

  /** No rule is broken, and everybody tells every user what became of the job. */
  async assertAllEnded(): Promise<void> {
    const { cluster } = this;
    for (const [id, kind] of this.jobs)
      if (kind.startsWith('cancelled'))
        await cluster.sendUserRequest(this.random.pick(this.aliveNodes), 'POST', `/v2/runs/${id}/abort`);
    await cluster.step(SETTLE_TIME_MS);
    assert.ok(this.jobs.size >= 2 * KINDS.length, `${this.jobs.size} jobs accepted`);
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
  shape: ClusterConfig,
  seed: number,
): Promise<{ roll: RollingUpgrade; order: number[]; random: RandomStream }> {
  const random = new RandomStream(seed);
  const roll = new RollingUpgrade(shape, random);
  await roll.start();
  await roll.submitJobs(0);
  const order = random.sample([...shape.zones.keys()], shape.zones.length);
  return { roll, order, random };
}

for (const [controllers, shape] of [
  [3, SMALL_CLUSTER],
  [5, FIVE_CONTROLLERS],
] as const) {
  test(`${controllers} controllers are upgraded in drawn orders, with crashes in between`, async () => {
    for (const seed of [1, 2, 3]) {
      const { roll, order } = await startUpgrade(shape, seed);
      await roll.upgrade(order);
      await roll.assertAllEnded();
    }
  });

  test(`${controllers} controllers: a roll is stopped half-way for long and rolled back`, async () => {
    for (const seed of [11, 12]) {
      const { roll, order, random } = await startUpgrade(shape, seed);
      const upgraded = order.slice(0, Math.ceil(order.length / 2));
      await roll.upgrade(upgraded);
      await roll.cluster.step(60_000);
      await roll.submitJobs(8);
      for (const node of random.sample(upgraded, upgraded.length)) await roll.restart([node], production);
      await roll.submitJobs(9);
      await roll.assertAllEnded();
    }
  });

  test(`${controllers} controllers: one is away for the whole roll and comes back old`, async () => {
    for (const seed of [21, 22]) {
      const { roll, order } = await startUpgrade(shape, seed);
      const [away = 0, ...others] = order;
      roll.cluster.killNode(away);
      await roll.upgrade(others);
      await roll.restart([away], production);
      await roll.submitJobs(9);
      await roll.assertAllEnded();
    }
  });
}
