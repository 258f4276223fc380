/** No job is left waiting while a machine that fits has room and its team is under its limit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../src/cloud/wire.js';
import type { Core } from '../src/core.js';
import { assignJob, type AssignmentContext } from '../src/overflow/assignment.js';
import { freeCapacityOf } from '../src/overflow/announcement.js';
import { chooseTaskTransfer } from '../src/overflow/task-transfer.js';
import {
  chooseZoneReassignment,
  ZONE_REASSIGNMENT_DELAY_MS,
  type ZoneReassignment,
} from '../src/overflow/zone-reassignment.js';
import { taskCapacity, seededRandom, type FreeCapacity } from '../src/overflow/peer-ranking.js';
import { UNLIMITED, ZERO } from '../src/model/resources.js';
import { newMachine, Shard, syncJob, type ShardJob } from '../src/shards/model.js';
import { planCycle } from '../src/scheduling/plan.js';
import { OVERDUE_AFTER_MS, type SchedulingContext } from '../src/scheduling/cycle.js';
import { RangeSet } from '../src/model/ranges.js';
import type { ShardId, SteadyMs, TeamId, ZoneId } from '../src/model/units.js';
import { settle } from './standins/clock.js';
import { deskOf } from './standins/desk.js';
import { IdleWatch } from './standins/idle-watch.js';
import { plainSpec, plainTeam } from './standins/spec.js';
import { World, type JobOptions } from './standins/world.js';

const NOW = 1_000_000 as SteadyMs;
const EAST = 'east' as ZoneId;
const WEST = 'west' as ZoneId;
const HERE = 0 as ShardId;
/** What the task says: a job may be left waiting no longer than this, in milliseconds. */
const LEFT_WAITING = 90_000;

const typeIn = (name: string, ...zones: string[]): InstanceType =>
  ({ name, cpus: 8, gpus: 0, memoryGb: 64, zones }) as unknown as InstanceType;
const TYPES = new Map([['large', typeIn('large', 'east', 'west')]]) as never;

const offer = (shard: number, zone: string, cpus: number): FreeCapacity => {
  const machines =
    cpus > 0 ? [{ type: 'large', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }] : [];
  return { shard, zone, expiresAt: NOW + 9000, machines } as unknown as FreeCapacity;
};

/** A part in the east with so many machines there, and one job whose tasks are entrusted as given. */
function partWith(
  machines: number,
  spec: Parameters<typeof plainSpec>[0],
  assignments: readonly (readonly [number, number, number, string | null])[],
): { part: Shard; job: ShardJob } {
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, TYPES);
  shard.reconciled = true;
  for (let i = 0; i < machines; i += 1) {
    const m = newMachine(`m-${i}` as never, '' as never, 'large' as never, EAST, false, 0 as never, true);
    m.lastHeardAt = NOW;
    shard.addMachine(m);
  }
  const record = {
    spec: plainSpec(spec),
    homeShard: 0,
    assignments: assignments.map(([from, to, owner, zone]) => ({ from, to, shard: owner, zone })),
    done: RangeSet.empty(),
  } as never;
  syncJob(shard, record, 1 as never, 0 as SteadyMs, false);
  return { part: shard, job: [...shard.jobs.values()][0] as ShardJob };
}

const core = (offers: readonly FreeCapacity[]): Core =>
  ({
    settings: { shards: [], zone: EAST, zones: [EAST, WEST], maxValueBytes: 4000 },
    tuning: { announcementExpiry: 10_000 },
    clock: { now: () => NOW },
    heartbeatIntervalMs: 1500,
    gangWaitMs: 30_000,
    types: TYPES,
    freeCapacity: new Map(offers.map((o) => [o.shard, o])),
    random: seededRandom(1),
  }) as unknown as Core;

test('tasks are pinned only to zones in which the cloud has machines that can take them', () => {
  const types = [typeIn('common', 'east', 'west'), typeIn('rare', 'west')];
  const ctx = {
    now: NOW,
    homeShard: 0,
    homeZone: EAST,
    shards: [
      { shard: 0, zone: EAST },
      { shard: 1, zone: WEST },
    ],
    zones: [EAST, WEST],
    types,
    freeCapacity: new Map(),
    imageCapacity: new Map(),
    random: seededRandom(1),
  } as unknown as AssignmentContext;
  const together = assignJob(plainSpec({ tasks: 4, oneZone: true, types: ['rare'] }), ctx);
  assert.deepEqual(together, [{ from: 0, to: 4, shard: 1, zone: WEST }]);
  const apart = assignJob(plainSpec({ tasks: 4, spread: true, types: ['rare'] }), ctx);
  assert.deepEqual(
    apart.map((a) => [a.from, a.to, a.zone]),
    [
      [0, 2, WEST],
      [2, 4, ''],
    ],
  );
});

