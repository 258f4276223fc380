/** Generators of random faults. The order of the lists and of the draws determines the faults of a seed. */
import type { RandomStream } from './random.js';
import type { FaultInput, ScenarioInput } from './scenario.js';

type Deployment = ScenarioInput['deployment'];
/** Draws one fault for a deployment. */
export type FaultGenerator = (random: RandomStream, deployment: Deployment) => FaultInput;

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

/** Generators for most kinds of faults; their value ranges include unusual and long faults. */
export const FAULT_GENERATORS: readonly FaultGenerator[] = [
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

/** Faults triggered while a gang gathers or after it has started. */
export const GANG_FAULT_GENERATORS: readonly FaultGenerator[] = [
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
