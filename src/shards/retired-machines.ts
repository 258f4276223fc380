/** Remembers the ids of machines that were deleted or lost permanently. The cloud never reuses an id. */
import type { MachineId } from '../model/units.js';
import type { RegisteredMachines } from './registered-machines.js';

/** Minimum number of remembered ids, however few machines are registered. */
const MIN_REMEMBERED_IDS = 5000;

/** The most recently retired machines: as many as are registered, since all of these may be replaced at once. */
export class RetiredMachines {
  private readonly ids = new Set<MachineId>();

  constructor(private readonly registered: Pick<RegisteredMachines, 'size'>) {}

  has(id: MachineId): boolean {
    return this.ids.has(id);
  }

  /** Remembers a machine, and forgets the oldest remembered machine if there are too many. */
  add(id: MachineId): void {
    this.ids.add(id);
    if (this.ids.size > Math.max(MIN_REMEMBERED_IDS, this.registered.size))
      this.ids.delete(this.ids.keys().next().value as MachineId);
  }
}