test('many tasks that wait for a zone without room keep no task from starting in the other', () => {
  const { part: shard } = partWith(2, { tasks: 600, spread: true }, [
    [0, 300, 0, 'west'],
    [300, 600, 0, 'east'],
  ]);
  const ctx = {
    now: NOW,
    types: TYPES,
    teams: new Map(),
    shardQuota: () => ({ cpus: 2000, gpus: 0, memoryGb: Infinity }),
    usageOnOtherShards: () => 0,
    guaranteed: () => false,
    peerHasCapacity: () => false,
    maxLatenessFactor: () => 1,
    runtimeCorrection: () => 1,
    reportMs: 1500,
    gangWaitMs: 30_000,
  } as unknown as SchedulingContext;
  const plan = planCycle(shard, ctx);
  assert.deepEqual(
    plan.starts.map((s) => s.index),
    [300, 301, 302, 303, 304, 305, 306, 307],
  );
  const shown = plan.unplaced.flatMap((u) => (u.indices === 'all' ? [] : u.indices));
  assert.ok(shown.some((i) => i < 300) && shown.some((i) => i >= 300), 'both zones are asked for elsewhere');
});

test('tasks for which no peer has room in their zone keep no others of the job from being handed over', () => {
  const { part: shard, job } = partWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'east'],
    [2, 4, 0, 'west'],
  ]);
  const unplaced = [{ job, reason: 'room' as const, indices: [0, 1, 2, 3] }];
  const choice = chooseTaskTransfer(core([offer(1, 'west', 8)]), shard, unplaced, NOW);
  assert.deepEqual(choice?.tasks.ranges(), [[2, 4]]);
  assert.equal(choice.receivingShard, 1);
});

test('what waits here for another zone, or backs off, does not hide this part’s room from peers', () => {
  const ask = plainSpec({ id: 'req-2' });
  const elsewhere = partWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'west']]);
  assert.equal(taskCapacity(freeCapacityOf(core([]), elsewhere.part), ask, null), 8);
  const here = partWith(2, { tasks: 50, spread: true }, [[0, 50, 0, 'east']]);
  assert.equal(taskCapacity(freeCapacityOf(core([]), here.part), ask, null), 0);
  here.job.backoffUntil = (NOW + 20_000) as SteadyMs;
  assert.equal(taskCapacity(freeCapacityOf(core([]), here.part), ask, null), 8);
});

test('waiting tasks change their zone only where the job may have more, none is running, and after a while', () => {
  const ctx = (...offers: FreeCapacity[]): Parameters<typeof chooseZoneReassignment>[3] => ({
    now: NOW,
    homeZone: EAST,
    zones: [EAST, WEST],
    types: [typeIn('large', 'east', 'west')],
    freeCapacity: new Map(offers.map((o) => [o.shard, o])),
    random: seededRandom(1),
  });
  const choose = (
    job: ShardJob,
    at: ReturnType<typeof ctx>,
    waited = ZONE_REASSIGNMENT_DELAY_MS,
    shard = HERE,
  ): ZoneReassignment | null => {
    job.waitingSince = (NOW - waited) as SteadyMs;
    return chooseZoneReassignment(shard, job, WEST, at);
  };
  const east = ctx(offer(0, 'east', 8));
  const apart = partWith(0, { tasks: 3, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 3, 0, 'east'],
  ]).job;
  const moved = choose(apart, east);
  assert.deepEqual([moved?.tasks.ranges(), moved?.zone, moved?.shard], [[[0, 1]], EAST, 0]);
  assert.equal(choose(apart, east, ZONE_REASSIGNMENT_DELAY_MS - 1), null, 'its zone may have room soon');
  assert.equal(choose(apart, ctx(offer(0, 'east', 1))), null, 'no room there');
  apart.waiting.removeRange(0, 2);
  assert.equal(choose(apart, east), null, 'on a machine, or perhaps');
  const full = partWith(0, { tasks: 4, spread: true }, [
    [0, 2, 0, 'west'],
    [2, 4, 1, 'east'],
  ]).job;
  assert.equal(choose(full, east), null, 'half of the tasks belong there already');
  const together = partWith(0, { tasks: 3, oneZone: true }, [[0, 3, 0, 'west']]).job;
  assert.deepEqual(choose(together, east)?.tasks.ranges(), [[0, 3]]);
  together.waiting.remove(1);
  assert.equal(choose(together, east), null, 'one runs: the others stay with it');
  const split = partWith(0, { tasks: 3, oneZone: true }, [
    [0, 1, 0, 'west'],
    [1, 3, 1, 'west'],
  ]).job;
  assert.equal(choose(split, east), null, 'the others may run on the other part');
  const gathers = choose(split, east, ZONE_REASSIGNMENT_DELAY_MS, 2 as ShardId);
  assert.deepEqual([gathers?.tasks.ranges(), gathers?.zone, gathers?.shard], [[[0, 1]], WEST, 0]);
  const bound = partWith(0, { tasks: 3, oneZone: true, zone: 'west' }, [[0, 3, 0, 'west']]).job;
  assert.equal(choose(bound, east), null, 'the owner named the zone');
});

