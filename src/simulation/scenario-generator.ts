/** Generates random small scenarios from a seed: a deployment, a load, and a few faults that overlap in time. */
import { FAULT_GENERATORS, GANG_FAULT_GENERATORS } from './fault-generators.js';
import { RandomStream } from './random.js';
import { REPEAT_GENERATORS } from './repeat-generators.js';
import { checkScenario, type FaultInput, type Scenario, type ScenarioInput } from './scenario.js';

const ZONES = ['fjord', 'ridge', 'marsh'];
const TEAMS = ['atlas', 'tides'];
/** Share of schedules with gangs. */
const GANG_SHARE = 0.8;
/** Share of schedules whose arrays must be spread over zones, and of those whose arrays must be in one zone. */
const ARRAY_CONSTRAINT_SHARE = 0.3;
/** Share of schedules with repeats, for each kind of request. */
const REPEAT_SHARE = 0.3;
/** Faults begin between these times; the rest of the run shows whether the cluster recovers. */
const MIN_FAULT_START_S = 12;
const MAX_FAULT_START_S = 75;
const DURATION_S = 240;
/** No job arrives after this time. */
const LOAD_UNTIL_S = 110;
/** Maximum time from the start of a schedule's first fault to the start of its last one. */
const MAX_FAULT_SPREAD_S = 30;

const EVENT_CHOICES = ['part_claimed', 'cancel_confirmed', 'accepted', 'job_done', 'task_started'] as const;

type Deployment = ScenarioInput['deployment'];
type LoadInput = ScenarioInput['load'][number];

function randomGangFaults(random: RandomStream, deployment: Deployment): FaultInput[] {
  return Array.from({ length: random.integer(0, 2) }, () => ({
    ...random.pick(GANG_FAULT_GENERATORS)(random, deployment),
    at_s: Math.round(random.between(MIN_FAULT_START_S, MAX_FAULT_START_S - MAX_FAULT_SPREAD_S) * 100) / 100,
  }));
}

function randomDeployment(random: RandomStream): Deployment {
  const zones = ZONES.slice(0, random.integer(1, 3));
  const controllers = Array.from(
    { length: random.integer(2, 4) },
    (_, i) => zones[i % zones.length] as string,
  );
  const leaseS = random.pick([8, 12, 16]);
  const maxCpus = random.pick([24, 48, 96]);
  return {
    zones,
    controllers,
    report_s: random.pick([1.5, 2.5]),
    lease_s: leaseS,
    cancel_s: leaseS + random.pick([20, 25]),
    state: { rps: random.pick([80, 200]), write_rps: random.pick([15, 30]) },
    cloud: { capacity: random.pick([0, 4, 12]), list_lag_s: random.pick([2, 6]) },
    types: [
      { name: 'birch', cpus: 8, memory_gb: 32, boot_s: 6 },
      { name: 'spruce', cpus: 16, memory_gb: 64, boot_s: 12 },
    ],
    teams: TEAMS.map((name) => ({ name, cpus: maxCpus / 2, cpus_max: maxCpus })),
    machines: zones.flatMap((zone) => [
      { type: random.pick(['birch', 'spruce']), zone, count: random.integer(2, 4) },
      ...(random.chance(0.4) ? [{ type: 'birch', zone, spot: true, count: random.integer(1, 2) }] : []),
    ]),
  };
}

/** Draws the service load even if it is not used, and always in this order, so that a seed keeps its schedule. */
function randomLoad(random: RandomStream, deployment: Deployment): ScenarioInput['load'] {
  const batch = {
    ...randomBatchLoad(random, deployment),
    ...randomArrayConstraints(random.fork('array constraints')),
  };
  const service = randomServiceLoad(random);
  const loads = random.chance(0.7) ? [batch, service] : [batch];
  const gangs = random.fork('gangs');
  return gangs.chance(GANG_SHARE) ? [...loads, randomGangLoad(gangs)] : loads;
}

function randomBatchLoad(random: RandomStream, deployment: Deployment): LoadInput {
  return {
    class: 'batch',
    team: 'atlas',
    tasks: random.pick([
      [1, 1],
      [2, 3],
      [4, 12],
    ]),
    cpus: random.pick([1, 2, 4]),
    run_s: random.pick([
      [0.5, 3],
      [4, 20],
      [30, 90],
    ]),
    image_gb: random.pick([0.3, 2]),
    at_start: random.integer(1, 4),
    per_minute: random.pick([6, 15, 40]),
    until_s: LOAD_UNTIL_S,
    cancel_share: random.pick([0, 0.25, 0.6]),
    cancel_after_s: [0.1, 15],
    spot: random.chance(0.6),
    ...(random.chance(0.3) ? { zone: random.pick(deployment.zones) } : {}),
    ...(random.chance(0.3) ? { checkpoint_s: 4, save_s: random.pick([1, 3]) } : {}),
  };
}

