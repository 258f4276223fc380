/** Random small scenarios: a deployment, a load, and a few faults that meet, all from one seed. */
import { RandomStream } from './random.js';
import { checkScenario, type FaultInput, type Scenario, type ScenarioInput } from './scenario.js';

const ZONES = ['fjord', 'ridge', 'marsh'];
const TEAMS = ['atlas', 'tides'];
/** How many of the schedules have gangs. */
const GANG_SHARE = 0.8;
/** Faults begin within this time; what comes after shows whether everything recovers. */
const FAULTS_FROM_S = 12;
const FAULTS_UNTIL_S = 75;
const DURATION_S = 240;

const EVENT_CHOICES = ['part_claimed', 'cancel_confirmed', 'accepted', 'job_done', 'task_started'] as const;

type FaultGenerator = (random: RandomStream, where: Deployment) => FaultInput;
type Deployment = ScenarioInput['deployment'];

const randomDurationS = (random: RandomStream, low: number, high: number): number =>
  Math.round(random.between(low, high) * 10) / 10;
const randomNode = (random: RandomStream, deployment: Deployment): number =>
  random.integer(0, deployment.controllers.length - 1);
const randomPartitionMode = (random: RandomStream): 'drop' | 'hold' | 'refuse' =>
  random.pick(['drop', 'hold', 'hold', 'refuse']);
const randomMachineSelector = (
  random: RandomStream,
  deployment: Deployment,
): { share?: number; count?: number; zone?: string } =>
  random.pick([
    { share: random.pick([0.2, 0.5, 1]) },
    { count: random.integer(1, 3) },
    { zone: random.pick(deployment.zones) },
  ]);

/** One for each kind of fault, with a spread of its fields that has room for the odd and the long. */
const FAULT_GENERATORS: readonly FaultGenerator[] = [
  (random, deployment) => ({
    kind: 'controller_end',
    node: randomNode(random, deployment),
    restart_s: random.pick([0.2, 0.6, 4, 12]),
  }),
  (random) => ({
    kind: 'controller_end',
    on: 'part_claimed',
    node: 'event',
    restart_s: random.pick([0.2, 3]),
  }),
  (random) => ({ kind: 'all_controllers_end', restart_s: random.pick([0.3, 4, 20]) }),
  (random) => ({ kind: 'controllers_restart', gap_s: random.pick([2, 8]) }),
  (random, deployment) => ({
    kind: 'controller_pause',
    node: randomNode(random, deployment),
    for_s: randomDurationS(random, 1, 25),
  }),
  (random, deployment) => ({
    kind: 'node_cut',
    node: randomNode(random, deployment),
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 3, 40),
  }),
  (random, deployment) => ({
    kind: 'node_cut',
    node: randomNode(random, deployment),
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 3, 45),
    from_state: true,
    from_peers: random.chance(0.7),
  }),
  (random, deployment) => ({
    kind: 'node_cut',
    node: randomNode(random, deployment),
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 3, 40),
    from_workers: true,
  }),
  (random) => ({ kind: 'peers_refused', for_s: randomDurationS(random, 5, 40) }),
  (random, deployment) => ({
    kind: 'zone_cut',
    zone: random.pick(deployment.zones),
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 4, 45),
  }),
  (random) => ({ kind: 'state_outage', for_s: randomDurationS(random, 1, 45) }),
  (random, deployment) => ({
    kind: 'state_refuses',
    node: randomNode(random, deployment),
    for_s: randomDurationS(random, 2, 45),
  }),
  (random) => ({
    kind: 'state_slow',
    slow_ms: random.pick([150, 500, 1200]),
    for_s: randomDurationS(random, 5, 30),
  }),
  (random) => ({
    kind: 'late_writes',
    share: random.pick([0.1, 0.4, 0.8]),
    for_s: randomDurationS(random, 4, 25),
    at_once: random.chance(0.5),
  }),
  (random) => ({
    kind: 'late_reports',
    share: random.pick([0.2, 0.6]),
    for_s: randomDurationS(random, 5, 30),
    for_next: random.chance(0.5),
  }),
  (random) => ({
    kind: 'late_commands',
    share: random.pick([0.2, 0.6, 1]),
    for_s: randomDurationS(random, 4, 25),
  }),
  (random) => ({ kind: 'cloud_outage', for_s: randomDurationS(random, 5, 40) }),
  (random) => ({ kind: 'late_rentals', share: 0.5, for_s: randomDurationS(random, 10, 40) }),
  () => ({ kind: 'fast_boots', for_s: 60 }),
  (random, deployment) => ({
    kind: 'machine_deaf',
    ...randomMachineSelector(random, deployment),
    for_s: randomDurationS(random, 5, 40),
  }),
  (random, deployment) => ({
    kind: 'machine_mute',
    ...randomMachineSelector(random, deployment),
    for_s: randomDurationS(random, 5, 40),
  }),
  (random, deployment) => ({
    kind: 'machine_cut',
    ...randomMachineSelector(random, deployment),
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 5, 40),
  }),
  (random, deployment) => ({
    kind: 'machine_hang',
    ...randomMachineSelector(random, deployment),
    for_s: randomDurationS(random, 2, 25),
  }),
  (random, deployment) => ({
    kind: 'machine_sick',
    ...randomMachineSelector(random, deployment),
    for_s: randomDurationS(random, 5, 20),
  }),
  (random, deployment) => ({ kind: 'machine_end', ...randomMachineSelector(random, deployment) }),
  (random) => ({ kind: 'spot_wave', share: random.pick([0.5, 1]), notice_s: random.pick([0, 6, 15]) }),
  (random) => ({ kind: 'cancel_now', count: random.integer(1, 6), hang_s: random.pick([0, 0, 6, 15]) }),
  (random) => ({ kind: 'cancel_now', count: random.integer(1, 6), on: 'part_claimed' }),
  () => ({ kind: 'cancel_at_end', share: 0.5, for_s: 40 }),
  (random) => ({ kind: 'odd_requests', for_s: randomDurationS(random, 5, 20) }),
  () => ({ kind: 'close_looks', for_s: 45 }),
  (random) => ({
    kind: 'surge',
    class: 'batch',
    times: random.pick([2, 4]),
    for_s: randomDurationS(random, 5, 20),
  }),
];

