/** Running sums against a full recount, over a long random life of one part. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../src/overflow/peer-ranking.js';
import { fits, type Resources } from '../src/model/resources.js';
import {
  addToMachine,
  allocate,
  newMachine,
  Shard,
  freeResources,
  release,
  usageOf,
  type Allocation,
} from '../src/shards/model.js';
import { plainSpec } from './standins/spec.js';

const TYPES = new Map([
  ['small', { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 }],
  ['large', { cpus: 16, gpus: 2, memoryGb: 64, cacheGb: 9 }],
]);
const SPECS = [
  plainSpec({ id: 'req-a', cpus: 2, image: 'i1', imageGb: 2 }),
  plainSpec({ id: 'req-b', cpus: 0.7, team: 'blue', image: 'i2', imageGb: 3, priority: 0 }),
  plainSpec({ id: 'req-c', cpus: 1.3, gpus: 1, team: 'blue', image: 'i3', imageGb: 2 }),
  null,
];

const KINDS = ['cpus', 'gpus', 'memoryGb'] as const;
/** Each with another dominant resource. */
const NEEDS: Resources[] = [
  { cpus: 2, gpus: 0, memoryGb: 1 },
  { cpus: 1, gpus: 1, memoryGb: 1 },
  { cpus: 1, gpus: 0, memoryGb: 12 },
];

/** Never -0, which a sum of fractions may leave. */
const round = (n: number): number => Math.round(n * 1e6) / 1e6 + 0;

function recount(shard: Shard): unknown {
  const teams: Record<string, number[]> = {};
  const unclear = [0, 0, 0];
  const free: Record<string, number[]> = {};
  const lesser: Record<string, number[]> = {};
  const holders: string[] = [];
  for (const m of shard.machines.values()) {
    const type = TYPES.get(m.type) as Resources;
    const list = [...m.allocations.values()];
    KINDS.forEach((kind, i) => {
      const sumOf = (bindings: Allocation[]): number =>
        bindings.reduce((sum, b) => sum + (b.spec?.[kind] ?? 0), 0);
      if (!m.reconciled || list.some((b) => !b.spec)) unclear[i] = (unclear[i] ?? 0) + type[kind];
      for (const b of list) {
        if (!b.spec) continue;
        const team = (teams[b.spec.team] ??= [0, 0, 0]);
        team[i] = round((team[i] ?? 0) + b.spec[kind]);
      }
      (free[m.id] ??= []).push(list.some((b) => !b.spec) ? 0 : round(type[kind] - sumOf(list)));
      (lesser[m.id] ??= []).push(round(sumOf(list.filter((b) => b.spec?.priority !== 0))));
    });
    for (const image of m.images.keys()) holders.push(`${image}@${m.id}`);
  }
  return { teams, unclear, free, lesser, holders: holders.sort(), bound: shard.allocations.size };
}

function kept(shard: Shard): unknown {
  const amounts = (of: Resources): number[] => KINDS.map((kind) => round(of[kind]));
  const teams: Record<string, number[]> = {};
  for (const [team, u] of usageOf(shard).byTeam)
    if (amounts(u).some((n) => n !== 0)) teams[team] = amounts(u);
  const free: Record<string, number[]> = {};
  const lesser: Record<string, number[]> = {};
  for (const m of shard.machines.values()) {
    free[m.id] = amounts(freeResources(m, TYPES.get(m.type) as never));
    lesser[m.id] = amounts(m.preemptible);
  }
  const holders = [...shard.totals.imageHolders()]
    .flatMap(([i, ms]) => [...ms].map((m) => `${i}@${m.id}`))
    .sort();
  let bound = 0;
  for (const set of shard.allocationsByJob.values()) bound += set.size;
  return { teams, unclear: amounts(usageOf(shard).unattributed), free, lesser, holders, bound };
}

test('sums kept with every change are what a full recount finds', () => {
  const random = seededRandom(7);
  const shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, TYPES as never);
  let names = 0;
  const pick = <T>(list: T[]): T | undefined => list[random(list.length)];
  for (let step = 0; step < 4000; step += 1) {
    const m = pick([...shard.machines.values()]);
    const action = random(10);
    if (action === 0 || !m) {
      const type = random(2) === 0 ? 'small' : 'large';
      const id = `m-${names++}` as never;
      shard.addMachine(
        newMachine(
          id,
          '10.0.0.1:1' as never,
          type as never,
          'east' as never,
          false,
          0 as never,
          random(2) === 0,
        ),
      );
    } else if (action === 1 && shard.machines.size > 12) {
      for (const b of [...m.allocations.values()]) release(shard, m, b);
      shard.removeMachine(m);
    } else if (action === 2) shard.markReconciled(m);
    else if (action < 7) {
      const spec = pick(SPECS) ?? null;
      const index = names++;
      const job = spec?.id ?? 'req-x';
      const b = {
        id: `${job}/${index}`,
        job,
        index,
        attempt: step,
        machine: m.id,
        spec,
        stop: null,
      } as unknown as Allocation;
      allocate(shard, m, b);
      if (random(8) === 0) addToMachine(shard, m, b);
      if (spec && random(2) === 0) shard.recordImage(m, spec.image, spec.imageGb);
    } else {
      const b = pick([...m.allocations.values()]);
      if (b) release(shard, m, b);
    }
    if (step % 7 === 0) assert.deepEqual(kept(shard), recount(shard), `after ${step} steps`);
    for (const need of NEEDS) {
      const found = new Set(shard.totals.machinesWithFree(need, TYPES as never));
      for (const w of shard.machines.values())
        if (fits(need, freeResources(w, TYPES.get(w.type) as never)))
          assert.ok(found.has(w), 'no machine is left out');
      const kind = need.gpus > 0 ? 'gpus' : need.memoryGb > 8 ? 'memoryGb' : 'cpus';
      for (const w of found)
        assert.ok(
          freeResources(w, TYPES.get(w.type) as never)[kind] > need[kind] - 1e-6,
          `few others, by ${kind}`,
        );
    }
  }
});