async function worldWith(...zones: string[]): Promise<World> {
  const w = new World();
  for (const zone of zones) w.addWorker('large', zone);
  await w.start();
  return w;
}

const runs = (w: World, id: string): number =>
  [...w.workers.values()].flatMap((m) => m.active()).filter((t) => t.leg.startsWith(`${id}/`)).length;

/** Submits a job whose tasks must all be in one zone. */
const submitTogether = (w: World, n: number, id: string, o: JobOptions): Promise<unknown> =>
  w.ask(n, 'POST', '/v2/runs', { ...w.submission(id, o), samePlace: true });

for (const killOwner of [false, true]) {
  const how = killOwner ? 'with its controller' : 'alone';
  test(`a zone's machines are lost ${how}: what may run in the other zone does, and nothing waits there`, async () => {
    const w = await worldWith('west', 'west', 'west', 'east', 'east');
    await w.submit(0, 'req-1', { service: true, tasks: 3, spread: true });
    await submitTogether(w, 1, 'req-2', { tasks: 2, runMs: 200_000 });
    await w.submit(2, 'req-3', { tasks: 3, runMs: 200_000 });
    await w.step(6000);
    assert.equal(runs(w, 'req-1'), 3);
    for (const m of [...w.workers.values()]) if (m.zone === 'west') w.removeWorker(m.id, 'lost');
    if (killOwner) w.killNode(1);
    const watch = new IdleWatch(w, new Set(['req-2']));
    await watch.step(150_000);
    assert.deepEqual(w.broken, []);
    assert.equal(runs(w, 'req-1'), 2, 'half of three, rounded up, may be in the east');
    assert.equal(runs(w, 'req-2'), 2);
    assert.equal(runs(w, 'req-3'), 3);
    assert.ok(watch.longest < LEFT_WAITING, `${watch.longestJob} waited ${watch.longest} ms for nothing`);
  });
}

/** What the task says: the largest jobs of each class begin within this time, in milliseconds. */
const LARGEST_BEGIN = 240_000;

/** More work than room: small jobs of both teams and ranks all the time; the large ones come amid them. */
async function overload(
  w: World,
  forMs: number,
  gapMs: number,
  large: readonly (readonly [string, JobOptions])[],
): Promise<void> {
  const from = w.clock.now();
  let next = 0;
  let sent = 0;
  for (let at = 0; at < forMs; at += gapMs) {
    const kind = next % 4;
    const rank = kind < 2 ? 'urgent' : 'standard';
    const small = { tasks: 1 + (next % 2), runMs: 6000, team: kind % 2 === 0 ? 'red' : 'blue', rank };
    void w.request(next % 3, 'POST', '/v2/runs', w.submission(`req-${1000 + next}`, small));
    const due = at >= 18_000 + 4000 * sent ? large[sent] : undefined;
    if (due) sent += 1;
    if (due) await w.submit(next % 3, due[0], due[1]);
    next += 1;
    await w.step(Math.max(0, from + at + gapMs - w.clock.now()));
  }
}

test('more work than room, urgent and not, over slow links: the largest begin in time, nobody is left out', async () => {
  // Each task costs more time over slow links: as much more work than room in both.
  for (const [linkMs, gapMs] of [
    [1, 600],
    [300, 670],
  ] as const) {
    const w = await worldWith('east', 'east', 'west', 'west');
    w.linkMs = linkMs;
    const large: [string, JobOptions][] = ['standard', 'urgent', 'best_effort'].flatMap((rank, i) => [
      [`req-${10 + i}`, { tasks: 30, runMs: 15_000, team: 'red', rank }] as [string, JobOptions],
      [`req-${20 + i}`, { tasks: 2, cpus: 8, runMs: 15_000, team: 'blue', rank }] as [string, JobOptions],
    ]);
    await overload(w, 300_000, gapMs, large);
    const begun = large.map(([id]) => {
      const asked = w.lines.find((l) => l.includes(` POST /${id} `)) ?? '';
      const first = w.lines.find((l) => l.includes(` runs ${id}/`));
      return first ? Math.round(Number(first.slice(0, 7)) - Number(asked.slice(0, 7))) : Infinity;
    });
    assert.deepEqual(w.broken, []);
    assert.ok(Math.max(...begun) * 1000 <= LARGEST_BEGIN, `${linkMs}: begun after ${begun.join(', ')} s`);
    for (const [what, share] of served(w))
      assert.ok(share >= 0.5, `${linkMs}: of ${what} ${share.toFixed(2)} was served`);
  }
});

