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

type Generator = (r: RandomStream, where: Deployment) => FaultInput;
type Deployment = ScenarioInput['deployment'];

const forS = (r: RandomStream, low: number, high: number): number =>
  Math.round(r.between(low, high) * 10) / 10;
const nodeOf = (r: RandomStream, d: Deployment): number => r.whole(0, d.controllers.length - 1);
const modeOf = (r: RandomStream): 'drop' | 'hold' | 'refuse' => r.pick(['drop', 'hold', 'hold', 'refuse']);
const someOf = (r: RandomStream, d: Deployment): { share?: number; count?: number; zone?: string } =>
  r.pick([{ share: r.pick([0.2, 0.5, 1]) }, { count: r.whole(1, 3) }, { zone: r.pick(d.zones) }]);

/** One for each kind of fault, with a spread of its fields that has room for the odd and the long. */
const GENERATORS: readonly Generator[] = [
  (r, d) => ({ kind: 'controller_end', node: nodeOf(r, d), restart_s: r.pick([0.2, 0.6, 4, 12]) }),
  (r) => ({ kind: 'controller_end', on: 'part_claimed', node: 'event', restart_s: r.pick([0.2, 3]) }),
  (r) => ({ kind: 'all_controllers_end', restart_s: r.pick([0.3, 4, 20]) }),
  (r) => ({ kind: 'controllers_restart', gap_s: r.pick([2, 8]) }),
  (r, d) => ({ kind: 'controller_pause', node: nodeOf(r, d), for_s: forS(r, 1, 25) }),
  (r, d) => ({ kind: 'node_cut', node: nodeOf(r, d), mode: modeOf(r), for_s: forS(r, 3, 40) }),
  (r, d) => ({
    kind: 'node_cut',
    node: nodeOf(r, d),
    mode: modeOf(r),
    for_s: forS(r, 3, 45),
    from_state: true,
    from_peers: r.chance(0.7),
  }),
  (r, d) => ({
    kind: 'node_cut',
    node: nodeOf(r, d),
    mode: modeOf(r),
    for_s: forS(r, 3, 40),
    from_workers: true,
  }),
  (r) => ({ kind: 'peers_refused', for_s: forS(r, 5, 40) }),
  (r, d) => ({ kind: 'zone_cut', zone: r.pick(d.zones), mode: modeOf(r), for_s: forS(r, 4, 45) }),
  (r) => ({ kind: 'state_outage', for_s: forS(r, 1, 45) }),
  (r, d) => ({ kind: 'state_refuses', node: nodeOf(r, d), for_s: forS(r, 2, 45) }),
  (r) => ({ kind: 'state_slow', slow_ms: r.pick([150, 500, 1200]), for_s: forS(r, 5, 30) }),
  (r) => ({
    kind: 'late_writes',
    share: r.pick([0.1, 0.4, 0.8]),
    for_s: forS(r, 4, 25),
    at_once: r.chance(0.5),
  }),
  (r) => ({
    kind: 'late_reports',
    share: r.pick([0.2, 0.6]),
    for_s: forS(r, 5, 30),
    for_next: r.chance(0.5),
  }),
  (r) => ({ kind: 'late_commands', share: r.pick([0.2, 0.6, 1]), for_s: forS(r, 4, 25) }),
  (r) => ({ kind: 'cloud_outage', for_s: forS(r, 5, 40) }),
  (r) => ({ kind: 'late_rentals', share: 0.5, for_s: forS(r, 10, 40) }),
  () => ({ kind: 'fast_boots', for_s: 60 }),
  (r, d) => ({ kind: 'machine_deaf', ...someOf(r, d), for_s: forS(r, 5, 40) }),
  (r, d) => ({ kind: 'machine_mute', ...someOf(r, d), for_s: forS(r, 5, 40) }),
  (r, d) => ({ kind: 'machine_cut', ...someOf(r, d), mode: modeOf(r), for_s: forS(r, 5, 40) }),
  (r, d) => ({ kind: 'machine_hang', ...someOf(r, d), for_s: forS(r, 2, 25) }),
  (r, d) => ({ kind: 'machine_sick', ...someOf(r, d), for_s: forS(r, 5, 20) }),
  (r, d) => ({ kind: 'machine_end', ...someOf(r, d) }),
  (r) => ({ kind: 'spot_wave', share: r.pick([0.5, 1]), notice_s: r.pick([0, 6, 15]) }),
  (r) => ({ kind: 'cancel_now', count: r.whole(1, 6), hang_s: r.pick([0, 0, 6, 15]) }),
  (r) => ({ kind: 'cancel_now', count: r.whole(1, 6), on: 'part_claimed' }),
  () => ({ kind: 'cancel_at_end', share: 0.5, for_s: 40 }),
  (r) => ({ kind: 'odd_requests', for_s: forS(r, 5, 20) }),
  () => ({ kind: 'close_looks', for_s: 45 }),
  (r) => ({ kind: 'surge', class: 'batch', times: r.pick([2, 4]), for_s: forS(r, 5, 20) }),
];

