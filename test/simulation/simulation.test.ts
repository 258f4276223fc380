/** The simulator: determinism, scenario errors, detection of simulated defects, shrinking, and a short fuzz. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { Core } from '../../src/core.js';
import { TaskTransferService } from '../../src/overflow/task-transfer.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { silentLog } from '../../src/logging/log.js';
import { Shard, type ShardJob } from '../../src/shards/model.js';
import { planCycle } from '../../src/scheduling/plan.js';
import type { SchedulingContext } from '../../src/scheduling/cycle.js';
import { RangeSet } from '../../src/model/ranges.js';
import { EventQueue, Host } from '../../src/simulation/clock.js';
import type { Defect } from '../../src/simulation/defects.js';
import { fuzzOne } from '../../src/simulation/fuzz-run.js';
import { randomScenario } from '../../src/simulation/scenario-generator.js';
import { RULES, type Rule } from '../../src/simulation/invariant-checker.js';
import { Network, type PartitionMode } from '../../src/simulation/network.js';
import { RandomStream } from '../../src/simulation/random.js';
import {
  checkScenario,
  formatScenario,
  parseScenario,
  ScenarioError,
  type FaultInput,
  type Scenario,
  type ScenarioInput,
} from '../../src/simulation/scenario.js';
import { shrink } from '../../src/simulation/shrink.js';
import { Simulation, type SimulationResult } from '../../src/simulation/simulation.js';
import type { ShardId, SteadyMs } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

const SCENARIOS = fileURLToPath(new URL('../../../scenarios/', import.meta.url));

const smallInput = (changes: Partial<ScenarioInput> = {}): ScenarioInput => ({
  name: 'small',
  seed: 1,
  duration_s: 45,
  deployment: {
    zones: ['fjord', 'ridge'],
    controllers: ['fjord', 'ridge', 'fjord'],
    types: [{ name: 'birch', cpus: 8, memory_gb: 32 }],
    teams: [{ name: 'atlas', cpus: 40, cpus_max: 400 }],
    machines: ['fjord', 'ridge'].map((zone) => ({ type: 'birch', zone, count: 6 })),
  },
  load: [
    {
      class: 'batch',
      team: 'atlas',
      tasks: [1, 3],
      cpus: 1,
      run_s: [15, 25],
      image_gb: 0.1,
      per_minute: 120,
    },
  ],
  ...changes,
});

const smallScenario = (changes: Partial<ScenarioInput> = {}): Scenario =>
  checkScenario(smallInput(changes), 'small');

const runScenario = (
  scenario: Scenario,
  defects: Defect[] = [],
  stopAt: Rule[] = [],
): Promise<SimulationResult> =>
  new Simulation(scenario, { seed: scenario.seed, defects, stopOnRules: stopAt }).run();

const violatedRules = (result: SimulationResult): Rule[] => [
  ...new Set(result.violations.map((v) => v.rule)),
];

test('random arrays have each zone constraint, both and none', () => {
  const drawn = Array.from({ length: 100 }, (_, seed) => randomScenario(seed, null).load)
    .flat()
    .filter((load) => load.shape === 'array')
    .map((load) => `${load.spread}/${load.same_zone}`);
  assert.deepEqual([...new Set(drawn)].sort(), ['false/false', 'false/true', 'true/false', 'true/true']);
});

test('the same scenario and seed give the same history, and a different seed gives a different one', async () => {
  const scenario = randomScenario(11, null);
  const short = { ...scenario, duration_s: 60 };
  const [first, second] = [await runScenario(short), await runScenario(short)];
  assert.ok(first.events > 1000);
  assert.equal(first.hash, second.hash);
  assert.equal(first.events, second.events);
  const other = await new Simulation(short, { seed: 12 }).run();
  assert.notEqual(first.hash, other.hash);
});

test('every example scenario runs with all its faults and without a violated invariant', async () => {
  const files = readdirSync(SCENARIOS).filter((f) => f.endsWith('.toml'));
  assert.ok(files.length >= 5);
  for (const file of files) {
    const scenario = parseScenario(readFileSync(`${SCENARIOS}${file}`, 'utf8'), file);
    const result = await runScenario(scenario);
    assert.deepEqual(result.violations, [], file);
    assert.equal(result.figures['faultsBegun'], scenario.faults.length, file);
    assert.ok((result.figures['done'] ?? 0) > 10, `${file}: jobs end`);
  }
});

test('an invalid scenario is rejected with a one-line error that names the field', () => {
  const text = (candidate: ScenarioInput): string => formatScenario(candidate as Scenario);
  const expectError = (file: string, pattern: RegExp): void =>
    assert.throws(
      () => parseScenario(file, 'a.toml'),
      (e: unknown) => e instanceof ScenarioError && pattern.test(e.message),
      String(pattern),
    );
  const fault = (f: object): string => text(smallInput({ faults: [f as FaultInput] }));
  expectError('name = ', /^a\.toml:1:8: expected valid TOML: .+$/);
  expectError('seed = 1', /^a\.toml: name: expected a value, got nothing$/);
  expectError(text(smallInput({ duration_s: -1 })), /duration_s: expected more than 0, got -1/);
  expectError(fault({ kind: 'earthquake' }), /faults\[0\]\.kind: expected .*got "earthquake"/);
  expectError(
    fault({ kind: 'state_outage', at_s: 'soon' }),
    /faults\[0\]\.at_s: expected a number, got "soon"/,
  );
  expectError(fault({ kind: 'state_outage', nodes: 3 }), /faults\[0\]\.nodes: expected no such field/);
  expectError(
    fault({ kind: 'zone_cut', zone: 'delta' }),
    /faults\[0\]\.zone: expected one of fjord, ridge, got "delta"/,
  );
  expectError(fault({ kind: 'node_cut', node: 9 }), /faults\[0\]\.node: expected less than 3/);
  expectError(
    fault({ kind: 'state_outage', key: 'c/' }),
    /faults\[0\]\.key: expected only with on = "commit"/,
  );
  const shortCancelTime = { ...smallInput().deployment, cancel_s: 5 };
  expectError(
    text(smallInput({ deployment: shortCancelTime })),
    /deployment\.cancel_s: expected more than lease_s/,
  );
  const unknownTeam = smallInput();
  const load = unknownTeam.load.map((load) => ({ ...load, team: 'nobody' }));
  expectError(text({ ...unknownTeam, load }), /load\[0\]\.team: expected one of atlas, got "nobody"/);
});

test('a formatted scenario parses back to the same scenario', () => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const scenario = randomScenario(seed, null);
    assert.deepEqual(parseScenario(formatScenario(scenario), 'copy'), scenario);
  }
});

const LATE_COMMANDS: FaultInput = { kind: 'late_commands', at_s: 8, for_s: 30, share: 0.8 };
const SHORT_LEASE = { ...smallInput().deployment, lease_s: 6 };
const CANCELLED_LOAD = smallInput().load.map((load) => ({
  ...load,
  cancel_share: 0.5,
  cancel_after_s: [2, 5] as [number, number],
}));

const LONG_CANCELLED_LOAD = CANCELLED_LOAD.map((load) => ({
  ...load,
  run_s: [80, 90] as [number, number],
  per_minute: 30,
}));

/** Defects of simulated services and workers, and the rule that each one violates although controllers are correct. */
const DEFECTS: readonly { defect: Defect; rule: Rule; scenario: Scenario }[] = [
  {
    defect: 'state-ignores-conditions',
    rule: 'forgotten',
    scenario: smallScenario({ load: CANCELLED_LOAD }),
  },
  {
    defect: 'state-watch-loses-deletions',
    rule: 'went_back',
    scenario: smallScenario({ load: CANCELLED_LOAD }),
  },
  {
    defect: 'worker-ignores-tokens',
    rule: 'ran_twice',
    scenario: smallScenario({
      faults: [
        LATE_COMMANDS,
        { kind: 'all_controllers_end', at_s: 14, restart_s: 0.3 },
        { kind: 'all_controllers_end', at_s: 22, restart_s: 0.3 },
      ],
    }),
  },
  {
    defect: 'worker-ignores-sessions',
    rule: 'ran_twice',
    scenario: smallScenario({
      deployment: SHORT_LEASE,
      faults: [
        { ...LATE_COMMANDS, share: 0.9 },
        { kind: 'machine_mute', at_s: 9, for_s: 25, share: 0.6 },
      ],
    }),
  },
  {
    defect: 'worker-ignores-its-lease',
    rule: 'ran_twice',
    scenario: smallScenario({
      deployment: SHORT_LEASE,
      faults: [{ kind: 'machine_cut', at_s: 12, for_s: 30, share: 0.5, mode: 'drop' }],
    }),
  },
  {
    defect: 'worker-ignores-stops',
    rule: 'ran_cancelled',
    scenario: smallScenario({ load: LONG_CANCELLED_LOAD }),
  },
  { defect: 'worker-reports-nothing', rule: 'ran_twice', scenario: smallScenario() },
  { defect: 'worker-claims-done', rule: 'not_done', scenario: smallScenario() },
];

