/**
 * Arrays with zone constraints run to their end, and violate no constraint on the way.
 *
 * Guards against (review/7; simulate fuzz, seeds 970008, 970015, 970039, 970059): an array that may have half of its
 * tasks in a zone, and has only one zone, never starts the other half; and an array whose zone is lost stays there if a
 * task of it has finished.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkScenario, type FaultInput, type ScenarioInput } from '../../src/simulation/scenario.js';
import { Simulation } from '../../src/simulation/simulation.js';

type LoadInput = ScenarioInput['load'][number];

const SEEDS = [1, 2];

const DEPLOYMENT: ScenarioInput['deployment'] = {
  zones: ['fjord', 'ridge'],
  controllers: ['fjord', 'ridge', 'fjord'],
  report_s: 1.5,
  lease_s: 10,
  cloud: { capacity: 2 },
  types: [{ name: 'birch', cpus: 8, memory_gb: 32, boot_s: 5 }],
  teams: [{ name: 'atlas', cpus: 60, cpus_max: 90 }],
  machines: [
    { type: 'birch', zone: 'fjord', count: 3 },
    { type: 'birch', zone: 'ridge', count: 2 },
  ],
};

const ARRAY: LoadInput = {
  class: 'batch',
  team: 'atlas',
  tasks: [3, 24],
  cpus: 1,
  run_s: [0.5, 12],
  at_start: 3,
  per_minute: 10,
  until_s: 60,
};

/** Constraints of which one zone at a time satisfies only half of the tasks, or all of them. */
const CONSTRAINTS: Readonly<Record<string, Partial<LoadInput>>> = {
  'spread in a given zone': { spread: true, zone: 'fjord' },
  'spread and in one zone': { spread: true, same_zone: true },
  'spread over two zones': { spread: true },
  'in one zone': { same_zone: true },
};

const FAULTS: Readonly<Record<string, FaultInput[]>> = {
  none: [],
  'a zone loses its machines': [{ kind: 'machine_end', at_s: 25, zone: 'ridge' }],
  'leaders end as they record results': [
    { kind: 'controller_end', at_s: 10, on: 'commit', key: 'c/live/', node: 'event', nth: 3 },
    { kind: 'controller_end', at_s: 30, on: 'commit', key: 'c/live/', node: 'event', nth: 5 },
  ],
  'all controllers end': [{ kind: 'all_controllers_end', at_s: 20 }],
  'writes are applied late, commands come again': [
    { kind: 'late_writes', at_s: 5, for_s: 40, share: 0.3 },
    { kind: 'repeated_commands', at_s: 5, for_s: 60, share: 0.5 },
  ],
  'machines are cut off and return': [
    { kind: 'machine_cut', at_s: 15, zone: 'fjord', for_s: 25, mode: 'hold' },
    { kind: 'machine_end', at_s: 20, zone: 'ridge' },
  ],
};

/** Runs the load with the faults, and returns the violated rules and the number of accepted jobs that did not end. */
async function outcomeOf(
  load: LoadInput,
  faults: FaultInput[],
  seed: number,
  deployment = DEPLOYMENT,
): Promise<{ violations: string[]; unfinished: number }> {
  const scenario = checkScenario(
    { name: 'constrained-arrays', seed, duration_s: 150, deployment, load: [load], faults },
    'constrained-arrays',
  );
  const { violations, figures } = await new Simulation(scenario, { seed }).run();
  const { accepted = 0, done = 0, cancelled = 0 } = figures;
  assert.ok(accepted > 0);
  return {
    violations: violations.map(({ rule, detail }) => `${rule}: ${detail}`),
    unfinished: accepted - done - cancelled,
  };
}

for (const [constraint, fields] of Object.entries(CONSTRAINTS))
  test(`arrays ${constraint} run to their end, with and without faults`, async () => {
    for (const [fault, faults] of Object.entries(FAULTS))
      for (const seed of SEEDS) {
        const outcome = await outcomeOf({ ...ARRAY, ...fields }, faults, seed);
        assert.deepEqual(outcome, { violations: [], unfinished: 0 }, `${fault}, seed ${seed}`);
      }
  });

test('an array that may use half of a zone with one small machine runs to its end there', async () => {
  const deployment: ScenarioInput['deployment'] = {
    ...DEPLOYMENT,
    zones: ['fjord'],
    controllers: ['fjord', 'fjord', 'fjord'],
    cloud: { capacity: 0 },
    types: [{ name: 'birch', cpus: 2, memory_gb: 32, boot_s: 5 }],
    machines: [{ type: 'birch', zone: 'fjord', count: 1 }],
  };
  const load: LoadInput = {
    ...ARRAY,
    spread: true,
    tasks: [40, 40],
    run_s: [1, 1],
    at_start: 1,
    per_minute: 0,
  };
  assert.deepEqual(await outcomeOf(load, [], 1, deployment), { violations: [], unfinished: 0 });
});

/** All machines that the array may use, most of them in the zone that is lost; the cloud has no others. */
const WITHOUT_CLOUD: ScenarioInput['deployment'] = {
  ...DEPLOYMENT,
  cloud: { capacity: 0 },
  machines: [
    { type: 'birch', zone: 'fjord', count: 1 },
    { type: 'birch', zone: 'ridge', count: 3 },
  ],
};
const ONE_ARRAY: LoadInput = { ...ARRAY, at_start: 1, per_minute: 0 };

test('an array in one zone goes on in another zone if its zone is lost after some of its tasks have finished', async () => {
  const load: LoadInput = { ...ONE_ARRAY, same_zone: true, tasks: [60, 60], run_s: [5, 5] };
  const faults: FaultInput[] = [{ kind: 'machine_end', at_s: 11, zone: 'ridge' }];
  for (const seed of SEEDS)
    assert.deepEqual(await outcomeOf(load, faults, seed, WITHOUT_CLOUD), { violations: [], unfinished: 0 });
});

test('a spread array goes on in the zone that is left, in the places of its tasks that have finished there', async () => {
  const load: LoadInput = { ...ONE_ARRAY, spread: true, tasks: [16, 16], run_s: [9, 9] };
  const faults: FaultInput[] = [{ kind: 'machine_end', at_s: 8, zone: 'ridge' }];
  for (const seed of SEEDS)
    assert.deepEqual(await outcomeOf(load, faults, seed, WITHOUT_CLOUD), { violations: [], unfinished: 0 });
});