/** Faults that meet a gang in each of its states. */
const GANG_GENERATORS: readonly Generator[] = [
  (r) => ({ kind: 'machine_end', ...gangEvent(r), machine: 'event' }),
  (r) => ({ kind: 'machine_hang', ...gangEvent(r), machine: 'event', for_s: forS(r, 1, 25) }),
  (r) => ({ kind: 'machine_cut', ...gangEvent(r), machine: 'event', mode: modeOf(r), for_s: forS(r, 3, 30) }),
  (r) => ({ kind: 'machine_deaf', ...gangEvent(r), machine: 'event', for_s: forS(r, 3, 30) }),
  (r) => ({ kind: 'machine_sick', ...gangEvent(r), machine: 'event', for_s: forS(r, 3, 20) }),
  (r) => ({ kind: 'cancel_now', ...gangEvent(r), count: r.whole(2, 8), hang_s: r.pick([0, 10]) }),
  (r, d) => ({ kind: 'controller_end', ...gangEvent(r), node: nodeOf(r, d), restart_s: r.pick([0.2, 6]) }),
  (r) => ({ kind: 'all_controllers_end', ...gangEvent(r), restart_s: r.pick([0.3, 4]) }),
  (r) => ({ kind: 'spot_wave', ...gangEvent(r), share: 1, notice_s: r.pick([0, 4, 12]) }),
  (r) => ({ kind: 'late_commands', ...gangEvent(r), share: r.pick([0.3, 0.8]), for_s: forS(r, 4, 20) }),
];

function gangEvent(r: RandomStream): Pick<FaultInput, 'on' | 'nth' | 'after_ms'> {
  return {
    on: r.pick(['gang_gathers', 'gang_started']),
    nth: r.whole(1, 6),
    after_ms: r.pick([0, 5, 300, 3000]),
  };
}

function gangFaultsOf(r: RandomStream, d: Deployment): FaultInput[] {
  return Array.from({ length: r.whole(0, 2) }, () => ({
    ...r.pick(GANG_GENERATORS)(r, d),
    at_s: Math.round(r.between(FAULTS_FROM_S, FAULTS_UNTIL_S - 30) * 100) / 100,
  }));
}

function deploymentOf(r: RandomStream): Deployment {
  const zones = ZONES.slice(0, r.whole(1, 3));
  const controllers = Array.from({ length: r.whole(2, 4) }, (_, i) => zones[i % zones.length] as string);
  const lease = r.pick([8, 12, 16]);
  const most = r.pick([24, 48, 96]);
  return {
    zones,
    controllers,
    report_s: r.pick([1.5, 2.5]),
    lease_s: lease,
    cancel_s: lease + r.pick([20, 25]),
    state: { rps: r.pick([80, 200]), write_rps: r.pick([15, 30]) },
    cloud: { capacity: r.pick([0, 4, 12]), list_lag_s: r.pick([2, 6]) },
    types: [
      { name: 'birch', cpus: 8, memory_gb: 32, boot_s: 6 },
      { name: 'spruce', cpus: 16, memory_gb: 64, boot_s: 12 },
    ],
    teams: TEAMS.map((name) => ({ name, cpus: most / 2, cpus_max: most })),
    machines: zones.flatMap((zone) => [
      { type: r.pick(['birch', 'spruce']), zone, count: r.whole(2, 4) },
      ...(r.chance(0.4) ? [{ type: 'birch', zone, spot: true, count: r.whole(1, 2) }] : []),
    ]),
  };
}