/** Draws from a stream of its own, so that the other loads of a seed do not depend on these. */
function randomArrayConstraints(random: RandomStream): Pick<LoadInput, 'spread' | 'same_zone'> {
  return {
    spread: random.chance(ARRAY_CONSTRAINT_SHARE),
    same_zone: random.chance(ARRAY_CONSTRAINT_SHARE),
  };
}

function randomServiceLoad(random: RandomStream): LoadInput {
  return {
    class: 'service',
    team: 'tides',
    shape: 'service',
    priority: 'critical',
    tasks: [1, 4],
    cpus: 2,
    at_start: random.integer(1, 4),
    per_minute: 2,
    until_s: LOAD_UNTIL_S,
    cancel_share: 0.6,
    cancel_after_s: [5, 70],
    spread: random.chance(0.4),
    same_zone: random.chance(0.2),
  };
}

function randomGangLoad(random: RandomStream): LoadInput {
  return {
    class: 'gang',
    team: random.pick(TEAMS),
    shape: 'gang',
    priority: random.pick(['urgent', 'standard']),
    tasks: random.pick([
      [2, 4],
      [4, 8],
    ]),
    cpus: random.pick([1, 2]),
    run_s: random.pick([
      [3, 10],
      [20, 50],
    ]),
    image_gb: random.pick([0.3, 2]),
    at_start: random.integer(1, 3),
    per_minute: random.pick([4, 10]),
    until_s: LOAD_UNTIL_S,
    cancel_share: random.pick([0, 0.3]),
    cancel_after_s: [0.5, 25],
    spot: random.chance(0.4),
    same_zone: random.chance(0.5),
    ...(random.chance(0.7) ? { checkpoint_s: 5, save_s: random.pick([1, 3]) } : {}),
  };
}

function randomFaults(random: RandomStream, deployment: Deployment): FaultInput[] {
  const faults: FaultInput[] = [];
  const faultCount = random.integer(2, 5);
  // All faults begin within `spread` seconds, so that they overlap.
  const start = random.between(MIN_FAULT_START_S, MAX_FAULT_START_S - MAX_FAULT_SPREAD_S);
  const spread = random.pick([1, 8, MAX_FAULT_SPREAD_S]);
  for (let i = 0; i < faultCount; i += 1) {
    const fault = random.pick(FAULT_GENERATORS)(random, deployment);
    fault.at_s = Math.round((start + random.between(0, spread)) * 100) / 100;
    if (fault.on === undefined && random.chance(0.3)) {
      fault.on = random.pick(EVENT_CHOICES);
      fault.after_ms = random.pick([0, 0, 5, 200, 1500]);
      fault.nth = random.integer(1, 3);
    }
    faults.push(fault);
  }
  return faults;
}

/** Draws from a stream of its own, so that the other faults of a seed do not depend on these. */
function randomRepeats(random: RandomStream, deployment: Deployment): FaultInput[] {
  return REPEAT_GENERATORS.filter(() => random.chance(REPEAT_SHARE)).map((generate) => ({
    ...generate(random, deployment),
    at_s: Math.round(random.between(0, MAX_FAULT_START_S)),
  }));
}

/** Generates the scenario of a seed; with a base, keeps its deployment and load and generates only the faults. */
export function randomScenario(seed: number, base: Scenario | null): Scenario {
  const random = new RandomStream(seed).fork('scenario');
  const deployment = base?.deployment ?? randomDeployment(random.fork('deployment'));
  const loads = base?.load ?? randomLoad(random.fork('load'), deployment);
  const gangs = loads.some((load) => load.shape === 'gang');
  const faults = [
    ...randomFaults(random.fork('faults'), deployment),
    ...(gangs ? randomGangFaults(random.fork('gang faults'), deployment) : []),
    ...randomRepeats(random.fork('repeats'), deployment),
  ];
  const applicableFaults = faults.filter(
    (fault) => fault.kind !== 'surge' || loads.some((load) => load.class === fault.class),
  );
  const input: ScenarioInput = {
    name: `fuzz-${seed}`,
    seed,
    duration_s: base?.duration_s ?? DURATION_S,
    deployment,
    load: loads,
    faults: applicableFaults,
  };
  return checkScenario(input, `fuzz-${seed}`);
}
