/** Remainders of a team's quota that are too small for any waiting task are merged, and do not go back and forth. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNLIMITED, type Resources } from '../../src/model/resources.js';
import { Shard } from '../../src/shards/model.js';
import { missingForClosestTask } from '../../src/quota/quota-remainder.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { ShardId, SteadyMs, TeamId } from '../../src/model/units.js';
import { flushPromises } from '../support/simulated-clock.js';
import { createQuotaTransferService } from '../support/quota-transfer-service.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const RED = 'red' as TeamId;
const STEP_MS = 500;

interface QuotaSetup {
  /** By shard, of the limited resource. */
  readonly shardQuotas: readonly number[];
  readonly usage: readonly number[];
  /** By shard, what a waiting task takes. */
  readonly taskSizes: readonly number[];
  readonly resource?: 'cpus' | 'gpus';
}

/** Shards of one controller, all with tasks that wait for their team's quota. */
class QuotaFixture {
  private readonly shards: Shard[];
  private readonly resource: 'cpus' | 'gpus';
  private readonly transferService: ReturnType<typeof createQuotaTransferService>;
  private now = 1_000_000;
  /** How often the shard quotas have changed. */
  transfers = 0;

  constructor({ shardQuotas: quotas, usage, taskSizes, resource: kind = 'cpus' }: QuotaSetup) {
    this.resource = kind;
    this.shards = quotas.map((_, id) => {
      const shard = new Shard(id as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
      shard.reconciled = true;
      shard.totals.countTask(this.taskSpec(usage[id] ?? 0), 1);
      this.addWaitingJob(shard, taskSizes[id] ?? 0);
      return shard;
    });
    const limit = quotas.reduce((sum, n) => sum + n, 0);
    const team = buildTeam({ [`${kind}Max`]: limit });
    const shardQuotas: Resources[] = quotas.map((n) => ({ ...UNLIMITED, [kind]: n }));
    this.transferService = createQuotaTransferService(
      team,
      this.shards,
      quotas.length,
      () => this.now,
      shardQuotas,
    );
  }

  private taskSpec(size: number): ReturnType<typeof buildJobSpec> {
    return buildJobSpec({ cpus: 1, [this.resource]: size });
  }

  private addWaitingJob(shard: Shard, size: number): void {
    const spec = { ...this.taskSpec(size), id: `req-${shard.id}-${size}`, tasks: 10 };
    const assignments = [{ from: 0, to: 10, shard: shard.id, zone: null }];
    const record = { spec, assignments, done: RangeSet.empty() } as never;
    syncConfirmedJob(shard, record, 2 as never, this.now as SteadyMs, false);
  }

  /** Each of these shards requests quota in turn, again and again for so long. */
  async requestQuota(forMs: number, ...shardIds: number[]): Promise<number[]> {
    for (const end = this.now + forMs; this.now < end; this.now += STEP_MS) {
      for (const id of shardIds) {
        const before = this.shardQuotas().join();
        const waiting = { cpus: 100, gpus: 100, memoryGb: 10 };
        this.transferService.requestQuota(this.shards[id] as Shard, RED, waiting);
        await flushPromises();
        if (this.shardQuotas().join() !== before) this.transfers += 1;
      }
    }
    return this.shardQuotas();
  }

  shardQuotas(): number[] {
    return this.shards.map((shard) => this.transferService.shardQuota(shard.id, RED)[this.resource]);
  }
}

for (const kind of ['cpus', 'gpus'] as const) {
  test(`two shards with one of ${kind} left each and tasks of two: one of them gets both`, async () => {
    const situation = { shardQuotas: [19, 29], usage: [18, 28], taskSizes: [2, 2], resource: kind };
    const lower = new QuotaFixture(situation);
    assert.deepEqual(await lower.requestQuota(4000, 0), [19, 29], 'it may still become useful where it is');
    assert.deepEqual(await lower.requestQuota(4000, 0), [20, 28]);
    assert.deepEqual(
      await new QuotaFixture(situation).requestQuota(8000, 1),
      [18, 30],
      'to a higher number: it completes a task',
    );
  });
}

test('a remainder that a waiting task of its own shard fits into stays', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [19, 29], usage: [18, 28], taskSizes: [2, 1] });
  assert.deepEqual(await fixture.requestQuota(20_000, 0), [19, 29]);
});

test('remainders that are too small even together move once, to the lower shard, and stay', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [11, 12], usage: [10, 10], taskSizes: [4, 4] });
  assert.deepEqual(await fixture.requestQuota(8000, 1), [11, 12], 'one is missing up there as well: no');
  assert.deepEqual(await fixture.requestQuota(120_000, 0, 1), [13, 10]);
  assert.equal(fixture.transfers, 1);
});

test('three quota remainders are merged on one shard, where a task then fits, and stay', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [1, 1, 1], usage: [0, 0, 0], taskSizes: [3, 3, 3] });
  const shardQuotas = await fixture.requestQuota(60_000, 0, 1, 2);
  assert.deepEqual([...shardQuotas].sort(), [0, 0, 3]);
  const { transfers: moves } = fixture;
  assert.ok(moves <= 3, `${moves} moves`);
  assert.deepEqual(await fixture.requestQuota(120_000, 0, 1, 2), shardQuotas);
  assert.equal(fixture.transfers, moves);
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
