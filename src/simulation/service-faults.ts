/** Faults of the state service, the cloud, and the messages between workers and controllers. */
import { selectNode, type EndFault, type FaultActivation, type FaultTarget } from './fault-target.js';

const LATE_WRITE_DELAY_MS = { low: 2000, high: 12_000 };
const REPEATED_WRITE_DELAY_MS = { low: 200, high: 30_000 };

/** Begins a fault of the state service; returns undefined for other kinds. */
export function applyToStore(target: FaultTarget, activation: FaultActivation): EndFault | undefined {
  const { fault, random } = activation;
  const { storeService } = target;
  switch (fault.kind) {
    case 'state_outage':
      storeService.outage = true;
      return () => storeService.endOutage();
    case 'state_refuses': {
      const { name } = selectNode(target, fault.node, activation);
      storeService.refusedControllers.add(name);
      return () => storeService.endRefusal(name);
    }
    case 'state_slow':
      storeService.extraDelayMs = fault.slow_ms;
      return () => (storeService.extraDelayMs = 0);
    case 'late_writes': {
      const drawDelayMs = (): number => random.within(LATE_WRITE_DELAY_MS);
      storeService.nextTransactionFault = () => {
        if (!random.chance(fault.share)) return { kind: 'normal' };
        return fault.at_once ? { kind: 'answer-lost' } : { kind: 'late', delayMs: drawDelayMs() };
      };
      return () => (storeService.nextTransactionFault = () => ({ kind: 'normal' }));
    }
    case 'repeated_writes': {
      storeService.nextTransactionFault = () =>
        random.chance(fault.share)
          ? { kind: 'repeated', delayMs: random.within(REPEATED_WRITE_DELAY_MS) }
          : { kind: 'normal' };
      return () => (storeService.nextTransactionFault = () => ({ kind: 'normal' }));
    }
    default:
      return undefined;
  }
}

/** Begins a fault of the cloud, or of messages between workers and controllers; returns undefined for other kinds. */
export function applyToCloudAndLinks(
  target: FaultTarget,
  { fault, random }: FaultActivation,
): EndFault | undefined {
  const { cloud, links } = target;
  switch (fault.kind) {
    case 'late_reports':
      links.delayedHeartbeatOptions = { share: fault.share, heldUntilFailover: fault.for_next };
      return () => (links.delayedHeartbeatOptions = { share: 0, heldUntilFailover: false });
    case 'late_commands':
      links.lateCommandShare = fault.share;
      return () => (links.lateCommandShare = 0);
    case 'repeated_commands': {
      const { share, at_failover: heldUntilControllerEnds } = fault;
      links.repeatedCommands.options = { share, heldUntilControllerEnds, random };
      return () => (links.repeatedCommands.options = null);
    }
    case 'repeated_requests':
      cloud.repeatedRequests = { share: fault.share, random };
      return () => (cloud.repeatedRequests = null);
    case 'cloud_outage':
      cloud.outage = true;
      return () => (cloud.outage = false);
    case 'cloud_empty':
      cloud.outOfCapacity = true;
      return () => (cloud.outOfCapacity = false);
    case 'late_rentals':
      cloud.lateExecutionShare = fault.share;
      return () => (cloud.lateExecutionShare = 0);
    case 'fast_boots':
      cloud.fastBoots = true;
      return () => (cloud.fastBoots = false);
    default:
      return undefined;
  }
}
