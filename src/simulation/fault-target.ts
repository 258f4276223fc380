/** What faults reach into: the simulated cluster as they see it, and one fault at the moment at which it begins. */
import type { Arrivals } from './arrivals.js';
import type { EventQueue, Host } from './clock.js';
import type { SimulatedCloud } from './cloud.js';
import type { ControllerNode } from './controller-node.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedMachines, WorkerLinks } from './machines.js';
import type { Network, Partition, PartitionMode } from './network.js';
import type { RandomStream } from './random.js';
import type { EventName, Fault, Scenario } from './scenario-schema.js';
import type { StoreService } from './store-service.js';
import type { Trace } from './trace.js';
import type { Users } from './users.js';

/** Ends a fault; null: there is nothing to end. */
export type EndFault = (() => void) | null;

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
export interface FaultActivation<F extends Fault = Fault> {
  readonly fault: F;
  readonly event: SimulationEvent | null;
  readonly random: RandomStream;
}

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
  /** Where events are announced on which other faults may wait. */
  readonly faults: { onEvent(event: SimulationEvent): void };
}

/** The controller that a fault asks for: by number, the one of the event, or a random one. */
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

/** Stops packets in the network; returns what heals it. */
export function partition(target: FaultTarget, mode: PartitionMode, blocks: Partition['blocks']): () => void {
  const partition: Partition = { mode, blocks };
  target.network.addPartition(partition);
  return () => target.network.heal(partition);
}