/** Faults that meet a gang in each of its states. */
const GANG_FAULT_GENERATORS: readonly FaultGenerator[] = [
  (random) => ({ kind: 'machine_end', ...randomGangEvent(random), machine: 'event' }),
  (random) => ({
    kind: 'machine_hang',
    ...randomGangEvent(random),
    machine: 'event',
    for_s: randomDurationS(random, 1, 25),
  }),
  (random) => ({
    kind: 'machine_cut',
    ...randomGangEvent(random),
    machine: 'event',
    mode: randomPartitionMode(random),
    for_s: randomDurationS(random, 3, 30),
  }),
  (random) => ({
    kind: 'machine_deaf',
    ...randomGangEvent(random),
    machine: 'event',
    for_s: randomDurationS(random, 3, 30),
  }),
  (random) => ({
    kind: 'machine_sick',
    ...randomGangEvent(random),
    machine: 'event',
    for_s: randomDurationS(random, 3, 20),
  }),
  (random) => ({
    kind: 'cancel_now',
    ...randomGangEvent(random),
    count: random.integer(2, 8),
    hang_s: random.pick([0, 10]),
  }),
  (random, deployment) => ({
    kind: 'controller_end',
    ...randomGangEvent(random),
    node: randomNode(random, deployment),
    restart_s: random.pick([0.2, 6]),
  }),
  (random) => ({ kind: 'all_controllers_end', ...randomGangEvent(random), restart_s: random.pick([0.3, 4]) }),
  (random) => ({
    kind: 'spot_wave',
    ...randomGangEvent(random),
    share: 1,
    notice_s: random.pick([0, 4, 12]),
  }),
  (random) => ({
    kind: 'late_commands',
    ...randomGangEvent(random),
    share: random.pick([0.3, 0.8]),
    for_s: randomDurationS(random, 4, 20),
  }),
];

function randomGangEvent(random: RandomStream): Pick<FaultInput, 'on' | 'nth' | 'after_ms'> {
  return {
    on: random.pick(['gang_gathers', 'gang_started']),
    nth: random.integer(1, 6),
    after_ms: random.pick([0, 5, 300, 3000]),
  };
}

function randomGangFaults(random: RandomStream, deployment: Deployment): FaultInput[] {
  return Array.from({ length: random.integer(0, 2) }, () => ({
    ...random.pick(GANG_FAULT_GENERATORS)(random, deployment),
    at_s: Math.round(random.between(FAULTS_FROM_S, FAULTS_UNTIL_S - 30) * 100) / 100,
  }));
}

