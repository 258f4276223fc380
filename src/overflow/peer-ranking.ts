/** Ranks peers by their announced free capacity, and subtracts capacity that has been assigned. No I/O. */
import type { JobSpec } from '../jobs/spec.js';
import { fits, scale, taskSlots, subtract } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { Random } from '../model/random.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import type { FreeMachines } from '../peers/messages.js';
import type { SteadyMs, ZoneId } from '../model/units.js';

const fittingMachines = (freeCapacity: FreeCapacity, spec: JobSpec, zone: ZoneId | null): FreeMachines[] =>
  freeCapacity.machines.filter(
    (machines) =>
      machines.count > 0 &&
      fits(spec, machines) &&
      mayRunOn(spec, machines.type, machines.zone, machines.spot, zone),
  );

/** Returns how many tasks of the job fit into the free capacity, in the required zone if there is one. */
export function taskCapacity(freeCapacity: FreeCapacity, spec: JobSpec, zone: ZoneId | null): number {
  let tasks = 0;
  for (const machine of fittingMachines(freeCapacity, spec, zone))
    tasks += machine.count * taskSlots(machine, spec);
  return tasks;
}

/** Subtracts the resources of `tasksPerMachine` tasks from `machines` machines of a shape, which form a new shape. */
function subtractTasks(
  freeCapacity: FreeCapacity,
  shape: FreeMachines,
  spec: JobSpec,
  tasksPerMachine: number,
  machines: number,
): void {
  if (machines === 0) return;
  shape.count -= machines;
  freeCapacity.machines.push({ ...shape, ...subtract(shape, scale(spec, tasksPerMachine)), count: machines });
}

/**
 * Subtracts the resources of `count` tasks from the free capacity, so that the next assignment does not use them again.
 */
export function reserveCapacity(
  freeCapacity: FreeCapacity,
  spec: JobSpec,
  zone: ZoneId | null,
  count: number,
): void {
  let remainingTasks = count;
  for (const machine of fittingMachines(freeCapacity, spec, zone)) {
    if (remainingTasks <= 0) return;
    const tasksPerMachine = taskSlots(machine, spec);
    const fullMachines = Math.min(machine.count, Math.floor(remainingTasks / tasksPerMachine));
    subtractTasks(freeCapacity, machine, spec, tasksPerMachine, fullMachines);
    remainingTasks -= fullMachines * tasksPerMachine;
    if (remainingTasks > 0 && machine.count > 0) {
      subtractTasks(freeCapacity, machine, spec, remainingTasks, 1);
      remainingTasks = 0;
    }
  }
}

const TIE_BREAKER_RANGE = 1 << 20;

/** A peer's free capacity, and the number of tasks that fit into it. */
export interface RankedPeer {
  readonly freeCapacity: FreeCapacity;
  readonly capacity: number;
}

/**
 * Returns the peers with an unexpired announcement and capacity for a task of the job. Peers in `fromZone` come first,
 * then peers with more capacity; ties are in random order. Draws one random number for each unexpired peer.
 */
export function rankPeers(
  freeCapacities: Iterable<FreeCapacity>,
  fromZone: ZoneId,
  spec: JobSpec,
  zone: ZoneId | null,
  now: SteadyMs,
  random: Random,
): RankedPeer[] {
  const candidates = [...freeCapacities]
    .filter((peer) => peer.expiresAt > now)
    .map((freeCapacity) => ({
      freeCapacity,
      capacity: taskCapacity(freeCapacity, spec, zone),
      tieBreaker: random(TIE_BREAKER_RANGE),
    }))
    .filter((peer) => peer.capacity > 0);
  const zoneDistance = (peer: FreeCapacity): number => (peer.zone === fromZone ? 0 : 1);
  return candidates.sort(
    (first, second) =>
      zoneDistance(first.freeCapacity) - zoneDistance(second.freeCapacity) ||
      second.capacity - first.capacity ||
      first.tieBreaker - second.tieBreaker,
  );
}
