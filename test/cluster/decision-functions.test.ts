/** Pure decisions: willing list, shares, guarantees, rentals, the budget. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/cloud/wire.js';
import type { Core } from '../../src/core.js';
import {
  planScaleOut,
  type CapacityDemand,
  type ScaleOutContext,
} from '../../src/autoscaling/scale-out-plan.js';
import { chooseTaskTransfer } from '../../src/overflow/task-transfer.js';
import { reserveCapacity, rankPeers } from '../../src/overflow/peer-ranking.js';
import { seededRandom } from '../../src/model/random.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import { decodeClusterTime, ClusterClock } from '../../src/jobs/cluster-clock.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { ZERO, type Resources } from '../../src/model/resources.js';
import { Shard, syncJob, type ShardJob } from '../../src/shards/model.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import { selectGuaranteedJobs } from '../../src/quota/guaranteed-jobs.js';
import { decodeQuotas, encodeQuotas } from '../../src/quota/codec.js';
import { evenQuotas, transferableQuota, moveQuota } from '../../src/quota/shard-quota.js';
import { RangeSet } from '../../src/model/ranges.js';
import { RateLimiter, RequestPriority } from '../../src/store/rate-limiter.js';
import { StoreCache } from '../../src/store/cache.js';
import { millis, type ShardId, type ClusterMs, type SteadyMs } from '../../src/model/units.js';
import { SimulatedClock, flushPromises } from '../support/simulated-clock.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';

const spec = (o: Partial<JobSpec> = {}): JobSpec => buildJobSpec({ tasks: 4, ...o });

test('ranked peers: nearest zone first, then most free capacity; expired announcements and promised capacity do not count', () => {
  const capacity = (shard: number, zone: string, cpus: number, expires = 50): FreeCapacity =>
    ({
      shard,
      zone,
      expiresAt: expires,
      machines: [{ type: 't', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }],
    }) as unknown as FreeCapacity;
  const capacities = [
    capacity(0, 'west', 32),
    capacity(1, 'east', 4),
    capacity(2, 'east', 8),
    capacity(3, 'east', 64, 5),
  ];
  const list = (): string =>
    rankPeers(capacities, 'east' as never, spec(), null, 10 as SteadyMs, seededRandom(1))
      .map((o) => `${o.freeCapacity.shard}:${o.capacity}`)
      .join(' ');
  assert.equal(list(), '2:4 1:2 0:16');
  reserveCapacity(capacities[2] as FreeCapacity, spec(), null, 3);
  assert.equal(list(), '1:2 2:1 0:16');
});

test('shard quotas never add up to more than the quota, and a giver keeps what it uses and needs', () => {
  const team = buildTeam({ cpus: 10, cpusMax: 112 });
  const cpus = (amount: number): Resources => ({ ...ZERO, cpus: amount });
  const even = evenQuotas(team, 3);
  assert.deepEqual(
    even.map((s) => s.cpus),
    [38, 37, 37],
  );
  const moved = moveQuota(even, 0 as never, 2 as never, cpus(8));
  assert.equal(
    moved.reduce((n, s) => n + s.cpus, 0),
    112,
  );
  assert.deepEqual(decodeQuotas(encodeQuotas(team, moved), team, 3), moved);
  assert.deepEqual(
    decodeQuotas(encodeQuotas(team, moved), buildTeam({ cpus: 10, cpusMax: 100 }), 3),
    evenQuotas(buildTeam({ cpus: 10, cpusMax: 100 }), 3),
  );
  assert.deepEqual(transferableQuota(cpus(38), cpus(20), cpus(10), cpus(50)), cpus(8));
});

test('guaranteed: what fits with the earlier unfinished jobs of the team', () => {
  const team = buildTeam({ cpus: 12, cpusMax: 24 });
  const job = (id: string, born: number, tasks: number, done = 0): JobRecord =>
    ({
      spec: spec({ id, tasks } as Partial<JobSpec>),
      acceptedRevision: born,
      done: RangeSet.of([[0, done]]),
    }) as unknown as JobRecord;
  const jobs = [job('req-c', 3, 1), job('req-a', 1, 4), job('req-b', 2, 3)];
  assert.deepEqual([...selectGuaranteedJobs(jobs, team)], ['req-a']);
  jobs[1] = job('req-a', 1, 4, 3);
  assert.deepEqual([...selectGuaranteedJobs(jobs, team)], ['req-a', 'req-b', 'req-c']);
});

test('scale-out: cheapest allowed instance type first, refused types skipped, booting machines counted', () => {
  const type = (name: string, cpus: number, price: number, spotPrice: number): InstanceType =>
    ({
      name,
      cpus,
      gpus: 0,
      memoryGb: 64,
      cacheGb: 50,
      fetchGbPerS: 1,
      price,
      spotPrice,
      bootS: 30,
      zones: ['east'],
    }) as unknown as InstanceType;
  const blocked = new Set<string>();
  const ctx: ScaleOutContext = {
    types: [type('small', 4, 0.4, 0.1), type('large', 8, 0.7, 0.3)],
    zones: [],
    homeZone: 'east' as never,
    pendingMachines: [],
    runningTasks: 0,
    runtimeCorrection: () => 1,
    isBackedOff: (k) => blocked.has(`${k.type}${k.spot}`),
  };
  const demand = (changes: Partial<JobSpec>, count: number, waitedMs = 2000): CapacityDemand => ({
    spec: spec(changes),
    requiredZone: null,
    count,
    waitedMs,
  });
  const plan = (demanded: CapacityDemand, context: ScaleOutContext = ctx): string =>
    planScaleOut([demanded], context)
      .map((w) => `${w.count} ${w.type}${w.spot ? ' spot' : ''}`)
      .join(', ');
  assert.equal(plan(demand({}, 8)), '2 large');
  assert.equal(plan(demand({ spot: true }, 8)), '4 small spot');
  blocked.add('smalltrue');
  assert.equal(plan(demand({ spot: true }, 8)), '2 large spot');
  assert.equal(plan(demand({}, 8, 100)), '', 'too young: a peer may have room');
  const coming = { type: 'large' as never, zone: 'east' as never, spot: false };
  assert.equal(plan(demand({}, 8), { ...ctx, pendingMachines: [coming] }), '1 large');
  assert.equal(plan(demand({}, 8), { ...ctx, pendingMachines: [coming, coming] }), '');
});

test('the rate limiter serves leadership before progress, and gives up at the queue timeout', async () => {
  const clock = new SimulatedClock();
  const budget = new RateLimiter(clock, 2, 2);
  const order: string[] = [];
  const take = (name: string, priority: RequestPriority, patience = 1000): void =>
    void budget
      .acquire(1, priority, millis(patience))
      .then((ok) => order.push(ok ? name : `${name} refused`));
  take('first', RequestPriority.submission);
  take('second', RequestPriority.submission);
  take('progress', RequestPriority.progress, 3000);
  take('short', RequestPriority.submission, 50);
  take('owner', RequestPriority.leadership);
  await flushPromises();
  assert.deepEqual(order, ['first', 'second', 'short refused'], 'its turn cannot come: told at once');
  await clock.advance(3000);
  await flushPromises();
  assert.deepEqual(order, ['first', 'second', 'short refused', 'owner', 'progress']);
});

test('the store cache takes events in any order and never goes back to an older revision', () => {
  const seen: string[] = [];
  const storeCache = new StoreCache((key, value, version) => seen.push(`${key}=${String(value)}@${version}`));
  storeCache.apply('a' as never, 1, 5 as never);
  storeCache.apply('a' as never, 0, 4 as never);
  storeCache.apply('a' as never, undefined, 7 as never);
  storeCache.apply('a' as never, 1, 6 as never);
  storeCache.applyEvents([{ key: 'b' as never, value: 2, version: 8 as never }], 8 as never, 1 as SteadyMs);
  storeCache.loadSnapshot([{ key: 'c' as never, value: 3, version: 9 as never }], 9 as never, 2 as SteadyMs);
  assert.deepEqual(seen, ['a=1@5', 'a=undefined@7', 'b=2@8', 'b=undefined@9', 'c=3@9']);
});

test('two watch responses may cross: the older one brings no deleted key back', () => {
  const seen: string[] = [];
  const storeCache = new StoreCache((key, value, version) => seen.push(`${key}=${String(value)}@${version}`));
  const put = { key: 'a' as never, value: 1, version: 5 as never };
  const drop = { key: 'a' as never, value: undefined, version: 6 as never };
  storeCache.applyEvents([put, drop], 6 as never, 2 as SteadyMs);
  storeCache.applyEvents([put], 5 as never, 1 as SteadyMs);
  assert.deepEqual(seen, ['a=1@5', 'a=undefined@6']);
  assert.equal(storeCache.confirmedAt, 2);
});

test('the cluster clock continues from what was stored, never backwards, and keeps the age of jobs across a restart', () => {
  const time = new ClusterClock();
  assert.equal(time.age(null, 5000 as SteadyMs), 0, 'a record of an earlier version');
  time.reached(90_000, 1000 as SteadyMs);
  assert.equal(time.now(3000 as SteadyMs), 92_000);
  time.reached(91_000, 3000 as SteadyMs);
  assert.equal(time.now(3000 as SteadyMs), 92_000, 'an older count changes nothing');
  time.reached(decodeClusterTime({ ms: 'soon' }), 3000 as SteadyMs);
  assert.equal(time.age(32_000 as ClusterMs, 4000 as SteadyMs), 61_000);
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 4000 as SteadyMs, new Map());
  const assignments = [{ from: 0, to: 3, shard: shard.id, zone: null }];
  const record = { spec: buildJobSpec({ tasks: 3 }), assignments, done: RangeSet.empty() } as never;
  syncJob(shard, record, 1 as never, 4000 as SteadyMs, true, time.age(32_000 as ClusterMs, 4000 as SteadyMs));
  // What is overdue stays overdue, and what has waited goes first, whoever owns the part now.
  assert.deepEqual(
    [...shard.jobs.values()].map((j) => j.acceptedAt),
    [-57_000],
  );
});

test('unused quota does not stay on a shard whose tasks wait for capacity', () => {
  const red = buildTeam({ cpus: 12, cpusMax: 24 });
  const settings = { teams: new Map([[red.name, red]]), shards: [{ shard: 0 }, { shard: 1 }, { shard: 2 }] };
  const transferService = new QuotaTransferService({
    settings,
    storeCache: new StoreCache(() => undefined),
  } as unknown as Core);
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  shard.reconciled = true;
  const assignments = [{ from: 0, to: 10, shard: shard.id, zone: null }];
  const record = { spec: buildJobSpec({ tasks: 10 }), assignments, done: RangeSet.empty() } as never;
  syncJob(shard, record, 1 as never, 0 as SteadyMs, false);
  const unusedCpus = (): number => transferService.unusedQuota(shard).get(red.name)?.cpus ?? 0;
  assert.equal(unusedCpus(), 0, 'its own tasks may start at once');
  shard.teamsBlockedByCapacity = new Set([red.name]);
  assert.equal(unusedCpus(), 7, 'of 8; a little stays for what comes free');
});

test('a record that cannot hold another range does not stop other jobs from being handed over', () => {
  const now = 10_000 as SteadyMs;
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  const machines = [{ type: 't', zone: 'east', spot: false, cpus: 64, gpus: 0, memoryGb: 64, count: 4 }];
  const capacity = { shard: 1, zone: 'east', expiresAt: 99_000, machines } as unknown as FreeCapacity;
  const settings = { shards: [], zone: 'east', maxValueBytes: 1000 };
  const core = { settings, freeCapacity: new Map([[capacity.shard, capacity]]), random: seededRandom(1) };
  const unplaced = ['req-scattered', 'req-plain'].map((id, i) => {
    // Every other task of the first is entrusted to somebody else already.
    const pieces =
      i === 0
        ? Array.from({ length: 200 }, (_, k) => [k, k + 1, 2 * (k % 2)] as const)
        : [[0, 200, 0] as const];
    const assignments = pieces.map(([from, to, shardId]) => ({
      from,
      to,
      shard: shardId as ShardId,
      zone: null,
    }));
    const record = {
      spec: buildJobSpec({ id, tasks: 200 }),
      homeShard: 0,
      assignments,
      done: RangeSet.empty(),
    } as never;
    syncJob(shard, record, (i + 1) as never, 0 as SteadyMs, false);
    const job = shard.jobs.get(id as never) as ShardJob;
    return { job, reason: 'capacity' as const, indices: [...job.waiting] };
  });
  const choice = chooseTaskTransfer(core as unknown as Core, shard, unplaced, now);
  assert.equal(choice?.job.id, 'req-plain');
  assert.equal(choice.tasks.size, 128);
});