function loadOf(r: RandomStream, d: Deployment): ScenarioInput['load'] {
  const batch: ScenarioInput['load'][number] = {
    class: 'batch',
    team: 'atlas',
    tasks: r.pick([
      [1, 1],
      [2, 3],
      [4, 12],
    ]),
    cpus: r.pick([1, 2, 4]),
    run_s: r.pick([
      [0.5, 3],
      [4, 20],
      [30, 90],
    ]),
    image_gb: r.pick([0.3, 2]),
    at_start: r.whole(1, 4),
    per_minute: r.pick([6, 15, 40]),
    until_s: 110,
    cancel_share: r.pick([0, 0.25, 0.6]),
    cancel_after_s: [0.1, 15],
    spot: r.chance(0.6),
    ...(r.chance(0.3) ? { zone: r.pick(d.zones) } : {}),
    ...(r.chance(0.3) ? { checkpoint_s: 4, save_s: r.pick([1, 3]) } : {}),
  };
  const service: ScenarioInput['load'][number] = {
    class: 'service',
    team: 'tides',
    shape: 'service',
    priority: 'critical',
    tasks: [1, 4],
    cpus: 2,
    at_start: r.whole(1, 4),
    per_minute: 2,
    until_s: 110,
    cancel_share: 0.6,
    cancel_after_s: [5, 70],
    spread: r.chance(0.4),
    same_zone: r.chance(0.2),
  };
  const loads = r.chance(0.7) ? [batch, service] : [batch];
  const gangs = r.fork('gangs');
  return gangs.chance(GANG_SHARE) ? [...loads, gangLoadOf(gangs)] : loads;
}

function gangLoadOf(r: RandomStream): ScenarioInput['load'][number] {
  return {
    class: 'gang',
    team: r.pick(TEAMS),
    shape: 'gang',
    priority: r.pick(['urgent', 'standard']),
    tasks: r.pick([
      [2, 4],
      [4, 8],
    ]),
    cpus: r.pick([1, 2]),
    run_s: r.pick([
      [3, 10],
      [20, 50],
    ]),
    image_gb: r.pick([0.3, 2]),
    at_start: r.whole(1, 3),
    per_minute: r.pick([4, 10]),
    until_s: 110,
    cancel_share: r.pick([0, 0.3]),
    cancel_after_s: [0.5, 25],
    spot: r.chance(0.4),
    same_zone: r.chance(0.5),
    ...(r.chance(0.7) ? { checkpoint_s: 5, save_s: r.pick([1, 3]) } : {}),
  };
}

function faultsOf(r: RandomStream, d: Deployment): FaultInput[] {
  const faults: FaultInput[] = [];
  const number = r.whole(2, 5);
  // They meet: all begin within some seconds of one another.
  const start = r.between(FAULTS_FROM_S, FAULTS_UNTIL_S - 30);
  const spread = r.pick([1, 8, 30]);
  for (let i = 0; i < number; i += 1) {
    const fault = r.pick(GENERATORS)(r, d);
    fault.at_s = Math.round((start + r.between(0, spread)) * 100) / 100;
    if (fault.on === undefined && r.chance(0.3)) {
      fault.on = r.pick(EVENT_CHOICES);
      fault.after_ms = r.pick([0, 0, 5, 200, 1500]);
      fault.nth = r.whole(1, 3);
    }
    faults.push(fault);
  }
  return faults;
}

/** A scenario of its own for a seed; with a base, its deployment and load with other faults. */
export function randomScenario(seed: number, base: Scenario | null): Scenario {
  const random = new RandomStream(seed).fork('scenario');
  const deployment = base?.deployment ?? deploymentOf(random.fork('deployment'));
  const loads = base?.load ?? loadOf(random.fork('load'), deployment);
  const gangs = loads.some((l) => l.shape === 'gang');
  const faults = [
    ...faultsOf(random.fork('faults'), deployment),
    ...(gangs ? gangFaultsOf(random.fork('gang faults'), deployment) : []),
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
