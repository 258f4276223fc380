/** Generates a soak run's deployment, load and faults from its seed; with short leases, a run takes about a minute. */
import { FAULT_GENERATORS, type FaultGenerator } from '../../src/simulation/fault-generators.js';
import { REPEAT_GENERATORS } from '../../src/simulation/repeat-generators.js';
import { RandomStream } from '../../src/simulation/random.js';
import {
  checkScenario,
  type FaultInput,
  type Scenario,
  type ScenarioInput,
} from '../../src/simulation/scenario.js';

const DURATION_S = 75;
const LOAD_UNTIL_S = 40;
const FAULTS_START_S = 8;
const FAULTS_END_S = 28;
const MAX_FAULT_DURATION_S = 16;
const MIN_FAULTS = 3;
const MAX_FAULTS = 6;
const CONTROLLER_COUNTS = [3, 5];
const ZONES = ['fjord', 'ridge'];
/** A run has hundreds of machines if its seed is a multiple of this number. */
const LARGE_RUN_INTERVAL = 10;
const LARGE_MACHINES_PER_ZONE = 150;
const MACHINES_PER_ZONE = 8;

type Load = ScenarioInput['load'][number];

function randomDeployment(seed: number, random: RandomStream): ScenarioInput['deployment'] {
  const machinesPerZone = seed % LARGE_RUN_INTERVAL === 0 ? LARGE_MACHINES_PER_ZONE : MACHINES_PER_ZONE;
  const controllers = Array.from(
    { length: random.pick(CONTROLLER_COUNTS) },
    (_, index) => ZONES[index % ZONES.length] as string,
  );
  return {
    zones: ZONES,
    controllers,
    restart_s: 2,
    report_s: 1,
    lease_s: 6,
    cancel_s: 16,
    gang_wait_s: 10,
    gang_peer_s: 3,
    state: { rps: 250, write_rps: 60 },
    cloud: { capacity: 4, list_lag_s: 2 },
    types: [{ name: 'birch', cpus: 8, memory_gb: 32, boot_s: 3 }],
    teams: ['atlas', 'tides'].map((name) => ({
      name,
      cpus: machinesPerZone * 4,
      cpus_max: machinesPerZone * 8,
    })),
    machines: ZONES.flatMap((zone) => [
      { type: 'birch', zone, count: machinesPerZone },
      { type: 'birch', zone, spot: true, count: 2 },
    ]),
  };
}

/** Settings that all classes of jobs share. About a third of the jobs are cancelled, often within a second. */
const COMMON_LOAD = { until_s: LOAD_UNTIL_S, image_gb: 0.1, cancel_share: 0.35 };

const batchLoad = (random: RandomStream): Load => ({
  ...COMMON_LOAD,
  class: 'batch',
  team: 'atlas',
  tasks: random.pick([
    [1, 1],
    [2, 6],
  ]),
  cpus: random.pick([1, 2]),
  run_s: [0.5, 6],
  at_start: 4,
  per_minute: 90,
  cancel_after_s: [0.02, 8],
  spot: random.chance(0.5),
  ...(random.chance(0.3) ? { zone: random.pick(ZONES) } : {}),
});

const serviceLoad = (random: RandomStream): Load => ({
  ...COMMON_LOAD,
  class: 'service',
  team: 'tides',
  shape: 'service',
  priority: 'critical',
  tasks: [1, 4],
  cpus: 2,
  at_start: 3,
  per_minute: 6,
  cancel_after_s: [2, 20],
  spread: random.chance(0.4),
});

const GANG_LOAD: Load = {
  ...COMMON_LOAD,
  class: 'gang',
  team: 'tides',
  shape: 'gang',
  priority: 'urgent',
  tasks: [2, 4],
  cpus: 1,
  run_s: [2, 6],
  at_start: 1,
  per_minute: 8,
  cancel_after_s: [0.2, 8],
};

function randomFaults(random: RandomStream, deployment: ScenarioInput['deployment']): FaultInput[] {
  const count = random.integer(MIN_FAULTS, MAX_FAULTS);
  return Array.from({ length: count }, () => randomFault(random.pick(FAULT_GENERATORS), random, deployment));
}

function randomFault(
  generate: FaultGenerator,
  random: RandomStream,
  deployment: ScenarioInput['deployment'],
): FaultInput {
  const fault = generate(random, deployment) as FaultInput & { for_s?: number };
  fault.at_s = Math.round(random.between(FAULTS_START_S, FAULTS_END_S) * 100) / 100;
  if (fault.for_s !== undefined) fault.for_s = Math.min(MAX_FAULT_DURATION_S, fault.for_s);
  return fault;
}

/** Repeats of all kinds, from a stream of their own: the other faults of a seed do not depend on these. */
const randomRepeats = (random: RandomStream, deployment: ScenarioInput['deployment']): FaultInput[] =>
  REPEAT_GENERATORS.map((generate) => randomFault(generate, random, deployment));

/** Generates the scenario of a seed. */
export function soakScenario(seed: number): Scenario {
  const random = new RandomStream(seed).fork('soak');
  const deployment = randomDeployment(seed, random.fork('deployment'));
  const loadRandom = random.fork('load');
  const load = [batchLoad(loadRandom), serviceLoad(loadRandom), GANG_LOAD];
  const faults = [
    ...randomFaults(random.fork('faults'), deployment).filter((fault) => fault.kind !== 'surge'),
    ...randomRepeats(random.fork('repeats'), deployment),
  ];
  const input = { name: `soak-${seed}`, seed, duration_s: DURATION_S, deployment, load, faults };
  return checkScenario(input, `soak-${seed}`);
}
