/** Faults of machines, their workers and their links. */
import { startPartition, type EndFault, type FaultActivation, type FaultTarget } from './fault-target.js';
import type { SimulatedMachine } from './machines.js';
import type { Fault } from './scenario-schema.js';

/** Machines by count, share or zone, or the machine of the event. */
interface MachineSelector {
  readonly count?: number;
  readonly share?: number;
  readonly zone?: string;
  readonly machine?: 'event';
}

function selectMachines(
  target: FaultTarget,
  fault: MachineSelector,
  { event, random }: FaultActivation,
  spotOnly = false,
): SimulatedMachine[] {
  const running = target.machines.all();
  const eventMachines = running.filter((machine) => machine.spec.id === event?.machine);
  if (fault.machine === 'event' && eventMachines.length > 0) return eventMachines;
  const candidates = running.filter(
    (machine) =>
      (fault.zone === undefined || machine.spec.zone === fault.zone) && (!spotOnly || machine.spec.spot),
  );
  const selectsWholeZone = fault.zone !== undefined && fault.count === undefined && fault.share === undefined;
  const count = fault.count ?? Math.ceil(candidates.length * (fault.share ?? 0));
  return selectsWholeZone ? candidates : random.sample(candidates, Math.max(1, count));
}

/** Begins a fault of machines; returns undefined for other kinds. */
export function applyToMachines(target: FaultTarget, activation: FaultActivation): EndFault | undefined {
  const { fault } = activation;
  switch (fault.kind) {
    case 'machine_deaf':
    case 'machine_mute':
    case 'machine_cut':
      return partitionMachines(target, fault, activation);
    case 'machine_hang':
      for (const machine of selectMachines(target, fault, activation))
        machine.worker.hang(fault.for_s * 1000);
      return null;
    case 'machine_sick': {
      const sick = selectMachines(target, fault, activation);
      for (const machine of sick) machine.worker.tasks.failing = true;
      return () => sick.forEach((machine) => (machine.worker.tasks.failing = false));
    }
    case 'machine_slow': {
      const slow = selectMachines(target, fault, activation);
      for (const machine of slow) machine.worker.tasks.slowness = fault.times;
      return () => slow.forEach((machine) => (machine.worker.tasks.slowness = 1));
    }
    case 'machine_end':
      for (const machine of selectMachines(target, fault, activation)) target.machines.fail(machine);
      return null;
    case 'spot_wave':
      for (const machine of selectMachines(target, fault, activation, true))
        target.machines.interrupt(machine, fault.notice_s);
      return null;
    default:
      return undefined;
  }
}

function partitionMachines(
  target: FaultTarget,
  fault: Extract<Fault, { kind: 'machine_deaf' | 'machine_mute' | 'machine_cut' }>,
  activation: FaultActivation,
): () => void {
  const hosts = new Set(selectMachines(target, fault, activation).map((machine) => machine.host));
  if (fault.kind === 'machine_cut')
    return startPartition(target, fault.mode, (a, b) => hosts.has(a) || hosts.has(b));
  const { links } = target;
  const affectedHosts = fault.kind === 'machine_deaf' ? links.inboundLost : links.heartbeatsLost;
  for (const host of hosts) affectedHosts.add(host);
  return () => hosts.forEach((host) => affectedHosts.delete(host));
}
