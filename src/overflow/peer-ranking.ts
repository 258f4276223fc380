/** Announcements of free room and the willing list made of them: nearest zone first, then most free room. */
import type { JobSpec } from '../jobs/spec.js';
import { fits, scale, taskSlots, subtract } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { Random } from '../model/random.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import type { FreeMachines } from '../peers/messages.js';
import type { SteadyMs, ZoneId } from '../model/units.js';

const fittingMachines = (freeCapacity: FreeCapacity, spec: JobSpec, zone: ZoneId | null): FreeMachines[] =>
  freeCapacity.machines.filter(
    (m) => m.count > 0 && fits(spec, m) && mayRunOn(spec, m.type, m.zone, m.spot, zone),
  );

/** How many tasks like this fit into what is announced, by zone restriction. */
export function taskCapacity(freeCapacity: FreeCapacity, spec: JobSpec, zone: ZoneId | null): number {
  let tasks = 0;
  for (const machine of fittingMachines(freeCapacity, spec, zone))
    tasks += machine.count * taskSlots(machine, spec);
  return tasks;
}

/** `machines` of a shape get `each` tasks: they have another shape from then on. */
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

/** Takes room for `count` tasks off the offer, so that the next hand-over does not promise it again. */
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

/** Unexpired offers with room for such a task: own zone first, then most free room; equals in random order. */
export function rankPeers(
  freeCapacities: Iterable<FreeCapacity>,
  fromZone: ZoneId,
  spec: JobSpec,
  zone: ZoneId | null,
  now: SteadyMs,
  random: Random,
): { freeCapacity: FreeCapacity; capacity: number }[] {
  const candidates = [...freeCapacities]
    .filter((peer) => peer.expiresAt > now)
    .map((freeCapacity) => ({
      freeCapacity,
      capacity: taskCapacity(freeCapacity, spec, zone),
      draw: random(1 << 20),
    }))
    .filter((peer) => peer.capacity > 0);
  const zoneDistance = (peer: FreeCapacity): number => (peer.zone === fromZone ? 0 : 1);
  return candidates.sort(
    (a, b) =>
      zoneDistance(a.freeCapacity) - zoneDistance(b.freeCapacity) ||
      b.capacity - a.capacity ||
      a.draw - b.draw,
  );
}
