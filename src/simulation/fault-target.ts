/** Access of faults to the simulated cluster, and the activation of a fault. */
import type { Arrivals } from './arrivals.js';
import type { EventQueue, Host } from './clock.js';
import type { SimulatedCloud } from './cloud.js';
import type { ControllerNode } from './controller-node.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedMachines, WorkerLinks } from './machines.js';
import type { Network, Partition, PartitionMode } from './network.js';
import type { RandomStream } from './random.js';
import type { EventName } from './fault-schema.js';
import type { Fault, Scenario } from './scenario-schema.js';
import type { StoreService } from './store-service.js';
import type { Trace } from './trace.js';
import type { Users } from './users.js';

/** Ends a fault; null if there is nothing to end. */
export type EndFault = (() => void) | null;

/** An event that can trigger faults, with the controller, keys or machine that it concerns. */
export interface SimulationEvent {
  readonly name: EventName;
  /** Name of the controller that caused the event, if any. */
  readonly node?: string;
  readonly keys?: readonly string[];
  /** Id of the machine that the event concerns, if any. */
  readonly machine?: string;
}

/** A fault at the moment it begins; `event` is the event that triggered it, or null. */
export interface FaultActivation<F extends Fault = Fault> {
  readonly fault: F;
  readonly event: SimulationEvent | null;
  readonly random: RandomStream;
}

/** The parts of the simulated cluster that faults can change. */
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
  /** Share of jobs whose users cancel them at the moment their last task completes. */
  cancelOnCompletionShare: number;
  startNode(node: ControllerNode): void;
  /** Receives the events that can trigger other faults. */
  readonly faults: { onEvent(event: SimulationEvent): void };
}

/** Returns the controller that a fault selects: by index, the controller of the event, or a random one. */
export function selectNode(
  target: FaultTarget,
  node: number | 'event' | undefined,
  activation: FaultActivation,
): ControllerNode {
  const { nodes } = target;
  const eventNode = nodes.find((node) => node.name === activation.event?.node);
  if (node === 'event' && eventNode) return eventNode;
  return typeof node === 'number' ? (nodes[node] as ControllerNode) : activation.random.pick(nodes);
}

/** Adds a network partition; returns a function that heals it. */
export function startPartition(
  target: FaultTarget,
  mode: PartitionMode,
  blocks: Partition['blocks'],
): () => void {
  const partition: Partition = { mode, blocks };
  target.network.addPartition(partition);
  return () => target.network.heal(partition);
}
