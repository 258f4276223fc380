/** Faults of machines, their workers and their links. */
import { partition, type EndFault, type FaultActivation, type FaultTarget } from './fault-target.js';
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
  const up = target.machines.all();
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
    return partition(target, fault.mode, (a, b) => hosts.has(a) || hosts.has(b));
  const { links } = target;
  const set = fault.kind === 'machine_deaf' ? links.inboundLost : links.heartbeatsLost;
  for (const host of hosts) set.add(host);
  return () => hosts.forEach((host) => set.delete(host));
}
