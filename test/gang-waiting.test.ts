/**
 * Gangs that wait for long: for room that is free on several pools, for room that smaller tasks take piece by piece, and
 * for a limit that smaller jobs of the team use up. Each must begin within four minutes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseTransfer } from '../src/overflow/machine-transfer.js';
import type { MachineRequest } from '../src/peers/messages.js';
import { checkScenario, type ScenarioInput } from '../src/simulation/scenario.js';
import { Simulation } from '../src/simulation/simulation.js';
import { Rounds } from './standins/rounds.js';

const FOUR_MINUTES_S = 240;

type Load = ScenarioInput['load'][number];

const GANG: Load = { class: 'gang', team: 'atlas', shape: 'gang', at_start: 1, run_s: [5, 5], image_gb: 0.1 };

function deployment(machines: number, limit: number): ScenarioInput['deployment'] {
  return {
    zones: ['fjord'],
    controllers: ['fjord', 'fjord', 'fjord'],
    cloud: { capacity: 0 },
    types: [{ name: 'birch', cpus: 8, memory_gb: 32 }],
    teams: ['atlas', 'tides'].map((name) => ({ name, cpus: 8, cpus_max: limit })),
    machines: [{ type: 'birch', zone: 'fjord', count: machines }],
  };
}

/** How long each gang waited from its arrival until all of it ran, in seconds; Infinity for those that never did. */
async function waits(where: ScenarioInput['deployment'], load: Load[], seed: number): Promise<number[]> {
  const input = { name: 'waiting', seed, duration_s: 300, deployment: where, load };
  const scenario = checkScenario(input, 'waiting');
  const { trace, violations } = await new Simulation(scenario, { seed, keepTrace: true }).run();
  assert.deepEqual(violations, []);
  const arrived = new Map<string, number>();
  const ran = new Map<string, number>();
  for (const line of trace) {
    const [, at, job, what] =
      /^ *([\d.]+) +(?:job|gang) (\S+) (arrives \(gang|\(attempt \d+\) runs)/.exec(line) ?? [];
    if (job === undefined) continue;
    const times = what?.startsWith('arrives') ? arrived : ran;
    if (!times.has(job)) times.set(job, Number(at));
  }
  assert.ok(arrived.size > 0);
  return [...arrived].map(([job, at]) => (ran.get(job) ?? Infinity) - at);
}

async function beginsInTime(where: ScenarioInput['deployment'], load: Load[]): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const longest = Math.max(...(await waits(where, load, seed)));
    assert.ok(longest < FOUR_MINUTES_S, `seed ${seed}: a gang waits for ${longest} s`);
  }
}

test('a gang that is larger than every pool gets machines of other pools', async () => {
  // Three pools of 16 CPUs.
  await beginsInTime(deployment(6, 200), [{ ...GANG, tasks: [10, 10], cpus: 2 }]);
});

test('the same while smaller work keeps coming to all pools', async () => {
  const small: Load = {
    class: 'small',
    team: 'tides',
    cpus: 2,
    run_s: [4, 12],
    per_minute: 60,
    until_s: 200,
  };
  await beginsInTime(deployment(6, 200), [{ ...GANG, tasks: [10, 10], cpus: 2 }, small]);
});

test('a gang begins though smaller tasks take each place that comes free', async () => {
  const small: Load = {
    class: 'small',
    team: 'tides',
    priority: 'urgent',
    cpus: 2,
    run_s: [4, 20],
    at_start: 20,
    per_minute: 105,
    until_s: 290,
  };
  await beginsInTime(deployment(6, 200), [{ ...GANG, tasks: [8, 8], cpus: 2 }, small]);
});

test('a gang begins though smaller jobs of its team use each share of the limit that comes free', async () => {
  const small: Load = {
    class: 'small',
    team: 'atlas',
    cpus: 1,
    run_s: [5, 15],
    at_start: 20,
    per_minute: 130,
    until_s: 290,
  };
  await beginsInTime(deployment(12, 24), [{ ...GANG, tasks: [8, 8], cpus: 2 }, small]);
});

const REQUEST: MachineRequest = {
  kind: 'machineRequest',
  from: 1 as never,
  to: 0 as never,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  tasks: 6,
  types: null,
  zone: 'east' as never,
  spot: false,
};

/** Names of the machines that a pool would give: empty ones, and those that are to empty. */
function chosen(rounds: Rounds, changes: Partial<MachineRequest> = {}): [string[], string[]] {
  rounds.round();
  const now = rounds.clock() as never;
  const facts = { types: rounds.part.types, heartbeatIntervalMs: 1500 };
  const { empty, draining: emptying } = chooseTransfer(
    rounds.part,
    { ...REQUEST, ...changes },
    facts as never,
    now,
  );
  return [empty.map((m) => m.id as string), emptying.map((m) => m.id as string)];
}

test('a pool gives as many machines as the tasks need, the empty ones at once', () => {
  const rounds = new Rounds(4);
  rounds.place('req-a', 'm-0', { cpus: 4 });
  rounds.place('req-b', 'm-1', { cpus: 1 });
  assert.deepEqual(chosen(rounds), [['m-2', 'm-3'], []]);
  assert.deepEqual(chosen(rounds, { tasks: 9 }), [['m-2', 'm-3'], ['m-1']]);
});

test('a pool gives nothing with critical work on it, of another zone or type, or that no task fits', () => {
  const rounds = new Rounds(2);
  rounds.place('req-a', 'm-0', { cpus: 1, priority: 0 });
  assert.deepEqual(chosen(rounds, { tasks: 9 }), [['m-1'], []]);
  assert.deepEqual(chosen(rounds, { zone: 'west' as never }), [[], []]);
  assert.deepEqual(chosen(rounds, { types: ['other' as never] }), [[], []]);
  assert.deepEqual(chosen(rounds, { cpus: 9 }), [[], []]);
});

test('a machine with something unresolved is not given: it may still start a task', () => {
  const rounds = new Rounds(1);
  const machine = rounds.part.machines.get('m-0' as never);
  assert.ok(machine);
  machine.directRequestInFlight = true;
  assert.deepEqual(chosen(rounds), [[], ['m-0']]);
  machine.directRequestInFlight = false;
  machine.exitedTasks.set('req-x/0' as never, {} as never);
  assert.deepEqual(chosen(rounds), [[], ['m-0']]);
  machine.exitedTasks.clear();
  machine.unreachableSince = 0 as never;
  assert.deepEqual(chosen(rounds), [[], []]);
});