/** Of each team's jobs, the share of which some task has begun. */
function served(w: World): Map<string, number> {
  const begun = new Set(w.lines.flatMap((l) => / runs (\S+)\/\d+$/.exec(l)?.[1] ?? []));
  const counts = new Map<string, { all: number; begun: number }>();
  for (const [id, job] of w.jobs) {
    const c = counts.get(job.team) ?? { all: 0, begun: 0 };
    counts.set(job.team, { all: c.all + 1, begun: c.begun + (begun.has(id) ? 1 : 0) });
  }
  return new Map([...counts].map(([what, c]) => [what, c.begun / c.all]));
}

const RED = 'red' as TeamId;

test('an overdue task that needs more of its team’s limit than is free keeps smaller ones of the team from it', () => {
  const { part: shard, job } = partWith(3, { id: 'req-small', tasks: 20, cpus: 2 }, [[0, 20, 0, null]]);
  (job as { acceptedAt: SteadyMs }).acceptedAt = NOW;
  const record = {
    spec: plainSpec({ id: 'req-large', cpus: 8 }),
    homeShard: 0,
    assignments: [{ from: 0, to: 1, shard: 0, zone: null }],
    done: RangeSet.empty(),
  } as never;
  const starts = (ageMs: number): string[] => {
    shard.jobs.delete('req-large' as never);
    syncJob(shard, record, 2 as never, NOW, false, ageMs as never);
    const plan = planCycle(shard, {
      now: NOW,
      types: TYPES,
      teams: new Map(),
      shardQuota: () => ({ ...UNLIMITED, cpus: 7, gpus: 0 }),
      usageOnOtherShards: () => ZERO,
      guaranteed: () => false,
      peerHasCapacity: () => false,
      maxLatenessFactor: () => 1,
      runtimeCorrection: () => 1,
      reportMs: 1500,
      gangWaitMs: 30_000,
    });
    shard.quotaReservations = plan.quotaReservations;
    return plan.starts.map((s) => s.job.id);
  };
  assert.equal(starts(1000).length, 3);
  assert.equal(shard.quotaReservations.size, 0);
  assert.deepEqual(starts(OVERDUE_AFTER_MS + 1), []);
  assert.deepEqual([...shard.quotaReservations], [[RED, { cpus: 8, gpus: 0, memoryGb: 1 }]]);
});

test('pieces of a limit that are too small for any task gather on one part, the lower number first', async () => {
  const red = plainTeam({ cpus: 12, cpusMax: 24 });
  const parts = [0, 1].map((id) => {
    const shard = new Shard(id as ShardId, 1 as never, 1 as never, 0 as SteadyMs, TYPES);
    shard.reconciled = true;
    const assignments = [{ from: 0, to: 10, shard: id, zone: null }];
    const spec = plainSpec({ id: `req-${id}`, tasks: 10, cpus: 9 });
    syncJob(shard, { spec, assignments, done: RangeSet.empty() } as never, 2 as never, NOW, false);
    return shard;
  });
  const [first, second] = parts as [Shard, Shard];
  let now = NOW as number;
  const desk = deskOf(red, parts, 3, () => (now += 1000));
  const shares = async (): Promise<number[]> => {
    await settle();
    return [first, second].map((p) => desk.shardQuota(p.id, RED).cpus);
  };
  const ask = { cpus: 90, gpus: 0, memoryGb: 10 };
  desk.requestQuota(first, RED, ask);
  assert.deepEqual(await shares(), [8, 8], 'both have tasks that wait: neither gives');
  second.quotaReservations = first.quotaReservations = new Map([[RED, { cpus: 9, gpus: 0, memoryGb: 1 }]]);
  desk.requestQuota(second, RED, ask);
  assert.deepEqual(await shares(), [8, 8], 'the first gathers itself');
  desk.requestQuota(first, RED, ask);
  assert.deepEqual(await shares(), [9, 7]);
});
