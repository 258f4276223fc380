/** The cloud's messages, between its words and ours. */
import * as v from 'valibot';
import type { Address, MachineId, RentalId, Seconds, InstanceTypeId, ZoneId } from '../model/units.js';

export interface MachineType {
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

export interface Listed {
  readonly id: MachineId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly address: Address;
  readonly state: 'starting' | 'running' | 'failed';
  readonly ageS: Seconds;
}

export interface RentRequest {
  readonly rental: RentalId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const catalog = v.object({
  hulls: v.array(
    v.object({
      name: v.string(),
      vcpus: amount,
      cards: v.optional(amount, 0),
      memoryGb: amount,
      cacheGb: amount,
      pullGbPerS: amount,
      rate: amount,
      lowPrice: amount,
      startupS: amount,
      harbors: v.array(v.string()),
    }),
  ),
});
const rented = v.object({ berths: v.array(v.string()) });
const listed = v.object({
  berths: v.array(
    v.object({
      uid: v.string(),
      endpoint: v.optional(v.nullable(v.string()), null),
      hull: v.string(),
      harbor: v.string(),
      driftboats: v.boolean(),
      status: v.picklist(['starting', 'running', 'failed']),
      ageS: amount,
    }),
  ),
  hasNext: v.optional(v.nullable(v.boolean()), false),
});

export function decodeCatalog(body: unknown): MachineType[] | null {
  const result = v.safeParse(catalog, body);
  if (!result.success) return null;
  return result.output.hulls.map((h) => ({
    name: h.name as InstanceTypeId,
    cpus: h.vcpus,
    gpus: h.cards,
    memoryGb: h.memoryGb,
    cacheGb: h.cacheGb,
    fetchGbPerS: h.pullGbPerS,
    price: h.rate,
    spotPrice: h.lowPrice,
    bootS: h.startupS as Seconds,
    zones: h.harbors as ZoneId[],
  }));
}

export const encodeRent = (r: RentRequest): unknown => ({
  charter: r.rental,
  hull: r.type,
  harbor: r.zone,
  driftboats: r.spot,
  number: r.count,
});

export function decodeRented(body: unknown): MachineId[] | null {
  const result = v.safeParse(rented, body);
  return result.success ? (result.output.berths as MachineId[]) : null;
}

export const encodeReturn = (ids: readonly MachineId[]): unknown => ({ berths: ids });

export const listMachinesPath = (after: MachineId | null): string =>
  `/hosts?${after === null ? '' : `from=${encodeURIComponent(after)}&`}most=500`;

export function decodeListed(body: unknown): { machines: Listed[]; more: boolean } | null {
  const result = v.safeParse(listed, body);
  if (!result.success) return null;
  return {
    more: result.output.hasNext ?? false,
    machines: result.output.berths.map((m) => ({
      id: m.uid as MachineId,
      type: m.hull as InstanceTypeId,
      zone: m.harbor as ZoneId,
      spot: m.driftboats,
      address: (m.endpoint ?? '') as Address,
      state: m.status,
      ageS: m.ageS as Seconds,
    })),
  };
}
