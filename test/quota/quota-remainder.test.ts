/** Remainders of a team's quota that are too small for any waiting task are merged, and do not move back and forth. */
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
  /** Quota of the limited resource, by shard. */
  readonly shardQuotas: readonly number[];
  readonly usage: readonly number[];
  /** Amount of the limited resource that a waiting task needs, by shard. */
  readonly taskSizes: readonly number[];
  readonly resource?: 'cpus' | 'gpus';
}

/** Several shards of one controller, each with tasks that wait for their team's quota. */
class QuotaFixture {
  private readonly shards: Shard[];
  private readonly resource: 'cpus' | 'gpus';
  private readonly transferService: ReturnType<typeof createQuotaTransferService>;
  private now = 1_000_000;
  /** Number of changes of the shard quotas. */
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
    const limit = quotas.reduce((sum, quota) => sum + quota, 0);
    const team = buildTeam({ [`${kind}Max`]: limit });
    const shardQuotas: Resources[] = quotas.map((quota) => ({ ...UNLIMITED, [kind]: quota }));
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

  /** Lets each of these shards request quota in turn, repeatedly for `forMs`. Returns the shard quotas at the end. */
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
  test(`two shards with 1 of ${kind} left each, whose tasks need 2: one shard gets both`, async () => {
    const setup = { shardQuotas: [19, 29], usage: [18, 28], taskSizes: [2, 2], resource: kind };
    const lower = new QuotaFixture(setup);
    assert.deepEqual(await lower.requestQuota(4000, 0), [19, 29], 'the donor may still need it itself');
    assert.deepEqual(await lower.requestQuota(4000, 0), [20, 28]);
    assert.deepEqual(
      await new QuotaFixture(setup).requestQuota(8000, 1),
      [18, 30],
      'moves to the shard with the higher id because a task then fits there',
    );
  });
}

test('a remainder is not given away if a waiting task of its own shard fits into it', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [19, 29], usage: [18, 28], taskSizes: [2, 1] });
  assert.deepEqual(await fixture.requestQuota(20_000, 0), [19, 29]);
});

test('remainders that are too small even together move only once, to the shard with the lower id', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [11, 12], usage: [10, 10], taskSizes: [4, 4] });
  assert.deepEqual(
    await fixture.requestQuota(8000, 1),
    [11, 12],
    'the shard with the higher id would still lack one CPU',
  );
  assert.deepEqual(await fixture.requestQuota(120_000, 0, 1), [13, 10]);
  assert.equal(fixture.transfers, 1);
});

test('three quota remainders are merged on one shard, where a task then fits, and stay there', async () => {
  const fixture = new QuotaFixture({ shardQuotas: [1, 1, 1], usage: [0, 0, 0], taskSizes: [3, 3, 3] });
  const shardQuotas = await fixture.requestQuota(60_000, 0, 1, 2);
  assert.deepEqual([...shardQuotas].sort(), [0, 0, 3]);
  const { transfers } = fixture;
  assert.ok(transfers <= 3, `${transfers} transfers`);
  assert.deepEqual(await fixture.requestQuota(120_000, 0, 1, 2), shardQuotas);
  assert.equal(fixture.transfers, transfers);
});

test('the missing quota is that of the task closest to fitting; an unlimited resource is never missing', () => {
  const remaining = { ...UNLIMITED, cpus: 1, gpus: 2 };
  const limit = { ...UNLIMITED, cpus: 100, gpus: 8 };
  const largeTask = { cpus: 8, gpus: 2, memoryGb: 64 };
  const gpuTask = { cpus: 1, gpus: 4, memoryGb: 64 };
  assert.deepEqual(missingForClosestTask(remaining, [largeTask, gpuTask], limit), {
    cpus: 7,
    gpus: 0,
    memoryGb: 0,
  });
  assert.equal(missingForClosestTask(remaining, [largeTask, { ...gpuTask, gpus: 2 }], limit), null);
  assert.equal(missingForClosestTask({ ...remaining, cpus: -Infinity }, [largeTask], limit), null);
});
