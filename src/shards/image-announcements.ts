/**
 * Chooses the machines whose images are announced to other controllers next. An announcement covers only a few
 * machines: first those with a new image, then all in turn, repeatedly, since an announcement may be lost.
 */
import type { MachineId } from '../model/units.js';
import type { Machine } from './machine.js';

/** Keeps the order in which the images of a shard's machines are announced. */
export class ImageAnnouncements {
  private readonly changed = new Set<Machine>();
  /** Iterates over the machines while they are added and removed; restarts when it has reached the end. */
  private cursor: Iterator<Machine>;

  /** @param machines the live map of the shard's machines */
  constructor(private readonly machines: ReadonlyMap<MachineId, Machine>) {
    this.cursor = machines.values();
  }

  /** Marks a machine that holds an image not announced yet. */
  markChanged(machine: Machine): void {
    this.changed.add(machine);
  }

  /** Returns at most `count` machines: changed machines, then the next machines in turn that hold an image. */
  next(count: number): Set<Machine> {
    const chosen = new Set<Machine>();
    for (const machine of this.changed) {
      if (chosen.size >= count) return chosen;
      this.changed.delete(machine);
      if (this.machines.has(machine.id)) chosen.add(machine);
    }
    for (let remaining = Math.min(count - chosen.size, this.machines.size); remaining > 0; remaining -= 1) {
      const machine = this.nextInTurn();
      if (machine && machine.images.size > 0) chosen.add(machine);
    }
    return chosen;
  }

  /** Returns null if there is no machine. */
  private nextInTurn(): Machine | null {
    let next = this.cursor.next();
    if (next.done) {
      this.cursor = this.machines.values();
      next = this.cursor.next();
    }
    return next.done ? null : next.value;
  }
}
