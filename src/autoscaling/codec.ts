/**
 * Encodes the catalog of instance types for the store, from which a controller reads it if it starts while the cloud is
 * down. Different versions of the software read each other's records, so the field names must not change.
 */
import type { InstanceType } from '../cloud/wire.js';
import { RESOURCE_KINDS } from '../model/resources.js';

/** An instance type as it is stored. */
interface StoredType {
  readonly name: InstanceType['name'];
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: InstanceType['bootS'];
  readonly zones: InstanceType['zones'];
}

/** Returns the value of `CATALOG_KEY`. */
export function encodeCatalog(types: readonly InstanceType[]): { readonly types: readonly StoredType[] } {
  return { types: types.map(encodeType) };
}

function encodeType(type: InstanceType): StoredType {
  return {
    name: type.name,
    cpus: type.cpus,
    gpus: type.gpus,
    memoryGb: type.memoryGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: type.bootS,
    zones: type.zones,
  };
}

/** Returns null if the value cannot be read, or if a type lacks its name or an amount of a resource. */
export function decodeCatalog(value: unknown): InstanceType[] | null {
  const types = (value as { types?: StoredType[] } | null)?.types;
  return Array.isArray(types) && types.every(isComplete) ? types.map(decodeType) : null;
}

function isComplete(type: StoredType): boolean {
  return typeof type.name === 'string' && RESOURCE_KINDS.every((kind) => typeof type[kind] === 'number');
}

function decodeType(stored: StoredType): InstanceType {
  return {
    name: stored.name,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
    cacheGb: stored.cacheGb,
    fetchGbPerS: stored.fetchGbPerS,
    price: stored.price,
    spotPrice: stored.spotPrice,
    bootS: stored.bootS,
    zones: stored.zones,
  };
}
