/** Running sums against a full recount, over a long random life of one part. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';
import { fits, type Resources } from '../../src/model/resources.js';
import {
  addToMachine,
  allocate,
  newMachine,
  Shard,
  freeResources,
  release,
  usageOf,
  type Allocation,
} from '../../src/shards/model.js';
import { buildJobSpec } from '../support/job-specs.js';

const TYPES = new Map([
  ['small', { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 }],
  ['large', { cpus: 16, gpus: 2, memoryGb: 64, cacheGb: 9 }],
]);
const SPECS = [
  buildJobSpec({ id: 'req-a', cpus: 2, image: 'i1', imageGb: 2 }),
  buildJobSpec({ id: 'req-b', cpus: 0.7, team: 'blue', image: 'i2', imageGb: 3, priority: 0 }),
  buildJobSpec({ id: 'req-c', cpus: 1.3, gpus: 1, team: 'blue', image: 'i3', imageGb: 2 }),
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
const roundToMicro = (n: number): number => Math.round(n * 1e6) / 1e6 + 0;

function recount(shard: Shard): unknown {
  const teams: Record<string, number[]> = {};
  const unclear = [0, 0, 0];
  const free: Record<string, number[]> = {};
  const preemptible: Record<string, number[]> = {};
  const holders: string[] = [];
  for (const machine of shard.machines.values()) {
    const type = TYPES.get(machine.type) as Resources;
    const list = [...machine.allocations.values()];
    KINDS.forEach((kind, i) => {
      const sumOf = (allocations: Allocation[]): number =>
        allocations.reduce((sum, allocation) => sum + (allocation.spec?.[kind] ?? 0), 0);
      if (!machine.reconciled || list.some((allocation) => !allocation.spec))
        unclear[i] = (unclear[i] ?? 0) + type[kind];
      for (const allocation of list) {
        if (!allocation.spec) continue;
        const team = (teams[allocation.spec.team] ??= [0, 0, 0]);
        team[i] = roundToMicro((team[i] ?? 0) + allocation.spec[kind]);
      }
      (free[machine.id] ??= []).push(
        list.some((allocation) => !allocation.spec) ? 0 : roundToMicro(type[kind] - sumOf(list)),
      );
      (preemptible[machine.id] ??= []).push(
        roundToMicro(sumOf(list.filter((allocation) => allocation.spec?.priority !== 0))),
      );
    });
    for (const image of machine.images.keys()) holders.push(`${image}@${machine.id}`);
  }
  return {
    teams,
    unclear,
    free,
    lesser: preemptible,
    holders: holders.sort(),
    bound: shard.allocations.size,
  };
}

function runningTotals(shard: Shard): unknown {
  const amounts = (of: Resources): number[] => KINDS.map((kind) => roundToMicro(of[kind]));
  const teams: Record<string, number[]> = {};
  for (const [team, usage] of usageOf(shard).byTeam)
    if (amounts(usage).some((n) => n !== 0)) teams[team] = amounts(usage);
  const free: Record<string, number[]> = {};
  const preemptible: Record<string, number[]> = {};
  for (const machine of shard.machines.values()) {
    free[machine.id] = amounts(freeResources(machine, TYPES.get(machine.type) as never));
    preemptible[machine.id] = amounts(machine.preemptible);
  }
  const holders = [...shard.totals.imageHolders()]
    .flatMap(([i, ms]) => [...ms].map((machine) => `${i}@${machine.id}`))
    .sort();
  let allocated = 0;
  for (const set of shard.allocationsByJob.values()) allocated += set.size;
  return {
    teams,
    unclear: amounts(usageOf(shard).unattributed),
    free,
    lesser: preemptible,
    holders,
    bound: allocated,
  };
}

test('incrementally updated totals equal a full recount', () => {
  const random = seededRandom(7);
  const shard = new Shard(0 as never, 7 as never, 1 as never, 0 as never, TYPES as never);
  let names = 0;
  const pick = <T>(list: T[]): T | undefined => list[random(list.length)];
  for (let step = 0; step < 4000; step += 1) {
    const machine = pick([...shard.machines.values()]);
    const action = random(10);
    if (action === 0 || !machine) {
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
      for (const allocation of [...machine.allocations.values()]) release(shard, machine, allocation);
      shard.removeMachine(machine);
    } else if (action === 2) shard.markReconciled(machine);
    else if (action < 7) {
      const spec = pick(SPECS) ?? null;
      const index = names++;
      const job = spec?.id ?? 'req-x';
      const allocation = {
        id: `${job}/${index}`,
        job,
        index,
        attempt: step,
        machine: machine.id,
        spec,
        stop: null,
      } as unknown as Allocation;
      allocate(shard, machine, allocation);
      if (random(8) === 0) addToMachine(shard, machine, allocation);
      if (spec && random(2) === 0) shard.recordImage(machine, spec.image, spec.imageGb);
    } else {
      const allocation = pick([...machine.allocations.values()]);
      if (allocation) release(shard, machine, allocation);
    }
    if (step % 7 === 0) assert.deepEqual(runningTotals(shard), recount(shard), `after ${step} steps`);
    for (const need of NEEDS) {
      const found = new Set(shard.totals.machinesWithFree(need, TYPES as never));
      for (const candidate of shard.machines.values())
        if (fits(need, freeResources(candidate, TYPES.get(candidate.type) as never)))
          assert.ok(found.has(candidate), 'no machine is left out');
      const kind = need.gpus > 0 ? 'gpus' : need.memoryGb > 8 ? 'memoryGb' : 'cpus';
      for (const candidate of found)
        assert.ok(
          freeResources(candidate, TYPES.get(candidate.type) as never)[kind] > need[kind] - 1e-6,
          `few others, by ${kind}`,
        );
    }
  }
});
