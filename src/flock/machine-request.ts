/** The message with which a pool asks another for machines: a gang of its own is larger than the pool. */
import * as v from 'valibot';
import type { Resources } from '../model/resources.js';
import type { PartId, TypeId, ZoneId } from '../units.js';

/** Earlier versions do not know this message and ignore it. */
export const machineRequest = v.object({
  kind: v.literal('machines'),
  from: v.number(),
  to: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1)),
  types: v.nullable(v.array(v.string())),
  zone: v.string(),
  spot: v.boolean(),
});

/** What one task takes, on which machines it may run, and how many tasks have no place. */
export interface MachineRequest extends Resources {
  readonly kind: 'machines';
  readonly from: PartId;
  readonly to: PartId;
  readonly tasks: number;
  /** null: any. */
  readonly types: readonly TypeId[] | null;
  readonly zone: ZoneId;
  /** Spot machines are allowed. */
  readonly spot: boolean;
}
