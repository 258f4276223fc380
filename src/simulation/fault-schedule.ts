/** Brings about the faults of a scenario, at their time or on their event, and ends them. */
import type { Arrivals } from './arrivals.js';
import type { EventQueue, Host } from './clock.js';
import type { SimulatedCloud } from './cloud.js';
import type { ControllerNode } from './controller-node.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { Partition, PartitionMode, Network } from './network.js';
import type { RandomStream } from './random.js';
import type { EventName, Fault, Scenario } from './scenario.js';
import type { StoreService } from './store-service.js';
import type { Trace } from './trace.js';
import type { Users } from './users.js';
import type { SimulatedMachine, SimulatedMachines, WorkerLinks } from './machines.js';

type EndFault = (() => void) | null;

/** What happened: its kind, and whom it concerns. */
export interface SimulationEvent {
  readonly name: EventName;
  /** A controller's name, where one brought it about. */
  readonly node?: string;
  readonly keys?: readonly string[];
  /** The machine that it concerns. */
  readonly machine?: string;
}

/** One fault at the moment at which it begins. */
interface FaultActivation<F extends Fault = Fault> {
  readonly fault: F;
  readonly event: SimulationEvent | null;
  readonly random: RandomStream;
}

interface WaitingFault {
  readonly fault: Fault;
  remainingEvents: number;
}

interface MachineSelector {
  readonly count?: number;
  readonly share?: number;
  readonly zone?: string;
  readonly machine?: 'event';
}

/** Cancellations of `cancel_now` fall within a fifth of a second; at most so many machines hang with them. */
const CANCEL_SPREAD_MS = 200;
const MAX_HANGING_MACHINES = 8;
const LATE_WRITE_DELAY_MS = { low: 2000, high: 12_000 };
const IRREGULAR_REQUEST_INTERVAL_MS = 400;
/** Controllers restart after this many times the deployment's restart time. */
const RESTART_TIME_FACTOR = { low: 0.8, high: 1.2 };

/** The simulated cluster, as far as faults reach into it. */
export interface FaultTarget {
  readonly queue: EventQueue;
  readonly trace: Trace;
  readonly scenario: Scenario;
  readonly network: Network;
  readonly storeService: StoreService;
  readonly cloud: SimulatedCloud;
  readonly invariantChecker: InvariantChecker;
  readonly machines: SimulatedMachines;
  readonly nodes: readonly ControllerNode[];
  readonly users: Users;
  readonly arrivals: Arrivals;
  readonly links: WorkerLinks;
  readonly storeHost: Host;
  readonly userHost: Host;
  /** Share of the jobs that are cancelled at the moment at which they complete. */
  cancelOnCompletionShare: number;
  startNode(node: ControllerNode): void;
}

/** Activates each fault at its time or on its event, and tells the invariant checker whether any is active or still to come. */
export class FaultSchedule {
  private waiting: WaitingFault[] = [];
  private active = 0;
  private pending = 0;
  /** Faults that have begun. */
  begunCount = 0;

  constructor(
    private readonly target: FaultTarget,
    private readonly random: RandomStream,
  ) {}

  start(faults: readonly Fault[]): void {
    for (const fault of faults) {
      this.pending += 1;
      this.target.queue.after(fault.at_s * 1000, () => this.activate(fault));
    }
    this.updateFaultsOver();
  }

  private activate(fault: Fault): void {
    this.pending -= 1;
    if (fault.on === undefined) this.begin(fault, null);
    else this.waiting.push({ fault, remainingEvents: fault.nth });
    this.updateFaultsOver();
  }

  private updateFaultsOver(): void {
    this.target.invariantChecker.setFaultsOver(this.active === 0 && this.pending === 0);
  }

  onEvent(event: SimulationEvent): void {
    for (const waiting of [...this.waiting]) {
      const { fault } = waiting;
      if (fault.on !== event.name) continue;
      const prefix = fault.key;
      if (prefix !== undefined && !event.keys?.some((key) => key.startsWith(prefix))) continue;
      waiting.remainingEvents -= 1;
      if (waiting.remainingEvents > 0) continue;
      this.waiting = this.waiting.filter((other) => other !== waiting);
      this.begin(fault, event);
    }
  }

  private begin(fault: Fault, event: SimulationEvent | null): void {
    const { queue, trace } = this.target;
    this.active += 1;
    this.updateFaultsOver();
    queue.after(fault.after_ms, () => {
      this.begunCount += 1;
      trace.add(`fault ${fault.kind} begins`);
      // A stream of its own: without the other faults this one still chooses the same.
      const random = this.random.fork(`${fault.kind}/${fault.at_s}`);
      const end = this.apply({ fault, event, random });
      const lasts = 'for_s' in fault ? fault.for_s * 1000 : 0;
      queue.after(lasts, () => {
        end?.();
        trace.add(`fault ${fault.kind} ends`);
        this.active -= 1;
        this.updateFaultsOver();
      });
    });
  }

