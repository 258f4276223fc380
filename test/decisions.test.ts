/** Pure decisions: claims, willing list, shares, guarantees, rentals, the budget. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../src/cloud/wire.js';
import type { Core } from '../src/core.js';
import {
  planScaleOut,
  type CapacityDemand,
  type ScaleOutContext,
} from '../src/autoscaling/scale-out-plan.js';
import { chooseTaskTransfer } from '../src/overflow/task-transfer.js';
import { reserveCapacity, seededRandom, rankPeers, type FreeCapacity } from '../src/overflow/peer-ranking.js';
import { decodeClusterTime, ClusterClock } from '../src/jobs/cluster-clock.js';
import type { JobRecord } from '../src/jobs/record.js';
import type { JobSpec } from '../src/jobs/spec.js';
import { ZERO, type Resources } from '../src/model/resources.js';
import { Shard, syncJob, type ShardJob } from '../src/shards/model.js';
import { decideFailover, type FailoverFacts } from '../src/leadership/leadership.js';
import { QuotaTransferService } from '../src/quota/transfer-service.js';
import { selectGuaranteedJobs } from '../src/quota/guaranteed-jobs.js';
import {
  decodeQuotas,
  encodeQuotas,
  evenQuotas,
  transferableQuota,
  moveQuota,
} from '../src/quota/shard-quota.js';
import { RangeSet } from '../src/model/ranges.js';
import { RateLimiter, RequestPriority } from '../src/store/rate-limiter.js';
import { StoreCache } from '../src/store/cache.js';
import { millis, type ShardId, type ClusterMs, type SteadyMs } from '../src/model/units.js';
import { SimClock, settle } from './standins/clock.js';
import { plainSpec, plainTeam } from './standins/spec.js';

const spec = (o: Partial<JobSpec> = {}): JobSpec => plainSpec({ tasks: 4, ...o });

test('who claims a part, and when', () => {
  const base = {
    now: 100_000,
    self: 'n1',
    incarnation: 'n1-1',
    homeController: 'n0',
    leader: 'n0',
    leaderIncarnation: 'n0-1',
    leaderAlive: true,
    homeControllerAlive: true,
    ledHomeShardBefore: true,
    membershipStableSince: 10_000,
    redirectedHeartbeats: 0,
    releasedBySelf: false,
    workersReachable: false,
    situationAgeMs: 0,
  } as unknown as FailoverFacts;
  const decide = (o: Partial<Record<keyof FailoverFacts, unknown>>): string =>
    decideFailover({ ...base, ...o } as FailoverFacts);
  assert.equal(decide({}), 'wait', 'its owner is alive');
  assert.equal(decide({ leaderAlive: false, homeControllerAlive: false }), 'claim', 'its owner is gone');
  assert.equal(
    decide({ leaderAlive: false, homeControllerAlive: false, membershipStableSince: null }),
    'wait',
    'our view may be old',
  );
  assert.equal(
    decide({ leaderAlive: false, situationAgeMs: 500 }),
    'wait',
    'its owner restarted and claims for itself',
  );
  assert.equal(decide({ leaderAlive: false, situationAgeMs: 5000 }), 'claim', 'it does not get so far');
  assert.equal(
    decide({ leader: null, leaderIncarnation: null }),
    'wait',
    'released, but its workers do not come to us',
  );
  const strays = { leader: null, leaderIncarnation: null, redirectedHeartbeats: 2 };
  assert.equal(decide({ ...strays, situationAgeMs: 700 }), 'claim', 'released, and they do');
  assert.equal(decide(strays), 'wait', 'its home goes first');
  assert.equal(decide({ ...strays, homeControllerAlive: false }), 'claim', 'there is no home');
  assert.equal(decide({ ...strays, homeController: 'n1' }), 'claim', 'its home, without waiting');
  assert.equal(
    decide({ leader: null, leaderIncarnation: null, redirectedHeartbeats: 2, releasedBySelf: true }),
    'wait',
    'released by us',
  );
  const home = { homeController: 'n1', leader: 'n2', leaderIncarnation: 'n2-1' };
  assert.equal(decide({ ...home, ledHomeShardBefore: false }), 'claim', 'started anew');
  assert.equal(decide(home), 'probe', 'back, but do our workers answer?');
  assert.equal(decide({ ...home, workersReachable: true }), 'claim', 'back and steady');
  assert.equal(
    decide({ ...home, workersReachable: true, membershipStableSince: 99_000 }),
    'wait',
    'back for a moment',
  );
});

test('the willing list: nearest zone first, then most room; expired offers and promised room do not count', () => {
  const offer = (shard: number, zone: string, cpus: number, expires = 50): FreeCapacity =>
    ({
      shard,
      zone,
      expiresAt: expires,
      machines: [{ type: 't', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }],
    }) as unknown as FreeCapacity;
  const offers = [offer(0, 'west', 32), offer(1, 'east', 4), offer(2, 'east', 8), offer(3, 'east', 64, 5)];
  const list = (): string =>
    rankPeers(offers, 'east' as never, spec(), null, 10 as SteadyMs, seededRandom(1))
      .map((o) => `${o.freeCapacity.shard}:${o.capacity}`)
      .join(' ');
  assert.equal(list(), '2:4 1:2 0:16');
  reserveCapacity(offers[2] as FreeCapacity, spec(), null, 3);
  assert.equal(list(), '1:2 2:1 0:16');
});

test('shares never add up to more than the limit, and a giver keeps what it uses and needs', () => {
  const team = plainTeam({ cpus: 10, cpusMax: 112 });
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
    decodeQuotas(encodeQuotas(team, moved), plainTeam({ cpus: 10, cpusMax: 100 }), 3),
    evenQuotas(plainTeam({ cpus: 10, cpusMax: 100 }), 3),
  );
  assert.deepEqual(transferableQuota(cpus(38), cpus(20), cpus(10), cpus(50)), cpus(8));
});

test('guaranteed: what fits with the earlier unfinished jobs of the team', () => {
  const team = plainTeam({ cpus: 12, cpusMax: 24 });
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

test('rentals: cheapest allowed kind first, refused kinds skipped, machines on their way counted', () => {
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
  const demand = (o: Partial<JobSpec>, count: number, waitedMs = 2000): CapacityDemand => ({
    spec: spec(o),
    requiredZone: null,
    count,
    waitedMs,
  });
  const plan = (d: CapacityDemand, c: ScaleOutContext = ctx): string =>
    planScaleOut([d], c)
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

test('the budget serves ownership before progress, and gives up when patience ends', async () => {
  const clock = new SimClock();
  const budget = new RateLimiter(clock, 2, 2);
  const order: string[] = [];
  const take = (name: string, rank: RequestPriority, patience = 1000): void =>
    void budget.acquire(1, rank, millis(patience)).then((ok) => order.push(ok ? name : `${name} refused`));
  take('first', RequestPriority.submission);
  take('second', RequestPriority.submission);
  take('progress', RequestPriority.progress, 3000);
  take('short', RequestPriority.submission, 50);
  take('owner', RequestPriority.leadership);
  await settle();
  assert.deepEqual(order, ['first', 'second', 'short refused'], 'its turn cannot come: told at once');
  await clock.advance(3000);
  await settle();
  assert.deepEqual(order, ['first', 'second', 'short refused', 'owner', 'progress']);
});

test('the view takes facts in any order and never goes back', () => {
  const seen: string[] = [];
  const view = new StoreCache((key, value, version) => seen.push(`${key}=${String(value)}@${version}`));
  view.apply('a' as never, 1, 5 as never);
  view.apply('a' as never, 0, 4 as never);
  view.apply('a' as never, undefined, 7 as never);
  view.apply('a' as never, 1, 6 as never);
  view.applyEvents([{ key: 'b' as never, value: 2, version: 8 as never }], 8 as never, 1 as SteadyMs);
  view.loadSnapshot([{ key: 'c' as never, value: 3, version: 9 as never }], 9 as never, 2 as SteadyMs);
  assert.deepEqual(seen, ['a=1@5', 'a=undefined@7', 'b=2@8', 'b=undefined@9', 'c=3@9']);
});

test('two looks at the feed may cross: the older one brings no key back', () => {
  const seen: string[] = [];
  const view = new StoreCache((key, value, version) => seen.push(`${key}=${String(value)}@${version}`));
  const put = { key: 'a' as never, value: 1, version: 5 as never };
  const drop = { key: 'a' as never, value: undefined, version: 6 as never };
  view.applyEvents([put, drop], 6 as never, 2 as SteadyMs);
  view.applyEvents([put], 5 as never, 1 as SteadyMs);
  assert.deepEqual(seen, ['a=1@5', 'a=undefined@6']);
  assert.equal(view.confirmedAt, 2);
});

test('shared time goes on from what was written, never back, and gives a job its age in a new life', () => {
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
  const record = { spec: plainSpec({ tasks: 3 }), assignments, done: RangeSet.empty() } as never;
  syncJob(shard, record, 1 as never, 4000 as SteadyMs, true, time.age(32_000 as ClusterMs, 4000 as SteadyMs));
  // What is overdue stays overdue, and what has waited goes first, whoever owns the part now.
  assert.deepEqual(
    [...shard.jobs.values()].map((j) => j.acceptedAt),
    [-57_000],
  );
});

test('a share of a limit does not wait where its tasks wait for room', () => {
  const red = plainTeam({ cpus: 12, cpusMax: 24 });
  const settings = { teams: new Map([[red.name, red]]), shards: [{ shard: 0 }, { shard: 1 }, { shard: 2 }] };
  const desk = new QuotaTransferService({
    settings,
    storeCache: new StoreCache(() => undefined),
  } as unknown as Core);
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  shard.reconciled = true;
  const assignments = [{ from: 0, to: 10, shard: shard.id, zone: null }];
  const record = { spec: plainSpec({ tasks: 10 }), assignments, done: RangeSet.empty() } as never;
  syncJob(shard, record, 1 as never, 0 as SteadyMs, false);
  const spare = (): number => desk.unusedQuota(shard).get(red.name)?.cpus ?? 0;
  assert.equal(spare(), 0, 'its own tasks may start at once');
  shard.teamsBlockedByCapacity = new Set([red.name]);
  assert.equal(spare(), 7, 'of 8; a little stays for what comes free');
});

test('a record with no room for another range keeps no other job from being handed over', () => {
  const now = 10_000 as SteadyMs;
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  const machines = [{ type: 't', zone: 'east', spot: false, cpus: 64, gpus: 0, memoryGb: 64, count: 4 }];
  const offer = { shard: 1, zone: 'east', expiresAt: 99_000, machines } as unknown as FreeCapacity;
  const settings = { shards: [], zone: 'east', maxValueBytes: 1000 };
  const core = { settings, freeCapacity: new Map([[offer.shard, offer]]), random: seededRandom(1) };
  const unplaced = ['req-scattered', 'req-plain'].map((id, i) => {
    // Every other task of the first is entrusted to somebody else already.
    const pieces =
      i === 0
        ? Array.from({ length: 200 }, (_, k) => [k, k + 1, 2 * (k % 2)] as const)
        : [[0, 200, 0] as const];
    const assignments = pieces.map(([from, to, owner]) => ({
      from,
      to,
      shard: owner as ShardId,
      zone: null,
    }));
    const record = {
      spec: plainSpec({ id, tasks: 200 }),
      homeShard: 0,
      assignments,
      done: RangeSet.empty(),
    } as never;
    syncJob(shard, record, (i + 1) as never, 0 as SteadyMs, false);
    const job = shard.jobs.get(id as never) as ShardJob;
    return { job, reason: 'room' as const, indices: [...job.waiting] };
  });
  const choice = chooseTaskTransfer(core as unknown as Core, shard, unplaced, now);
  assert.equal(choice?.job.id, 'req-plain');
  assert.equal(choice.tasks.size, 128);
});
