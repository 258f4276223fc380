/**
 * Gangs that wait for long: because free capacity is spread over several shards, because smaller tasks take capacity as it
 * becomes free, or because smaller jobs of the team use up its quota. Each must start within four minutes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseTransfer } from '../../src/overflow/machine-transfer.js';
import type { MachineRequest } from '../../src/peers/messages.js';
import { checkScenario, type ScenarioInput } from '../../src/simulation/scenario.js';
import { Simulation } from '../../src/simulation/simulation.js';
import { CycleRunner } from '../support/cycle-runner.js';

const MAX_START_S = 240;

type Load = ScenarioInput['load'][number];

const GANG: Load = { class: 'gang', team: 'atlas', shape: 'gang', at_start: 1, run_s: [5, 5], image_gb: 0.1 };

function deployment(machines: number, cpusMax: number): ScenarioInput['deployment'] {
  return {
    zones: ['fjord'],
    controllers: ['fjord', 'fjord', 'fjord'],
    cloud: { capacity: 0 },
    types: [{ name: 'birch', cpus: 8, memory_gb: 32 }],
    teams: ['atlas', 'tides'].map((name) => ({ name, cpus: 8, cpus_max: cpusMax })),
    machines: [{ type: 'birch', zone: 'fjord', count: machines }],
  };
}

/** Returns how long each gang waited from its arrival until all its tasks ran, in seconds; Infinity if they never did. */
async function waitingTimes(
  deploymentInput: ScenarioInput['deployment'],
  load: Load[],
  seed: number,
): Promise<number[]> {
  const input = { name: 'waiting', seed, duration_s: 300, deployment: deploymentInput, load };
  const scenario = checkScenario(input, 'waiting');
  const { trace, violations } = await new Simulation(scenario, { seed, keepTrace: true }).run();
  assert.deepEqual(violations, []);
  const arrivals = new Map<string, number>();
  const gangStarts = new Map<string, number>();
  for (const line of trace) {
    const [, atS, job, event] =
      /^ *([\d.]+) +(?:job|gang) (\S+) (arrives \(gang|\(attempt \d+\) runs)/.exec(line) ?? [];
    if (job === undefined) continue;
    const times = event?.startsWith('arrives') ? arrivals : gangStarts;
    if (!times.has(job)) times.set(job, Number(atS));
  }
  assert.ok(arrivals.size > 0);
  return [...arrivals].map(([job, arrivedAt]) => (gangStarts.get(job) ?? Infinity) - arrivedAt);
}

async function assertStartsInTime(deploymentInput: ScenarioInput['deployment'], load: Load[]): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const longest = Math.max(...(await waitingTimes(deploymentInput, load, seed)));
    assert.ok(longest < MAX_START_S, `seed ${seed}: a gang waits for ${longest} s`);
  }
}

test('a gang that is larger than every shard gets machines of other shards', async () => {
  // Three shards of 16 CPUs.
  await assertStartsInTime(deployment(6, 200), [{ ...GANG, tasks: [10, 10], cpus: 2 }]);
});

test('a gang larger than every shard gets machines while smaller jobs keep arriving at all shards', async () => {
  const small: Load = {
    class: 'small',
    team: 'tides',
    cpus: 2,
    run_s: [4, 12],
    per_minute: 60,
    until_s: 200,
  };
  await assertStartsInTime(deployment(6, 200), [{ ...GANG, tasks: [10, 10], cpus: 2 }, small]);
});

test('a gang starts though smaller tasks take capacity as it becomes free', async () => {
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
  await assertStartsInTime(deployment(6, 200), [{ ...GANG, tasks: [8, 8], cpus: 2 }, small]);
});

test('a gang starts though smaller jobs of its team use quota as it becomes free', async () => {
  const small: Load = {
    class: 'small',
    team: 'atlas',
    cpus: 1,
    run_s: [5, 15],
    at_start: 20,
    per_minute: 130,
    until_s: 290,
  };
  await assertStartsInTime(deployment(12, 24), [{ ...GANG, tasks: [8, 8], cpus: 2 }, small]);
});

const REQUEST: MachineRequest = {
  kind: 'machineRequest',
  requestingShard: 1 as never,
  donorShard: 0 as never,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  tasks: 6,
  types: null,
  zone: 'east' as never,
  spot: false,
};

/** Returns the ids of the machines that a shard would transfer: empty machines, and machines that it would drain. */
function chooseMachines(runner: CycleRunner, changes: Partial<MachineRequest> = {}): [string[], string[]] {
  runner.runCycle();
  const now = runner.currentTime() as never;
  const context = { types: runner.shard.types, heartbeatIntervalMs: 1500 };
  const { empty, draining } = chooseTransfer(runner.shard, { ...REQUEST, ...changes }, context, now);
  return [empty.map((machine) => machine.id as string), draining.map((machine) => machine.id as string)];
}

test('a shard transfers as many machines as the tasks need, empty machines at once', () => {
  const runner = new CycleRunner(4);
  runner.addRunningTask('req-a', 'm-0', { cpus: 4 });
  runner.addRunningTask('req-b', 'm-1', { cpus: 1 });
  assert.deepEqual(chooseMachines(runner), [['m-2', 'm-3'], []]);
  assert.deepEqual(chooseMachines(runner, { tasks: 9 }), [['m-2', 'm-3'], ['m-1']]);
});

test('a shard transfers no machine with critical work on it, of another zone or type, or that no task fits', () => {
  const runner = new CycleRunner(2);
  runner.addRunningTask('req-a', 'm-0', { cpus: 1, priority: 0 });
  assert.deepEqual(chooseMachines(runner, { tasks: 9 }), [['m-1'], []]);
  assert.deepEqual(chooseMachines(runner, { zone: 'west' as never }), [[], []]);
  assert.deepEqual(chooseMachines(runner, { types: ['other' as never] }), [[], []]);
  assert.deepEqual(chooseMachines(runner, { cpus: 9 }), [[], []]);
});

test('a machine with an unacknowledged launch is not transferred at once: it may still start a task', () => {
  const runner = new CycleRunner(1);
  const machine = runner.shard.machines.get('m-0' as never);
  assert.ok(machine);
  machine.directRequestInFlight = true;
  assert.deepEqual(chooseMachines(runner), [[], ['m-0']]);
  machine.directRequestInFlight = false;
  machine.exitedTasks.set('req-x/0' as never, {} as never);
  assert.deepEqual(chooseMachines(runner), [[], ['m-0']]);
  machine.exitedTasks.clear();
  machine.unreachableSince = 0 as never;
  assert.deepEqual(chooseMachines(runner), [[], []]);
});