test('with a simulated defect the invariant checker finds the violated rule; without it no rule is violated', async () => {
  for (const { defect, rule, scenario } of DEFECTS) {
    assert.deepEqual(violatedRules(await runScenario(scenario)), [], `without ${defect}`);
    const found = violatedRules(await runScenario(scenario, [defect], [rule]));
    assert.ok(found.includes(rule), `${defect}: ${rule} expected, found ${found.join(', ') || 'nothing'}`);
  }
});

test('a job that asks for a single zone and for spreading violates neither constraint', async () => {
  const load: ScenarioInput['load'] = [
    {
      class: 'pair',
      team: 'atlas',
      shape: 'service',
      tasks: [2, 4],
      at_start: 4,
      same_zone: true,
      spread: true,
    },
  ];
  const result = await runScenario(smallScenario({ load, duration_s: 40 }));
  assert.ok((result.figures['starts'] ?? 0) > 0);
  assert.deepEqual(result.violations, []);
});

test('capacity is not reserved for tasks that must run in another zone or cannot run at all: a peer may use it', async () => {
  // With one zone, the third task of a spread job cannot be placed; its controller must offer the capacity to its peer.
  const deployment: ScenarioInput['deployment'] = {
    ...smallInput().deployment,
    zones: ['fjord'],
    controllers: ['fjord', 'fjord'],
    cloud: { capacity: 0 },
    machines: [{ type: 'birch', zone: 'fjord', count: 2 }],
  };
  const load: ScenarioInput['load'] = [
    {
      class: 'pair',
      team: 'atlas',
      shape: 'service',
      priority: 'critical',
      tasks: [2, 3],
      cpus: 2,
      at_start: 3,
      spread: true,
    },
  ];
  const faults: FaultInput[] = [{ kind: 'machine_end', at_s: 20, count: 1 }];
  for (const seed of [1, 5, 12, 26]) {
    const result = await runScenario(smallScenario({ seed, duration_s: 130, deployment, load, faults }));
    assert.deepEqual(result.violations, [], `seed ${seed}`);
  }
});