function randomDeployment(random: RandomStream): Deployment {
  const zones = ZONES.slice(0, random.integer(1, 3));
  const controllers = Array.from(
    { length: random.integer(2, 4) },
    (_, i) => zones[i % zones.length] as string,
  );
  const lease = random.pick([8, 12, 16]);
  const most = random.pick([24, 48, 96]);
  return {
    zones,
    controllers,
    report_s: random.pick([1.5, 2.5]),
    lease_s: lease,
    cancel_s: lease + random.pick([20, 25]),
    state: { rps: random.pick([80, 200]), write_rps: random.pick([15, 30]) },
    cloud: { capacity: random.pick([0, 4, 12]), list_lag_s: random.pick([2, 6]) },
    types: [
      { name: 'birch', cpus: 8, memory_gb: 32, boot_s: 6 },
      { name: 'spruce', cpus: 16, memory_gb: 64, boot_s: 12 },
    ],
    teams: TEAMS.map((name) => ({ name, cpus: most / 2, cpus_max: most })),
    machines: zones.flatMap((zone) => [
      { type: random.pick(['birch', 'spruce']), zone, count: random.integer(2, 4) },
      ...(random.chance(0.4) ? [{ type: 'birch', zone, spot: true, count: random.integer(1, 2) }] : []),
    ]),
  };
}

function randomLoad(random: RandomStream, deployment: Deployment): ScenarioInput['load'] {
  const batch: ScenarioInput['load'][number] = {
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
    until_s: 110,
    cancel_share: random.pick([0, 0.25, 0.6]),
    cancel_after_s: [0.1, 15],
    spot: random.chance(0.6),
    ...(random.chance(0.3) ? { zone: random.pick(deployment.zones) } : {}),
    ...(random.chance(0.3) ? { checkpoint_s: 4, save_s: random.pick([1, 3]) } : {}),
  };
  const service: ScenarioInput['load'][number] = {
    class: 'service',
    team: 'tides',
    shape: 'service',
    priority: 'critical',
    tasks: [1, 4],
    cpus: 2,
    at_start: random.integer(1, 4),
    per_minute: 2,
    until_s: 110,
    cancel_share: 0.6,
    cancel_after_s: [5, 70],
    spread: random.chance(0.4),
    same_zone: random.chance(0.2),
  };
  const loads = random.chance(0.7) ? [batch, service] : [batch];
  const gangs = random.fork('gangs');
  return gangs.chance(GANG_SHARE) ? [...loads, randomGangLoad(gangs)] : loads;
}

function randomGangLoad(random: RandomStream): ScenarioInput['load'][number] {
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
    until_s: 110,
    cancel_share: random.pick([0, 0.3]),
    cancel_after_s: [0.5, 25],
    spot: random.chance(0.4),
    same_zone: random.chance(0.5),
    ...(random.chance(0.7) ? { checkpoint_s: 5, save_s: random.pick([1, 3]) } : {}),
  };
}

function randomFaults(random: RandomStream, deployment: Deployment): FaultInput[] {
  const faults: FaultInput[] = [];
  const number = random.integer(2, 5);
  // They meet: all begin within some seconds of one another.
  const start = random.between(FAULTS_FROM_S, FAULTS_UNTIL_S - 30);
  const spread = random.pick([1, 8, 30]);
  for (let i = 0; i < number; i += 1) {
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

/** A scenario of its own for a seed; with a base, its deployment and load with other faults. */
export function randomScenario(seed: number, base: Scenario | null): Scenario {
  const random = new RandomStream(seed).fork('scenario');
  const deployment = base?.deployment ?? randomDeployment(random.fork('deployment'));
  const loads = base?.load ?? randomLoad(random.fork('load'), deployment);
  const gangs = loads.some((l) => l.shape === 'gang');
  const faults = [
    ...randomFaults(random.fork('faults'), deployment),
    ...(gangs ? randomGangFaults(random.fork('gang faults'), deployment) : []),
  ];
  const usable = faults.filter((f) => f.kind !== 'surge' || loads.some((l) => l.class === f.class));
  const input: ScenarioInput = {
    name: `fuzz-${seed}`,
    seed,
    duration_s: base?.duration_s ?? DURATION_S,
    deployment,
    load: loads,
    faults: usable,
  };
  return checkScenario(input, `fuzz-${seed}`);
}
