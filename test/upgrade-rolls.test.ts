/** Rolls of an upgrade drawn from seeds: any order, one or several at a time, crashes, stopped half-way, rolled back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomStream } from '../src/simulation/random.js';
import { productionBuild, WORKING, type Build } from './standins/builds.js';
import { SMALL, World, type Shape } from './standins/world.js';

const production = await productionBuild();

const FIVE: Shape = { ...SMALL, zones: ['east', 'east', 'west', 'west', 'east'] };
/** Beyond all leases, retries and waits of this deployment. */
const SETTLES_MS = 90_000;

/** What becomes of a job: an array, a gang, a service, and one of each of the first two that its user cancels. */
const KINDS = ['array', 'gang', 'service', 'cancelled array', 'cancelled gang'] as const;
type Kind = (typeof KINDS)[number];

class Roll {
  readonly w: World;
  private readonly version: Build[];
  private readonly jobs = new Map<string, Kind>();

  constructor(
    shape: Shape,
    private readonly random: RandomStream,
  ) {
    this.w = new World(shape);
    this.version = shape.zones.map(() => production);
    this.w.buildOf = (n) => this.version[n] ?? production;
  }

  async start(): Promise<void> {
    const { w } = this;
    for (let i = 0; i < 10; i += 1) w.addWorker(i % 2 ? 'small' : 'large', i % 3 === 2 ? 'west' : 'east');
    await w.start();
  }

  private get alive(): number[] {
    return this.w.nodes.map((_, n) => n).filter((n) => this.w.nodes[n]?.handler);
  }

  /** A few jobs through any controllers; some are cancelled through others while they gather or run. */
  async work(round: number): Promise<void> {
    const { w, random } = this;
    for (const kind of KINDS) {
      const id = `req-${kind.replace(' ', '-')}${round}`;
      const gang = kind.endsWith('gang');
      const options = {
        tasks: gang ? 3 : 2,
        gang,
        service: kind === 'service',
        cpus: 1,
        runMs: 5000,
        saveS: 1,
      };
      const { status } = await w.submit(random.pick(this.alive), id, options);
      if (status === 200 || status === 201) this.jobs.set(id, kind);
      await w.step(random.integer(0, 900));
    }
    for (const [id, kind] of this.jobs)
      if (kind.startsWith('cancelled') && id.endsWith(String(round)))
        await w.ask(random.pick(this.alive), 'POST', `/v2/runs/${id}/abort`);
  }

  /** Ends these controllers together; they come back with a version, each after a while of its own. */
  async restart(nodes: readonly number[], build: Build): Promise<void> {
    const { w, random } = this;
    for (const n of nodes) if (w.nodes[n]?.handler) w.killNode(n);
    await w.step(random.pick([200, 1500, 9000]));
    for (const n of nodes) {
      this.version[n] = build;
      await w.startNode(n);
    }
    await w.step(random.integer(500, 6000));
  }

  /** A controller ends out of turn, and comes back with the version that it had. */
  async crash(): Promise<void> {
    const n = this.random.pick(this.alive);
    await this.restart([n], this.version[n] ?? production);
  }

  /** Upgrades some, one or several at a time, with work and a crash between. */
  async upgrade(order: readonly number[]): Promise<void> {
    const left = [...order];
    for (let round = 1; left.length > 0; round += 1) {
      await this.restart(left.splice(0, this.random.pick([1, 1, 2])), WORKING);
      await this.work(round);
      if (this.random.chance(0.4)) await this.crash();
    }
  }

  /** No rule is broken, and everybody tells every user what became of the job. */
  async ends(): Promise<void> {
    const { w } = this;
    for (const [id, kind] of this.jobs)
      if (kind.startsWith('cancelled'))
        await w.ask(this.random.pick(this.alive), 'POST', `/v2/runs/${id}/abort`);
    await w.step(SETTLES_MS);
    assert.ok(this.jobs.size >= 2 * KINDS.length, `${this.jobs.size} jobs accepted`);
    for (const n of this.alive) {
      for (const [id, kind] of this.jobs) {
        const { body } = await w.ask(n, 'GET', `/v2/runs/${id}`);
        const expected =
          kind === 'service' ? ['running'] : kind.startsWith('cancelled') ? ['cancelled', 'done'] : ['done'];
        assert.ok(expected.includes(String(body['status'])), `${id} at ${n}: ${String(body['status'])}`);
      }
    }
    assert.deepEqual(w.broken, []);
  }
}

async function rollOf(
  shape: Shape,
  seed: number,
): Promise<{ roll: Roll; order: number[]; random: RandomStream }> {
  const random = new RandomStream(seed);
  const roll = new Roll(shape, random);
  await roll.start();
  await roll.work(0);
  const order = random.sample([...shape.zones.keys()], shape.zones.length);
  return { roll, order, random };
}

for (const [controllers, shape] of [
  [3, SMALL],
  [5, FIVE],
] as const) {
  test(`${controllers} controllers are upgraded in drawn orders, with crashes in between`, async () => {
    for (const seed of [1, 2, 3]) {
      const { roll, order } = await rollOf(shape, seed);
      await roll.upgrade(order);
      await roll.ends();
    }
  });

  test(`${controllers} controllers: a roll is stopped half-way for long and rolled back`, async () => {
    for (const seed of [11, 12]) {
      const { roll, order, random } = await rollOf(shape, seed);
      const upgraded = order.slice(0, Math.ceil(order.length / 2));
      await roll.upgrade(upgraded);
      await roll.w.step(60_000);
      await roll.work(8);
      for (const n of random.sample(upgraded, upgraded.length)) await roll.restart([n], production);
      await roll.work(9);
      await roll.ends();
    }
  });

  test(`${controllers} controllers: one is away for the whole roll and comes back old`, async () => {
    for (const seed of [21, 22]) {
      const { roll, order } = await rollOf(shape, seed);
      const [away = 0, ...others] = order;
      roll.w.killNode(away);
      await roll.upgrade(others);
      await roll.restart([away], production);
      await roll.work(9);
      await roll.ends();
    }
  });
}