  private apply(activation: FaultActivation): EndFault {
    return (
      this.applyToControllers(activation) ??
      this.applyToServices(activation) ??
      this.applyToMachines(activation) ??
      this.applyToUsers(activation)
    );
  }

  private selectNode(node: number | 'event' | undefined, activation: FaultActivation): ControllerNode {
    const { nodes } = this.target;
    const eventNode = nodes.find((node) => node.name === activation.event?.node);
    if (node === 'event' && eventNode) return eventNode;
    return typeof node === 'number' ? (nodes[node] as ControllerNode) : activation.random.pick(nodes);
  }

  private stopNode(node: ControllerNode, restartS: number | undefined, random: RandomStream): void {
    if (!node.host.up) return;
    node.end();
    this.onEvent({ name: 'controller_ended', node: node.name });
    const delayS = restartS ?? this.target.scenario.deployment.restart_s * random.within(RESTART_TIME_FACTOR);
    this.target.queue.after(delayS * 1000, () => this.target.startNode(node));
  }

  private partition(mode: PartitionMode, blocks: Partition['blocks']): () => void {
    const partition: Partition = { mode, blocks };
    this.target.network.addPartition(partition);
    return () => this.target.network.heal(partition);
  }

  private applyToControllers(activation: FaultActivation): EndFault | undefined {
    const { fault, random } = activation;
    const { nodes, queue } = this.target;
    switch (fault.kind) {
      case 'controller_end':
        this.stopNode(this.selectNode(fault.node, activation), fault.restart_s, random);
        return null;
      case 'all_controllers_end':
        for (const node of nodes) this.stopNode(node, fault.restart_s, random);
        return null;
      case 'controllers_restart':
        nodes.forEach((node, index) =>
          queue.after(index * fault.gap_s * 1000, () => this.stopNode(node, undefined, random)),
        );
        return null;
      case 'controller_pause':
        this.selectNode(fault.node, activation).host.pause(fault.for_s * 1000);
        return null;
      case 'node_cut':
        return this.partitionNode(fault, this.selectNode(fault.node, activation).host);
      case 'peers_refused': {
        const isNode = (host: Host): boolean => nodes.some((node) => node.host === host);
        return this.partition('refuse', (a, b) => isNode(a) && isNode(b));
      }
      case 'zone_cut':
        return this.partition(fault.mode, (a, b) => (a.zone === fault.zone) !== (b.zone === fault.zone));
      case 'zones_cut': {
        const between = (a: Host, b: Host): boolean => a.zone === fault.zone && b.zone === fault.other_zone;
        return this.partition(fault.mode, (a, b) => between(a, b) || between(b, a));
      }
      default:
        return undefined;
    }
  }

  private partitionNode(fault: Extract<Fault, { kind: 'node_cut' }>, host: Host): () => void {
    const { storeHost, userHost, nodes } = this.target;
    const everything = !fault.from_state && !fault.from_peers && !fault.from_workers && !fault.from_users;
    const isCutOff = (other: Host): boolean => {
      if (everything) return true;
      if (other === storeHost) return fault.from_state;
      if (other === userHost) return fault.from_users;
      if (nodes.some((node) => node.host === other)) return fault.from_peers;
      return other.name.startsWith('m-') && fault.from_workers;
    };
    return this.partition(fault.mode, (a, b) => (a === host && isCutOff(b)) || (b === host && isCutOff(a)));
  }

  private applyToServices(activation: FaultActivation): EndFault | undefined {
    const { fault, random } = activation;
    const { storeService, cloud, links } = this.target;
    switch (fault.kind) {
      case 'state_outage':
        storeService.outage = true;
        return () => storeService.endOutage();
      case 'state_refuses': {
        const { name } = this.selectNode(fault.node, activation);
        storeService.refusedControllers.add(name);
        return () => storeService.endRefusal(name);
      }
      case 'state_slow':
        storeService.extraDelayMs = fault.slow_ms;
        return () => (storeService.extraDelayMs = 0);
      case 'late_writes': {
        const late = (): number => random.within(LATE_WRITE_DELAY_MS);
        storeService.nextTransactionFate = () => {
          if (!random.chance(fault.share)) return { kind: 'normal' };
          return fault.at_once ? { kind: 'answer-lost' } : { kind: 'late', delayMs: late() };
        };
        return () => (storeService.nextTransactionFate = () => ({ kind: 'normal' }));
      }
      case 'late_reports':
        links.lateHeartbeats = { share: fault.share, forNext: fault.for_next };
        return () => (links.lateHeartbeats = { share: 0, forNext: false });
      case 'late_commands':
        links.lateCommandShare = fault.share;
        return () => (links.lateCommandShare = 0);
      case 'cloud_outage':
        cloud.outage = true;
        return () => (cloud.outage = false);
      case 'cloud_empty':
        cloud.outOfCapacity = true;
        return () => (cloud.outOfCapacity = false);
      case 'late_rentals':
        cloud.lateShare = fault.share;
        return () => (cloud.lateShare = 0);
      case 'fast_boots':
        cloud.fastBoots = true;
        return () => (cloud.fastBoots = false);
      default:
        return undefined;
    }
  }

