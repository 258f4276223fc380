/** Faults of controllers, and network partitions between controllers or zones. */
import type { Host } from './clock.js';
import type { ControllerNode } from './controller-node.js';
import {
  startPartition,
  selectNode,
  type EndFault,
  type FaultActivation,
  type FaultTarget,
} from './fault-target.js';
import type { RandomStream } from './random.js';
import type { Fault } from './scenario-schema.js';

/** If a fault gives no restart time, the deployment's is used, multiplied by a factor in this range. */
const RESTART_TIME_FACTOR = { low: 0.8, high: 1.2 };

function stopNode(
  target: FaultTarget,
  node: ControllerNode,
  restartS: number | undefined,
  random: RandomStream,
): void {
  if (!node.host.up) return;
  node.stop();
  target.links.repeatedCommands.onControllerEnded();
  target.faults.onEvent({ name: 'controller_ended', node: node.name });
  const delayS = restartS ?? target.scenario.deployment.restart_s * random.within(RESTART_TIME_FACTOR);
  target.queue.after(delayS * 1000, () => target.startNode(node));
}

/** Begins a fault of controllers or of the network; returns undefined for other kinds. */
export function applyToControllers(target: FaultTarget, activation: FaultActivation): EndFault | undefined {
  const { fault, random } = activation;
  const { nodes, queue } = target;
  switch (fault.kind) {
    case 'controller_end':
      stopNode(target, selectNode(target, fault.node, activation), fault.restart_s, random);
      return null;
    case 'all_controllers_end':
      for (const node of nodes) stopNode(target, node, fault.restart_s, random);
      return null;
    case 'controllers_restart':
      nodes.forEach((node, index) =>
        queue.after(index * fault.gap_s * 1000, () => stopNode(target, node, undefined, random)),
      );
      return null;
    case 'controller_pause':
      selectNode(target, fault.node, activation).host.pause(fault.for_s * 1000);
      return null;
    case 'node_cut':
      return partitionNode(target, fault, selectNode(target, fault.node, activation).host);
    case 'peers_refused': {
      const isNode = (host: Host): boolean => nodes.some((node) => node.host === host);
      return startPartition(target, 'refuse', (a, b) => isNode(a) && isNode(b));
    }
    case 'zone_cut':
      return startPartition(
        target,
        fault.mode,
        (a, b) => (a.zone === fault.zone) !== (b.zone === fault.zone),
      );
    case 'zones_cut': {
      const connectsZones = (a: Host, b: Host): boolean =>
        a.zone === fault.zone && b.zone === fault.other_zone;
      return startPartition(target, fault.mode, (a, b) => connectsZones(a, b) || connectsZones(b, a));
    }
    default:
      return undefined;
  }
}

function partitionNode(
  target: FaultTarget,
  fault: Extract<Fault, { kind: 'node_cut' }>,
  host: Host,
): () => void {
  const { storeHost, userHost, nodes } = target;
  const isCutOffFromAll = !fault.from_state && !fault.from_peers && !fault.from_workers && !fault.from_users;
  const isCutOff = (other: Host): boolean => {
    if (isCutOffFromAll) return true;
    if (other === storeHost) return fault.from_state;
    if (other === userHost) return fault.from_users;
    if (nodes.some((node) => node.host === other)) return fault.from_peers;
    return other.name.startsWith('m-') && fault.from_workers;
  };
  return startPartition(
    target,
    fault.mode,
    (a, b) => (a === host && isCutOff(b)) || (b === host && isCutOff(a)),
  );
}
