/** Ranks peers by the free capacity that they have announced, and keeps account of what is promised of it. Pure. */
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

/** How many such tasks fit into the free capacity, in one zone if one is required. */
export function taskCapacity(freeCapacity: FreeCapacity, spec: JobSpec, zone: ZoneId | null): number {
  let tasks = 0;
  for (const machine of fittingMachines(freeCapacity, spec, zone))
    tasks += machine.count * taskSlots(machine, spec);
  return tasks;
}

/** Of the machines of a shape, so many get tasks each, and are of another shape from then on. */
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

/** Takes `count` tasks off the free capacity, so that the next transfer does not count on it again. */
export function reserveCapacity(
  freeCapacity: FreeCapacity,
  spec: JobSpec,
  zone: ZoneId | null,
  count: number,
): void {
  let left = count;
  for (const machine of fittingMachines(freeCapacity, spec, zone)) {
    if (left <= 0) return;
    const tasksPerMachine = taskSlots(machine, spec);
    const fullMachines = Math.min(machine.count, Math.floor(left / tasksPerMachine));
    subtractTasks(freeCapacity, machine, spec, tasksPerMachine, fullMachines);
    left -= fullMachines * tasksPerMachine;
    if (left > 0 && machine.count > 0) {
      subtractTasks(freeCapacity, machine, spec, left, 1);
      left = 0;
    }
  }
}

const DRAW_RANGE = 1 << 20;

/** A peer and how many of the tasks it has capacity for. */
export interface RankedPeer {
  readonly freeCapacity: FreeCapacity;
  readonly capacity: number;
}

/**
 * Peers with unexpired announcements and capacity for such a task: those of `fromZone` first, then those with most
 * capacity, and equal ones in random order. Draws one random number for each unexpired peer.
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
      draw: random(DRAW_RANGE),
    }))
    .filter((peer) => peer.capacity > 0);
  const zoneDistance = (peer: FreeCapacity): number => (peer.zone === fromZone ? 0 : 1);
  return candidates.sort(
    (first, second) =>
      zoneDistance(first.freeCapacity) - zoneDistance(second.freeCapacity) ||
      second.capacity - first.capacity ||
      first.draw - second.draw,
  );
}