  private selectMachines(
    fault: MachineSelector,
    { event, random }: FaultActivation,
    spotOnly = false,
  ): SimulatedMachine[] {
    const up = this.target.machines.all();
    const concerned = up.filter((machine) => machine.spec.id === event?.machine);
    if (fault.machine === 'event' && concerned.length > 0) return concerned;
    const all = up.filter(
      (machine) =>
        (fault.zone === undefined || machine.spec.zone === fault.zone) && (!spotOnly || machine.spec.spot),
    );
    const everything = fault.zone !== undefined && fault.count === undefined && fault.share === undefined;
    const number = fault.count ?? Math.ceil(all.length * (fault.share ?? 0));
    return everything ? all : random.sample(all, Math.max(1, number));
  }

  private applyToMachines(activation: FaultActivation): EndFault | undefined {
    const { fault } = activation;
    switch (fault.kind) {
      case 'machine_deaf':
      case 'machine_mute':
      case 'machine_cut':
        return this.partitionMachines(fault, activation);
      case 'machine_hang':
        for (const machine of this.selectMachines(fault, activation)) machine.worker.hang(fault.for_s * 1000);
        return null;
      case 'machine_sick': {
        const sick = this.selectMachines(fault, activation);
        for (const machine of sick) machine.worker.failing = true;
        return () => sick.forEach((machine) => (machine.worker.failing = false));
      }
      case 'machine_slow': {
        const slow = this.selectMachines(fault, activation);
        for (const machine of slow) machine.worker.slowness = fault.times;
        return () => slow.forEach((machine) => (machine.worker.slowness = 1));
      }
      case 'machine_end':
        for (const machine of this.selectMachines(fault, activation)) this.target.machines.fail(machine);
        return null;
      case 'spot_wave':
        for (const machine of this.selectMachines(fault, activation, true))
          this.target.machines.interrupt(machine, fault.notice_s);
        return null;
      default:
        return undefined;
    }
  }

  private partitionMachines(
    fault: Extract<Fault, { kind: 'machine_deaf' | 'machine_mute' | 'machine_cut' }>,
    activation: FaultActivation,
  ): () => void {
    const hosts = new Set(this.selectMachines(fault, activation).map((machine) => machine.host));
    if (fault.kind === 'machine_cut')
      return this.partition(fault.mode, (a, b) => hosts.has(a) || hosts.has(b));
    const { links } = this.target;
    const set = fault.kind === 'machine_deaf' ? links.inboundLost : links.heartbeatsLost;
    for (const host of hosts) set.add(host);
    return () => hosts.forEach((host) => set.delete(host));
  }

  private applyToUsers({ fault, random }: FaultActivation): EndFault {
    const { users, queue, arrivals } = this.target;
    switch (fault.kind) {
      case 'cancel_now':
        this.cancelNow(fault.count, fault.hang_s, random);
        return null;
      case 'cancel_at_end':
        this.target.cancelOnCompletionShare = fault.share;
        return () => (this.target.cancelOnCompletionShare = 0);
      case 'odd_requests':
        for (let at = 0; at < fault.for_s * 1000; at += IRREGULAR_REQUEST_INTERVAL_MS)
          queue.after(at, () => users.sendIrregularRequest(Math.round(queue.now)));
        return null;
      case 'close_looks':
        users.pollAllNodesOnChange = true;
        return () => (users.pollAllNodesOnChange = false);
      case 'surge':
        arrivals.setRateFactor(fault.class, fault.times);
        return () => arrivals.setRateFactor(fault.class, 1);
      default:
        return null;
    }
  }

  /** Jobs that run are cancelled at nearly the same moment, and some of their machines hang. */
  private cancelNow(number: number, hangS: number, random: RandomStream): void {
    const { users, queue, machines } = this.target;
    const chosen = random.sample(users.unfinished(), number).map((job) => job.id);
    for (const id of chosen) queue.after(random.between(0, CANCEL_SPREAD_MS), () => users.cancel(id));
    if (hangS <= 0) return;
    const runsChosen = (machine: SimulatedMachine): boolean =>
      machine.worker.occupyingTasks().some((task) => chosen.includes(task.slice(0, task.lastIndexOf('/'))));
    for (const machine of machines.all().filter(runsChosen).slice(0, MAX_HANGING_MACHINES))
      machine.worker.hang(hangS * 1000);
  }
}
