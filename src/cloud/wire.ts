/**
 * Maps requests to the cloud and its answers to the types of the code: the only module that knows the cloud's paths and
 * field names. Decoders return null for whatever does not have the documented form; nothing here is sent.
 */
import * as v from 'valibot';
import type { Address, MachineId, RentalId, Seconds, InstanceTypeId, ZoneId } from '../model/units.js';
import { HttpStatus } from '../store/http-status.js';

/** A kind of machine that the cloud rents out. */
export interface InstanceType {
  readonly name: InstanceTypeId;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Room for images on the machine, in GB. */
  readonly cacheGb: number;
  /** Nominal speed at which images are fetched, in GB a second. */
  readonly fetchGbPerS: number;
  /** Price an hour of an ordinary machine. */
  readonly price: number;
  /** Price an hour of a spot machine when the catalog was read; it moves. */
  readonly spotPrice: number;
  /** Nominal time from the request until the machine is up. */
  readonly bootS: Seconds;
  /** The zones that have machines of this type. */
  readonly zones: readonly ZoneId[];
}

/** A machine as the cloud lists it, which lags behind. */
export interface ListedMachine {
  readonly id: MachineId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  /** Empty while the cloud names none. */
  readonly address: Address;
  /** `failed`: stopped on its own, and listed until it is deleted. */
  readonly state: 'starting' | 'running' | 'failed';
  /** Time since the request that rented it, when the list was made. */
  readonly ageS: Seconds;
}

/** A request to rent machines of one type in one zone. */
export interface ScaleOutRequest {
  /** Names the request: repetitions rent nothing more. Never used again for another request, by any controller. */
  readonly idempotencyKey: RentalId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

/** One page of the list of machines, in order of id. */
export interface MachinePage {
  readonly machines: readonly ListedMachine[];
  /** Whether further machines follow the last one here. */
  readonly more: boolean;
}

/** Path of the catalog of instance types. */
export const INSTANCE_TYPES_PATH = '/catalog';
/** Path of requests to rent machines. */
export const SCALE_OUT_PATH = '/hosts';
/** Path of requests to delete machines. */
export const SCALE_IN_PATH = '/hosts/delete';
/** The most machines that one request to delete may name. */
export const MAX_MACHINES_PER_SCALE_IN = 100;
/** Machines a page of the list, the most that the cloud allows. */
const MACHINE_PAGE_SIZE = 500;
/** The cloud's word for having no machine of the kind that was asked for. */
const NO_CAPACITY_ERROR = 'no capacity';

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
const scaleOutSchema = v.object({ berths: v.array(v.string()) });
const machineListSchema = v.object({
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

/** The instance types of the catalog. */
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

/** The body of a request to rent machines. */
export const encodeScaleOut = (request: ScaleOutRequest): unknown => ({
  charter: request.idempotencyKey,
  hull: request.type,
  harbor: request.zone,
  driftboats: request.spot,
  number: request.count,
});

/** The machines that were rented. */
export function decodeScaleOut(body: unknown): MachineId[] | null {
  const result = v.safeParse(scaleOutSchema, body);
  return result.success ? (result.output.berths as MachineId[]) : null;
}

/** Whether an answer to a request to rent says that there is no machine of the kind; other refusals say nothing of it. */
export function isNoCapacity(status: number, body: unknown): boolean {
  const error = (body as { error?: unknown } | null)?.error;
  return status === HttpStatus.serviceUnavailable && error === NO_CAPACITY_ERROR;
}

/** The body of a request to delete machines. */
export const encodeScaleIn = (ids: readonly MachineId[]): unknown => ({ berths: ids });

/** Path of one page of the list: the machines behind `after`, or the first ones for null. */
export const listMachinesPath = (after: MachineId | null): string =>
  `/hosts?${after === null ? '' : `from=${encodeURIComponent(after)}&`}most=${MACHINE_PAGE_SIZE}`;

/** One page of the list of machines. */
export function decodeMachineList(body: unknown): MachinePage | null {
  const result = v.safeParse(machineListSchema, body);
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
