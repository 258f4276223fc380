/** The cloud's messages, between its words and ours. */
import * as v from 'valibot';
import type { Address, MachineId, RentalId, Seconds, InstanceTypeId, ZoneId } from '../model/units.js';

export interface InstanceType {
  readonly name: InstanceTypeId;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: Seconds;
  readonly zones: readonly ZoneId[];
}

export interface ListedMachine {
  readonly id: MachineId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly address: Address;
  readonly state: 'starting' | 'running' | 'failed';
  readonly ageS: Seconds;
}

export interface ScaleOutRequest {
  readonly idempotencyKey: RentalId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const catalogSchema = v.object({
  hulls: v.array(
    v.object({
      name: v.string(),
      vcpus: nonNegativeNumber,
      cards: v.optional(nonNegativeNumber, 0),
      memoryGb: nonNegativeNumber,
      cacheGb: nonNegativeNumber,
      pullGbPerS: nonNegativeNumber,
      rate: nonNegativeNumber,
      lowPrice: nonNegativeNumber,
      startupS: nonNegativeNumber,
      harbors: v.array(v.string()),
    }),
  ),
});
const rentedSchema = v.object({ berths: v.array(v.string()) });
const listedSchema = v.object({
  berths: v.array(
    v.object({
      uid: v.string(),
      endpoint: v.optional(v.nullable(v.string()), null),
      hull: v.string(),
      harbor: v.string(),
      driftboats: v.boolean(),
      status: v.picklist(['starting', 'running', 'failed']),
      ageS: nonNegativeNumber,
    }),
  ),
  hasNext: v.optional(v.nullable(v.boolean()), false),
});

export function decodeInstanceTypes(body: unknown): InstanceType[] | null {
  const result = v.safeParse(catalogSchema, body);
  if (!result.success) return null;
  return result.output.hulls.map((type) => ({
    name: type.name as InstanceTypeId,
    cpus: type.vcpus,
    gpus: type.cards,
    memoryGb: type.memoryGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.pullGbPerS,
    price: type.rate,
    spotPrice: type.lowPrice,
    bootS: type.startupS as Seconds,
    zones: type.harbors as ZoneId[],
  }));
}

export const encodeScaleOut = (request: ScaleOutRequest): unknown => ({
  charter: request.idempotencyKey,
  hull: request.type,
  harbor: request.zone,
  driftboats: request.spot,
  number: request.count,
});

export function decodeScaleOut(body: unknown): MachineId[] | null {
  const result = v.safeParse(rentedSchema, body);
  return result.success ? (result.output.berths as MachineId[]) : null;
}

export const encodeScaleIn = (ids: readonly MachineId[]): unknown => ({ berths: ids });

export const listMachinesPath = (after: MachineId | null): string =>
  `/hosts?${after === null ? '' : `from=${encodeURIComponent(after)}&`}most=500`;

export function decodeMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const result = v.safeParse(listedSchema, body);
  if (!result.success) return null;
  return {
    more: result.output.hasNext ?? false,
    machines: result.output.berths.map((machine) => ({
      id: machine.uid as MachineId,
      type: machine.hull as InstanceTypeId,
      zone: machine.harbor as ZoneId,
      spot: machine.driftboats,
      address: (machine.endpoint ?? '') as Address,
      state: machine.status,
      ageS: machine.ageS as Seconds,
    })),
  };
}
