/** The ids of machines that were deleted or lost for good. The cloud never uses an id again. */
import type { MachineId } from '../model/units.js';
import type { RegisteredMachines } from './registered-machines.js';

/** Ids that are remembered at least, however few machines there are. */
const MIN_REMEMBERED = 5000;

/** The latest retired machines: as many as are registered, as all of these may be replaced at once. */
export class RetiredMachines {
  private readonly ids = new Set<MachineId>();

  constructor(private readonly registered: Pick<RegisteredMachines, 'size'>) {}

  has(id: MachineId): boolean {
    return this.ids.has(id);
  }

  /** Remembers a machine, and forgets the oldest one if there are too many. */
  add(id: MachineId): void {
    this.ids.add(id);
    if (this.ids.size > Math.max(MIN_REMEMBERED, this.registered.size))
      this.ids.delete(this.ids.keys().next().value as MachineId);
  }
}
