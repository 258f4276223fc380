/**
 * Encodes requests to the cloud and decodes its answers. This is the only module that knows the paths and field names
 * of the cloud. Decoders return null for messages that do not have the documented form. Nothing is sent from here.
 */
import * as v from 'valibot';
import type { Address, MachineId, IdempotencyKey, Seconds, InstanceTypeId, ZoneId } from '../model/units.js';
import { HttpStatus } from '../store/http-status.js';

/** An instance type that the cloud offers. */
export interface InstanceType {
  readonly name: InstanceTypeId;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Size of the image cache on the machine, in GB. */
  readonly cacheGb: number;
  /** Nominal bandwidth for fetching images, in GB per second. */
  readonly fetchGbPerS: number;
  /** Price per hour of an on-demand machine. */
  readonly price: number;
  /** Price per hour of a spot machine when the catalog was read; it varies. */
  readonly spotPrice: number;
  /** Nominal time from the request until the machine is running. */
  readonly bootS: Seconds;
  /** Zones that offer this type. */
  readonly zones: readonly ZoneId[];
}

/** A machine in the list of the cloud, which lags behind. */
export interface ListedMachine {
  readonly id: MachineId;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  /** Empty as long as the cloud reports none. */
  readonly address: Address;
  /** `failed`: the machine stopped by itself; it is listed until it is deleted. */
  readonly state: 'starting' | 'running' | 'failed';
  /** Time from the request that rented the machine until the list was made. */
  readonly ageS: Seconds;
}

/** A request to rent machines of one type in one zone. */
export interface ScaleOutRequest {
  /** Repeated requests with the same key rent no further machines. Unique among the requests of all controllers. */
  readonly idempotencyKey: IdempotencyKey;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

/** One page of the list of machines, ordered by id. */
export interface MachinePage {
  readonly machines: readonly ListedMachine[];
  /** Whether the list continues after this page. */
  readonly hasMore: boolean;
}

/** Path of the catalog of instance types. */
export const INSTANCE_TYPES_PATH = '/catalog';
/** Path of requests to rent machines. */
export const SCALE_OUT_PATH = '/hosts';
/** Path of requests to delete machines. */
export const SCALE_IN_PATH = '/hosts/delete';
/** The most machines in one request to delete. */
export const MAX_MACHINES_PER_SCALE_IN = 100;
/** Machines per page of the list; the maximum that the cloud allows. */
const MACHINE_PAGE_SIZE = 500;
/** Error text of the cloud when it has no machine as requested. */
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

/** Decodes the catalog of instance types. */
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

/** Encodes the body of a request to rent machines. */
export const encodeScaleOut = (request: ScaleOutRequest): unknown => ({
  charter: request.idempotencyKey,
  hull: request.type,
  harbor: request.zone,
  driftboats: request.spot,
  number: request.count,
});

/** Decodes the answer to a request to rent machines: the ids of the rented machines. */
export function decodeScaleOut(body: unknown): MachineId[] | null {
  const result = v.safeParse(scaleOutSchema, body);
  return result.success ? (result.output.berths as MachineId[]) : null;
}

/** Returns whether the answer to a request to rent states that no such machine is available; other refusals do not. */
export function isNoCapacity(status: number, body: unknown): boolean {
  const error = (body as { error?: unknown } | null)?.error;
  return status === HttpStatus.serviceUnavailable && error === NO_CAPACITY_ERROR;
}

/** Encodes the body of a request to delete machines. */
export const encodeScaleIn = (ids: readonly MachineId[]): unknown => ({ berths: ids });

/** Returns the path of one page of the list: the machines after the id `after`, or the first page if it is null. */
export const listMachinesPath = (after: MachineId | null): string =>
  `/hosts?${after === null ? '' : `from=${encodeURIComponent(after)}&`}most=${MACHINE_PAGE_SIZE}`;

/** Decodes one page of the list of machines. */
export function decodeMachineList(body: unknown): MachinePage | null {
  const result = v.safeParse(machineListSchema, body);
  if (!result.success) return null;
  return {
    hasMore: result.output.hasNext ?? false,
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
