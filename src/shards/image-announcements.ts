/**
 * Chooses the machines whose images are announced next to other controllers. An announcement names a few machines
 * only: changes go first, and all machines recur in turn, since an announcement may be lost.
 */
import type { MachineId } from '../model/units.js';
import type { Machine } from './machine.js';

/** The order in which the images of a shard's machines are announced. */
export class ImageAnnouncements {
  private readonly changed = new Set<Machine>();
  /** Goes through the machines as they come and go; a new round begins when it has reached the end. */
  private cursor: Iterator<Machine>;

  /** @param machines those of the shard, which the shard goes on changing */
  constructor(private readonly machines: ReadonlyMap<MachineId, Machine>) {
    this.cursor = machines.values();
  }

  /** The machine holds an image that has not been announced. */
  markChanged(machine: Machine): void {
    this.changed.add(machine);
  }

  /** The machines to announce now, `count` at most: changed ones, then the next in turn that hold any image. */
  next(count: number): Set<Machine> {
    const chosen = new Set<Machine>();
    for (const machine of this.changed) {
      if (chosen.size >= count) return chosen;
      this.changed.delete(machine);
      if (this.machines.has(machine.id)) chosen.add(machine);
    }
    for (let left = Math.min(count - chosen.size, this.machines.size); left > 0; left -= 1) {
      const machine = this.nextInTurn();
      if (machine && machine.images.size > 0) chosen.add(machine);
    }
    return chosen;
  }

  /** null: there is no machine. */
  private nextInTurn(): Machine | null {
    let next = this.cursor.next();
    if (next.done) {
      this.cursor = this.machines.values();
      next = this.cursor.next();
    }
    return next.done ? null : next.value;
  }
}