test('a task that no zone can take does not prevent the transfer of other tasks of its size to a peer', async () => {
  const deployment: ScenarioInput['deployment'] = {
    ...smallInput().deployment,
    zones: ['fjord'],
    controllers: ['fjord', 'fjord'],
    cloud: { capacity: 0 },
    machines: [{ type: 'birch', zone: 'fjord', count: 2 }],
  };
  const all = { team: 'atlas', cpus: 2 };
  const load: ScenarioInput['load'] = [
    {
      ...all,
      class: 'pair',
      shape: 'service',
      priority: 'critical',
      tasks: [4, 4],
      at_start: 1,
      spread: true,
    },
    { ...all, class: 'lone', run_s: [300, 300], at_start: 5 },
  ];
  for (const seed of [1, 11, 16, 27]) {
    const result = await runScenario(smallScenario({ seed, duration_s: 130, deployment, load }));
    assert.deepEqual(result.violations, [], `seed ${seed}`);
  }
});

test('tasks whose transfer is refused are queued again, even if a scheduling cycle ran during the transfer', async () => {
  const shard = new Shard(0 as ShardId, 1 as never, 0 as never, 0 as SteadyMs, new Map());
  shard.reconciled = true;
  const spec = buildJobSpec({ id: 'req-1', tasks: 2 });
  const assignments = [{ from: 0, to: 2, shard: shard.id, zone: null }];
  const record = { spec, homeShard: 0, assignments, done: RangeSet.empty() } as unknown as JobRecord;
  syncConfirmedJob(shard, record, 1 as never, 0 as SteadyMs, false);
  const job = shard.jobs.get(spec.id) as ShardJob;
  const machines = [{ type: 't', zone: 'fjord', spot: false, cpus: 64, gpus: 0, memoryGb: 64, count: 1 }];
  let answer: (result: { kind: 'refused' }) => void = () => undefined;
  const core = {
    settings: { shards: [], zone: 'fjord', maxValueBytes: 1000 },
    freeCapacity: new Map([[1, { shard: 1, zone: 'fjord', expiresAt: 99_000, machines }]]),
    random: () => 0,
    clock: { now: () => 10_000 },
    log: silentLog(),
    leaderCondition: () => ({ key: 'c/parts/0', version: 1 }),
    compareAndSwapUntilCertain: () => new Promise((resolve) => (answer = resolve)),
    exclusive: (work: () => unknown) => Promise.resolve(work()),
    requestCycle: () => undefined,
  };
  const transferService = new TaskTransferService(core as unknown as Core);
  transferService.transferUnplaced(shard, [{ job, reason: 'capacity', indices: 'all' }]);
  assert.equal(job.transferring.size, 2);
  planCycle(shard, { now: 10_000 } as unknown as SchedulingContext);
  answer({ kind: 'refused' });
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(job.waiting.size, 2);
  assert.ok(shard.queue.has(job), 'the next scheduling cycle sees the job');
});

