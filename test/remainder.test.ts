/** Pieces of a team's limit that are too small for any waiting task come together, and do not go back and forth. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED, type Resources } from '../src/model/resources.js';
import { Shard, syncJob } from '../src/shards/model.js';
import { missingForClosestTask } from '../src/quota/quota-remainder.js';
import { RangeSet } from '../src/model/ranges.js';
import type { ShardId, SteadyMs, TeamId } from '../src/model/units.js';
import { settle } from './standins/clock.js';
import { deskOf } from './standins/desk.js';
import { plainSpec, plainTeam } from './standins/spec.js';

const RED = 'red' as TeamId;
const STEP = 500;

interface Situation {
  /** By part, of the limited resource. */
  readonly share: readonly number[];
  readonly used: readonly number[];
  /** By part, what a waiting task takes. */
  readonly size: readonly number[];
  readonly kind?: 'cpus' | 'gpus';
}

/** Parts of one controller, all with tasks that wait for their team's limit. */
class Situated {
  private readonly parts: Shard[];
  private readonly kind: 'cpus' | 'gpus';
  private readonly desk: ReturnType<typeof deskOf>;
  private now = 1_000_000;
  /** How often the shares have changed. */
  moves = 0;

  constructor({ share, used, size, kind = 'cpus' }: Situation) {
    this.kind = kind;
    this.parts = share.map((_, id) => {
      const shard = new Shard(id as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
      shard.reconciled = true;
      shard.totals.countTask(this.task(used[id] ?? 0), 1);
      this.wait(shard, size[id] ?? 0);
      return shard;
    });
    const limit = share.reduce((sum, n) => sum + n, 0);
    const team = plainTeam({ [`${kind}Max`]: limit });
    const shares: Resources[] = share.map((n) => ({ ...UNLIMITED, [kind]: n }));
    this.desk = deskOf(team, this.parts, share.length, () => this.now, shares);
  }

  private task(size: number): ReturnType<typeof plainSpec> {
    return plainSpec({ cpus: 1, [this.kind]: size });
  }

  private wait(shard: Shard, size: number): void {
    const spec = { ...this.task(size), id: `req-${shard.id}-${size}`, tasks: 10 };
    const assignments = [{ from: 0, to: 10, shard: shard.id, zone: null }];
    const record = { spec, assignments, done: RangeSet.empty() } as never;
    syncJob(shard, record, 2 as never, this.now as SteadyMs, false);
  }

  /** Each of these parts asks in turn, again and again for so long. */
  async ask(forMs: number, ...who: number[]): Promise<number[]> {
    for (const end = this.now + forMs; this.now < end; this.now += STEP) {
      for (const id of who) {
        const before = this.shares().join();
        const waiting = { cpus: 100, gpus: 100, memoryGb: 10 };
        this.desk.requestQuota(this.parts[id] as Shard, RED, waiting);
        await settle();
        if (this.shares().join() !== before) this.moves += 1;
      }
    }
    return this.shares();
  }

  shares(): number[] {
    return this.parts.map((shard) => this.desk.shardQuota(shard.id, RED)[this.kind]);
  }
}

for (const kind of ['cpus', 'gpus'] as const) {
  test(`two parts with one of ${kind} left each and tasks of two: one of them gets both`, async () => {
    const situation = { share: [19, 29], used: [18, 28], size: [2, 2], kind };
    const lower = new Situated(situation);
    assert.deepEqual(await lower.ask(4000, 0), [19, 29], 'it may still become useful where it is');
    assert.deepEqual(await lower.ask(4000, 0), [20, 28]);
    assert.deepEqual(
      await new Situated(situation).ask(8000, 1),
      [18, 30],
      'to a higher number: it completes a task',
    );
  });
}

test('what a waiting task of the giver fits into stays', async () => {
  const world = new Situated({ share: [19, 29], used: [18, 28], size: [2, 1] });
  assert.deepEqual(await world.ask(20_000, 0), [19, 29]);
});

test('pieces that are too small even together move once, down, and stay', async () => {
  const world = new Situated({ share: [11, 12], used: [10, 10], size: [4, 4] });
  assert.deepEqual(await world.ask(8000, 1), [11, 12], 'one is missing up there as well: no');
  assert.deepEqual(await world.ask(120_000, 0, 1), [13, 10]);
  assert.equal(world.moves, 1);
});

test('three pieces come together on one part, where a task then fits, and stay', async () => {
  const world = new Situated({ share: [1, 1, 1], used: [0, 0, 0], size: [3, 3, 3] });
  const shares = await world.ask(60_000, 0, 1, 2);
  assert.deepEqual([...shares].sort(), [0, 0, 3]);
  const { moves } = world;
  assert.ok(moves <= 3, `${moves} moves`);
  assert.deepEqual(await world.ask(120_000, 0, 1, 2), shares);
  assert.equal(world.moves, moves);
});

test('what is missing is that of the task that comes closest to fitting; of what is unlimited nothing is', () => {
  const left = { ...UNLIMITED, cpus: 1, gpus: 2 };
  const limit = { ...UNLIMITED, cpus: 100, gpus: 8 };
  const large = { cpus: 8, gpus: 2, memoryGb: 64 };
  const gpu = { cpus: 1, gpus: 4, memoryGb: 64 };
  assert.deepEqual(missingForClosestTask(left, [large, gpu], limit), { cpus: 7, gpus: 0, memoryGb: 0 });
  assert.equal(missingForClosestTask(left, [large, { ...gpu, gpus: 2 }], limit), null);
  assert.equal(missingForClosestTask({ ...left, cpus: -Infinity }, [large], limit), null);
});