/** Sends requests before and during a partition of this mode; returns when they arrive and how each exchange ends. */
async function exchangeThroughPartition(
  mode: PartitionMode,
): Promise<{ arrived: number[]; outcomes: string[] }> {
  const queue = new EventQueue();
  const options = { sameZoneMs: 1, crossZoneMs: 1, jitter: 0, loss: 0 };
  const network = new Network(queue, options, new RandomStream(1));
  const [from, to] = [new Host('n0', 'fjord', queue), new Host('n1', 'fjord', queue)];
  const arrived: number[] = [];
  const outcomes: string[] = [];
  const sendRequest = (): void => {
    const serve = (reply: (r: { status: number; body: unknown }) => void): void => {
      arrived.push(Math.round(queue.now));
      reply({ status: 200, body: {} });
    };
    void network.exchange({ from, to, timeoutMs: 1000, serve }).then((o) => outcomes.push(o.kind));
  };
  const partition = { mode, blocks: (): boolean => true };
  sendRequest();
  queue.after(100, () => network.addPartition(partition));
  // The first request uses the open connection, the second needs a new one.
  queue.after(200, sendRequest);
  queue.after(2000, sendRequest);
  queue.after(5000, () => network.heal(partition));
  await queue.run(10_000);
  return { arrived, outcomes };
}

test('partitions drop, hold or refuse: sent requests may arrive late, failed connection attempts deliver nothing', async () => {
  const held = await exchangeThroughPartition('hold');
  assert.deepEqual(held, { arrived: [3, 5001], outcomes: ['answer', 'unknown', 'unsent'] });
  const dropped = await exchangeThroughPartition('drop');
  assert.deepEqual(dropped, { arrived: [3], outcomes: ['answer', 'unknown', 'unsent'] });
  const refused = await exchangeThroughPartition('refuse');
  assert.deepEqual(refused, { arrived: [3], outcomes: ['answer', 'unknown', 'unsent'] });
});

test('shrinking keeps only the faults that the violation needs, and shortens the run', async () => {
  const faults: FaultInput[] = [
    { kind: 'state_outage', at_s: 10, for_s: 20 },
    { kind: 'close_looks', at_s: 11, for_s: 20 },
    { kind: 'machine_end', at_s: 12, count: 1 },
    { kind: 'odd_requests', at_s: 13, for_s: 20 },
  ];
  const needs = (candidate: Scenario, kind: string): boolean => candidate.faults.some((f) => f.kind === kind);
  const trial = (candidate: Scenario): Promise<number | null> =>
    Promise.resolve(needs(candidate, 'machine_end') && needs(candidate, 'state_outage') ? 30 : null);
  const result = await shrink(smallScenario({ faults }), trial);
  assert.deepEqual(
    result.faults.map((f) => f.kind),
    ['state_outage', 'machine_end'],
  );
  assert.ok(result.duration_s <= 31);
  const outage = result.faults[0];
  assert.ok(outage && 'for_s' in outage && outage.for_s < 2, 'the duration of the outage is shortened');
});

test('a violation in a real run is shrunk to a file that replays exactly', async () => {
  const defects: Defect[] = ['worker-ignores-tokens'];
  const faults: FaultInput[] = [
    LATE_COMMANDS,
    { kind: 'cloud_outage', at_s: 9, for_s: 10 },
    { kind: 'all_controllers_end', at_s: 14, restart_s: 0.3 },
    { kind: 'all_controllers_end', at_s: 22, restart_s: 0.3 },
    { kind: 'close_looks', at_s: 10, for_s: 10 },
  ];
  const trial = async (candidate: Scenario): Promise<number | null> => {
    const result = await new Simulation(candidate, {
      seed: candidate.seed,
      defects,
      stopOnRules: ['ran_twice'],
    }).run();
    return result.violations.find((v) => v.rule === 'ran_twice')?.atS ?? null;
  };
  const shrunk = await shrink(smallScenario({ faults }), trial);
  assert.deepEqual([...new Set(shrunk.faults.map((f) => f.kind))], ['late_commands', 'all_controllers_end']);
  const replayed = parseScenario(formatScenario(shrunk), 'finding');
  const [first, second] = [await runScenario(shrunk, defects), await runScenario(replayed, defects)];
  assert.deepEqual(violatedRules(first), ['ran_twice']);
  assert.equal(first.hash, second.hash);
});

test('a short fuzz with fixed seeds breaks no safety rule', async () => {
  const safety = RULES.filter((r) => r !== 'left_waiting');
  for (let seed = 101; seed <= 104; seed += 1) {
    const outcome = await fuzzOne(seed, null, safety);
    assert.equal(outcome.error, null);
    assert.deepEqual(outcome.finding, null, `seed ${seed}`);
  }
});
